//! Control planes of balancers that know all members from the start, alone or in one simulated network.

use {
    crate::bench_simulator::{self, Network, StateMachine, TICK, record_with_zones},
    skylarkflow_policy::{
        config_object::Object,
        config_reader::{Answer, Call, Stored},
        config_relay, id,
        member::{self, Body, Identity, Place, State, Update},
        node::{Action, Event, Message, Node, Settings},
        vm,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Incarnation of every balancer, as long as a start time in Unix seconds, so that messages have a realistic length.
/// Balancers of a deployment use milliseconds.
const INCARNATION: u64 = 1_700_000_000;

/// Burst of the token bucket for configuration gossip.
///
/// It covers the announcements of all objects at the start, which would otherwise exhaust the default of 64 KB and
/// delay the measured messages.
const BURST_BYTES: usize = 1 << 24;

/// Returns the time until the initial objects are no longer announced: 59 versions per round of 200 ms, each version in
/// 4 rounds.
pub fn settling_time(objects: usize) -> Duration {
    Duration::from_secs(10) + Duration::from_millis(800) * objects.div_ceil(59) as u32
}

/// Returns the control plane of a balancer that knows only itself.
pub fn node(record: &vm::Record, seed: u64) -> Node {
    let identity = Identity {
        id: record.id(),
        place: place(record),
        incarnation: INCARNATION,
    };
    let relay = config_relay::Settings {
        burst_bytes: BURST_BYTES,
        ..config_relay::Settings::default()
    };
    let settings = Settings {
        config: relay,
        ..Settings::default()
    };
    Node::new(settings, identity, seed)
}

/// Returns the events that tell a balancer about all members, their VM list and the other objects, as if received from
/// a peer.
pub fn bootstrap_events(index: usize, records: &[vm::Record], objects: &[Object]) -> [Event; 2] {
    let peer = &records[usize::from(index == 0)];
    let others = records.iter().filter(|it| **it != records[index]);
    let message = Message::Member(member::Message {
        from: peer.id(),
        incarnation: INCARNATION,
        body: Body::List,
        updates: others.map(update).collect(),
    });
    let vms = records.iter().cloned();
    let vms = vms.map(|it| Object::from_vm(it, true, 1));
    let objects = vms.chain(objects.iter().cloned()).collect();
    let objects = Message::Config(config_relay::Message::Objects(objects));
    let from = peer.address;
    [message, objects].map(|message| Event::Received { from, message })
}

/// Returns a simulated network of balancers that know each other, after their initial announcements have ended.
pub fn network(members: usize) -> Network<Node> {
    network_with_zones(members, bench_simulator::ZONES)
}

/// Returns such a network with a given number of zones.
pub fn network_with_zones(members: usize, zones: usize) -> Network<Node> {
    let records: Vec<vm::Record> = (0..members)
        .map(|at| record_with_zones(at, zones))
        .collect();
    let mut network = Network::new();
    for (at, record) in records.iter().enumerate() {
        network.start(record.clone(), node(record, at as u64));
    }
    network.run_until(TICK);
    for at in 0..members {
        for event in bootstrap_events(at, &records, &[]) {
            network.handle_event(at, event);
        }
    }
    let end = TICK + settling_time(members);
    network.run_until(end);
    network.changed_balancers.clear();
    network
}

/// Returns the indices of the members of the first zone by rank, that is in ascending order of their identifiers.
pub fn ranks(members: usize) -> Vec<usize> {
    let mut zone: Vec<usize> = (0..members).step_by(bench_simulator::ZONES).collect();
    zone.sort_unstable_by_key(|&at| bench_simulator::record(at).id());
    zone
}

/// One balancer whose simulated peers answer each message and send one of the same kind back.
///
/// It represents a fleet of equal balancers, in which each one receives as many probes, digests and summaries as it
/// sends.
pub struct MirroredNode {
    /// Control plane of the balancer.
    pub node: Node,
    /// Time spent in its calls, including encoding and decoding.
    pub busy_time: Duration,
    /// Bytes sent.
    pub sent_bytes: usize,
    now: Duration,
    index: usize,
    vms: Vec<vm::Record>,
    objects: Vec<Object>,
}

impl MirroredNode {
    /// Creates a balancer that knows all members and objects.
    pub fn new(index: usize, members: usize, objects: &[Object]) -> MirroredNode {
        let vms: Vec<vm::Record> = (0..members).map(bench_simulator::record).collect();
        let events = bootstrap_events(index, &vms, objects);
        let mut mirror = MirroredNode {
            node: node(&vms[index], index as u64),
            busy_time: Duration::ZERO,
            sent_bytes: 0,
            now: Duration::ZERO,
            index,
            vms,
            objects: objects.to_vec(),
        };
        mirror.handle_event(Event::Tick);
        events
            .into_iter()
            .for_each(|event| mirror.handle_event(event));
        mirror
    }

    /// Advances virtual time by `time`, with a tick every [`TICK`].
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.handle_event(Event::Tick);
        }
    }

    /// Runs for `time` and returns the load of one core by its calls, in percent.
    pub fn cpu_percent(&mut self, time: Duration) -> f64 {
        let before = self.busy_time;
        self.run_for(time);
        (self.busy_time - before).as_secs_f64() / time.as_secs_f64() * 100.0
    }

    /// Passes an event to the balancer, and the answers of its peers and of the platform.
    pub fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        let start = Instant::now();
        StateMachine::handle(&mut self.node, self.now, event, &mut actions);
        self.busy_time += start.elapsed();
        for action in actions {
            match action {
                Action::Send { to, message } => self.deliver_replies(to, message),
                Action::Call(call) => self.call_platform(&call),
                Action::TablesChanged => self.derive_tables(),
                Action::OwnersChanged | Action::StoreOutdated { .. } => {}
            }
        }
    }

    fn derive_tables(&mut self) {
        let start = Instant::now();
        self.node.tables(self.now);
        self.busy_time += start.elapsed();
    }

    fn deliver_replies(&mut self, to: SocketAddr, message: Message) {
        let replies = replies(bench_simulator::balancer_index(to), &message);
        let start = Instant::now();
        self.sent_bytes += bench_simulator::encode(self.index, message).len();
        self.busy_time += start.elapsed();
        for reply in replies {
            let bytes = bench_simulator::encode(bench_simulator::balancer_index(to), reply);
            let start = Instant::now();
            let message = bench_simulator::decode(&bytes);
            self.busy_time += start.elapsed();
            self.handle_event(Event::Received { from: to, message });
        }
    }

    fn call_platform(&mut self, call: &Call) {
        let answer = match call {
            Call::List => Answer::Listed {
                revision: 1,
                objects: self.objects.iter().map(stored).collect(),
            },
            Call::Vms => Answer::Vms(self.vms.clone()),
            Call::Watch { .. } | Call::Put { .. } => return,
        };
        self.handle_event(Event::Answered(answer));
    }
}

fn stored(object: &Object) -> Stored {
    Stored {
        object: object.clone(),
        version: 1,
    }
}

fn replies(peer: usize, message: &Message) -> Vec<Message> {
    match message {
        Message::Member(message) => {
            let reply = |body: Body| {
                Message::Member(member::Message {
                    from: id::from_name(&bench_simulator::record(peer).name),
                    incarnation: INCARNATION,
                    body,
                    updates: Vec::new(),
                })
            };
            let bodies = member_replies(&message.body);
            bodies.into_iter().map(reply).collect()
        }
        Message::Config(message) => {
            let messages = config_replies(message);
            messages.into_iter().map(Message::Config).collect()
        }
    }
}

fn member_replies(body: &Body) -> Vec<Body> {
    match body {
        Body::Ping(sequence, ballot) => vec![
            Body::Ack(*sequence, *ballot, Vec::new()),
            Body::Ping(*sequence, *ballot),
        ],
        Body::Digest(digests) => vec![Body::Digest(digests.clone())],
        _ => Vec::new(),
    }
}

fn config_replies(message: &config_relay::Message) -> Vec<config_relay::Message> {
    use config_relay::Message::{Buckets, Digest, Summary};
    match message {
        Summary(digest) => vec![Summary(*digest)],
        Digest(digests) => vec![Buckets(Vec::new(), Vec::new()), Digest(digests.clone())],
        _ => Vec::new(),
    }
}

fn place(record: &vm::Record) -> Place {
    Place {
        zone: record.zone.clone(),
        address: record.address,
    }
}

fn update(record: &vm::Record) -> Update {
    Update {
        id: record.id(),
        incarnation: INCARNATION,
        state: State::Alive,
        place: Some(place(record)),
    }
}
