//! A small in-memory network of control nodes in virtual time.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_policy::{
        VmId, id, member,
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
const POLL: Duration = Duration::from_secs(1);

/// One balancer of the network.
pub struct Host {
    pub node: Node,
    pub zone: String,
    pub address: SocketAddr,
    pub running: bool,
    pub paused: bool,
    pub owners: BTreeSet<VmId>,
    pub bytes: usize,
    next_tick: Duration,
    next_poll: Duration,
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
    queue: BTreeMap<(Duration, u64), Datagram>,
    sent: u64,
    starts: u64,
    rng: SmallRng,
    names: BTreeMap<SocketAddr, String>,
}

struct Datagram {
    from: String,
    to: String,
    bytes: Vec<u8>,
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
            queue: BTreeMap::new(),
            sent: 0,
            starts: 0,
            rng: SmallRng::seed_from_u64(seed),
            names: BTreeMap::new(),
        }
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
            node: Node::new(self.settings.clone(), identity, self.starts),
            zone: zone.to_owned(),
            address,
            running: true,
            paused: false,
            owners: BTreeSet::new(),
            bytes: 0,
            next_tick: self.now + phase,
            next_poll: self.now + phase,
        };
        self.hosts.insert(name.to_owned(), host);
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

    /// Runs until a time.
    pub fn run_until(&mut self, end: Duration) {
        loop {
            let delivery = self.queue.keys().next().map(|&(at, _)| at);
            let active = self
                .hosts
                .iter()
                .filter(|(_, host)| host.running && !host.paused);
            let tick = active.min_by_key(|(_, host)| host.next_tick);
            let tick = tick.map(|(name, host)| (host.next_tick, name.clone()));
            match (delivery, tick) {
                (Some(at), tick) if at <= end && tick.as_ref().is_none_or(|it| at <= it.0) => {
                    self.now = self.now.max(at);
                    self.deliver();
                }
                (_, Some((at, name))) if at <= end => {
                    self.now = self.now.max(at);
                    self.tick(&name);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn tick(&mut self, name: &str) {
        let now = self.now;
        let host = self.host(name);
        host.next_tick = now + TICK;
        let poll = now >= host.next_poll;
        if poll {
            host.next_poll = now + POLL;
        }
        if poll && !self.platform_cuts.contains(name) {
            let list = self.stale.as_ref().unwrap_or(&self.vms).clone();
            self.event(name, Event::Listed(list));
        }
        self.event(name, Event::Tick);
    }

    fn deliver(&mut self) {
        let Some((_, datagram)) = self.queue.pop_first() else {
            return;
        };
        let Datagram { from, to, bytes } = datagram;
        if self.cuts.contains(&(from.clone(), to.clone())) || !self.host(&to).running {
            return;
        }
        if self.host(&to).paused {
            // The kernel keeps the datagram until the process runs again.
            let at = self.now + TICK;
            self.sent += 1;
            let datagram = Datagram { from, to, bytes };
            self.queue.insert((at, self.sent), datagram);
            return;
        }
        let message: Message = ciborium::from_reader(&bytes[..]).expect("own encoding");
        let from = self.host(&from).address;
        self.event(&to, Event::Received { from, message });
    }

    fn act(&mut self, name: &str, action: Action) {
        match action {
            Action::Send { to, message } => self.send(name, to, &message),
            Action::View => {
                let host = self.host(name);
                let members = host.node.deployment().members;
                host.owners = members.iter().map(|member| member.id).collect();
            }
        }
    }

    fn send(&mut self, name: &str, to: SocketAddr, message: &Message) {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("encoding into memory");
        self.host(name).bytes += bytes.len();
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
        self.sent += 1;
        let datagram = Datagram {
            from: name.to_owned(),
            to: target,
            bytes,
        };
        self.queue.insert((self.now + delay, self.sent), datagram);
    }

    /// Returns whether datagrams pass in both directions.
    pub fn connected(&self, one: &str, other: &str) -> bool {
        let cut = |a: &str, b: &str| self.cuts.contains(&(a.to_owned(), b.to_owned()));
        !cut(one, other) && !cut(other, one)
    }
}
