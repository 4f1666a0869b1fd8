//! A fleet of balancers under full pressure on cold upstreams, in virtual time, with the gossip and the lists of
//! registered balancers by which they know each other.

use {
    super::{config, key, record, service},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_policy::flow::Key,
    skylarkflow_steering::{
        balancer::{Balancer, ResetReason, Settings, Verdict},
        directory::{self, Directory},
        gossip::{self, Action, Gossip, PeerInfo},
        position::Position,
        segment::{Kind, Segment},
        table::{Config, Routes, Table, Warmup},
        upstream::{Record, UpstreamId},
        warmup_budget::{Bounds, Inputs, Members},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Bounds that the page on crowded deployments gives.
pub const BOUNDS: Bounds = Bounds {
    excess: 1.5,
    slack: 5.0,
};

/// Time between two openings at each balancer.
pub const STEP: Duration = Duration::from_millis(25);

/// Interval at which balancers call their gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Times between lists of the registered balancers.
const FIRST_LIST_DELAY: Duration = Duration::from_secs(3);
const LIST_RETRY_DELAY: Duration = Duration::from_secs(1);
const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Number of reports with which a new balancer announces itself.
const ANNOUNCEMENTS: u32 = 3;

/// Highest number of openings in a second over all balancers, and their mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    pub highest: usize,
    pub mean: f64,
}

pub struct Scenario {
    pub balancers: usize,
    pub zones: usize,
    pub upstreams: usize,
    pub rate: f64,
    pub warmup: Duration,
    /// Age of the replica from which balancers are listed.
    pub replica_lag: Duration,
    /// Share of reports that are lost.
    pub loss: f64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            balancers: 60,
            zones: 4,
            upstreams: 8,
            rate: 5.0,
            warmup: Duration::from_secs(22),
            replica_lag: Duration::from_secs(1),
            loss: 0.0,
        }
    }
}

pub struct Node {
    pub info: PeerInfo,
    pub balancer: Balancer,
    pub gossip: Gossip,
    next_list: Duration,
    lists: usize,
    is_complete: bool,
    published: Option<Members>,
}

/// Balancers, the registrations at the store, and the openings of each upstream.
pub struct ColdFleet {
    pub now: Duration,
    pub scenario: Scenario,
    pub table: Table,
    pub nodes: BTreeMap<usize, Node>,
    pub openings: BTreeMap<UpstreamId, Vec<Duration>>,
    pub resets: u64,
    /// Whether balancers know each other by gossip and lists; otherwise the test sets their members.
    pub has_gossip: bool,
    registered: Vec<(Duration, PeerInfo)>,
    rng: SmallRng,
    flows: u64,
}

pub fn peer(index: usize, zones: usize) -> PeerInfo {
    PeerInfo {
        name: format!("b{index:04}"),
        zone: format!("z{}", index % zones),
        address: SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7200)),
    }
}

/// Returns a table in which every upstream of the pool is cold until the end of the warm-up.
pub fn cold_table(now: Duration, scenario: &Scenario) -> Table {
    let cold = |index: usize| Record {
        warmup: scenario.warmup,
        ..record(index as u64 + 1, &format!("z{}", index % scenario.zones))
    };
    let records = (0..scenario.upstreams).map(|index| (1, cold(index)));
    let mut directory = Directory::new(directory::Settings::default());
    let position = Position {
        epoch: 1,
        revision: 1,
    };
    directory.replace(now, position, records.collect());
    let mut routes = Routes::default();
    routes.adopt(config_with_rate(scenario));
    routes
        .table(now, &directory)
        .expect("a configuration was adopted")
}

fn config_with_rate(scenario: &Scenario) -> Config {
    let warmup = Warmup {
        duration: scenario.warmup,
        rate: scenario.rate,
    };
    Config {
        warmups: BTreeMap::from([("dispatch".to_owned(), warmup)]),
        ..config(1, &[service()])
    }
}

/// Returns an opening packet of a flow that no other packet belongs to.
pub fn opening(flow: u64, retransmission: u32) -> Segment {
    let caller = SocketAddr::from((
        [
            100,
            64 + (flow >> 28) as u8,
            (flow >> 20) as u8,
            (flow >> 12) as u8,
        ],
        (flow & 0xfff) as u16 + 1_024,
    ));
    Segment {
        flow: Key { caller, ..key(1) },
        kind: Kind::Open { retransmission },
        cookie: 0,
        sequence: 1_000,
        acknowledged: retransmission,
        length: 0,
    }
}

impl Node {
    fn new(info: PeerInfo, index: usize, table: &Table, now: Duration) -> Node {
        let settings = Settings {
            zone: info.zone.clone(),
            ..Settings::default()
        };
        let mut balancer = Balancer::new(settings, index as u64);
        balancer.update_table(now, None, table);
        let gossip = Gossip::new(gossip::Settings::default(), info.clone(), 1);
        Node {
            info,
            balancer,
            gossip,
            next_list: now,
            lists: 0,
            is_complete: false,
            published: None,
        }
    }

    pub fn set_members(&mut self, now: Duration, table: &Table, members: Members) {
        let inputs = Inputs {
            bounds: Some(BOUNDS),
            members: Some(Arc::new(members)),
        };
        self.balancer.set_warmup_inputs(now, Some(table), inputs);
    }

    fn publish(&mut self, now: Duration, table: &Table) {
        let Some(peers) = self.gossip.members() else {
            return;
        };
        let all = std::iter::once(&self.info).chain(peers);
        let is_published = |published: &Members| {
            published.is_complete == self.is_complete && all.clone().eq(&published.all)
        };
        if self.published.as_ref().is_some_and(is_published) {
            return;
        }
        let members = Members {
            local: self.info.name.clone(),
            is_complete: self.is_complete,
            all: all.cloned().collect(),
        };
        self.published = Some(members.clone());
        self.set_members(now, table, members);
    }
}

impl ColdFleet {
    /// Returns a fleet without balancers.
    pub fn new(scenario: Scenario) -> ColdFleet {
        ColdFleet {
            now: Duration::ZERO,
            table: cold_table(Duration::ZERO, &scenario),
            scenario,
            nodes: BTreeMap::new(),
            openings: BTreeMap::new(),
            resets: 0,
            has_gossip: true,
            registered: Vec::new(),
            rng: SmallRng::seed_from_u64(1),
            flows: 0,
        }
    }

    /// Returns a fleet whose balancers have all known each other for long, with upstreams that become cold now.
    pub fn settled(scenario: Scenario) -> ColdFleet {
        let mut fleet = ColdFleet::new(scenario);
        fleet.start(0..fleet.scenario.balancers);
        fleet.run_without_openings(Duration::from_secs(60));
        fleet.cool_upstreams();
        fleet
    }

    /// Starts the warm-up of every upstream.
    pub fn cool_upstreams(&mut self) {
        let previous = std::mem::replace(&mut self.table, cold_table(self.now, &self.scenario));
        for node in self.nodes.values_mut() {
            node.balancer
                .update_table(self.now, Some(&previous), &self.table);
        }
    }

    /// Starts balancers, or starts them again.
    pub fn start(&mut self, indices: impl IntoIterator<Item = usize>) {
        for index in indices {
            let info = peer(index, self.scenario.zones);
            let node = Node::new(info, index, &self.table, self.now);
            self.nodes.insert(index, node);
        }
    }

    /// Returns the upstreams' limit of openings in a second.
    pub fn limit(&self) -> usize {
        BOUNDS.limit(self.scenario.rate) as usize
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.exchange();
            self.open_flows();
        }
    }

    pub fn run_without_openings(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.exchange();
        }
    }

    /// Lists the registered balancers where that is due and delivers reports.
    fn exchange(&mut self) {
        if !self.has_gossip {
            return;
        }
        let now = self.now;
        self.list_registered();
        if !now.as_millis().is_multiple_of(GOSSIP_INTERVAL.as_millis()) {
            return;
        }
        let mut reports = VecDeque::new();
        for node in self.nodes.values_mut() {
            node.gossip.tick(now);
            for action in node.gossip.take_actions() {
                if let Action::SendReport(to, report) = action {
                    reports.push_back((to, report));
                }
            }
        }
        for (to, report) in reports {
            let octets = match to.ip() {
                std::net::IpAddr::V4(ip) => ip.octets(),
                std::net::IpAddr::V6(_) => panic!("an IPv4 address"),
            };
            let index = usize::from(octets[2]) << 8 | usize::from(octets[3]);
            let is_lost = self.rng.random_bool(self.scenario.loss);
            if let Some(node) = self.nodes.get_mut(&index).filter(|_| !is_lost) {
                node.gossip.handle_report(now, report);
            }
        }
        for node in self.nodes.values_mut() {
            node.publish(now, &self.table);
        }
    }

    fn list_registered(&mut self) {
        let now = self.now;
        let listed_until = now.saturating_sub(self.scenario.replica_lag);
        let mut written = Vec::new();
        for node in self.nodes.values_mut().filter(|node| now >= node.next_list) {
            let entries = self.registered.iter().filter(|(at, _)| *at <= listed_until);
            let listed: Vec<PeerInfo> = entries.map(|(_, info)| info.clone()).collect();
            let own = self
                .registered
                .iter()
                .find(|(at, info)| *info == node.info && *at <= listed_until);
            let is_known = own.is_some_and(|(at, _)| now >= *at + Duration::from_secs(40));
            node.is_complete |= own.is_some();
            if node.lists == 0 && !is_known {
                node.gossip.announce(ANNOUNCEMENTS);
            }
            node.gossip.set_registered_peers(now, listed);
            node.lists += 1;
            node.next_list = now
                + match (node.lists, own) {
                    (1, _) => FIRST_LIST_DELAY,
                    (_, None) => LIST_RETRY_DELAY,
                    (_, Some(_)) => LIST_INTERVAL,
                };
            if !self.registered.iter().any(|(_, info)| *info == node.info) {
                written.push((now, node.info.clone()));
            }
            node.publish(now, &self.table);
        }
        self.registered.extend(written);
    }

    /// Sends opening packets to every balancer until it has no budget left.
    fn open_flows(&mut self) {
        let now = self.now;
        for node in self.nodes.values_mut() {
            let first_flow = self.flows;
            loop {
                self.flows += 1;
                assert!(self.flows < first_flow + 10_000, "no budget at {now:?}");
                let segment = opening(self.flows, 0);
                match node.balancer.handle(now, Some(&self.table), &segment) {
                    Verdict::Forward { upstream, .. } => {
                        let openings = self.openings.entry(upstream.record.id).or_default();
                        openings.push(now);
                    }
                    Verdict::Reset(ResetReason::NoUpstream) => {
                        self.resets += 1;
                        break;
                    }
                    verdict => panic!("neither forwarded nor reset: {verdict:?}"),
                }
            }
        }
    }

    /// Returns the highest sum of openings of any upstream in any second, both ends included, and the mean of all in a
    /// second over a time.
    pub fn measure(&self, time: Duration) -> Use {
        let highest = self.openings.values().map(|openings| highest_sum(openings));
        let total: usize = self.openings.values().map(Vec::len).sum();
        Use {
            highest: highest.max().unwrap_or_default(),
            mean: total as f64 / self.scenario.upstreams as f64 / time.as_secs_f64(),
        }
    }

    /// Returns the number of openings since a time.
    pub fn openings_since(&self, since: Duration) -> usize {
        let all = self.openings.values().flatten();
        all.filter(|&&at| at >= since).count()
    }
}

/// Returns the highest number of times in any second, both ends included.
pub fn highest_sum(times: &[Duration]) -> usize {
    let mut first = 0;
    let mut highest = 0;
    for (last, &time) in times.iter().enumerate() {
        while time > times[first] + Duration::from_secs(1) {
            first += 1;
        }
        highest = highest.max(last - first + 1);
    }
    highest
}
