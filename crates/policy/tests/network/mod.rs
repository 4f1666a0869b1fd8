//! In-memory network of the control planes of balancers, with an emulated platform, in virtual time.

mod death_times;

pub use death_times::DeathTimes;
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
/// Time that the platform takes to answer a call.
const PLATFORM_DELAY: Duration = Duration::from_millis(5);
/// Time after which a call during a platform outage fails.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the platform answers a watch without changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// One balancer of the network.
pub struct Balancer {
    pub node: Node,
    pub zone: String,
    pub address: SocketAddr,
    pub running: bool,
    /// Whether the process is suspended; messages to it wait.
    pub paused: bool,
    /// Members of the view that the balancer has reported last.
    pub owners: BTreeSet<VmId>,
    pub tables: Snapshot,
    /// Bytes sent: first those of membership messages, then those of all control messages.
    pub sent_bytes: [usize; 2],
    /// Number of this start of the process, which tells its ticks from those of earlier starts.
    start_number: u64,
}

/// Balancers, the datagrams between them and the state of the platform.
pub struct Network {
    pub now: Duration,
    pub settings: Settings,
    pub balancers: BTreeMap<String, Balancer>,
    /// Links that deliver no datagrams from the first to the second balancer.
    pub cut_links: BTreeSet<(String, String)>,
    /// Share of datagrams that are lost.
    pub loss: f64,
    pub vms: Vec<vm::Record>,
    /// VM list that the platform reports instead of the current one.
    pub reported_vms: Option<Vec<vm::Record>>,
    /// Balancers that cannot reach the platform.
    pub platform_outages: BTreeSet<String>,
    pub objects: BTreeMap<String, Stored>,
    pub revision: Revision,
    /// Whether writes take effect but their answers are lost.
    pub loses_answers: bool,
    /// Number of times that a balancer found an older object in the store.
    pub older_store_reports: usize,
    pub platform_calls: usize,
    /// Watches without an answer: the balancer, the revision that it has and the end of the watch.
    watches: Vec<(String, Revision, Duration)>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    /// Number of deliveries, which orders those of the same time.
    deliveries: u64,
    /// Number of starts of balancers.
    starts: u64,
    /// Varies the seeds of the control planes, and so the phases of their timers.
    pub seed_variant: u64,
    pub death_times: DeathTimes,
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
            balancers: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            loss: 0.0,
            vms: Vec::new(),
            reported_vms: None,
            platform_outages: BTreeSet::new(),
            objects: BTreeMap::new(),
            revision: 0,
            loses_answers: false,
            older_store_reports: 0,
            platform_calls: 0,
            watches: Vec::new(),
            queue: BTreeMap::new(),
            deliveries: 0,
            starts: 0,
            seed_variant: 0,
            death_times: DeathTimes::default(),
            rng: SmallRng::seed_from_u64(seed),
            names: BTreeMap::new(),
        }
    }

    /// Returns a random time within a range, so that a fault occurs at any phase of the probes.
    pub fn random_duration(&mut self, least: Duration, most: Duration) -> Duration {
        self.rng.random_range(least..most)
    }

    /// Starts or restarts a balancer and adds its VM to the list.
    pub fn start(&mut self, name: &str, zone: &str) {
        let known = self.balancers.get(name).map(|balancer| balancer.address);
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
        let balancer = Balancer {
            node: Node::new(
                self.settings.clone(),
                identity,
                self.starts ^ (self.seed_variant << 32),
            ),
            zone: zone.to_owned(),
            address,
            running: true,
            paused: false,
            owners: BTreeSet::new(),
            tables: Snapshot::default(),
            sent_bytes: [0; 2],
            start_number: self.starts,
        };
        self.balancers.insert(name.to_owned(), balancer);
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

    /// Stops a balancer at once; its VM stays listed until [`Network::unlist_vm`].
    pub fn crash(&mut self, name: &str) {
        self.balancer(name).running = false;
    }

    pub fn unlist_vm(&mut self, name: &str) {
        self.vms.retain(|vm| vm.name != name);
    }

    pub fn balancer(&mut self, name: &str) -> &mut Balancer {
        self.balancers
            .get_mut(name)
            .unwrap_or_else(|| panic!("no balancer {name}"))
    }

    /// Lets a balancer handle an event, and applies the resulting actions.
    pub fn handle_event(&mut self, name: &str, event: Event) {
        let now = self.now;
        let mut actions = Vec::new();
        self.balancer(name).node.handle(now, event, &mut actions);
        for action in actions {
            self.apply_action(name, action);
        }
    }

    /// Sends every balancer the list of all members as if from a peer, so that a large zone need not start in steps.
    pub fn share_member_list(&mut self) {
        let balancers = self.balancers.values();
        let updates: Vec<member::Update> = balancers
            .map(|it| it.node.membership().me().update())
            .collect();
        for name in self.balancers.keys().cloned().collect::<Vec<_>>() {
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
            self.handle_event(&name, Event::Received { from, message });
        }
    }

    /// Delivers all messages up to a time.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(&(at, _)) = self.queue.keys().next().filter(|key| key.0 <= end) {
            self.now = self.now.max(at);
            self.deliver_next();
        }
        self.now = end;
    }

    fn tick(&mut self, name: &str, start: u64) {
        if self.balancer(name).start_number == start {
            let to = name.to_owned();
            self.enqueue(TICK, Delivery::Tick { to, start });
            self.handle_event(name, Event::Tick);
        }
    }

    fn deliver_next(&mut self) {
        let Some((_, delivery)) = self.queue.pop_first() else {
            return;
        };
        let to = match &delivery {
            Delivery::Tick { to, .. }
            | Delivery::Datagram { to, .. }
            | Delivery::Answer { to, .. } => to.clone(),
        };
        if self.balancer(&to).paused {
            // The kernel buffers datagrams until the process continues, which reads them before its next tick.
            let delay = match delivery {
                Delivery::Tick { .. } => TICK,
                _ => TICK / 5,
            };
            self.enqueue(delay, delivery);
        } else if self.balancer(&to).running {
            self.deliver_to(&to, delivery);
        }
    }

    fn deliver_to(&mut self, to: &str, delivery: Delivery) {
        let event = match delivery {
            Delivery::Tick { start, .. } => return self.tick(to, start),
            Delivery::Answer { answer, .. } => Event::Answered(answer),
            Delivery::Datagram { from, bytes, .. } => {
                if self.cut_links.contains(&(from.clone(), to.to_owned())) {
                    return;
                }
                let message: Message = ciborium::from_reader(&bytes[..]).expect("own encoding");
                self.death_times.record_received(to, &message);
                let from = self.balancer(&from).address;
                Event::Received { from, message }
            }
        };
        self.handle_event(to, event);
    }

    fn enqueue(&mut self, delay: Duration, delivery: Delivery) {
        self.deliveries += 1;
        self.queue
            .insert((self.now + delay, self.deliveries), delivery);
    }

    fn apply_action(&mut self, name: &str, action: Action) {
        let now = self.now;
        match action {
            Action::Send { to, message } => self.send(name, to, &message),
            Action::OwnersChanged => {
                let balancer = self.balancer(name);
                let members = balancer.node.deployment().members;
                balancer.owners = members.iter().map(|member| member.id).collect();
                let balancer = &self.balancers[name];
                self.death_times
                    .record_deaths(now, balancer.node.membership());
            }
            Action::TablesChanged => {
                let balancer = self.balancer(name);
                balancer.tables = balancer.node.tables(now);
            }
            Action::Call(call) => self.call_platform(name, call),
            Action::StoreOutdated { .. } => self.older_store_reports += 1,
        }
    }

    fn call_platform(&mut self, name: &str, call: Call) {
        self.platform_calls += 1;
        let to = name.to_owned();
        if self.platform_outages.contains(name) {
            let kind = match call {
                Call::List => CallKind::List,
                Call::Watch { .. } => CallKind::Watch,
                Call::Vms => CallKind::Vms,
                Call::Put { .. } => CallKind::Put,
            };
            let answer = Answer::Failed(kind);
            return self.enqueue(PLATFORM_TIMEOUT, Delivery::Answer { to, answer });
        }
        let answer = match call {
            Call::List => Answer::Listed {
                revision: self.revision,
                objects: self.objects.values().cloned().collect(),
            },
            Call::Watch { after } => {
                self.watches.push((to, after, self.now + WATCH_TIMEOUT));
                return self.answer_watches();
            }
            Call::Vms => Answer::Vms(self.reported_vms.as_ref().unwrap_or(&self.vms).clone()),
            Call::Put { object, version } => {
                let is_written = self.put(object, version);
                match is_written {
                    _ if self.loses_answers => Answer::Failed(CallKind::Put),
                    true => Answer::Written,
                    false => Answer::Conflict,
                }
            }
        };
        self.enqueue(PLATFORM_DELAY, Delivery::Answer { to, answer });
    }

    /// Writes an object if the store has the expected version of it, 0 for none, and returns whether it did.
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

    /// Answers the watches for which there are changes or whose time has ended.
    pub fn answer_watches(&mut self) {
        for (to, after, end) in std::mem::take(&mut self.watches) {
            let changed = self
                .objects
                .values()
                .filter(|stored| stored.version > after);
            let objects: Vec<Stored> = changed.cloned().collect();
            let answer = match self.platform_outages.contains(&to) {
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
            self.enqueue(PLATFORM_DELAY, Delivery::Answer { to, answer });
        }
    }

    fn send(&mut self, name: &str, to: SocketAddr, message: &Message) {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("encoding into memory");
        self.death_times.record_sent(self.now, name, message);
        let counts = &mut self.balancer(name).sent_bytes;
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
        let same_zone = self.balancers[name].zone == self.balancers[&target].zone;
        let delay = if same_zone { 200..600 } else { 1_500..2_000 };
        let delay = Duration::from_micros(self.rng.random_range(delay));
        let datagram = Delivery::Datagram {
            from: name.to_owned(),
            to: target,
            bytes,
        };
        self.enqueue(delay, datagram);
    }

    /// Returns whether an acknowledgement is in transit to a balancer.
    pub fn has_ack_in_transit(&self, name: &str) -> bool {
        self.queue.values().any(|delivery| match delivery {
            Delivery::Datagram { to, bytes, .. } if to == name => {
                let message: Message = ciborium::from_reader(&bytes[..]).expect("own encoding");
                matches!(message, Message::Member(it) if matches!(it.body, member::Body::Ack(..)))
            }
            _ => false,
        })
    }

    /// Continues a paused balancer, which first reads the datagrams in its socket.
    pub fn resume(&mut self, name: &str) {
        self.balancer(name).paused = false;
    }

    /// Returns whether datagrams are delivered in both directions between two balancers.
    pub fn is_connected(&self, one: &str, other: &str) -> bool {
        let cut = |a: &str, b: &str| self.cut_links.contains(&(a.to_owned(), b.to_owned()));
        !cut(one, other) && !cut(other, one)
    }
}
