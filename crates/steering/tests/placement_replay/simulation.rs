//! Event simulation of balancers that place flows on upstreams, each balancer by what it knows itself.

use {
    super::{
        policy::{Policy, View},
        site::{
            COUNTED_FROM, END, PAUSE_MS, QUEUE, REQUESTS_PER_FLOW, ROUND_TRIP, SLOTS, Speed,
            TARGET_LATENCY, UPSTREAMS, exponential, work,
        },
        support::{self, directory, ms, record},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_steering::{
        gossip::Rank,
        placement::{Knowledge, Settings},
        speed::Speeds,
        subset::Subset,
        tracker::Response,
        upstream::{Load, Upstream},
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Interval at which a balancer lets its estimates decay.
const TICK: Duration = Duration::from_millis(250);

/// Ticks between reports to peers, which go to those at the distances 1, 2, 4 and so on in the ring of a zone.
const REPORT_TICKS: u32 = 2;

/// Lengths of a response and of a refusal.
const RESPONSE_BYTES: u32 = 700;
const REFUSAL_BYTES: u32 = 188;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    LongFlow,
    SingleFlow,
    Request(usize),
    Done(usize),
    Tick,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub policy: Policy,
    pub speed: Speed,
    /// Offered load, a fraction of the capacity while upstreams are slow.
    pub load: f64,
    pub balancers: usize,
    pub zones: usize,
    /// Whether balancers tell others in their zone which upstreams are slow.
    pub tells_peers: bool,
    pub seed: u64,
}

/// What a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
}

impl Outcome {
    /// Returns the share of requests that were served in time.
    pub fn share_in_time(&self) -> f64 {
        self.in_time as f64 / (self.in_time + self.late + self.refused) as f64
    }

    pub fn add(&mut self, other: Outcome) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }
}

/// State of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// Ends of the requests in service.
    ends: Vec<Duration>,
    /// Waiting requests with their durations in seconds.
    queue: VecDeque<(usize, f64)>,
    queued_work: f64,
    open_flows: u32,
    slowness: f64,
}

impl Server {
    /// Returns the remaining work in seconds.
    pub fn backlog(&self, now: Duration) -> f64 {
        let ends = self.ends.iter();
        let remaining = ends.map(|end| end.saturating_sub(now).as_secs_f64());
        remaining.sum::<f64>() + self.queued_work
    }

    /// Returns the expected work of the open flows, weighted as in the score of the placement.
    pub fn expected_work(&self) -> f64 {
        0.1 * 0.015 * f64::from(self.open_flows) * self.slowness
    }
}

#[derive(Clone, Copy)]
struct Flow {
    balancer: usize,
    upstream: usize,
    is_long: bool,
    remaining_requests: u32,
    sent: Duration,
}

struct Peer {
    zone: usize,
    upstreams: Vec<Arc<Upstream>>,
    knowledge: Knowledge,
}

pub struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
    peers: Vec<Peer>,
    flows: Vec<Flow>,
    servers: Vec<Server>,
    ticks: u32,
    /// Entries that were sent in reports.
    notices_sent: u64,
    outcome: Outcome,
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let per_zone = UPSTREAMS / scenario.zones;
        let zone_of = |index: usize| zone_name((index / per_zone).min(scenario.zones - 1));
        let records: Vec<_> = (0..UPSTREAMS)
            .map(|index| record(index as u64 + 1, &zone_of(index)))
            .collect();
        let directory = directory(&records);
        let view = support::view(&directory, ms(0));
        // Each balancer has counters of its own.
        let upstreams = || -> Vec<Arc<Upstream>> {
            let mut upstreams: Vec<_> = view.pools["dispatch"]
                .iter()
                .map(|upstream| {
                    Arc::new(Upstream {
                        load_counters: Arc::default(),
                        ..Upstream::clone(upstream)
                    })
                })
                .collect();
            upstreams.sort_by_key(|upstream| upstream.record.id);
            upstreams
        };
        let knowledge = |balancer: usize| {
            let settings = Settings::default();
            let mut knowledge = Knowledge {
                speeds: Speeds::new(settings.speed),
                ..Knowledge::default()
            };
            if scenario.policy == Policy::Subset {
                let rank = Rank {
                    index: balancer / scenario.zones,
                    count: scenario.balancers / scenario.zones,
                };
                let zone = zone_name(balancer % scenario.zones);
                knowledge.subset = Subset::new(&settings.subset, rank, &zone, &view.pools);
            }
            knowledge
        };
        let peers = (0..scenario.balancers).map(|balancer| Peer {
            zone: balancer % scenario.zones,
            upstreams: upstreams(),
            knowledge: knowledge(balancer),
        });
        Simulation {
            peers: peers.collect(),
            scenario,
            rng: SmallRng::seed_from_u64(scenario.seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            count: 0,
            flows: Vec::new(),
            servers: vec![Server::default(); UPSTREAMS],
            ticks: 0,
            notices_sent: 0,
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        let (flow_gap, single_gap) = self.scenario.speed.gaps_ms(self.scenario.load);
        self.schedule(Duration::ZERO, Event::LongFlow);
        self.schedule(Duration::ZERO, Event::SingleFlow);
        self.schedule(TICK, Event::Tick);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > END {
                break;
            }
            self.now = at;
            match event {
                Event::LongFlow => {
                    self.open_flow(true);
                    let gap = exponential(flow_gap, &mut self.rng);
                    self.schedule(gap, Event::LongFlow);
                }
                Event::SingleFlow => {
                    self.open_flow(false);
                    let gap = exponential(single_gap, &mut self.rng);
                    self.schedule(gap, Event::SingleFlow);
                }
                Event::Request(flow) => self.send_request(flow),
                Event::Done(flow) => self.finish_request(flow),
                Event::Tick => {
                    self.ticks += 1;
                    for peer in &mut self.peers {
                        peer.knowledge.speeds.tick(at);
                    }
                    if self.scenario.tells_peers && self.ticks.is_multiple_of(REPORT_TICKS) {
                        self.send_notices();
                    }
                    self.schedule(TICK, Event::Tick);
                }
            }
        }
        self.outcome
    }

    fn send_notices(&mut self) {
        let zones = self.scenario.zones;
        let now = self.now;
        for sender in 0..self.peers.len() {
            let notices = self.peers[sender].knowledge.speeds.notices();
            let zone: Vec<usize> = (sender % zones..self.peers.len()).step_by(zones).collect();
            let own = sender / zones;
            let mut distance = 1;
            while distance < zone.len() {
                let receiver = zone[(own + distance) % zone.len()];
                for &notice in &notices {
                    self.notices_sent += 1;
                    self.peers[receiver]
                        .knowledge
                        .speeds
                        .record_notice(now, notice);
                }
                distance *= 2;
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.events
            .push(Reverse((self.now + after, self.count, event)));
    }

    fn add_load(&self, flow: Flow, flows: i32, requests: i32) {
        let counters = &self.peers[flow.balancer].upstreams[flow.upstream].load_counters;
        let load = counters.load();
        counters.set_load(Load {
            flows: load.flows.saturating_add_signed(flows),
            requests: load.requests.saturating_add_signed(requests),
        });
    }

    fn open_flow(&mut self, is_long: bool) {
        let Scenario {
            policy,
            speed,
            balancers,
            zones,
            ..
        } = self.scenario;
        let balancer = self.rng.random_range(0..balancers);
        let peer = &self.peers[balancer];
        let now = self.now;
        let per_zone = UPSTREAMS / zones;
        let view = View {
            now,
            zone: &zone_name(peer.zone),
            own_zone: peer.zone * per_zone..(peer.zone + 1) * per_zone,
            upstreams: &peer.upstreams,
            knowledge: &peer.knowledge,
            servers: &self.servers,
            slowness: &|upstream| speed.slowness(now, upstream),
        };
        let upstream = policy.choose(&view, &mut self.rng);
        let flow = Flow {
            balancer,
            upstream,
            is_long,
            remaining_requests: if is_long { REQUESTS_PER_FLOW } else { 1 },
            sent: now,
        };
        self.add_load(flow, 1, 0);
        self.servers[upstream].open_flows += u32::from(is_long);
        self.flows.push(flow);
        self.schedule(Duration::ZERO, Event::Request(self.flows.len() - 1));
    }

    fn send_request(&mut self, index: usize) {
        self.flows[index].sent = self.now;
        let flow = self.flows[index];
        self.add_load(flow, 0, 1);
        let slowness = self.scenario.speed.slowness(self.now, flow.upstream);
        let duration = work(flow.is_long, &mut self.rng) * slowness;
        let server = &mut self.servers[flow.upstream];
        server.slowness = slowness;
        if server.ends.len() < SLOTS {
            self.start_service(index, duration);
        } else if server.queue.len() < QUEUE {
            server.queue.push_back((index, duration));
            server.queued_work += duration;
        } else {
            if self.now >= COUNTED_FROM {
                self.outcome.refused += 1;
            }
            self.observe_response(index, REFUSAL_BYTES);
        }
    }

    fn start_service(&mut self, index: usize, seconds: f64) {
        let duration = Duration::from_secs_f64(seconds);
        let end = self.now + duration;
        self.servers[self.flows[index].upstream].ends.push(end);
        self.schedule(duration, Event::Done(index));
    }

    fn finish_request(&mut self, index: usize) {
        let flow = self.flows[index];
        let now = self.now;
        let server = &mut self.servers[flow.upstream];
        server.ends.retain(|&end| end > now);
        let next = if server.ends.len() < SLOTS {
            server.queue.pop_front()
        } else {
            None
        };
        if let Some((next, duration)) = next {
            server.queued_work = (server.queued_work - duration).max(0.0);
            self.start_service(next, duration);
        }
        if now >= COUNTED_FROM {
            if now + ROUND_TRIP - flow.sent <= TARGET_LATENCY {
                self.outcome.in_time += 1;
            } else {
                self.outcome.late += 1;
            }
        }
        self.observe_response(index, RESPONSE_BYTES);
    }

    /// Ends the request of a flow, as the balancer sees it.
    fn observe_response(&mut self, index: usize, bytes: u32) {
        let flow = self.flows[index];
        self.add_load(flow, 0, -1);
        if matches!(self.scenario.policy, Policy::Learned | Policy::Subset) {
            let response = Response {
                service: SocketAddr::from(([198, 18, 0, 1 + u8::from(flow.is_long)], 443)),
                latency: self.now + ROUND_TRIP - flow.sent,
                bytes,
            };
            let peer = &mut self.peers[flow.balancer];
            let id = flow.upstream as u64 + 1;
            peer.knowledge.speeds.record(self.now, id, &response);
        }
        self.flows[index].remaining_requests -= 1;
        if self.flows[index].remaining_requests == 0 {
            self.add_load(flow, -1, 0);
            self.servers[flow.upstream].open_flows -= u32::from(flow.is_long);
        } else {
            let pause = exponential(PAUSE_MS, &mut self.rng);
            self.schedule(pause, Event::Request(index));
        }
    }
}
