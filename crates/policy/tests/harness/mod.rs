//! Discrete-event simulation of callers, balancers and upstreams in virtual time. The fabric delivers each datagram of
//! a caller to a random balancer.
//!
//! Every random choice comes from one seed, so that a run can be reproduced.

#![allow(
    dead_code,
    missing_docs,
    reason = "each test uses a part of the harness"
)]

pub mod caller;
pub mod fleet;
pub mod upstream;

use {
    caller::{Caller, RequestResult},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_policy::{
        VmId,
        balancer::{Action, Core, Event, LogEvent, RouteDecision},
        config::{self, Snapshot},
        event::UnknownReason,
        exchange::{Effect, Kind, Reply},
        flow::Key,
        handover::Message,
        owner::{Member, View},
    },
    std::{
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    upstream::Server,
};

pub const FABRIC: &str = "10.9.0.1:7000";

/// Faults of the network and of the distribution of configuration in a run.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    pub duplication: f64,
    /// Share of datagrams that are delayed by up to 5 s, which reorders them.
    pub late: f64,
    /// Maximum delay until a balancer receives a new view or new tables.
    pub skew: Duration,
    /// Mechanisms that are switched off, to show the failures that they prevent.
    pub disabled_mechanisms: BTreeSet<String>,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum SimEvent {
    /// A datagram of a caller that reaches a balancer, from the fabric or forwarded by another balancer.
    CallerDatagram {
        to: VmId,
        event: Event,
        hops: u8,
    },
    /// A message of a peer or of an upstream that reaches a balancer.
    BalancerEvent {
        to: VmId,
        event: Event,
    },
    UpstreamMessage {
        to: SocketAddr,
        from: VmId,
        action: Action,
    },
    CallerReply {
        to: usize,
        reply: Reply,
    },
    /// The think time of a caller ends.
    SendRequest {
        caller: usize,
    },
    Retransmit {
        caller: usize,
        id: u64,
    },
    /// A caller stops waiting for a reply.
    RequestTimeout {
        caller: usize,
        id: u64,
    },
    RequestCompleted {
        at: SocketAddr,
        from: VmId,
        token: u64,
    },
    RetransmitResponse {
        at: SocketAddr,
        from: VmId,
        token: u64,
    },
    Tick {
        id: VmId,
        incarnation: u64,
    },
    ViewReceived {
        id: VmId,
        version: usize,
    },
    TablesReceived {
        id: VmId,
        version: usize,
    },
    Script(fleet::Step),
}

struct Queued(Duration, u64, SimEvent);

/// One balancer.
pub struct Balancer {
    pub core: Core,
    pub member: Member,
    pub incarnation: u64,
    /// Until then, the process is suspended and its messages wait.
    pub paused_until: Duration,
    pub leaving: bool,
    /// Index of the active view.
    pub view: usize,
    /// Index of the active tables.
    pub tables: usize,
    pub fence_extended_at: Duration,
}

/// Record of a request, its transmissions and its outcome.
#[derive(Clone, Debug)]
pub struct Request {
    pub caller: usize,
    pub effect: Effect,
    /// Number of times that an upstream has run it.
    pub runs: u32,
    /// Number of dispatches that an upstream has refused.
    pub refusals: u32,
    pub dispatches: u32,
    /// Number of times that the caller has sent it, each of which a balancer without deduplication would dispatch.
    pub transmissions: u32,
    pub result: Option<RequestResult>,
    /// Whether the caller received a reply that the request did not run.
    pub reported_not_run: bool,
}

pub struct Simulation {
    pub now: Duration,
    pub rng: SmallRng,
    pub faults: Faults,
    pub balancers: BTreeMap<VmId, Balancer>,
    /// Balancers to which the fabric delivers datagrams.
    pub fabric: Vec<VmId>,
    /// All views that were published; balancers refer to them by index.
    pub views: Vec<View>,
    /// All tables that were published; balancers refer to them by index.
    pub tables: Vec<Arc<Snapshot>>,
    pub pools: Vec<config::Pool>,
    pub routes: Vec<config::Route>,
    pub servers: BTreeMap<SocketAddr, Server>,
    pub zones: usize,
    pub members: Vec<Member>,
    pub leaving: Vec<Member>,
    pub callers: Vec<Caller>,
    pub requests: BTreeMap<u64, Request>,
    /// Mean time between the end of a caller's request and its next one.
    pub think_time: Duration,
    /// Share of requests that are not idempotent.
    pub non_idempotent_share: f64,
    pub counters: BTreeMap<&'static str, u64>,
    /// Flows that moved although their former upstream was still in service.
    pub broken_flows: BTreeSet<Key>,
    /// Upstream that a hash of the flow alone, without any state of the flow, selects.
    pub plain_hash_upstreams: BTreeMap<Key, SocketAddr>,
    /// Flows that would break if the hash alone selected the upstream.
    pub plain_hash_broken_flows: BTreeSet<Key>,
    /// Time after which callers send no new requests.
    pub stop_at: Duration,
    pub requests_suspended_until: Duration,
    queue: BinaryHeap<Queued>,
    sequence: u64,
    pub seed: u64,
    pub incarnations: u64,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// Limit of events in one run; more of them mean that balancers send messages in a loop.
const MAX_EVENTS: u64 = 2_000_000;

pub const TICK: Duration = Duration::from_millis(100);

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        Simulation {
            now: Duration::from_secs(100),
            rng: SmallRng::seed_from_u64(seed),
            faults: Faults {
                loss: 0.0,
                duplication: 0.0,
                late: 0.0,
                skew: Duration::ZERO,
                disabled_mechanisms: BTreeSet::new(),
            },
            balancers: BTreeMap::new(),
            fabric: Vec::new(),
            views: Vec::new(),
            tables: Vec::new(),
            pools: Vec::new(),
            routes: Vec::new(),
            servers: BTreeMap::new(),
            zones: 1,
            members: Vec::new(),
            leaving: Vec::new(),
            callers: Vec::new(),
            requests: BTreeMap::new(),
            think_time: Duration::from_secs(1),
            non_idempotent_share: 0.5,
            counters: BTreeMap::new(),
            broken_flows: BTreeSet::new(),
            plain_hash_upstreams: BTreeMap::new(),
            plain_hash_broken_flows: BTreeSet::new(),
            stop_at: Duration::MAX,
            requests_suspended_until: Duration::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            seed,
            incarnations: 0,
        }
    }

    pub fn is_disabled(&self, mechanism: &str) -> bool {
        self.faults.disabled_mechanisms.contains(mechanism)
    }

    pub fn increment(&mut self, counter: &'static str) {
        *self.counters.entry(counter).or_default() += 1;
    }

    pub fn counter(&self, name: &str) -> u64 {
        self.counters.get(name).copied().unwrap_or_default()
    }

    pub fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Queued(at, self.sequence, event));
    }

    /// Sends a datagram over a link that loses, duplicates and delays datagrams.
    pub fn transmit(&mut self, event: SimEvent) {
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let mut delay = Duration::from_micros(self.rng.random_range(500..4_000));
            if self.rng.random_bool(self.faults.late) {
                delay += Duration::from_millis(self.rng.random_range(0..5_000));
            }
            self.schedule(self.now + delay, event.clone());
        }
    }

    /// Processes all events up to a time.
    pub fn run(&mut self, until: Duration) {
        while let Some(next) = self.queue.peek()
            && next.0 <= until
        {
            let Some(Queued(at, _, event)) = self.queue.pop() else {
                break;
            };
            self.now = at;
            assert!(
                self.sequence < MAX_EVENTS,
                "seed {}: more than {MAX_EVENTS} events, probably a message loop, at {at:?}",
                self.seed
            );
            self.process(event);
        }
        self.now = until;
    }

    fn process(&mut self, event: SimEvent) {
        if std::env::var_os("TRACE").is_some() && !matches!(event, SimEvent::Tick { .. }) {
            eprintln!("{:?} event {event:?}", self.now);
        }
        match event {
            SimEvent::CallerDatagram { to, event, hops } => {
                self.receive_caller_datagram(to, event, hops)
            }
            SimEvent::BalancerEvent { to, event } => self.handle(to, event),
            SimEvent::UpstreamMessage { to, from, action } => {
                self.receive_at_upstream(to, from, action)
            }
            SimEvent::CallerReply { to, reply } => self.receive_reply(to, reply),
            SimEvent::SendRequest { caller } => self.send_request(caller),
            SimEvent::Retransmit { caller, id } => self.retransmit(caller, id),
            SimEvent::RequestTimeout { caller, id } => self.time_out_request(caller, id),
            SimEvent::RequestCompleted { at, from, token } => self.complete_job(at, from, token),
            SimEvent::RetransmitResponse { at, from, token } => {
                self.transmit_response(at, from, token)
            }
            SimEvent::Tick { id, incarnation } => self.tick(id, incarnation),
            SimEvent::ViewReceived { id, version } => self.apply_view(id, version),
            SimEvent::TablesReceived { id, version } => self.apply_tables(id, version),
            SimEvent::Script(step) => self.run_step(step),
        }
    }

    /// Returns whether a balancer exists and can handle an event now. If it is paused, schedules the event for the end
    /// of the pause.
    fn can_handle_now(&mut self, id: VmId, event: impl FnOnce() -> SimEvent) -> bool {
        let Some(balancer) = self.balancers.get(&id) else {
            return false;
        };
        let paused_until = balancer.paused_until;
        let is_ready = paused_until <= self.now;
        if !is_ready {
            self.schedule(paused_until, event());
        }
        is_ready
    }

    fn receive_caller_datagram(&mut self, to: VmId, event: Event, hops: u8) {
        let copy = event.clone();
        let again = || SimEvent::CallerDatagram {
            to,
            event: copy,
            hops,
        };
        if !self.can_handle_now(to, again) {
            return;
        }
        let key = match &event {
            Event::Request { key, .. } | Event::Acknowledgement { key, .. } => *key,
            _ => return,
        };
        match self.balancers[&to].core.route(&key) {
            RouteDecision::Forward { to, .. } if hops < 2 => {
                self.transmit(SimEvent::CallerDatagram {
                    to,
                    event,
                    hops: hops + 1,
                })
            }
            RouteDecision::Local | RouteDecision::Forward { .. } => self.handle(to, event),
            RouteDecision::UnknownService | RouteDecision::NoOwner => {
                self.increment("datagrams dropped")
            }
        }
    }

    pub fn handle(&mut self, id: VmId, event: Event) {
        let copy = event.clone();
        if !self.can_handle_now(id, || SimEvent::BalancerEvent {
            to: id,
            event: copy,
        }) {
            return;
        }
        let mut actions = Vec::new();
        self.balancers[&id]
            .core
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_action(id, action);
        }
    }

    fn apply_action(&mut self, from: VmId, action: Action) {
        match action {
            Action::Reply { key, reply, .. } => {
                if let Some(to) = self.callers.iter().position(|one| one.key == key) {
                    self.transmit(SimEvent::CallerReply { to, reply });
                }
            }
            Action::Dispatch { address, .. }
            | Action::Cancel { address, .. }
            | Action::Acknowledge { address, .. } => self.transmit(SimEvent::UpstreamMessage {
                to: address,
                from,
                action,
            }),
            Action::Send { to, message } => self.send_to_peer(from, to, message),
            Action::Log(event) => self.count_log_event(from, event),
        }
    }

    fn send_to_peer(&mut self, from: VmId, to: VmId, message: Message) {
        self.increment("peer messages");
        if std::env::var_os("TRACE").is_some() {
            eprintln!(
                "{:?} peer message from {from:x} to {to:x}: {message:?}",
                self.now
            );
        }
        let is_copy = matches!(
            message,
            Message::Replicate { .. } | Message::ReplicateCompact { .. }
        );
        let disabled = if is_copy { "copies" } else { "handover" };
        if self.is_disabled(disabled) {
            return;
        }
        let event = Event::Peer { from, message };
        self.transmit(SimEvent::BalancerEvent { to, event });
    }

    fn count_log_event(&mut self, from: VmId, event: LogEvent) {
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{:?} balancer {from:x}: {event:?}", self.now);
        }
        match event {
            LogEvent::Unknown { reason, .. } => self.increment(match reason {
                UnknownReason::Deadline => "unknown by deadline",
                UnknownReason::Quarantine => "unknown by quarantine",
                UnknownReason::Fence => "unknown by fence",
                UnknownReason::ActingOwner => "unknown by acting owner",
                UnknownReason::Evicted => "unknown by eviction",
            }),
            LogEvent::Quarantined { .. } => self.increment("flows quarantined"),
            LogEvent::Claimed { .. } => self.increment("flows handed over"),
            LogEvent::Replaced { .. } => self.increment("flows placed anew"),
            LogEvent::Retried { .. } => self.increment("retries"),
            LogEvent::UnmatchedResponse { .. } => self.increment("responses dropped"),
            LogEvent::Dropped { .. } => self.increment("datagrams dropped"),
            _ => {}
        }
    }

    fn tick(&mut self, id: VmId, incarnation: u64) {
        let balancer = self.balancers.get(&id);
        if balancer.is_none_or(|balancer| balancer.incarnation != incarnation) {
            return;
        }
        self.schedule(self.now + TICK, SimEvent::Tick { id, incarnation });
        let now = self.now;
        let is_fence_disabled = self.is_disabled("fence");
        let Some(balancer) = self.balancers.get_mut(&id) else {
            return;
        };
        if balancer.paused_until > now {
            return;
        }
        if balancer.fence_extended_at + Duration::from_millis(500) <= now {
            balancer.fence_extended_at = now;
            let held = if is_fence_disabled {
                Duration::from_secs(1 << 30)
            } else {
                now + fleet::FENCE_DURATION
            };
            balancer.core.set_fence(now, held);
        }
        self.handle(id, Event::Tick);
        self.exit_if_drained(id);
    }

    /// Describes every non-idempotent request that ran or was dispatched too often, every false reply that a request
    /// did not run, and the number of responses and requests that were delivered to the wrong recipient.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            let once = request.effect == Effect::NonIdempotent;
            if once && request.runs > 1 {
                found.push(format!("request {id} ran {} times", request.runs));
            }
            if once && request.dispatches > request.refusals + 1 {
                found.push(format!(
                    "request {id} was dispatched {} times",
                    request.dispatches
                ));
            }
            if request.reported_not_run && request.runs > 0 {
                found.push(format!(
                    "request {id} ({:?}) ran although the caller was told that it did not",
                    request.effect
                ));
            }
        }
        for name in ["wrong responses", "misdelivered"] {
            if self.counter(name) > 0 {
                found.push(format!("{name}: {}", self.counter(name)));
            }
        }
        found
    }
}

pub fn acknowledgement(key: Key, message_id: u16) -> Event {
    Event::Acknowledgement {
        key,
        kind: Kind::Acknowledgement,
        message_id,
    }
}
