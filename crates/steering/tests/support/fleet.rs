//! A fleet of balancers that exchange reports and tables in virtual time.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use {
    super::at,
    skylarkflow_steering::{
        gossip::{Action, Freshness, Gossip, PeerInfo, Settings},
        position::Position,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// What the store has after [`Fleet::change_store`].
pub const NEWER: Freshness = Freshness {
    version: 5,
    position: Position {
        epoch: 1,
        revision: 50,
    },
    evacuations: None,
};

pub struct Node {
    pub gossip: Gossip,
    pub freshness: Freshness,
    pub fetches: usize,
    /// Whether it lists the store without waiting for the tables of a peer.
    pub lists: bool,
    pub sent: usize,
    pub is_up: bool,
    /// Whether the process is stopped, so that its kernel accepts connections and nothing responds.
    pub is_frozen: bool,
    pub receives_reports: bool,
    pub store_reads: usize,
}

pub struct Fleet {
    pub now: Duration,
    /// What the store has.
    pub store: Freshness,
    pub nodes: BTreeMap<SocketAddr, Node>,
}

impl Node {
    pub fn runs(&self) -> bool {
        self.is_up && !self.is_frozen
    }
}

pub fn peer_info(index: usize, zones: usize) -> PeerInfo {
    PeerInfo {
        name: format!("b{index:04}"),
        zone: format!("z{}", index % zones),
        address: SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7200)),
    }
}

impl Fleet {
    pub fn new(count: usize, zones: usize) -> Fleet {
        let peers: Vec<PeerInfo> = (0..count).map(|index| peer_info(index, zones)).collect();
        let node = |info: &PeerInfo| {
            let mut gossip = Gossip::new(Settings::default(), info.clone(), 1);
            gossip.set_registered_peers(Duration::ZERO, peers.clone());
            let node = Node {
                gossip,
                freshness: Freshness::default(),
                fetches: 0,
                lists: false,
                sent: 0,
                is_up: true,
                is_frozen: false,
                receives_reports: true,
                store_reads: 0,
            };
            (info.address, node)
        };
        Fleet {
            now: Duration::ZERO,
            store: Freshness::default(),
            nodes: peers.iter().map(node).collect(),
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            self.step();
        }
    }

    pub fn step(&mut self) {
        let now = self.now;
        let mut actions = Vec::new();
        for (&address, node) in self.nodes.iter_mut().filter(|(_, node)| node.runs()) {
            node.gossip.set_freshness(node.freshness);
            node.gossip.tick(now);
            for action in node.gossip.take_actions() {
                node.sent += usize::from(matches!(action, Action::SendReport(..)));
                actions.push((address, action));
            }
        }
        for (from, action) in actions {
            self.perform(from, action);
        }
    }

    pub fn perform(&mut self, from: SocketAddr, action: Action) {
        let now = self.now;
        match action {
            Action::SendReport(to, report) => {
                let node = self
                    .nodes
                    .get_mut(&to)
                    .filter(|node| node.runs() && node.receives_reports);
                if let Some(node) = node {
                    node.gossip.handle_report(now, report);
                }
            }
            Action::FetchTables { address, .. } => {
                let peer = self.nodes.get(&address).filter(|node| node.is_up);
                let is_frozen = peer.is_some_and(|node| node.is_frozen);
                let freshness = peer.map(|node| node.freshness);
                let node = self
                    .nodes
                    .get_mut(&from)
                    .expect("the fetching balancer exists");
                node.fetches += 1;
                // The kernel of a frozen process accepts the connection, and no response follows.
                if !is_frozen {
                    node.gossip.finish_fetch(now, address, freshness.is_some());
                    node.freshness = node.freshness.max(freshness.unwrap_or_default());
                }
            }
            Action::ReadStore => {
                let latest = self.store;
                let node = self
                    .nodes
                    .get_mut(&from)
                    .expect("the reading balancer exists");
                node.store_reads += 1;
                node.freshness = node.freshness.max(latest);
            }
            Action::ListStore => {
                let node = self
                    .nodes
                    .get_mut(&from)
                    .expect("the listing balancer exists");
                node.lists = true;
            }
            Action::ProbeUpstream(_)
            | Action::RecordSlowUpstreams(_)
            | Action::SetEvacuationRole(_)
            | Action::SetRole(_) => {}
        }
    }

    pub fn readers(&self, zone: usize, zones: usize) -> usize {
        let nodes = self.nodes.values().enumerate();
        nodes
            .filter(|(index, _)| index % zones == zone)
            .filter(|(_, node)| node.is_up && node.gossip.is_reader())
            .count()
    }
}

impl Fleet {
    /// Returns a fleet in which every balancer has the same tables.
    pub fn with_tables(count: usize, zones: usize) -> Fleet {
        let mut fleet = Fleet::new(count, zones);
        for node in fleet.nodes.values_mut() {
            node.freshness = Freshness {
                version: 1,
                position: at(1),
                evacuations: None,
            };
        }
        fleet.run(Duration::from_secs(15));
        fleet
    }

    /// Makes a change in the store, which the readers see at once and everybody else only through them.
    pub fn change_store(&mut self) {
        self.store = NEWER;
        for node in self
            .nodes
            .values_mut()
            .filter(|node| node.gossip.is_reader())
        {
            node.freshness = NEWER;
        }
    }

    /// Freezes running balancers of a zone: its reader first, then those with newer tables, then others.
    pub fn freeze(&mut self, zone: usize, zones: usize, count: usize) {
        let in_zone = self.nodes.values_mut().skip(zone).step_by(zones);
        let mut running: Vec<&mut Node> = in_zone.filter(|node| node.runs()).collect();
        running.sort_by_key(|node| (!node.gossip.is_reader(), node.freshness != NEWER));
        for node in running.into_iter().take(count) {
            node.is_frozen = true;
        }
    }

    pub fn assert_all_are_current(&self, case: &str) {
        let behind = self.nodes.iter().filter(|(_, node)| node.runs());
        let behind = behind.filter(|(_, node)| node.freshness != NEWER);
        let behind: Vec<&SocketAddr> = behind.map(|(address, _)| address).collect();
        assert!(behind.is_empty(), "{case}: {behind:?} are behind");
    }
}
