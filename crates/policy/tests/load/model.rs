//! A queueing model in virtual time: balancers without coordination in front of the upstreams of one pool.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_policy::{
        Map,
        config::{Pool, Resolved, Upstream},
        dispatch::{Dispatcher, Fifo, Job, JobId, JobResult, Verdict},
        exchange::Effect,
        pool::{self, Signal},
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

pub const SHORT_SECONDS: f64 = 0.02;
pub const LONG_FACTOR: f64 = 50.0;
const LONG_CLASS: u64 = 2;
const DEADLINE: Duration = Duration::from_secs(10);
const ONE_WAY: Duration = Duration::from_micros(1_500);
const TICK: Duration = Duration::from_millis(5);
/// Requests that an upstream queues itself.
const UPSTREAM_QUEUE: usize = 8;
const WINDOW: Duration = Duration::from_secs(10);

/// How new flows are placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    Policy,
    Random,
    RoundRobin,
    PlainHash,
}

/// Something that happens to an upstream, or that all balancers are told about it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Answers 5.03 to everything from now on.
    Shed(usize),
    /// Answers nothing from now on.
    Silent(usize),
    /// Works again, at first this many times slower, and gets faster with each request.
    Restart(usize, f64),
    /// Leaves; balancers learn of it within 2.5 s, or never.
    Drain(usize, bool),
    /// All health reports say down each second from now on.
    AllDown,
    /// All load reports say idle each second from now on.
    AllIdle,
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub balancers: usize,
    pub upstreams: usize,
    pub slots: u32,
    pub flows: usize,
    /// Offered load as a share of capacity, before and after the start of the measurement.
    pub load: (f64, f64),
    pub long_share: f64,
    /// Flows replaced per second.
    pub churn: f64,
    /// Seconds before the step, until the measurement, and until the end.
    pub times: (f64, f64, f64),
    pub place: Place,
    /// `None`: the baseline with one queue per upstream.
    pub settings: Option<pool::Settings>,
    pub faults: Vec<(f64, Fault)>,
    pub seed: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub offered: u64,
    pub good: [u64; 2],
    pub good_work: f64,
    pub early: u64,
    pub lost: u64,
    pub refused: u64,
    pub dispatches: u64,
    pub latencies: [Vec<f64>; 2],
    pub work_imbalance: Vec<f64>,
    pub flow_imbalance: Vec<f64>,
    /// Flows opened at an upstream more than 3 s after its drain.
    pub late_opens: u64,
    pub early_opens: u64,
    /// Goodput per second of the run.
    pub per_second: Vec<u64>,
}

enum Owner {
    Pool(Box<pool::Dispatcher>),
    Fifo(Fifo),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Reach(usize, JobId),
    Done(usize, JobId),
    Back(JobId, bool),
    Deadline(JobId),
    Retry(JobId),
    Tick,
    Churn,
    Window,
    Fault(usize),
    Tell(usize, usize),
    Report,
}

#[derive(Clone, Debug)]
struct Request {
    flow: usize,
    server: usize,
    is_long: bool,
    service: f64,
    arrived: Duration,
    is_sent: bool,
}

struct Flow {
    hash: u64,
    server: Option<usize>,
    is_established: bool,
}

#[derive(Default)]
struct Server {
    running: u32,
    queue: VecDeque<JobId>,
    flows: u32,
    work: f64,
    sheds: bool,
    is_silent: bool,
    slowness: f64,
    drained: Option<Duration>,
}

pub struct Model {
    setup: Setup,
    now: Duration,
    random: SmallRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    jobs: JobId,
    owners: Vec<Owner>,
    pool: Arc<Resolved>,
    flows: Vec<Flow>,
    servers: Vec<Server>,
    requests: Map<JobId, Request>,
    retries: Map<JobId, Request>,
    turn: usize,
    lies: Vec<Signal>,
    stats: Stats,
}

impl Setup {
    /// Requests per second that the upstreams can serve.
    pub fn capacity(&self) -> f64 {
        let mean = SHORT_SECONDS * (1.0 + self.long_share * (LONG_FACTOR - 1.0));
        f64::from(self.slots) * self.upstreams as f64 / mean
    }

    pub fn run(&self) -> Stats {
        Model::new(self.clone()).run()
    }
}

impl Stats {
    pub fn p99(&self, is_long: bool) -> f64 {
        let mut sorted = self.latencies[usize::from(is_long)].clone();
        sorted.sort_by(f64::total_cmp);
        let at = (sorted.len() as f64 * 0.99) as usize;
        sorted.get(at).copied().unwrap_or(0.0)
    }
}

pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn resolve(setup: &Setup) -> Arc<Resolved> {
    let upstream = |at: usize| Upstream {
        name: format!("u{at}"),
        address: ([127, 0, 0, 1], at as u16).into(),
        zone: "a".to_owned(),
        weight: 1,
        drain: false,
    };
    let pool = Pool {
        name: "pool".to_owned(),
        generation: 1,
        slots: setup.slots,
        connections: 2_000,
        upstreams: (0..setup.upstreams).map(upstream).collect(),
    };
    Arc::new(Resolved::new(Arc::new(pool)))
}

impl Owner {
    fn new(setup: &Setup, pool: &Arc<Resolved>, seed: u64) -> Owner {
        let Some(settings) = setup.settings else {
            return Owner::Fifo(Fifo::new(pool));
        };
        let settings = pool::Settings { seed, ..settings };
        let balancers = setup.balancers as u32;
        Owner::Pool(Box::new(pool::Dispatcher::new(settings, pool, balancers)))
    }

    fn get(&mut self) -> &mut dyn Dispatcher {
        match self {
            Owner::Pool(pool) => &mut **pool,
            Owner::Fifo(fifo) => fifo,
        }
    }
}

impl Model {
    fn new(setup: Setup) -> Model {
        let pool = resolve(&setup);
        let owner = |seed| Owner::new(&setup, &pool, seed as u64);
        let mut random = SmallRng::seed_from_u64(setup.seed);
        let flow = |_| Flow {
            hash: random.random(),
            server: None,
            is_established: false,
        };
        Model {
            owners: (0..setup.balancers).map(owner).collect(),
            flows: (0..setup.flows).map(flow).collect(),
            servers: (0..setup.upstreams).map(|_| Server::default()).collect(),
            now: Duration::ZERO,
            random,
            events: BinaryHeap::new(),
            sequence: 0,
            jobs: 0,
            pool,
            requests: Map::default(),
            retries: Map::default(),
            turn: 0,
            lies: Vec::new(),
            stats: Stats::default(),
            setup,
        }
    }

    fn run(mut self) -> Stats {
        (0..self.flows.len()).for_each(|flow| self.open(flow));
        for event in [Event::Arrive, Event::Tick, Event::Churn, Event::Report] {
            self.push(Duration::ZERO, event);
        }
        self.push(self.measured_from(), Event::Window);
        for (index, (at, _)) in self.setup.faults.clone().into_iter().enumerate() {
            self.push(Duration::from_secs_f64(at), Event::Fault(index));
        }
        let end = Duration::from_secs_f64(self.setup.times.2);
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at < end
        {
            self.now = at;
            self.handle(event);
        }
        self.stats
    }

    fn measured_from(&self) -> Duration {
        Duration::from_secs_f64(self.setup.times.1)
    }

    fn is_measured(&self, arrived: Duration) -> bool {
        arrived >= self.measured_from()
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn after(&mut self, seconds: f64, event: Event) {
        self.push(self.now + Duration::from_secs_f64(seconds), event);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(server, id) => self.reach(server, id),
            Event::Done(server, id) => self.done(server, id),
            Event::Back(id, is_answered) => self.back(id, is_answered),
            Event::Deadline(id) => self.miss(id),
            Event::Retry(id) => {
                if let Some(request) = self.retries.remove(&id) {
                    self.submit(request);
                }
            }
            Event::Tick => self.tick(),
            Event::Churn => self.churn(),
            Event::Window => self.window(),
            Event::Fault(index) => self.fault(index),
            Event::Tell(owner, server) => self.tell(owner, server, Signal::Drain(true)),
            Event::Report => self.report(),
        }
    }

    fn owner(&self, flow: usize) -> usize {
        (self.flows[flow].hash >> 32) as usize % self.owners.len()
    }

    fn open(&mut self, flow: usize) {
        let owner = self.owner(flow);
        let hash = self.flows[flow].hash;
        let count = self.servers.len();
        self.turn += 1;
        let server = match self.setup.place {
            Place::Random => Some(self.random.random_range(0..count)),
            Place::RoundRobin => Some(self.turn / self.owners.len() % count),
            Place::PlainHash => Some(hash as usize % count),
            Place::Policy => {
                let placement = self.owners[owner].get().place(self.now, hash);
                placement.map(|placement| self.pool.positions[&placement.upstream])
            }
        };
        self.flows[flow].server = server;
        let Some(server) = server else { return };
        self.servers[server].flows += 1;
        let id = self.id(server);
        self.owners[owner].get().flow_opened(id);
        match self.servers[server].drained {
            Some(at) if self.now > at + Duration::from_secs(3) => self.stats.late_opens += 1,
            Some(_) => self.stats.early_opens += 1,
            None => {}
        }
    }

    fn close(&mut self, flow: usize) {
        if let Some(server) = self.flows[flow].server.take() {
            self.servers[server].flows -= 1;
            let id = self.id(server);
            let owner = self.owner(flow);
            self.owners[owner].get().flow_closed(id);
        }
    }

    fn id(&self, server: usize) -> u64 {
        skylarkflow_policy::id::from_upstream("pool", &self.pool.pool.upstreams[server].name)
    }

    fn arrive(&mut self) {
        let (before, after) = self.setup.load;
        let is_before = self.now.as_secs_f64() < self.setup.times.0;
        let rate = self.setup.capacity() * if is_before { before } else { after };
        let pause = self.exponential(1.0 / rate);
        self.after(pause, Event::Arrive);
        let flow = self.random.random_range(0..self.flows.len());
        let is_long = self.random.random_bool(self.setup.long_share);
        let mean = SHORT_SECONDS * if is_long { LONG_FACTOR } else { 1.0 };
        let request = Request {
            flow,
            server: 0,
            is_long,
            service: self.exponential(mean),
            arrived: self.now,
            is_sent: false,
        };
        self.stats.offered += u64::from(self.is_measured(self.now));
        self.submit(request);
    }

    fn submit(&mut self, mut request: Request) {
        let flow = request.flow;
        let owner = self.owner(flow);
        let usable = self.flows[flow].server.map(|server| self.id(server));
        if !usable.is_some_and(|id| self.owners[owner].get().is_usable(id)) {
            self.close(flow);
            self.open(flow);
        }
        let Some(server) = self.flows[flow].server else {
            self.stats.early += 1;
            return;
        };
        request.server = server;
        self.jobs += 1;
        let job = Job {
            id: self.jobs,
            flow: self.flows[flow].hash,
            upstream: self.id(server),
            class: if request.is_long { LONG_CLASS } else { 1 },
            established: self.flows[flow].is_established,
            arrived: request.arrived,
            deadline: request.arrived + DEADLINE,
            effect: Effect::Idempotent,
        };
        self.push(job.deadline, Event::Deadline(job.id));
        self.requests.insert(job.id, request);
        let mut verdicts = Vec::new();
        self.owners[owner]
            .get()
            .submit(self.now, job, &mut verdicts);
        self.apply(verdicts);
    }

    fn apply(&mut self, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            match verdict {
                Verdict::Dispatch(id) => self.send(id),
                Verdict::Refuse { id, .. } => {
                    self.requests.remove(&id);
                    self.stats.early += 1;
                }
            }
        }
    }

    fn send(&mut self, id: JobId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        assert!(!request.is_sent, "job {id} was dispatched twice");
        request.is_sent = true;
        let (server, service, arrived) = (request.server, request.service, request.arrived);
        self.servers[server].work += service;
        self.stats.dispatches += u64::from(self.is_measured(arrived));
        self.push(self.now + ONE_WAY, Event::Reach(server, id));
    }

    fn reach(&mut self, at: usize, id: JobId) {
        let server = &mut self.servers[at];
        if server.is_silent {
            return;
        }
        if server.sheds || server.queue.len() >= UPSTREAM_QUEUE {
            self.push(self.now + ONE_WAY, Event::Back(id, false));
            return;
        }
        server.queue.push_back(id);
        self.work(at);
    }

    fn work(&mut self, at: usize) {
        while self.servers[at].running < self.setup.slots
            && let Some(id) = self.servers[at].queue.pop_front()
        {
            // The request is gone once its deadline has passed, and the upstream does not run it.
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let server = &mut self.servers[at];
            server.running += 1;
            let service = request.service * (1.0 + server.slowness);
            server.slowness *= 0.99;
            self.after(service, Event::Done(at, id));
        }
    }

    fn done(&mut self, at: usize, id: JobId) {
        if self.servers[at].running == 0 || self.servers[at].is_silent {
            return;
        }
        self.servers[at].running -= 1;
        self.push(self.now + ONE_WAY, Event::Back(id, true));
        self.work(at);
    }

    fn back(&mut self, id: JobId, is_answered: bool) {
        let result = match is_answered {
            true => JobResult::Answered,
            false => JobResult::Refused,
        };
        let Some(request) = self.end(id, result) else {
            return;
        };
        let owner = self.owner(request.flow);
        if is_answered {
            return self.count(&request);
        }
        self.stats.refused += 1;
        let retry = self.owners[owner].get().retry(self.now, id);
        let retry = match self.setup.settings {
            Some(_) => retry,
            // The baseline honours the Max-Age of the upstream and nothing else.
            None => Some(self.now + Duration::from_secs(1)),
        };
        match retry {
            Some(at) if at < request.arrived + DEADLINE => {
                self.retries.insert(id, request);
                self.push(at, Event::Retry(id));
            }
            _ => {}
        }
    }

    fn count(&mut self, request: &Request) {
        self.flows[request.flow].is_established = true;
        let second = self.now.as_secs() as usize;
        self.stats.per_second.resize(second + 1, 0);
        self.stats.per_second[second] += 1;
        // Counted at their end: requests that arrived before the measurement make up for those that end after it.
        if !self.is_measured(self.now) {
            return;
        }
        if self.now > request.arrived + DEADLINE {
            self.stats.lost += 1;
            return;
        }
        let kind = usize::from(request.is_long);
        let latency = (self.now - request.arrived).as_secs_f64();
        self.stats.good[kind] += 1;
        self.stats.good_work += request.service;
        self.stats.latencies[kind].push(latency);
    }

    fn end(&mut self, id: JobId, result: JobResult) -> Option<Request> {
        let mut request = self.requests.remove(&id)?;
        request.is_sent = false;
        let owner = self.owner(request.flow);
        let mut verdicts = Vec::new();
        self.owners[owner]
            .get()
            .finished(self.now, id, result, &mut verdicts);
        self.apply(verdicts);
        Some(request)
    }

    fn miss(&mut self, id: JobId) {
        if self.setup.settings.is_none() {
            // The baseline knows no deadlines: its requests run although nobody waits for them.
            return;
        }
        let is_sent = self
            .requests
            .get(&id)
            .is_some_and(|request| request.is_sent);
        let result = match is_sent {
            true => JobResult::TimedOut,
            false => JobResult::Cancelled,
        };
        self.stats.lost += u64::from(self.end(id, result).is_some());
    }

    fn tick(&mut self) {
        for owner in 0..self.owners.len() {
            let mut verdicts = Vec::new();
            self.owners[owner].get().tick(self.now, &mut verdicts);
            self.apply(verdicts);
        }
        self.push(self.now + TICK, Event::Tick);
    }

    fn churn(&mut self) {
        if self.setup.churn == 0.0 {
            return;
        }
        let pause = self.exponential(1.0 / self.setup.churn);
        self.after(pause, Event::Churn);
        let flow = self.random.random_range(0..self.flows.len());
        self.close(flow);
        // Requests in flight keep the owner of the flow: the low half of the hash selects only the upstream.
        let hash = self.flows[flow].hash;
        self.flows[flow].hash = hash >> 32 << 32 | u64::from(self.random.random::<u32>());
        self.flows[flow].is_established = false;
        self.open(flow);
    }

    fn window(&mut self) {
        let max_over_mean = |values: Vec<f64>| {
            let max = values.iter().copied().fold(0.0, f64::max);
            max / mean(&values)
        };
        let work = self
            .servers
            .iter_mut()
            .map(|server| std::mem::take(&mut server.work));
        let work = max_over_mean(work.collect());
        let flows = self.servers.iter().map(|server| f64::from(server.flows));
        let flows = max_over_mean(flows.collect());
        if self.now > self.measured_from() {
            self.stats.work_imbalance.push(work);
            self.stats.flow_imbalance.push(flows);
        }
        self.push(self.now + WINDOW, Event::Window);
    }

    fn fault(&mut self, index: usize) {
        match self.setup.faults[index].1 {
            Fault::Shed(server) => self.servers[server].sheds = true,
            Fault::Silent(server) => self.servers[server].is_silent = true,
            Fault::Restart(server, slowness) => {
                self.servers[server] = Server {
                    slowness,
                    flows: self.servers[server].flows,
                    ..Server::default()
                };
            }
            Fault::Drain(server, is_told) => {
                self.servers[server].drained = Some(self.now);
                for owner in (0..self.owners.len()).filter(|_| is_told) {
                    let delay = 2.5 * self.random.random::<f64>();
                    self.after(delay, Event::Tell(owner, server));
                }
            }
            Fault::AllDown => self.lies.push(Signal::Health {
                is_up: false,
                observed: Duration::ZERO,
            }),
            Fault::AllIdle => self.lies.push(Signal::Load {
                waiting: 0,
                observed: Duration::ZERO,
            }),
        }
    }

    fn tell(&mut self, owner: usize, server: usize, signal: Signal) {
        let id = self.id(server);
        if let Owner::Pool(pool) = &mut self.owners[owner] {
            pool.signal(self.now, id, signal);
        }
    }

    fn report(&mut self) {
        self.after(1.0, Event::Report);
        for lie in self.lies.clone() {
            let observed = self.now;
            let lie = match lie {
                Signal::Health { is_up, .. } => Signal::Health { is_up, observed },
                Signal::Load { waiting, .. } => Signal::Load { waiting, observed },
                Signal::Drain(is_marked) => Signal::Drain(is_marked),
            };
            for server in 0..self.servers.len() {
                (0..self.owners.len()).for_each(|owner| self.tell(owner, server, lie));
            }
        }
    }
}
