//! A fleet of balancers that follow evacuations, with a store, in virtual time.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use {
    super::{fleet::peer_info, virtual_store::Store},
    skylarkflow_steering::{
        evacuation::{Evacuations, Zones},
        gossip::{self, Action, Freshness, Gossip, PeerInfo, Role},
        list_watch::{self, Call, CallOutcome, ContentAction, ListWatch, PeerTables},
        position::{Epoch, Position},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Interval at which balancers act.
const STEP: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Config,
    Upstreams,
    Evacuations,
}

/// Lists and watches of one kind of object.
#[derive(Debug)]
pub struct Sync {
    kind: Kind,
    list_watch: ListWatch,
    /// End of the watch in progress.
    watch_end: Option<Duration>,
    handled_reads: u64,
    pub calls: usize,
}

#[derive(Debug)]
pub struct Node {
    pub info: PeerInfo,
    pub gossip: Gossip,
    pub evacuations: Evacuations,
    pub position: Option<Position>,
    epoch: Epoch,
    upstream_tables: PeerTables,
    evacuation_tables: PeerTables,
    store_reads: u64,
    evacuation_role: Role,
    pub syncs: Vec<Sync>,
    pub is_up: bool,
    /// Balancers of different sides cannot reach each other.
    pub side: usize,
    pub reaches_store: bool,
    /// Time from the start until new flows are placed.
    pub ready_after: Option<Duration>,
    started_at: Duration,
    pub fetches: usize,
}

pub struct Fleet {
    pub now: Duration,
    pub store: Store,
    pub nodes: BTreeMap<SocketAddr, Node>,
    zones: usize,
    /// Whether balancers that start follow evacuations; those of earlier versions do not.
    pub follows_evacuations: bool,
    /// Writes of upstreams in each step.
    pub other_writes: u64,
}

impl Sync {
    fn new(kind: Kind) -> Sync {
        let settings = list_watch::Settings {
            prefers_peers: kind == Kind::Evacuations,
            ..list_watch::Settings::default()
        };
        Sync {
            kind,
            list_watch: ListWatch::new(settings, 3),
            watch_end: None,
            handled_reads: 0,
            calls: 0,
        }
    }
}

impl Node {
    fn new(info: PeerInfo, follows_evacuations: bool, started_at: Duration) -> Node {
        let settings = gossip::Settings {
            follows_evacuations,
            ..gossip::Settings::default()
        };
        let mut kinds = vec![Kind::Config, Kind::Upstreams];
        if follows_evacuations {
            kinds.push(Kind::Evacuations);
        }
        Node {
            gossip: Gossip::new(settings, info.clone(), 1 + started_at.as_millis() as u64),
            info,
            evacuations: Evacuations::default(),
            position: None,
            epoch: 0,
            upstream_tables: PeerTables::Pending,
            evacuation_tables: PeerTables::Pending,
            store_reads: 0,
            evacuation_role: Role::default(),
            syncs: kinds.into_iter().map(Sync::new).collect(),
            is_up: true,
            side: 0,
            reaches_store: true,
            ready_after: None,
            started_at,
            fetches: 0,
        }
    }

    /// Returns the number of calls of the store.
    pub fn calls(&self) -> usize {
        self.syncs.iter().map(|sync| sync.calls).sum()
    }

    pub fn follows_evacuations(&self) -> bool {
        self.syncs.iter().any(|sync| sync.kind == Kind::Evacuations)
    }

    fn freshness(&self) -> Freshness {
        Freshness {
            version: 1,
            position: self.position.unwrap_or_default(),
            evacuations: self.evacuations.changed_at(),
        }
    }

    fn call_store(&mut self, clock: Duration, store: &Store) {
        // Each process has a clock of its own.
        let now = clock - self.started_at;
        let mut syncs = std::mem::take(&mut self.syncs);
        for sync in &mut syncs {
            self.update_list_watch(now, sync);
            // A list may be followed at once by a watch.
            for _ in 0..3 {
                self.perform_call(now, sync, store);
            }
        }
        self.syncs = syncs;
        let knows_evacuations = self.syncs.len() == 2 || self.evacuations.known_up_to().is_some();
        if self.position.is_some() && knows_evacuations {
            self.ready_after.get_or_insert(now);
        }
    }

    fn update_list_watch(&mut self, now: Duration, sync: &mut Sync) {
        let list_watch = &mut sync.list_watch;
        let before = list_watch.next_call();
        let (tables, known) = match sync.kind {
            Kind::Config => (PeerTables::Unavailable, None),
            Kind::Upstreams => (self.upstream_tables, self.position),
            Kind::Evacuations => (self.evacuation_tables, self.evacuations.known_up_to()),
        };
        list_watch.set_peer_tables(now, tables);
        if list_watch.is_paused() {
            list_watch.advance(known.unwrap_or_default());
        }
        list_watch.observe_epoch(now, self.epoch);
        let role = match sync.kind {
            Kind::Config | Kind::Upstreams => self.gossip.role(),
            Kind::Evacuations => self.evacuation_role,
        };
        list_watch.set_role(now, role);
        if sync.handled_reads != self.store_reads {
            sync.handled_reads = self.store_reads;
            list_watch.request_current_list(now);
        }
        if list_watch.next_call() != before {
            sync.watch_end = None;
        }
    }

    fn perform_call(&mut self, now: Duration, sync: &mut Sync, store: &Store) {
        let (due, call) = sync.list_watch.next_call();
        if now < due {
            return;
        }
        let is_answered = store.is_up && self.reaches_store;
        let outcome = match call {
            Call::List { is_current, .. } => {
                sync.calls += 1;
                let (position, listed) = store.list(is_current);
                if is_answered {
                    let page = CallOutcome::Page {
                        position,
                        next: None,
                    };
                    self.epoch = self.epoch.max(position.epoch);
                    let action = sync.list_watch.handle_outcome(now, page);
                    if action == ContentAction::Replace {
                        match sync.kind {
                            Kind::Config => {}
                            Kind::Upstreams => self.position = self.position.max(Some(position)),
                            Kind::Evacuations => {
                                self.evacuations.apply_list(position, is_current, &listed);
                            }
                        }
                    }
                    return;
                }
                CallOutcome::Failed
            }
            Call::Watch { revision, timeout } => {
                if sync.watch_end.is_none() {
                    sync.calls += 1;
                    sync.watch_end = Some(now + timeout);
                }
                let is_current = self.gossip.role() == Role::Reader;
                match store.changes(revision, is_current) {
                    _ if !is_answered => CallOutcome::Failed,
                    None => CallOutcome::Gone,
                    Some((position, changes)) => {
                        let has_news = match sync.kind {
                            Kind::Config => false,
                            Kind::Upstreams => store.current.others_at > revision,
                            Kind::Evacuations => !changes.is_empty(),
                        };
                        if !has_news && sync.watch_end > Some(now) {
                            return;
                        }
                        self.epoch = self.epoch.max(position.epoch);
                        let response = CallOutcome::Changes { position };
                        let action = sync.list_watch.handle_outcome(now, response);
                        if action == ContentAction::Apply {
                            match sync.kind {
                                Kind::Config => {}
                                Kind::Upstreams => {
                                    self.position = self.position.max(Some(position));
                                }
                                Kind::Evacuations => {
                                    self.evacuations.apply_changes(position, &changes);
                                }
                            }
                        }
                        sync.watch_end = None;
                        return;
                    }
                }
            }
        };
        sync.watch_end = None;
        sync.list_watch.handle_outcome(now, outcome);
    }

    fn take_tables(&mut self, peer: &Tables) {
        if self.follows_evacuations() {
            self.evacuations.merge(&peer.evacuations);
        }
        self.epoch = self.epoch.max(peer.position.unwrap_or_default().epoch);
        if self.position.is_none()
            && let Some(position) = peer.position
        {
            self.upstream_tables = PeerTables::Received(position);
        }
        self.position = self.position.max(peer.position);
        if let Some(position) = self.evacuations.known_up_to()
            && !matches!(self.evacuation_tables, PeerTables::Received(_))
        {
            self.evacuation_tables = PeerTables::Received(position);
        }
    }
}

struct Tables {
    evacuations: Evacuations,
    position: Option<Position>,
}

impl Fleet {
    /// Starts a fleet.
    pub fn new(count: usize, zones: usize) -> Fleet {
        Fleet::start(count, zones, Store::default(), true)
    }

    pub fn start(count: usize, zones: usize, store: Store, follows_evacuations: bool) -> Fleet {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            store,
            nodes: BTreeMap::new(),
            zones,
            follows_evacuations,
            other_writes: 5,
        };
        let infos: Vec<PeerInfo> = (0..count).map(|index| peer_info(index, zones)).collect();
        for info in &infos {
            fleet.start_node(info, &infos);
        }
        fleet
    }

    /// Starts a fleet whose roles are settled.
    pub fn settled(count: usize, zones: usize) -> Fleet {
        let mut fleet = Fleet::new(count, zones);
        fleet.run(Duration::from_secs(12));
        fleet
    }

    fn start_node(&mut self, info: &PeerInfo, peers: &[PeerInfo]) {
        let mut node = Node::new(info.clone(), self.follows_evacuations, self.now);
        // The list of the registered balancers is the first response of the store.
        if self.store.is_up {
            node.gossip
                .set_registered_peers(Duration::ZERO, peers.to_vec());
        }
        self.nodes.insert(info.address, node);
    }

    /// Starts the process of a balancer again.
    pub fn restart(&mut self, index: usize) {
        let info = peer_info(index, self.zones);
        let peers: Vec<PeerInfo> = self.nodes.values().map(|node| node.info.clone()).collect();
        self.start_node(&info, &peers);
    }

    pub fn node(&mut self, index: usize) -> &mut Node {
        let address = peer_info(index, self.zones).address;
        self.nodes.get_mut(&address).expect("the balancer exists")
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        // Upstreams write their heartbeats all the time.
        if self.store.is_up {
            self.store.write_others(self.other_writes);
        }
        let now = self.now;
        let mut actions = Vec::new();
        for (&address, node) in self.nodes.iter_mut().filter(|(_, node)| node.is_up) {
            node.call_store(now, &self.store);
            let local = now - node.started_at;
            node.gossip.set_freshness(node.freshness());
            let is_unreachable = !(self.store.is_up && node.reaches_store);
            node.gossip.set_store_unreachable(is_unreachable);
            node.gossip.tick(local);
            for action in node.gossip.take_actions() {
                actions.push((address, action));
            }
        }
        for (from, action) in actions {
            self.perform(from, action);
        }
    }

    fn perform(&mut self, from: SocketAddr, action: Action) {
        let now = self.now;
        let side = self.nodes[&from].side;
        match action {
            Action::SendReport(to, report) => {
                let node = self.nodes.get_mut(&to);
                if let Some(node) = node.filter(|node| node.is_up && node.side == side) {
                    let local = now - node.started_at;
                    node.gossip.handle_report(local, report);
                }
            }
            Action::FetchTables { address, .. } => {
                let peer = self.nodes.get(&address);
                let peer = peer.filter(|peer| peer.is_up && peer.side == side);
                let tables = peer.map(|peer| Tables {
                    evacuations: peer.evacuations.clone(),
                    position: peer.position,
                });
                let node = self.nodes.get_mut(&from).expect("it exists");
                node.fetches += 1;
                let local = now - node.started_at;
                node.gossip.finish_fetch(local, address, tables.is_some());
                if let Some(tables) = tables {
                    node.take_tables(&tables);
                }
            }
            Action::ListStore => {
                let node = self.nodes.get_mut(&from).expect("it exists");
                node.upstream_tables = PeerTables::Unavailable;
                node.evacuation_tables = PeerTables::Unavailable;
            }
            Action::ReadStore => {
                self.nodes.get_mut(&from).expect("it exists").store_reads += 1;
            }
            Action::SetEvacuationRole(role) => {
                self.nodes
                    .get_mut(&from)
                    .expect("it exists")
                    .evacuation_role = role;
            }
            Action::ProbeUpstream(_) | Action::RecordSlowUpstreams(_) | Action::SetRole(_) => {}
        }
    }

    /// Returns the evacuated zones of every running balancer; panics if they differ.
    pub fn zones(&self) -> Zones {
        let mut running = self.nodes.values().filter(|node| node.is_up);
        let first = running.next().expect("a balancer").evacuations.zones();
        for node in running {
            let zones = node.evacuations.zones();
            assert_eq!(zones, first, "{} differs", node.info.name);
        }
        first
    }

    /// Returns the number of running balancers that send new flows to a zone.
    pub fn count_placing_in(&self, zone: &str) -> usize {
        let running = self.nodes.values().filter(|node| node.is_up);
        running
            .filter(|node| !node.evacuations.zones().contains_key(zone))
            .count()
    }

    /// Returns the calls of the store by all balancers.
    pub fn calls(&self) -> usize {
        self.nodes.values().map(Node::calls).sum()
    }
}
