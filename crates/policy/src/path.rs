//! Detection and replacement of network paths to upstreams that no longer deliver answers.
//!
//! A path may stop working permanently while new paths to the same upstream work. A socket with a new source port gets
//! a new path. Requests are not retransmitted on the new path, because a request that was in flight on the old one may
//! have run. See [requests](../../../docs/design.md#6-requests).

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
    /// Minimum number of unanswered requests for a path to be replaced or a flow to be moved; a single request may just
    /// be slow.
    pub min_unanswered: usize,
    /// Time for which a request must have been unanswered before its path is checked.
    pub min_silence: Duration,
    /// Age up to which an answer on another path, or a report of another balancer, shows that the upstream works.
    pub max_evidence_age: Duration,
    /// Time without an answer after which a path is replaced even without evidence that the upstream works.
    ///
    /// A new source port does no harm.
    pub max_silence: Duration,
    /// Limit of flows that use another socket than their default, and of flows whose unanswered requests are counted.
    pub max_moved_flows: usize,
}

/// A socket of this balancer towards one upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Path {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Index of the socket among those for this upstream.
    pub socket: u8,
    /// Number of replacements of the socket, each of which has a new source port.
    pub generation: u32,
}

/// A change of paths, to be made by the code that runs the monitor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Replace the socket by one with a new source port. The old one stays open for late answers.
    Socket {
        /// The path that no longer delivers answers.
        from: Path,
        /// Its replacement.
        to: Path,
    },
    /// Use another socket for this flow, because only its requests stay unanswered.
    Flow {
        /// The flow.
        flow: Hash,
        /// The path that no longer delivers answers.
        from: Path,
        /// Its replacement.
        to: Path,
    },
}

/// Monitors the paths of one balancer.
#[derive(Clone, Debug)]
pub struct Monitor {
    settings: Settings,
    sockets: Map<(UpstreamId, u8), SocketState>,
    last_answers: Map<UpstreamId, Duration>,
    requests: Map<RequestId, Request>,
    /// Unanswered requests, ordered by the time at which they are checked.
    due: BTreeSet<(Duration, RequestId)>,
    /// Number of unanswered requests per flow, on paths that work for other flows.
    unanswered_per_flow: Map<Hash, usize>,
    /// Sockets of the flows that do not use their default.
    moved_flows: Map<Hash, u8>,
    /// Keys of `moved_flows`, oldest first.
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
    /// Creates a monitor without paths.
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

    /// Returns the path of a flow to an upstream.
    pub fn path(&self, flow: Hash, upstream: UpstreamId) -> Path {
        let default = (flow % u64::from(self.settings.sockets_per_upstream.max(1))) as u8;
        let socket = self.moved_flows.get(&flow).copied().unwrap_or(default);
        self.current_path(upstream, socket)
    }

    /// Records that a request was sent, and returns its path.
    pub fn record_request(
        &mut self,
        now: Duration,
        id: RequestId,
        flow: Hash,
        upstream: UpstreamId,
    ) -> Path {
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

    /// Records an answer, a refusal or an empty acknowledgement, each of which shows that the path works.
    pub fn record_answer(&mut self, now: Duration, id: RequestId) {
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

    /// Removes a request whose deadline has passed.
    pub fn remove_expired(&mut self, id: RequestId) {
        self.remove_request(id);
    }

    /// Records that an upstream answers other balancers, as observed at the given time.
    pub fn report_alive(&mut self, upstream: UpstreamId, observed: Duration) {
        let answer = self.last_answers.entry(upstream).or_insert(observed);
        *answer = observed.max(*answer);
    }

    /// Removes the state of a removed upstream.
    pub fn remove(&mut self, upstream: UpstreamId) {
        self.last_answers.remove(&upstream);
        for socket in 0..self.settings.sockets_per_upstream {
            self.sockets.remove(&(upstream, socket));
        }
    }

    /// Checks the paths of the requests that are due, and appends the necessary changes.
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

    /// Returns whether to replace a path: the upstream answers elsewhere, or the path has not delivered an answer for
    /// too long.
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

    /// Moves a flow to another socket if its requests stay unanswered on a path that works for other flows.
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
