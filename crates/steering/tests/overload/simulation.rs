//! Simulation of callers, balancers and upstreams whose capacity is insufficient.
//!
//! Each balancer is a [`Balancer`] with load counters of its own and sees only the packets of its flows. Upstreams have
//! two slots and a queue, and refuse further requests. Sizes and rates are those of the first deployment in
//! [crowded deployments](../../../../docs/crowded-deployments.md).

use {
    crate::{
        figures::{Figures, Outcome},
        support::{self, ms},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_policy::flow::Key,
    skylarkflow_steering::{
        admission,
        balancer::{Action, Balancer, ResetReason, Settings, Verdict},
        segment::{Kind as PacketKind, Segment},
        table::{Level, Routes, Table},
        upstream::Record,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

pub const ZONES: usize = 4;
const BALANCERS_PER_ZONE: usize = 15;
const UPSTREAMS: usize = 120;
const SLOTS: usize = 2;
const QUEUE: usize = 8;

/// Callers of all zones. Together with the time for which they keep idle flows, it makes about three quarters of the
/// attempts of a burst open a flow, as was measured.
const CALLERS: usize = 8_000;
const IDLE_FLOW_RETENTION: Duration = Duration::from_millis(500);
const MAX_REQUESTS_PER_FLOW: u32 = 12;

const TICK: Duration = Duration::from_millis(25);
const ATTEMPTS: u32 = 3;

/// Rates at 1.17 times the capacity of the slots: 12 times the usual rate of the first kind, 6 times that of the second.
const BURST_LOAD: f64 = 1.17;

/// A kind of request.
pub struct Kind {
    pub rate: f64,
    pub work_ms: f64,
    pub target: Duration,
    pub deadline: Duration,
    pub priority: u32,
    pub has_long_flows: bool,
}

/// The two kinds of requests: the usual one, and the urgent one.
pub const KINDS: [Kind; 2] = [
    Kind {
        rate: 12.0 * 1_311.0,
        work_ms: 15.0,
        target: Duration::from_millis(250),
        deadline: Duration::from_millis(1_000),
        priority: 2,
        has_long_flows: true,
    },
    Kind {
        rate: 6.0 * 375.0,
        work_ms: 20.0,
        target: Duration::from_millis(250),
        deadline: Duration::from_millis(1_200),
        priority: 1,
        has_long_flows: false,
    },
];

/// Distribution of the work of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    Constant,
    Exponential,
}

/// Course of the load, as a multiple of the capacity.
#[derive(Clone, Copy, Debug)]
pub enum Course {
    /// A step from 1 s to 9 s; 0.1 before and 0.3 after.
    Step(f64),
    /// A sine around 1.2 with an amplitude of 0.9 and a period of 4 s, from 1 s to 13 s.
    Wave,
}

impl Course {
    pub fn end(self) -> Duration {
        match self {
            Course::Step(_) => ms(9_000),
            Course::Wave => ms(13_000),
        }
    }

    fn load(self, now: Duration) -> f64 {
        let is_on = now >= ms(1_000) && now < self.end();
        match self {
            Course::Step(load) if is_on => load,
            Course::Wave if is_on => {
                let phase = (now.as_secs_f64() - 1.0) / 4.0 * std::f64::consts::TAU;
                1.2 + 0.9 * phase.sin()
            }
            _ if now < ms(1_000) => 0.1,
            _ => 0.3,
        }
    }
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub course: Course,
    pub retries: bool,
    pub work: Work,
    /// Time after which an upstream refuses a request, in milliseconds; drawn from the range.
    pub refusal_ms: (u64, u64),
    pub admission: Option<admission::Settings>,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Request(usize),
    Attempt(usize),
    Opening(usize),
    Opened(usize),
    Data(usize),
    AtUpstream(usize),
    Done(usize),
    Response(usize, bool),
    Acknowledgement(usize),
    Reset(usize),
    Tick,
}

struct Request {
    kind: usize,
    caller: usize,
    created: Duration,
    attempts: u32,
}

/// A flow with the request that it carries at the moment.
struct Flow {
    request: usize,
    key: Key,
    balancer: usize,
    upstream: usize,
    cookie: u32,
    sequence: u32,
    acknowledged: u32,
    requests: u32,
    idle_since: Duration,
    closes: bool,
}

#[derive(Default)]
struct Server {
    busy: usize,
    queue: VecDeque<usize>,
}

pub struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
    balancers: Vec<(Balancer, Table)>,
    servers: Vec<Server>,
    free_slots: usize,
    requests: Vec<Request>,
    flows: Vec<Flow>,
    idle: Vec<Vec<usize>>,
    ports: Vec<u16>,
    outcome: Outcome,
}

fn zone_name(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn service(kind: usize) -> SocketAddr {
    SocketAddr::from(([198, 18, 0, 1 + kind as u8], 443))
}

fn table() -> Table {
    let records: Vec<Record> = (0..UPSTREAMS)
        .map(|index| support::record(index as u64 + 1, &zone_name(index)))
        .collect();
    let services: Vec<SocketAddr> = (0..KINDS.len()).map(service).collect();
    let mut config = support::config(1, &services);
    for (route, kind) in config.routes.iter_mut().zip(&KINDS) {
        route.level = Level {
            priority: kind.priority,
            timeout: Some(kind.deadline),
            target_latency: Some(kind.target),
        };
    }
    let mut routes = Routes::default();
    routes.adopt(config);
    let directory = support::directory(&records);
    routes.table(ms(0), &directory).expect("a configuration")
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let balancer = |index: usize| {
            let settings = Settings {
                zone: zone_name(index),
                admission: scenario.admission,
                ..Settings::default()
            };
            let seed = scenario.seed * 1_000 + index as u64;
            (Balancer::new(settings, seed), table())
        };
        Simulation {
            scenario,
            rng: SmallRng::seed_from_u64(scenario.seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            count: 0,
            balancers: (0..ZONES * BALANCERS_PER_ZONE).map(balancer).collect(),
            servers: (0..UPSTREAMS).map(|_| Server::default()).collect(),
            free_slots: UPSTREAMS * SLOTS,
            requests: Vec::new(),
            flows: Vec::new(),
            idle: vec![Vec::new(); CALLERS],
            ports: vec![1_024; CALLERS],
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        for kind in 0..KINDS.len() {
            self.schedule(Duration::ZERO, Event::Request(kind));
        }
        self.schedule(TICK, Event::Tick);
        let end = self.scenario.course.end() + ms(4_000);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let outcome = &mut self.outcome;
        outcome.served = outcome.work_in_time / outcome.work_possible;
        let resets = outcome.resets().max(1);
        outcome.free_slots = outcome.free_sum / resets as f64;
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(kind) => self.send_request(kind),
            Event::Attempt(request) => self.attempt(request),
            Event::Opening(flow) => self.open(flow),
            Event::Opened(flow) => self.schedule(ms(1), Event::Data(flow)),
            Event::Data(flow) => self.send_data(flow),
            Event::AtUpstream(flow) => self.arrive(flow),
            Event::Done(flow) => self.finish(flow),
            Event::Response(flow, is_refusal) => self.receive_response(flow, is_refusal),
            Event::Acknowledgement(flow) => self.acknowledge(flow),
            Event::Reset(flow) => self.fail(self.flows[flow].request),
            Event::Tick => self.tick(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.events
            .push(Reverse((self.now + after, self.count, event)));
    }

    fn is_counted(&self, request: usize) -> bool {
        let created = self.requests[request].created;
        created >= ms(1_000) && created < self.scenario.course.end()
    }

    /// Applies a change to the figures of the kind of a request if it was sent while the course was on.
    fn record(&mut self, request: usize, change: impl Fn(&mut Figures)) {
        if self.is_counted(request) {
            let Request { kind, caller, .. } = self.requests[request];
            change(&mut self.outcome.kinds[kind]);
            change(&mut self.outcome.zones[caller % ZONES][kind]);
        }
    }

    fn tick(&mut self) {
        let is_sweep = self.now.as_millis().is_multiple_of(250);
        for (balancer, table) in &mut self.balancers {
            balancer.check_openings(self.now, Some(table));
            if is_sweep {
                balancer.tick(self.now, Some(table));
            }
            let is_start = |action: &Action| {
                matches!(
                    action,
                    Action::AdmissionChanged {
                        is_limiting: true,
                        ..
                    }
                )
            };
            let actions = balancer.take_actions();
            self.outcome.limited += actions.iter().filter(|action| is_start(action)).count() as u64;
        }
        if is_sweep {
            let load = self.scenario.course.load(self.now).min(1.0);
            let is_on = self.now >= ms(1_000) && self.now < self.scenario.course.end();
            if is_on {
                self.outcome.work_possible += load * (UPSTREAMS * SLOTS) as f64 * 0.25;
            }
        }
        self.schedule(TICK, Event::Tick);
    }

    fn send_request(&mut self, kind: usize) {
        let load = self.scenario.course.load(self.now) / BURST_LOAD;
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = -uniform.ln() / (KINDS[kind].rate * load);
        let gap = Duration::from_secs_f64(gap);
        self.schedule(gap, Event::Request(kind));
        let caller = self.rng.random_range(0..CALLERS);
        self.requests.push(Request {
            kind,
            caller,
            created: self.now,
            attempts: 0,
        });
        let request = self.requests.len() - 1;
        self.record(request, |figures| figures.requests += 1);
        self.attempt(request);
    }

    fn attempt(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.attempts += 1;
        let is_first = request.attempts == 1;
        let (kind, caller) = (request.kind, request.caller);
        self.outcome.attempts += u64::from(self.is_counted(index));
        if is_first && KINDS[kind].has_long_flows {
            while let Some(flow) = self.idle[caller].pop() {
                if self.now < self.flows[flow].idle_since + IDLE_FLOW_RETENTION {
                    self.flows[flow].request = index;
                    return self.schedule(ms(1), Event::Data(flow));
                }
                self.flows[flow].closes = true;
                self.schedule(ms(1), Event::Acknowledgement(flow));
            }
        }
        self.outcome.opened += u64::from(self.is_counted(index));
        let port = &mut self.ports[caller];
        *port = port.checked_add(1).unwrap_or(1_024);
        let address = Ipv4Addr::from(u32::from(Ipv4Addr::new(100, 64, 0, 0)) + caller as u32);
        let in_zone = self.rng.random_range(0..BALANCERS_PER_ZONE);
        self.flows.push(Flow {
            request: index,
            key: Key {
                caller: SocketAddr::from((address, self.ports[caller])),
                service: service(kind),
            },
            balancer: in_zone * ZONES + caller % ZONES,
            upstream: 0,
            cookie: 0,
            sequence: 1,
            acknowledged: 1,
            requests: 0,
            idle_since: Duration::ZERO,
            closes: false,
        });
        let flow = self.flows.len() - 1;
        self.schedule(ms(1), Event::Opening(flow));
    }

    fn packet(&self, flow: usize, kind: PacketKind, length: u16) -> Segment {
        let flow = &self.flows[flow];
        Segment {
            flow: flow.key,
            kind,
            cookie: flow.cookie,
            sequence: flow.sequence,
            acknowledged: flow.acknowledged,
            length,
        }
    }

    fn deliver(&mut self, flow: usize, packet: &Segment) -> Verdict {
        let (balancer, table) = &mut self.balancers[self.flows[flow].balancer];
        balancer.handle(self.now, Some(table), packet)
    }

    /// Returns the one-way latency between the zones of a flow's caller and its upstream.
    fn distance(&self, flow: usize) -> Duration {
        let flow = &self.flows[flow];
        if flow.balancer % ZONES == flow.upstream % ZONES {
            Duration::from_micros(200)
        } else {
            Duration::from_micros(1_400)
        }
    }

    fn open(&mut self, flow: usize) {
        let packet = self.packet(flow, PacketKind::Open { retransmission: 0 }, 0);
        let verdict = self.deliver(flow, &packet);
        let request = self.flows[flow].request;
        self.record(request, |figures| figures.openings += 1);
        match verdict {
            Verdict::Forward {
                upstream, cookie, ..
            } => {
                self.flows[flow].upstream = upstream.record.id as usize - 1;
                self.flows[flow].cookie = cookie.expect("a cookie");
                let latency = self.distance(flow) * 2 + ms(1);
                self.schedule(latency, Event::Opened(flow));
            }
            Verdict::Reset(ResetReason::Overloaded) => self.record_reset(flow),
            other => panic!("unexpected verdict {other:?}"),
        }
    }

    fn record_reset(&mut self, flow: usize) {
        let request = self.flows[flow].request;
        let free = self.free_slots;
        self.record(request, |figures| {
            figures.resets += 1;
            figures.needless += u64::from(free > 0);
        });
        if self.is_counted(request) {
            self.outcome.free_sum += free as f64 / (UPSTREAMS * SLOTS) as f64;
        }
        let second = self.now.as_secs() as usize;
        let by_second = &mut self.outcome.resets_by_second;
        by_second.resize(by_second.len().max(second + 1), 0);
        by_second[second] += 1;
        self.schedule(ms(1), Event::Reset(flow));
    }

    fn send_data(&mut self, flow: usize) {
        let packet = self.packet(flow, PacketKind::Established { is_last: false }, 200);
        let verdict = self.deliver(flow, &packet);
        assert!(
            matches!(verdict, Verdict::Forward { .. }),
            "a packet of an open flow is not forwarded: {verdict:?}"
        );
        self.flows[flow].sequence += 200;
        self.flows[flow].requests += 1;
        let latency = self.distance(flow);
        self.schedule(latency, Event::AtUpstream(flow));
    }

    fn arrive(&mut self, flow: usize) {
        let request = self.flows[flow].request;
        self.record(request, |figures| figures.arrivals += 1);
        let second = self.now.as_secs() as usize;
        let by_second = &mut self.outcome.arrivals_by_second;
        by_second.resize(by_second.len().max(second + 1), (0, 0));
        by_second[second].0 += 1;
        let server = &mut self.servers[self.flows[flow].upstream];
        if server.busy < SLOTS {
            self.start(flow);
        } else if server.queue.len() < QUEUE {
            server.queue.push_back(flow);
        } else {
            self.record(request, |figures| figures.refused += 1);
            self.outcome.arrivals_by_second[second].1 += 1;
            let (least, most) = self.scenario.refusal_ms;
            let wait = ms(self.rng.random_range(least..=most));
            let latency = wait + self.distance(flow) + ms(1);
            self.schedule(latency, Event::Response(flow, true));
        }
    }

    fn start(&mut self, flow: usize) {
        self.servers[self.flows[flow].upstream].busy += 1;
        self.free_slots -= 1;
        let mean = KINDS[self.requests[self.flows[flow].request].kind].work_ms;
        let work = match self.scenario.work {
            Work::Constant => mean,
            Work::Exponential => -mean * self.rng.random_range(f64::EPSILON..1.0).ln(),
        };
        self.schedule(Duration::from_secs_f64(work / 1_000.0), Event::Done(flow));
    }

    fn finish(&mut self, flow: usize) {
        let server = &mut self.servers[self.flows[flow].upstream];
        server.busy -= 1;
        self.free_slots += 1;
        if let Some(next) = server.queue.pop_front() {
            self.start(next);
        }
        let latency = self.distance(flow) + ms(1);
        self.schedule(latency, Event::Response(flow, false));
    }

    fn receive_response(&mut self, flow: usize, is_refusal: bool) {
        let bytes = if is_refusal {
            self.rng.random_range(188..=189)
        } else {
            self.rng.random_range(700..=1_200)
        };
        let index = self.flows[flow].request;
        let request = &self.requests[index];
        let kind = &KINDS[request.kind];
        let is_in_time = !is_refusal && self.now <= request.created + kind.target;
        if is_in_time && self.is_counted(index) {
            self.outcome.work_in_time += kind.work_ms / 1_000.0;
        }
        self.record(index, |figures| {
            figures.in_time += u64::from(is_in_time);
            figures.in_vain += u64::from(!is_in_time);
        });
        if is_refusal {
            self.fail(index);
        }
        let state = &mut self.flows[flow];
        state.acknowledged += bytes;
        state.closes = !kind.has_long_flows || state.requests >= MAX_REQUESTS_PER_FLOW;
        if !state.closes {
            state.idle_since = self.now;
            let caller = self.requests[index].caller;
            self.idle[caller].push(flow);
        }
        self.schedule(ms(1), Event::Acknowledgement(flow));
    }

    fn acknowledge(&mut self, flow: usize) {
        let is_last = self.flows[flow].closes;
        let packet = self.packet(flow, PacketKind::Established { is_last }, 0);
        self.deliver(flow, &packet);
    }

    fn fail(&mut self, index: usize) {
        let request = &self.requests[index];
        let pause = ms(self.rng.random_range(20..=100));
        let deadline = request.created + KINDS[request.kind].deadline;
        if self.scenario.retries && request.attempts < ATTEMPTS && self.now + pause < deadline {
            self.schedule(pause, Event::Attempt(index));
        }
    }
}
