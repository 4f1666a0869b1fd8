//! A small in-memory network of control nodes in virtual time.

mod deaths;

pub use deaths::Deaths;
use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_policy::{
        VmId,
        config::Snapshot,
        config_object::Object,
        config_reader::{Answer, Call, CallKind, Revision, Stored},
        id, member,
        node::{Action, Event, Message, Node, Settings},
        vm,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

pub const TICK: Duration = Duration::from_millis(100);
/// Time that the platform takes to answer, and to fail.
const ANSWER: Duration = Duration::from_millis(5);
const FAILURE: Duration = Duration::from_secs(1);
const WATCH: Duration = Duration::from_secs(30);

/// One balancer of the network.
pub struct Host {
    pub node: Node,
    pub zone: String,
    pub address: SocketAddr,
    pub running: bool,
    pub paused: bool,
    pub owners: BTreeSet<VmId>,
    pub tables: Snapshot,
    /// Bytes sent: of membership, and of all control messages.
    pub bytes: [usize; 2],
    /// Number of the start, so that ticks of an earlier one end.
    start: u64,
}

/// Balancers, the datagrams between them and the platform.
pub struct Network {
    pub now: Duration,
    pub settings: Settings,
    pub hosts: BTreeMap<String, Host>,
    /// One-way cuts from the first to the second balancer.
    pub cuts: BTreeSet<(String, String)>,
    pub loss: f64,
    pub vms: Vec<vm::Record>,
    /// What the platform answers instead of the current list.
    pub stale: Option<Vec<vm::Record>>,
    pub platform_cuts: BTreeSet<String>,
    pub objects: BTreeMap<String, Stored>,
    pub revision: Revision,
    /// Whether writes take effect while their answers are lost.
    pub loses_answers: bool,
    /// Times at which a balancer found an older object in the store.
    pub older: usize,
    pub calls: usize,
    watches: Vec<(String, Revision, Duration)>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    sent: u64,
    starts: u64,
    /// Varies the random choices and with them the start phases of the balancers.
    pub variant: u64,
    pub deaths: Deaths,
    rng: SmallRng,
    names: BTreeMap<SocketAddr, String>,
}

enum Delivery {
    Tick {
        to: String,
        start: u64,
    },
    Datagram {
        from: String,
        to: String,
        bytes: Vec<u8>,
    },
    Answer {
        to: String,
        answer: Answer,
    },
}

impl Network {
    pub fn new(settings: Settings, seed: u64) -> Network {
        Network {
            now: Duration::ZERO,
            settings,
            hosts: BTreeMap::new(),
            cuts: BTreeSet::new(),
            loss: 0.0,
            vms: Vec::new(),
            stale: None,
            platform_cuts: BTreeSet::new(),
            objects: BTreeMap::new(),
            revision: 0,
            loses_answers: false,
            older: 0,
            calls: 0,
            watches: Vec::new(),
            queue: BTreeMap::new(),
            sent: 0,
            starts: 0,
            variant: 0,
            deaths: Deaths::default(),
            rng: SmallRng::seed_from_u64(seed),
            names: BTreeMap::new(),
        }
    }

    /// Returns a random time, so that a fault meets any phase of the probes.
    pub fn between(&mut self, least: Duration, most: Duration) -> Duration {
        self.rng.random_range(least..most)
    }

    /// Starts a balancer, or starts it again, and lists its VM.
    pub fn start(&mut self, name: &str, zone: &str) {
        let known = self.hosts.get(name).map(|host| host.address);
        let index = self.names.len() as u16;
        let fresh = SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7000));
        let address = known.unwrap_or(fresh);
        self.names.insert(address, name.to_owned());
        self.starts += 1;
        let identity = member::Identity {
            id: id::from_name(name),
            place: member::Place {
                zone: zone.to_owned(),
                address,
            },
            incarnation: 1_700_000_000 + self.starts,
        };
        let phase = Duration::from_micros(self.rng.random_range(0..100_000));
        let host = Host {
            node: Node::new(
                self.settings.clone(),
                identity,
                self.starts ^ (self.variant << 32),
            ),
            zone: zone.to_owned(),
            address,
            running: true,
            paused: false,
            owners: BTreeSet::new(),
            tables: Snapshot::default(),
            bytes: [0; 2],
            start: self.starts,
        };
        self.hosts.insert(name.to_owned(), host);
        let to = name.to_owned();
        let start = self.starts;
        self.enqueue(phase, Delivery::Tick { to, start });
        self.vms.retain(|vm| vm.name != name);
        self.vms.push(vm::Record {
            name: name.to_owned(),
            address,
            zone: zone.to_owned(),
            role: vm::Role::Entry,
            state: vm::State::Live,
        });
    }

    /// Stops a balancer at once; its VM stays listed until [`Network::unlist`].
    pub fn crash(&mut self, name: &str) {
        self.host(name).running = false;
    }

    pub fn unlist(&mut self, name: &str) {
        self.vms.retain(|vm| vm.name != name);
    }

    pub fn host(&mut self, name: &str) -> &mut Host {
        self.hosts
            .get_mut(name)
            .unwrap_or_else(|| panic!("no balancer {name}"))
    }

    /// Passes an event to a balancer.
    pub fn event(&mut self, name: &str, event: Event) {
        let now = self.now;
        let mut actions = Vec::new();
        self.host(name).node.handle(now, event, &mut actions);
        for action in actions {
            self.act(name, action);
        }
    }

    /// Gives every balancer the list of all, as from a peer, so that a large zone need not be started in steps.
    pub fn introduce(&mut self) {
        let hosts = self.hosts.values();
        let updates: Vec<member::Update> =
            hosts.map(|it| it.node.membership().me().update()).collect();
        for name in self.hosts.keys().cloned().collect::<Vec<_>>() {
            let me = id::from_name(&name);
            let peer = updates
                .iter()
                .find(|it| it.id != me)
                .expect("two balancers");
            let message = Message::Member(member::Message {
                from: peer.id,
                incarnation: peer.incarnation,
                body: member::Body::List,
                updates: updates.iter().filter(|it| it.id != me).cloned().collect(),
            });
            let from = peer.place.as_ref().expect("a place").address;
            self.event(&name, Event::Received { from, message });
        }
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(&(at, _)) = self.queue.keys().next().filter(|key| key.0 <= end) {
            self.now = self.now.max(at);
            self.deliver();
        }
        self.now = end;
    }

    fn tick(&mut self, name: &str, start: u64) {
        if self.host(name).start == start {
            let to = name.to_owned();
            self.enqueue(TICK, Delivery::Tick { to, start });
            self.event(name, Event::Tick);
        }
    }

    fn deliver(&mut self) {
        let Some((_, delivery)) = self.queue.pop_first() else {
            return;
        };
        let to = match &delivery {
            Delivery::Tick { to, .. }
            | Delivery::Datagram { to, .. }
            | Delivery::Answer { to, .. } => to.clone(),
        };
        if self.host(&to).paused {
            // The kernel keeps datagrams until the process runs again; its next tick is due after they are read.
            let delay = match delivery {
                Delivery::Tick { .. } => TICK,
                _ => TICK / 5,
            };
            self.enqueue(delay, delivery);
        } else if self.host(&to).running {
            self.pass(&to, delivery);
        }
    }

    fn pass(&mut self, to: &str, delivery: Delivery) {
        let event = match delivery {
            Delivery::Tick { start, .. } => return self.tick(to, start),
            Delivery::Answer { answer, .. } => Event::Answered(answer),
            Delivery::Datagram { from, bytes, .. } => {
                if self.cuts.contains(&(from.clone(), to.to_owned())) {
                    return;
                }
                let message: Message = ciborium::from_reader(&bytes[..]).expect("own encoding");
                self.deaths.received(to, &message);
                let from = self.host(&from).address;
                Event::Received { from, message }
            }
        };
        self.event(to, event);
    }

    fn enqueue(&mut self, delay: Duration, delivery: Delivery) {
        self.sent += 1;
        self.queue.insert((self.now + delay, self.sent), delivery);
    }

    fn act(&mut self, name: &str, action: Action) {
        let now = self.now;
        match action {
            Action::Send { to, message } => self.send(name, to, &message),
            Action::OwnersChanged => {
                let host = self.host(name);
                let members = host.node.deployment().members;
                host.owners = members.iter().map(|member| member.id).collect();
                let host = &self.hosts[name];
                self.deaths.observe(now, host.node.membership());
            }
            Action::TablesChanged => {
                let host = self.host(name);
                host.tables = host.node.tables(now);
            }
            Action::Call(call) => self.call(name, call),
            Action::StoreOutdated { .. } => self.older += 1,
        }
    }

    fn call(&mut self, name: &str, call: Call) {
        self.calls += 1;
        let to = name.to_owned();
        if self.platform_cuts.contains(name) {
            let kind = match call {
                Call::List => CallKind::List,
                Call::Watch { .. } => CallKind::Watch,
                Call::Vms => CallKind::Vms,
                Call::Put { .. } => CallKind::Put,
            };
            let answer = Answer::Failed(kind);
            return self.enqueue(FAILURE, Delivery::Answer { to, answer });
        }
        let answer = match call {
            Call::List => Answer::Listed {
                revision: self.revision,
                objects: self.objects.values().cloned().collect(),
            },
            Call::Watch { after } => {
                self.watches.push((to, after, self.now + WATCH));
                return self.answer_watches();
            }
            Call::Vms => Answer::Vms(self.stale.as_ref().unwrap_or(&self.vms).clone()),
            Call::Put { object, version } => {
                let is_written = self.put(object, version);
                match is_written {
                    _ if self.loses_answers => Answer::Failed(CallKind::Put),
                    true => Answer::Written,
                    false => Answer::Conflict,
                }
            }
        };
        self.enqueue(ANSWER, Delivery::Answer { to, answer });
    }

    /// Writes an object if the store holds the given version of it.
    pub fn put(&mut self, object: Object, version: Revision) -> bool {
        let current = self.objects.get(&object.key);
        if current.map_or(0, |stored| stored.version) != version {
            return false;
        }
        self.revision += 1;
        let version = self.revision;
        let key = object.key.clone();
        self.objects.insert(key, Stored { object, version });
        self.answer_watches();
        true
    }

    /// Answers the watches for which there are changes, and those that have waited long enough.
    pub fn answer_watches(&mut self) {
        for (to, after, end) in std::mem::take(&mut self.watches) {
            let changed = self
                .objects
                .values()
                .filter(|stored| stored.version > after);
            let objects: Vec<Stored> = changed.cloned().collect();
            let answer = match self.platform_cuts.contains(&to) {
                true => Answer::Failed(CallKind::Watch),
                false if objects.is_empty() && self.now < end => {
                    self.watches.push((to, after, end));
                    continue;
                }
                false => Answer::Watched {
                    revision: self.revision,
                    objects,
                },
            };
            self.enqueue(ANSWER, Delivery::Answer { to, answer });
        }
    }

    fn send(&mut self, name: &str, to: SocketAddr, message: &Message) {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("encoding into memory");
        self.deaths.sent(self.now, name, message);
        let counts = &mut self.host(name).bytes;
        if let Message::Member(_) = message {
            counts[0] += bytes.len();
        }
        counts[1] += bytes.len();
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        let Some(target) = self.names.get(&to).cloned() else {
            return;
        };
        if lost {
            return;
        }
        let near = self.hosts[name].zone == self.hosts[&target].zone;
        let delay = if near { 200..600 } else { 1_500..2_000 };
        let delay = Duration::from_micros(self.rng.random_range(delay));
        let datagram = Delivery::Datagram {
            from: name.to_owned(),
            to: target,
            bytes,
        };
        self.enqueue(delay, datagram);
    }

    /// Returns whether an acknowledgement is on its way to a balancer.
    pub fn is_acknowledged(&self, name: &str) -> bool {
        self.queue.values().any(|delivery| match delivery {
            Delivery::Datagram { to, bytes, .. } if to == name => {
                let message: Message = ciborium::from_reader(&bytes[..]).expect("own encoding");
                matches!(message, Message::Member(it) if matches!(it.body, member::Body::Ack(..)))
            }
            _ => false,
        })
    }

    /// Lets a paused balancer run again: it reads its socket first.
    pub fn resume(&mut self, name: &str) {
        self.host(name).paused = false;
    }

    /// Returns whether datagrams pass in both directions.
    pub fn connected(&self, one: &str, other: &str) -> bool {
        let cut = |a: &str, b: &str| self.cuts.contains(&(a.to_owned(), b.to_owned()));
        !cut(one, other) && !cut(other, one)
    }
}
