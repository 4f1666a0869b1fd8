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
    pub sockets_per_upstream: u8,
    /// Requests without an answer from which on a path may be silent; one alone may be a slow request.
    pub min_unanswered: usize,
    /// Time for which they must have waited.
    pub min_silence: Duration,
    /// Age up to which an answer on another path, or a report, shows that the upstream works.
    pub max_evidence_age: Duration,
    /// Time without an answer from which on a path is replaced without evidence, since a new port does no harm.
    pub max_silence: Duration,
    /// Most flows that are kept on another socket than their default, or counted as silent.
    pub max_moved_flows: usize,
}

/// A socket of this balancer towards one upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Path {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Which of the sockets for this upstream.
    pub socket: u8,
    /// Counts the replacements of the socket; each has a new source port.
    pub generation: u32,
}

/// What is to change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The socket gets a new source port. The old one stays open for late last_answers.
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
    sockets: Map<(UpstreamId, u8), SocketState>,
    last_answers: Map<UpstreamId, Duration>,
    requests: Map<RequestId, Request>,
    /// Requests in the order in which they are to be judged.
    due: BTreeSet<(Duration, RequestId)>,
    /// Requests per flow that stay unanswered on a path that works for others.
    unanswered_per_flow: Map<Hash, usize>,
    moved_flows: Map<Hash, u8>,
    moved_order: VecDeque<Hash>,
}

#[derive(Clone, Debug, Default)]
struct SocketState {
    generation: u32,
    unanswered: usize,
    last_answered: Option<Duration>,
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
            sockets_per_upstream: 4,
            min_unanswered: 2,
            min_silence: Duration::from_secs(2),
            max_evidence_age: Duration::from_secs(5),
            max_silence: Duration::from_secs(5),
            max_moved_flows: 4_096,
        }
    }
}

impl Monitor {
    /// Creates a monitor that has seen no path.
    pub fn new(settings: Settings) -> Monitor {
        Monitor {
            settings,
            sockets: Map::default(),
            last_answers: Map::default(),
            requests: Map::default(),
            due: BTreeSet::new(),
            unanswered_per_flow: Map::default(),
            moved_flows: Map::default(),
            moved_order: VecDeque::new(),
        }
    }

    /// Returns the path that a flow uses towards an upstream.
    pub fn path(&self, flow: Hash, upstream: UpstreamId) -> Path {
        let default = (flow % u64::from(self.settings.sockets_per_upstream.max(1))) as u8;
        let socket = self.moved_flows.get(&flow).copied().unwrap_or(default);
        self.current_path(upstream, socket)
    }

    /// Records that a request was sent, and returns its path.
    pub fn sent(&mut self, now: Duration, id: RequestId, flow: Hash, upstream: UpstreamId) -> Path {
        let path = self.path(flow, upstream);
        let due = now + self.settings.min_silence;
        let request = Request {
            flow,
            path,
            sent: now,
            due,
        };
        self.requests.insert(id, request);
        self.due.insert((due, id));
        self.socket_state(path).unanswered += 1;
        path
    }

    /// Records an answer, a refusal or an empty acknowledgement, all of which show that the path works.
    pub fn answered(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        let upstream = request.path.upstream;
        self.last_answers.insert(upstream, now);
        self.unanswered_per_flow.remove(&request.flow);
        if self.current_path(upstream, request.path.socket) == request.path {
            self.socket_state(request.path).last_answered = Some(now);
        }
    }

    /// Forgets a request whose deadline has passed.
    pub fn expired(&mut self, id: RequestId) {
        self.remove_request(id);
    }

    /// Records that an upstream last_answers other balancers.
    pub fn report_alive(&mut self, upstream: UpstreamId, observed: Duration) {
        let answer = self.last_answers.entry(upstream).or_insert(observed);
        *answer = observed.max(*answer);
    }

    /// Forgets a removed upstream.
    pub fn remove(&mut self, upstream: UpstreamId) {
        self.last_answers.remove(&upstream);
        for socket in 0..self.settings.sockets_per_upstream {
            self.sockets.remove(&(upstream, socket));
        }
    }

    /// Judges the requests that have waited long enough, and appends what is to change.
    pub fn tick(&mut self, now: Duration, changes: &mut Vec<Change>) {
        while let Some(&(due, id)) = self.due.first()
            && due <= now
        {
            self.due.remove(&(due, id));
            if let Some(request) = self.requests.get(&id).copied() {
                self.check_request(now, id, request, changes);
            }
        }
    }

    fn check_request(
        &mut self,
        now: Duration,
        id: RequestId,
        request: Request,
        changes: &mut Vec<Change>,
    ) {
        if self.unanswered_per_flow.len() > self.settings.max_moved_flows {
            self.unanswered_per_flow.clear();
        }
        let from = request.path;
        if self.current_path(from.upstream, from.socket) != from {
            return;
        }
        let socket = self.socket_state(from);
        let has_answered = socket.last_answered.is_some_and(|at| at > request.sent);
        let unanswered = socket.unanswered;
        if has_answered {
            changes.extend(self.move_flow(request));
        } else if unanswered >= self.settings.min_unanswered && self.should_replace(now, &request) {
            let to = self.replace_socket(from);
            changes.push(Change::Socket { from, to });
        } else {
            self.schedule_recheck(now, id, request);
        }
    }

    /// Returns whether the upstream last_answers elsewhere, or the path has been silent for so long that a try is due.
    fn should_replace(&self, now: Duration, request: &Request) -> bool {
        let answer = self.last_answers.get(&request.path.upstream);
        let is_alive = answer.is_some_and(|&at| {
            at > request.sent && now.saturating_sub(at) < self.settings.max_evidence_age
        });
        is_alive || now.saturating_sub(request.sent) >= self.settings.max_silence
    }

    fn schedule_recheck(&mut self, now: Duration, id: RequestId, mut request: Request) {
        request.due = now + self.settings.min_silence / 4;
        self.due.insert((request.due, id));
        self.requests.insert(id, request);
    }

    fn replace_socket(&mut self, from: Path) -> Path {
        let socket = self.socket_state(from);
        *socket = SocketState {
            generation: from.generation + 1,
            ..SocketState::default()
        };
        self.current_path(from.upstream, from.socket)
    }

    /// Moves a flow whose requests stay unanswered on a path that works for others.
    fn move_flow(&mut self, request: Request) -> Option<Change> {
        let Request { flow, path, .. } = request;
        let count = self.unanswered_per_flow.entry(flow).or_default();
        *count += 1;
        if *count < self.settings.min_unanswered || self.settings.sockets_per_upstream < 2 {
            return None;
        }
        self.unanswered_per_flow.remove(&flow);
        let socket = (path.socket + 1) % self.settings.sockets_per_upstream;
        if self.moved_flows.insert(flow, socket).is_none() {
            self.moved_order.push_back(flow);
        }
        if self.moved_order.len() > self.settings.max_moved_flows
            && let Some(oldest) = self.moved_order.pop_front()
        {
            self.moved_flows.remove(&oldest);
        }
        let to = self.current_path(path.upstream, socket);
        Some(Change::Flow {
            flow,
            from: path,
            to,
        })
    }

    fn remove_request(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.due.remove(&(request.due, id));
        if self.current_path(request.path.upstream, request.path.socket) == request.path {
            let socket = self.socket_state(request.path);
            socket.unanswered = socket.unanswered.saturating_sub(1);
        }
        Some(request)
    }

    fn current_path(&self, upstream: UpstreamId, socket: u8) -> Path {
        let entry = self.sockets.get(&(upstream, socket));
        Path {
            upstream,
            socket,
            generation: entry.map_or(0, |entry| entry.generation),
        }
    }

    fn socket_state(&mut self, path: Path) -> &mut SocketState {
        self.sockets
            .entry((path.upstream, path.socket))
            .or_default()
    }
}
