//! Paths between a balancer and an upstream that have gone silent.
//!
//! An open path can go silent for good while new ones work. A new source port makes a new path. Nothing is sent again
//! here: a request that was in flight on the old path may have run. See
//! [requests](../../../docs/design.md#6-requests).

use {
    crate::{
        flow::Hash,
        id::{Map, UpstreamId},
    },
    std::{
        collections::{BTreeSet, VecDeque},
        time::Duration,
    },
};

/// Identifies a request on a path.
pub type RequestId = u64;

/// Settings of a [`Monitor`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Sockets per upstream, each with its own source port.
    pub lanes: u8,
    /// Requests without an answer from which on a path may be silent; one alone may be a slow request.
    pub unanswered: usize,
    /// Time for which they must have waited.
    pub silence: Duration,
    /// Age up to which an answer on another path, or a report, shows that the upstream works.
    pub evidence_age: Duration,
    /// Time without an answer from which on a path is replaced without evidence, since a new port does no harm.
    pub patience: Duration,
    /// Most flows that are kept on another lane than their default, or counted as silent.
    pub moved_flows: usize,
}

/// A socket of this balancer towards one upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Path {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Which of the sockets for this upstream.
    pub lane: u8,
    /// Counts the replacements of the socket; each has a new source port.
    pub generation: u32,
}

/// What is to change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The socket gets a new source port. The old one stays open for late answers.
    Socket {
        /// The silent path.
        from: Path,
        /// Its replacement.
        to: Path,
    },
    /// Only this flow is silent, and it uses another socket from now on.
    Flow {
        /// The flow.
        flow: Hash,
        /// The silent path.
        from: Path,
        /// Its replacement.
        to: Path,
    },
}

/// The paths of one balancer.
#[derive(Clone, Debug)]
pub struct Monitor {
    settings: Settings,
    lanes: Map<(UpstreamId, u8), Lane>,
    answers: Map<UpstreamId, Duration>,
    requests: Map<RequestId, Request>,
    /// Requests in the order in which they are to be judged.
    due: BTreeSet<(Duration, RequestId)>,
    /// Requests per flow that stay unanswered on a path that works for others.
    overdue: Map<Hash, usize>,
    flows: Map<Hash, u8>,
    moved: VecDeque<Hash>,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    generation: u32,
    unanswered: usize,
    answered: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    flow: Hash,
    path: Path,
    sent: Duration,
    due: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lanes: 4,
            unanswered: 2,
            silence: Duration::from_secs(2),
            evidence_age: Duration::from_secs(5),
            patience: Duration::from_secs(5),
            moved_flows: 4_096,
        }
    }
}

impl Monitor {
    /// Creates a monitor that has seen no path.
    pub fn new(settings: Settings) -> Monitor {
        Monitor {
            settings,
            lanes: Map::default(),
            answers: Map::default(),
            requests: Map::default(),
            due: BTreeSet::new(),
            overdue: Map::default(),
            flows: Map::default(),
            moved: VecDeque::new(),
        }
    }

    /// Returns the path that a flow uses towards an upstream.
    pub fn path(&self, flow: Hash, upstream: UpstreamId) -> Path {
        let default = (flow % u64::from(self.settings.lanes.max(1))) as u8;
        let lane = self.flows.get(&flow).copied().unwrap_or(default);
        self.current(upstream, lane)
    }

    /// Records that a request was sent, and returns its path.
    pub fn sent(&mut self, now: Duration, id: RequestId, flow: Hash, upstream: UpstreamId) -> Path {
        let path = self.path(flow, upstream);
        let due = now + self.settings.silence;
        let request = Request {
            flow,
            path,
            sent: now,
            due,
        };
        self.requests.insert(id, request);
        self.due.insert((due, id));
        self.lane(path).unanswered += 1;
        path
    }

    /// Records an answer, a refusal or an empty acknowledgement, all of which show that the path works.
    pub fn answered(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.end(id) else { return };
        let upstream = request.path.upstream;
        self.answers.insert(upstream, now);
        self.overdue.remove(&request.flow);
        if self.current(upstream, request.path.lane) == request.path {
            self.lane(request.path).answered = Some(now);
        }
    }

    /// Forgets a request whose deadline has passed.
    pub fn expired(&mut self, id: RequestId) {
        self.end(id);
    }

    /// Records that an upstream answers other balancers.
    pub fn report_alive(&mut self, upstream: UpstreamId, observed: Duration) {
        let answer = self.answers.entry(upstream).or_insert(observed);
        *answer = observed.max(*answer);
    }

    /// Forgets a removed upstream.
    pub fn remove(&mut self, upstream: UpstreamId) {
        self.answers.remove(&upstream);
        for lane in 0..self.settings.lanes {
            self.lanes.remove(&(upstream, lane));
        }
    }

    /// Judges the requests that have waited long enough, and appends what is to change.
    pub fn tick(&mut self, now: Duration, changes: &mut Vec<Change>) {
        while let Some(&(due, id)) = self.due.first()
            && due <= now
        {
            self.due.remove(&(due, id));
            if let Some(request) = self.requests.get(&id).copied() {
                self.judge(now, id, request, changes);
            }
        }
    }

    fn judge(&mut self, now: Duration, id: RequestId, request: Request, changes: &mut Vec<Change>) {
        if self.overdue.len() > self.settings.moved_flows {
            self.overdue.clear();
        }
        let from = request.path;
        if self.current(from.upstream, from.lane) != from {
            return;
        }
        let lane = self.lane(from);
        let has_answered = lane.answered.is_some_and(|at| at > request.sent);
        let unanswered = lane.unanswered;
        if has_answered {
            changes.extend(self.move_flow(request));
        } else if unanswered >= self.settings.unanswered && self.is_path_to_blame(now, &request) {
            let to = self.replace(from);
            changes.push(Change::Socket { from, to });
        } else {
            self.postpone(now, id, request);
        }
    }

    /// Returns whether the upstream answers elsewhere, or the path has been silent for so long that a try is due.
    fn is_path_to_blame(&self, now: Duration, request: &Request) -> bool {
        let answer = self.answers.get(&request.path.upstream);
        let is_alive = answer.is_some_and(|&at| {
            at > request.sent && now.saturating_sub(at) < self.settings.evidence_age
        });
        is_alive || now.saturating_sub(request.sent) >= self.settings.patience
    }

    fn postpone(&mut self, now: Duration, id: RequestId, mut request: Request) {
        request.due = now + self.settings.silence / 4;
        self.due.insert((request.due, id));
        self.requests.insert(id, request);
    }

    fn replace(&mut self, from: Path) -> Path {
        let lane = self.lane(from);
        *lane = Lane {
            generation: from.generation + 1,
            ..Lane::default()
        };
        self.current(from.upstream, from.lane)
    }

    /// Moves a flow whose requests stay unanswered on a path that works for others.
    fn move_flow(&mut self, request: Request) -> Option<Change> {
        let Request { flow, path, .. } = request;
        let count = self.overdue.entry(flow).or_default();
        *count += 1;
        if *count < self.settings.unanswered || self.settings.lanes < 2 {
            return None;
        }
        self.overdue.remove(&flow);
        let lane = (path.lane + 1) % self.settings.lanes;
        if self.flows.insert(flow, lane).is_none() {
            self.moved.push_back(flow);
        }
        if self.moved.len() > self.settings.moved_flows
            && let Some(oldest) = self.moved.pop_front()
        {
            self.flows.remove(&oldest);
        }
        let to = self.current(path.upstream, lane);
        Some(Change::Flow {
            flow,
            from: path,
            to,
        })
    }

    fn end(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.due.remove(&(request.due, id));
        if self.current(request.path.upstream, request.path.lane) == request.path {
            let lane = self.lane(request.path);
            lane.unanswered = lane.unanswered.saturating_sub(1);
        }
        Some(request)
    }

    fn current(&self, upstream: UpstreamId, lane: u8) -> Path {
        let entry = self.lanes.get(&(upstream, lane));
        Path {
            upstream,
            lane,
            generation: entry.map_or(0, |entry| entry.generation),
        }
    }

    fn lane(&mut self, path: Path) -> &mut Lane {
        self.lanes.entry((path.upstream, path.lane)).or_default()
    }
}
