//! A queueing model in virtual time: balancers without coordination in front of the upstreams of one pool.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_policy::{
        Map,
        config::{Pool, Resolved, Upstream},
        dispatch::{Dispatcher, FifoDispatcher, Job, JobId, JobResult, Verdict},
        exchange::Effect,
        id::from_upstream,
        pool::{self, Signal},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        mem,
        sync::Arc,
        time::Duration,
    },
};

const SHORT_SECONDS: f64 = 0.02;
const LONG_FACTOR: f64 = 50.0;
const DEADLINE: Duration = Duration::from_secs(10);
const ONE_WAY: Duration = Duration::from_micros(1_500);
const TICK: Duration = Duration::from_millis(5);
/// Requests that an upstream queues itself.
const UPSTREAM_QUEUE: usize = 8;
const WINDOW: Duration = Duration::from_secs(10);
/// Start of the measurement. The offered load changes 5 s earlier, so that the goodput has to settle within seconds.
pub const START: Duration = Duration::from_secs(25);
const STEP: Duration = Duration::from_secs(20);

/// Places a new flow by a random number, the number of flows before it, its hash and the number of upstreams.
pub type Place = fn(usize, usize, usize, usize) -> usize;

/// Something that happens to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Answers 5.03 to everything from now on.
    Shed,
    /// Answers nothing from now on.
    Silent,
    /// Works again, at first this many times slower, and gets faster with each request.
    Restart(f64),
    /// Leaves from now on.
    Drain,
    /// The balancers learn something of it, one after the other within 2.5 s.
    Tell(Signal),
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub balancers: usize,
    pub upstreams: usize,
    pub slots: u32,
    pub flows: usize,
    /// Offered load as a share of capacity; it is 0.5 at first.
    pub load: f64,
    pub long_share: f64,
    /// Flows replaced per second.
    pub churn: f64,
    pub seconds: u64,
    /// `None`: the policy.
    pub place: Option<Place>,
    /// `None`: the baseline with one queue per upstream, unlimited retries and no deadlines.
    pub settings: Option<pool::Settings>,
    /// Time in seconds, upstream and fault.
    pub faults: Vec<(u64, usize, Fault)>,
}

#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub offered: u64,
    /// Short and long requests answered in time.
    pub good: [u64; 2],
    pub good_work: f64,
    pub early: u64,
    pub refused: u64,
    pub dispatches: u64,
    pub latencies: [Vec<f64>; 2],
    pub work_imbalance: Vec<f64>,
    pub flow_imbalance: Vec<f64>,
    /// Flows opened at an upstream more than 3 s after its drain.
    pub late_opens: u64,
}

type Event = Box<dyn FnOnce(&mut Model)>;

trait Owner: Dispatcher {
    fn tell(&mut self, _now: Duration, _upstream: u64, _signal: Signal) {}
}

impl Owner for FifoDispatcher {}

impl Owner for pool::PoolDispatcher {
    fn tell(&mut self, now: Duration, upstream: u64, signal: Signal) {
        self.signal(now, upstream, signal);
    }
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
    fault: Option<Fault>,
    slowness: f64,
    drained: Option<Duration>,
}

pub struct Model {
    setup: Setup,
    now: Duration,
    random: SmallRng,
    events: BTreeMap<(Duration, u64), Event>,
    /// Numbers events and jobs.
    sequence: u64,
    owners: Vec<Box<dyn Owner>>,
    pool: Arc<Resolved>,
    flows: Vec<Flow>,
    servers: Vec<Server>,
    requests: Map<JobId, Request>,
    stats: Stats,
}

impl Setup {
    /// Requests per second that the upstreams can serve.
    pub fn capacity(&self) -> f64 {
        let mean = SHORT_SECONDS * (1.0 + self.long_share * (LONG_FACTOR - 1.0));
        f64::from(self.slots) * self.upstreams as f64 / mean
    }

    pub fn run(&self) -> Stats {
        let pool = resolve(self.upstreams, self.slots);
        let mut random = SmallRng::seed_from_u64(1);
        let flow = |_| Flow {
            hash: random.random(),
            server: None,
            is_established: false,
        };
        let flows = (0..self.flows).map(flow).collect();
        let mut model = Model {
            setup: self.clone(),
            now: Duration::ZERO,
            random,
            events: BTreeMap::new(),
            sequence: 0,
            owners: (0..self.balancers)
                .map(|at| owner(self, &pool, at))
                .collect(),
            pool,
            flows,
            servers: (0..self.upstreams).map(|_| Server::default()).collect(),
            requests: Map::default(),
            stats: Stats::default(),
        };
        model.run();
        model.stats
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

pub fn resolve(upstreams: usize, slots: u32) -> Arc<Resolved> {
    let upstream = |at: usize| Upstream {
        name: at.to_string(),
        address: ([127, 0, 0, 1], at as u16).into(),
        zone: "a".to_owned(),
        weight: 1,
        drain: false,
    };
    let pool = Pool {
        name: "pool".to_owned(),
        generation: 1,
        slots,
        connections: 2_000,
        upstreams: (0..upstreams).map(upstream).collect(),
    };
    Arc::new(Resolved::new(Arc::new(pool)))
}

pub fn id(server: usize) -> u64 {
    from_upstream("pool", &server.to_string())
}

fn owner(setup: &Setup, pool: &Arc<Resolved>, at: usize) -> Box<dyn Owner> {
    let Some(settings) = setup.settings else {
        return Box::new(FifoDispatcher::new(pool));
    };
    let seed = at as u64;
    let settings = pool::Settings { seed, ..settings };
    let balancers = setup.balancers as u32;
    Box::new(pool::PoolDispatcher::new(settings, pool, balancers))
}

impl Model {
    fn run(&mut self) {
        (0..self.flows.len()).for_each(|flow| self.open(flow));
        self.after(Duration::ZERO, Model::arrive);
        self.after(Duration::ZERO, Model::tick);
        self.after(Duration::ZERO, Model::churn);
        self.after(START, Model::window);
        for (at, server, fault) in self.setup.faults.clone() {
            self.after(Duration::from_secs(at), move |model| {
                model.fail(server, fault)
            });
        }
        while let Some(((at, _), event)) = self.events.pop_first()
            && at < Duration::from_secs(self.setup.seconds)
        {
            self.now = at;
            event(self);
        }
    }

    fn after(&mut self, delay: Duration, event: impl FnOnce(&mut Model) + 'static) {
        self.sequence += 1;
        self.events
            .insert((self.now + delay, self.sequence), Box::new(event));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn owner(&mut self, flow: usize) -> &mut dyn Owner {
        let owner = (self.flows[flow].hash >> 32) as usize % self.owners.len();
        &mut *self.owners[owner]
    }

    fn open(&mut self, flow: usize) {
        let (now, hash, count) = (self.now, self.flows[flow].hash, self.servers.len());
        self.sequence += 1;
        let server = match self.setup.place {
            Some(place) => {
                let turn = self.sequence as usize;
                Some(place(
                    self.random.random::<u32>() as usize,
                    turn,
                    hash as usize,
                    count,
                ))
            }
            None => {
                let placement = self.owner(flow).place(now, hash);
                placement.map(|placement| self.pool.positions[&placement.upstream])
            }
        };
        self.flows[flow].server = server;
        let Some(server) = server else { return };
        self.servers[server].flows += 1;
        self.owner(flow).flow_opened(id(server));
        let drained = self.servers[server].drained;
        let is_late = drained.is_some_and(|at| now > at + Duration::from_secs(3));
        self.stats.late_opens += u64::from(is_late);
    }

    fn close(&mut self, flow: usize) {
        if let Some(server) = self.flows[flow].server.take() {
            self.servers[server].flows -= 1;
            self.owner(flow).flow_closed(id(server));
        }
    }

    fn arrive(&mut self) {
        let load = if self.now < STEP {
            0.5
        } else {
            self.setup.load
        };
        let pause = self.exponential(1.0 / (self.setup.capacity() * load));
        self.after(Duration::from_secs_f64(pause), Model::arrive);
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
        self.stats.offered += u64::from(self.now >= START);
        self.submit(request);
    }

    fn submit(&mut self, mut request: Request) {
        let flow = request.flow;
        let server = self.flows[flow].server;
        if !server.is_some_and(|server| self.owner(flow).is_usable(id(server))) {
            self.close(flow);
            self.open(flow);
        }
        let Some(server) = self.flows[flow].server else {
            self.stats.early += 1;
            return;
        };
        request.server = server;
        self.sequence += 1;
        let job = Job {
            id: self.sequence,
            flow: self.flows[flow].hash,
            upstream: id(server),
            class: u64::from(request.is_long),
            established: self.flows[flow].is_established,
            arrived: request.arrived,
            deadline: request.arrived + DEADLINE,
            effect: Effect::Idempotent,
        };
        let (now, job_id) = (self.now, job.id);
        self.after(job.deadline - now, move |model| model.miss(job_id));
        self.requests.insert(job.id, request);
        let mut verdicts = Vec::new();
        self.owner(flow).submit(now, job, &mut verdicts);
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
        let server = request.server;
        self.servers[server].work += request.service;
        self.stats.dispatches += u64::from(request.arrived >= START);
        self.after(ONE_WAY, move |model| model.reach(server, id));
    }

    fn reach(&mut self, at: usize, id: JobId) {
        let server = &mut self.servers[at];
        if server.fault == Some(Fault::Silent) {
            return;
        }
        if server.fault == Some(Fault::Shed) || server.queue.len() >= UPSTREAM_QUEUE {
            return self.after(ONE_WAY, move |model| model.refuse(id));
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
            let service = Duration::from_secs_f64(service);
            self.after(service, move |model| model.done(at, id));
        }
    }

    fn done(&mut self, at: usize, id: JobId) {
        // A request that ran before a restart is lost.
        if self.servers[at].running > 0 && self.servers[at].fault != Some(Fault::Silent) {
            self.servers[at].running -= 1;
            self.after(ONE_WAY, move |model| model.answer(id));
            self.work(at);
        }
    }

    fn refuse(&mut self, id: JobId) {
        let Some(request) = self.end(id, JobResult::Refused) else {
            return;
        };
        self.stats.refused += 1;
        let now = self.now;
        let retry = match self.setup.settings {
            Some(_) => self.owner(request.flow).retry(now, id),
            // The baseline honours the Max-Age of the upstream and nothing else.
            None => Some(now + Duration::from_secs(1)),
        };
        if let Some(at) = retry.filter(|&at| at < request.arrived + DEADLINE) {
            self.after(at - now, move |model| model.submit(request));
        }
    }

    fn answer(&mut self, id: JobId) {
        let Some(request) = self.end(id, JobResult::Answered) else {
            return;
        };
        self.flows[request.flow].is_established = true;
        // Counted at their end: requests that arrived before the measurement make up for those that end after it.
        if self.now < START || self.now > request.arrived + DEADLINE {
            return;
        }
        let kind = usize::from(request.is_long);
        let latency = self.now - request.arrived;
        self.stats.good[kind] += 1;
        self.stats.good_work += request.service;
        self.stats.latencies[kind].push(latency.as_secs_f64());
    }

    fn end(&mut self, id: JobId, result: JobResult) -> Option<Request> {
        let mut request = self.requests.remove(&id)?;
        request.is_sent = false;
        let now = self.now;
        let mut verdicts = Vec::new();
        self.owner(request.flow)
            .finished(now, id, result, &mut verdicts);
        self.apply(verdicts);
        Some(request)
    }

    fn miss(&mut self, id: JobId) {
        if self.setup.settings.is_none() {
            return;
        }
        let is_sent = self
            .requests
            .get(&id)
            .is_some_and(|request| request.is_sent);
        let result = if is_sent {
            JobResult::TimedOut
        } else {
            JobResult::Cancelled
        };
        self.end(id, result);
    }

    fn tick(&mut self) {
        for owner in 0..self.owners.len() {
            let mut verdicts = Vec::new();
            self.owners[owner].tick(self.now, &mut verdicts);
            self.apply(verdicts);
        }
        self.after(TICK, Model::tick);
    }

    fn churn(&mut self) {
        if self.setup.churn == 0.0 {
            return;
        }
        let pause = self.exponential(1.0 / self.setup.churn);
        self.after(Duration::from_secs_f64(pause), Model::churn);
        let flow = self.random.random_range(0..self.flows.len());
        self.close(flow);
        // Requests in flight keep the owner of the flow: the low half of the hash selects only the upstream.
        let hash = self.flows[flow].hash;
        self.flows[flow].hash = hash >> 32 << 32 | u64::from(self.random.random::<u32>());
        self.flows[flow].is_established = false;
        self.open(flow);
    }

    fn window(&mut self) {
        let imbalance =
            |values: Vec<f64>| values.iter().copied().fold(0.0, f64::max) / mean(&values);
        let servers = self.servers.iter_mut();
        let work = imbalance(servers.map(|server| mem::take(&mut server.work)).collect());
        let flows = self.servers.iter().map(|server| f64::from(server.flows));
        if self.now > START {
            self.stats.work_imbalance.push(work);
            self.stats.flow_imbalance.push(imbalance(flows.collect()));
        }
        self.after(WINDOW, Model::window);
    }

    fn fail(&mut self, server: usize, fault: Fault) {
        let state = &mut self.servers[server];
        match fault {
            Fault::Shed | Fault::Silent => state.fault = Some(fault),
            Fault::Restart(slowness) => {
                *state = Server {
                    slowness,
                    flows: state.flows,
                    ..Server::default()
                };
            }
            Fault::Drain => state.drained = Some(self.now),
            Fault::Tell(signal) => {
                let pause = Duration::from_millis(2_500) / self.owners.len() as u32;
                for at in 0..self.owners.len() {
                    self.after(pause * at as u32, move |model| {
                        model.owners[at].tell(model.now, id(server), signal);
                    });
                }
            }
        }
    }
}
