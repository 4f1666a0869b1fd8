//! Several balancers with a spraying fabric, scripted upstreams and callers, in virtual time.
//!
//! Every random choice comes from one seed, so that a run can be repeated.

#![allow(
    dead_code,
    missing_docs,
    reason = "each test uses a part of the harness"
)]

pub mod caller;
pub mod fleet;
pub mod upstream;

use {
    caller::{Caller, Told},
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

/// Faults and switches of a run.
#[derive(Clone, Debug)]
pub struct Faults {
    pub loss: f64,
    pub double: f64,
    /// Share of datagrams that are late by up to 5 s.
    pub late: f64,
    /// Longest difference between the times at which balancers get a view or tables.
    pub skew: Duration,
    /// Mechanisms that are switched off, to see the failure that they prevent.
    pub without: BTreeSet<String>,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum Happening {
    Datagram {
        to: VmId,
        event: Event,
        hops: u8,
    },
    Direct {
        to: VmId,
        event: Event,
    },
    Upstream {
        to: SocketAddr,
        from: VmId,
        action: Action,
    },
    Caller {
        to: usize,
        reply: Reply,
    },
    Think {
        caller: usize,
    },
    Retransmit {
        caller: usize,
        id: u64,
    },
    GiveUp {
        caller: usize,
        id: u64,
    },
    Done {
        at: SocketAddr,
        from: VmId,
        token: u64,
    },
    Repeat {
        at: SocketAddr,
        from: VmId,
        token: u64,
    },
    Tick {
        id: VmId,
        incarnation: u64,
    },
    View {
        id: VmId,
        version: usize,
    },
    Tables {
        id: VmId,
        version: usize,
    },
    Script(fleet::Step),
}

struct Queued(Duration, u64, Happening);

/// One balancer.
pub struct Node {
    pub core: Core,
    pub member: Member,
    pub incarnation: u64,
    pub paused_until: Duration,
    pub leaving: bool,
    pub view: usize,
    pub tables: usize,
    pub fenced_at: Duration,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Request {
    pub caller: usize,
    pub effect: Effect,
    pub runs: u32,
    pub refusals: u32,
    pub dispatches: u32,
    /// Datagrams with this request that reached a balancer: what blind retry would run.
    pub copies: u32,
    pub told: Option<Told>,
    pub not_run: bool,
}

pub struct World {
    pub now: Duration,
    pub rng: SmallRng,
    pub faults: Faults,
    pub nodes: BTreeMap<VmId, Node>,
    pub fabric: Vec<VmId>,
    pub views: Vec<View>,
    pub tables: Vec<Arc<Snapshot>>,
    pub pools: Vec<config::Pool>,
    pub routes: Vec<config::Route>,
    pub servers: BTreeMap<SocketAddr, Server>,
    pub zones: usize,
    pub members: Vec<Member>,
    pub leaving: Vec<Member>,
    pub callers: Vec<Caller>,
    pub requests: BTreeMap<u64, Request>,
    pub think: Duration,
    pub posts: f64,
    pub figures: BTreeMap<&'static str, u64>,
    pub broken: BTreeSet<Key>,
    pub plain: BTreeMap<Key, SocketAddr>,
    pub plain_broken: BTreeSet<Key>,
    pub stop_at: Duration,
    pub silent_until: Duration,
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

/// Events of one run; more of them mean that balancers send messages in a loop.
const HAPPENINGS: u64 = 2_000_000;

pub const TICK: Duration = Duration::from_millis(100);

impl World {
    pub fn new(seed: u64) -> World {
        World {
            now: Duration::from_secs(100),
            rng: SmallRng::seed_from_u64(seed),
            faults: Faults {
                loss: 0.0,
                double: 0.0,
                late: 0.0,
                skew: Duration::ZERO,
                without: BTreeSet::new(),
            },
            nodes: BTreeMap::new(),
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
            think: Duration::from_secs(1),
            posts: 0.5,
            figures: BTreeMap::new(),
            broken: BTreeSet::new(),
            plain: BTreeMap::new(),
            plain_broken: BTreeSet::new(),
            stop_at: Duration::MAX,
            silent_until: Duration::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            seed,
            incarnations: 0,
        }
    }

    pub fn lacks(&self, mechanism: &str) -> bool {
        self.faults.without.contains(mechanism)
    }

    pub fn count(&mut self, figure: &'static str) {
        *self.figures.entry(figure).or_default() += 1;
    }

    pub fn figure(&self, name: &str) -> u64 {
        self.figures.get(name).copied().unwrap_or_default()
    }

    pub fn schedule(&mut self, at: Duration, happening: Happening) {
        self.sequence += 1;
        self.queue.push(Queued(at, self.sequence, happening));
    }

    /// Sends a datagram over a link that loses, doubles and delays.
    pub fn transmit(&mut self, happening: Happening) {
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.faults.double));
        for _ in 0..copies {
            let mut delay = Duration::from_micros(self.rng.random_range(500..4_000));
            if self.rng.random_bool(self.faults.late) {
                delay += Duration::from_millis(self.rng.random_range(0..5_000));
            }
            self.schedule(self.now + delay, happening.clone());
        }
    }

    /// Runs until a time.
    pub fn run(&mut self, until: Duration) {
        while let Some(next) = self.queue.peek()
            && next.0 <= until
        {
            let Some(Queued(at, _, happening)) = self.queue.pop() else {
                break;
            };
            self.now = at;
            assert!(
                self.sequence < HAPPENINGS,
                "seed {}: a message loop at {at:?}",
                self.seed
            );
            self.happen(happening);
        }
        self.now = until;
    }

    fn happen(&mut self, happening: Happening) {
        if std::env::var_os("TRACE").is_some() && !matches!(happening, Happening::Tick { .. }) {
            eprintln!("{:?} happens {happening:?}", self.now);
        }
        match happening {
            Happening::Datagram { to, event, hops } => self.datagram(to, event, hops),
            Happening::Direct { to, event } => self.handle(to, event),
            Happening::Upstream { to, from, action } => self.serve(to, from, action),
            Happening::Caller { to, reply } => self.told(to, reply),
            Happening::Think { caller } => self.think(caller),
            Happening::Retransmit { caller, id } => self.retransmit(caller, id),
            Happening::GiveUp { caller, id } => self.give_up(caller, id),
            Happening::Done { at, from, token } => self.done(at, from, token),
            Happening::Repeat { at, from, token } => self.repeat(at, from, token),
            Happening::Tick { id, incarnation } => self.tick(id, incarnation),
            Happening::View { id, version } => self.see_view(id, version),
            Happening::Tables { id, version } => self.see_tables(id, version),
            Happening::Script(step) => self.step(step),
        }
    }

    /// Delays what reaches a paused balancer; returns whether it is there at all.
    fn is_ready(&mut self, id: VmId, happening: impl FnOnce() -> Happening) -> bool {
        let Some(node) = self.nodes.get(&id) else {
            return false;
        };
        let paused_until = node.paused_until;
        let is_ready = paused_until <= self.now;
        if !is_ready {
            self.schedule(paused_until, happening());
        }
        is_ready
    }

    fn datagram(&mut self, to: VmId, event: Event, hops: u8) {
        let copy = event.clone();
        let again = || Happening::Datagram {
            to,
            event: copy,
            hops,
        };
        if !self.is_ready(to, again) {
            return;
        }
        let key = match &event {
            Event::Request { key, .. } | Event::Acknowledgement { key, .. } => *key,
            _ => return,
        };
        match self.nodes[&to].core.route(&key) {
            RouteDecision::Forward { to, .. } if hops < 2 => self.transmit(Happening::Datagram {
                to,
                event,
                hops: hops + 1,
            }),
            RouteDecision::Local | RouteDecision::Forward { .. } => self.handle(to, event),
            RouteDecision::UnknownService | RouteDecision::NoOwner => {
                self.count("datagrams dropped")
            }
        }
    }

    pub fn handle(&mut self, id: VmId, event: Event) {
        let copy = event.clone();
        if !self.is_ready(id, || Happening::Direct {
            to: id,
            event: copy,
        }) {
            return;
        }
        let mut actions = Vec::new();
        self.nodes[&id].core.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(id, action);
        }
    }

    fn act(&mut self, from: VmId, action: Action) {
        match action {
            Action::Reply { key, reply, .. } => {
                if let Some(to) = self.callers.iter().position(|one| one.key == key) {
                    self.transmit(Happening::Caller { to, reply });
                }
            }
            Action::Dispatch { address, .. }
            | Action::Cancel { address, .. }
            | Action::Acknowledge { address, .. } => self.transmit(Happening::Upstream {
                to: address,
                from,
                action,
            }),
            Action::Send { to, message } => self.send(from, to, message),
            Action::Log(note) => self.log(from, note),
        }
    }

    fn send(&mut self, from: VmId, to: VmId, message: Message) {
        self.count("peer messages");
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{:?} {from:x} to {to:x} {message:?}", self.now);
        }
        if self.lacks("handover") && !matches!(message, Message::Replicate { .. }) {
            return;
        }
        if self.lacks("copies") && matches!(message, Message::Replicate { .. }) {
            return;
        }
        let event = Event::Peer { from, message };
        self.transmit(Happening::Direct { to, event });
    }

    fn log(&mut self, from: VmId, note: LogEvent) {
        if std::env::var_os("TRACE").is_some() {
            eprintln!("{:?} {from:x} {note:?}", self.now);
        }
        match note {
            LogEvent::Unknown { reason, .. } => self.count(match reason {
                UnknownReason::Deadline => "unknown by deadline",
                UnknownReason::Quarantine => "unknown by quarantine",
                UnknownReason::Fence => "unknown by fence",
                UnknownReason::ActingOwner => "unknown by acting owner",
                UnknownReason::Evicted => "unknown by eviction",
            }),
            LogEvent::Quarantined { .. } => self.count("flows quarantined"),
            LogEvent::Claimed { .. } => self.count("flows handed over"),
            LogEvent::Replaced { .. } => self.count("flows placed anew"),
            LogEvent::Retried { .. } => self.count("retries"),
            LogEvent::UnmatchedResponse { .. } => self.count("responses dropped"),
            LogEvent::Dropped { .. } => self.count("datagrams dropped"),
            _ => {}
        }
    }

    fn tick(&mut self, id: VmId, incarnation: u64) {
        let node = self.nodes.get(&id);
        if node.is_none_or(|node| node.incarnation != incarnation) {
            return;
        }
        self.schedule(self.now + TICK, Happening::Tick { id, incarnation });
        let now = self.now;
        let lacks_fence = self.lacks("fence");
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.paused_until > now {
            return;
        }
        if node.fenced_at + Duration::from_millis(500) <= now {
            node.fenced_at = now;
            let held = if lacks_fence {
                Duration::from_secs(1 << 30)
            } else {
                now + fleet::FENCE
            };
            node.core.set_fence(now, held);
        }
        self.handle(id, Event::Tick);
        self.finish_leave(id);
    }

    /// Fails if a request ran twice, a caller was misinformed or a response went astray.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            let once = request.effect == Effect::NonIdempotent;
            if once && request.runs > 1 {
                found.push(format!("request {id} ran {} times", request.runs));
            }
            if once && request.dispatches > request.refusals + 1 {
                found.push(format!(
                    "request {id} was sent {} times",
                    request.dispatches
                ));
            }
            if request.not_run && request.runs > 0 {
                found.push(format!(
                    "request {id} ({:?}) ran after 'did not run'",
                    request.effect
                ));
            }
        }
        for name in ["wrong responses", "misdelivered"] {
            if self.figure(name) > 0 {
                found.push(format!("{name}: {}", self.figure(name)));
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
