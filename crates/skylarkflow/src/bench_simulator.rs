//! Discrete-event simulation of the control planes of balancers, their network and the platform, in virtual time.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_peer::{
        control::{self, Control},
        datagram::{self, Datagram},
    },
    skylarkflow_policy::{
        config_object::Object,
        config_reader::{Answer, Call, Revision, Stored},
        id,
        node::{Action, Event, Message, Node},
        vm,
    },
    std::{
        cmp::{Ordering, Reverse},
        collections::{BTreeMap, BinaryHeap},
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Zones at the size expected in two years.
pub const ZONES: usize = 6;

/// Interval between two ticks of a balancer.
pub const TICK: Duration = Duration::from_millis(100);

const SEED: u64 = 1;
const PEER_PORT: u16 = 7_000;
const DELAY_IN_ZONE: Duration = Duration::from_micros(400);
const DELAY_BETWEEN_ZONES: Duration = Duration::from_micros(1_500);
const PLATFORM_DELAY: Duration = Duration::from_millis(5);

/// Time after which the platform answers a watch without changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// The control plane of a balancer, or a part of it, as a state machine.
pub trait StateMachine {
    /// Handles an event and appends the resulting actions.
    fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>);
}

impl StateMachine for Node {
    fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        Node::handle(self, now, event, actions);
    }
}

/// One balancer of the simulation.
pub struct SimulatedBalancer<P> {
    /// Its control plane.
    pub node: P,
    /// Whether it is running; otherwise it gets no events.
    pub is_running: bool,
    /// Whether [`busy_time`](Self::busy_time) is measured.
    pub is_timed: bool,
    /// Time spent in its calls, including encoding and decoding.
    pub busy_time: Duration,
    /// Bytes sent in each second of virtual time.
    pub bytes_per_second: Vec<u32>,
    /// Calls to the platform.
    pub platform_calls: u64,
}

/// Simulated balancers, the datagrams between them, and the platform.
pub struct Network<P> {
    /// Current virtual time.
    pub now: Duration,
    /// Balancers by index, from which their address follows.
    pub balancers: Vec<SimulatedBalancer<P>>,
    /// The platform's VM list.
    pub vms: Vec<vm::Record>,
    /// Indices of balancers whose view or tables changed since the caller last cleared the list.
    pub changed_balancers: Vec<usize>,
    objects: BTreeMap<String, Stored>,
    revision: Revision,
    watches: Vec<Watch>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    rng: SmallRng,
}

struct Watch {
    number: u64,
    balancer: usize,
    after: Revision,
}

struct ScheduledEvent {
    at: Duration,
    sequence: u64,
    event: SimulationEvent,
}

enum SimulationEvent {
    Tick(usize),
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Answer {
        to: usize,
        answer: Answer,
    },
    WatchEnd(u64),
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Returns the VM record of the balancer with an index; balancers are assigned to [`ZONES`] round-robin.
pub fn record(index: usize) -> vm::Record {
    record_with_zones(index, ZONES)
}

/// Returns the VM record of a balancer in a deployment with a given number of zones.
pub fn record_with_zones(index: usize, zones: usize) -> vm::Record {
    vm::Record {
        name: format!("entry-{index}"),
        address: address(index),
        zone: format!("zone-{}", index % zones),
        role: vm::Role::Entry,
        state: vm::State::Live,
    }
}

/// Returns the index of the balancer at an address.
pub fn balancer_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (address.ip().to_bits() & 0x00ff_ffff) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

fn address(index: usize) -> SocketAddr {
    let bits = 0x0a00_0000 | index as u32;
    SocketAddr::from((Ipv4Addr::from(bits), PEER_PORT))
}

/// Encodes a message as the datagram that a balancer sends.
pub fn encode(from: usize, message: Message) -> Vec<u8> {
    let control = Control {
        from: id::from_name(&record(from).name),
        message: control::Message::Node(message),
    };
    datagram::control_to_vec(&control).expect("encoding into memory")
}

/// Decodes a datagram made by [`encode`].
pub fn decode(bytes: &[u8]) -> Message {
    match datagram::from_slice(bytes) {
        Ok(Datagram::Control(Control {
            message: control::Message::Node(message),
            ..
        })) => message,
        _ => panic!("the datagram was made by encode()"),
    }
}

impl<P: StateMachine> Network<P> {
    /// Creates a simulation without balancers.
    pub fn new() -> Network<P> {
        Network {
            now: Duration::ZERO,
            balancers: Vec::new(),
            vms: Vec::new(),
            changed_balancers: Vec::new(),
            objects: BTreeMap::new(),
            revision: 0,
            watches: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(SEED),
        }
    }

    /// Adds a balancer with its first tick at a random time within [`TICK`], and adds its VM to the VM list.
    pub fn start(&mut self, record: vm::Record, node: P) {
        let index = self.balancers.len();
        debug_assert_eq!(record.address, address(index));
        self.vms.push(record);
        self.balancers.push(SimulatedBalancer {
            node,
            is_running: true,
            is_timed: false,
            busy_time: Duration::ZERO,
            bytes_per_second: Vec::new(),
            platform_calls: 0,
        });
        let phase = self.rng.random_range(0..TICK.as_micros() as u64);
        self.enqueue(Duration::from_micros(phase), SimulationEvent::Tick(index));
    }

    /// Writes an object into the store and answers all pending watches.
    pub fn put(&mut self, object: Object) {
        self.revision += 1;
        let version = self.revision;
        let key = object.key.clone();
        self.objects.insert(key, Stored { object, version });
        for watch in std::mem::take(&mut self.watches) {
            self.answer_watch(&watch);
        }
    }

    /// Passes an event to a balancer and executes its actions.
    pub fn handle_event(&mut self, at: usize, event: Event) {
        let start = Instant::now();
        let mut actions = Vec::new();
        let balancer = &mut self.balancers[at];
        balancer.node.handle(self.now, event, &mut actions);
        if balancer.is_timed {
            balancer.busy_time += start.elapsed();
        }
        for action in actions {
            self.execute_action(at, action);
        }
    }

    /// Runs all events until `end`.
    pub fn run_until(&mut self, end: Duration) {
        while self
            .queue
            .peek()
            .is_some_and(|scheduled| scheduled.0.at <= end)
        {
            if let Some(Reverse(scheduled)) = self.queue.pop() {
                self.now = self.now.max(scheduled.at);
                self.deliver(scheduled.event);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick(at) if self.balancers[at].is_running => {
                self.enqueue(TICK, SimulationEvent::Tick(at));
                self.handle_event(at, Event::Tick);
            }
            SimulationEvent::Datagram { from, to, bytes } if self.balancers[to].is_running => {
                let start = Instant::now();
                let message = decode(&bytes);
                if self.balancers[to].is_timed {
                    self.balancers[to].busy_time += start.elapsed();
                }
                let from = address(from);
                self.handle_event(to, Event::Received { from, message });
            }
            SimulationEvent::Answer { to, answer } if self.balancers[to].is_running => {
                self.handle_event(to, Event::Answered(answer));
            }
            SimulationEvent::WatchEnd(number) => {
                let position = self.watches.iter().position(|it| it.number == number);
                if let Some(watch) = position.map(|at| self.watches.swap_remove(at)) {
                    self.answer_watch(&watch);
                }
            }
            _ => {}
        }
    }

    fn execute_action(&mut self, at: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(at, balancer_index(to), message),
            Action::OwnersChanged | Action::TablesChanged => self.changed_balancers.push(at),
            Action::Call(call) => self.call_platform(at, call),
            Action::StoreOutdated { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let start = Instant::now();
        let bytes = encode(from, message);
        let balancer = &mut self.balancers[from];
        if balancer.is_timed {
            balancer.busy_time += start.elapsed();
        }
        let second = self.now.as_secs() as usize;
        balancer
            .bytes_per_second
            .resize(balancer.bytes_per_second.len().max(second + 1), 0);
        balancer.bytes_per_second[second] += bytes.len() as u32;
        if to >= self.balancers.len() {
            return;
        }
        let is_same_zone = from % ZONES == to % ZONES;
        let delay = if is_same_zone {
            DELAY_IN_ZONE
        } else {
            DELAY_BETWEEN_ZONES
        };
        self.enqueue(delay, SimulationEvent::Datagram { from, to, bytes });
    }

    fn call_platform(&mut self, at: usize, call: Call) {
        self.balancers[at].platform_calls += 1;
        let answer = match call {
            Call::List => Answer::Listed {
                revision: self.revision,
                objects: self.objects.values().cloned().collect(),
            },
            Call::Vms => Answer::Vms(self.vms.clone()),
            Call::Put { .. } => Answer::Conflict,
            Call::Watch { after } => return self.start_watch(at, after),
        };
        self.enqueue(PLATFORM_DELAY, SimulationEvent::Answer { to: at, answer });
    }

    fn start_watch(&mut self, balancer: usize, after: Revision) {
        let number = self.sequence;
        let watch = Watch {
            number,
            balancer,
            after,
        };
        if after < self.revision {
            return self.answer_watch(&watch);
        }
        self.watches.push(watch);
        self.enqueue(WATCH_TIMEOUT, SimulationEvent::WatchEnd(number));
    }

    fn answer_watch(&mut self, watch: &Watch) {
        let changed = self.objects.values();
        let changed = changed.filter(|stored| stored.version > watch.after);
        let answer = Answer::Watched {
            revision: self.revision,
            objects: changed.cloned().collect(),
        };
        let to = watch.balancer;
        self.enqueue(PLATFORM_DELAY, SimulationEvent::Answer { to, answer });
    }

    fn enqueue(&mut self, delay: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at: self.now + delay,
            sequence: self.sequence,
            event,
        }));
    }
}
