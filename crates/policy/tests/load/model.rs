//! Queueing model in virtual time: balancers that do not coordinate distribute requests to the upstreams of one pool.
//!
//! Requests are short or long, with exponential service times. They arrive as a Poisson process, each on a random flow.

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

/// Mean service time of short requests.
const SHORT_MEAN_SECONDS: f64 = 0.02;
/// Ratio of the mean service times of long and short requests.
const LONG_FACTOR: f64 = 50.0;
const DEADLINE: Duration = Duration::from_secs(10);
/// Network delay between balancers and upstreams.
const ONE_WAY_DELAY: Duration = Duration::from_micros(1_500);
const TICK: Duration = Duration::from_millis(5);
/// Number of requests that an upstream queues before it refuses more.
const UPSTREAM_QUEUE_LIMIT: usize = 8;
/// Interval over which the imbalance is measured.
const IMBALANCE_WINDOW: Duration = Duration::from_secs(10);
/// Start of the measurement. The offered load changes 5 s earlier, so the goodput has to settle within that time.
pub const MEASUREMENT_START: Duration = Duration::from_secs(25);
/// Time at which the offered load changes from 0.5 to [`Setup::load`].
const LOAD_CHANGE: Duration = Duration::from_secs(20);

/// Selects the upstream of a new flow by a random number, a sequence number, the hash of the flow and the number of
/// upstreams.
pub type PlacementFunction = fn(usize, usize, usize, usize) -> usize;

/// A fault or a change of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Answers every request with 5.03 (Service Unavailable).
    Shed,
    /// Answers no requests.
    Silent,
    /// Works again. Its service time is longer by this multiple at first, which decreases with each request.
    Restart(f64),
    /// Starts to drain; only [`Fault::Report`] tells the balancers.
    Drain,
    /// The balancers receive a report about the upstream, one after the other within 2.5 s.
    Report(Signal),
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub balancers: usize,
    pub upstreams: usize,
    pub slots: u32,
    pub flows: usize,
    /// Offered load as a share of capacity, from [`LOAD_CHANGE`] on.
    pub load: f64,
    pub long_share: f64,
    /// Flows replaced per second.
    pub churn: f64,
    pub seconds: u64,
    /// How flows are placed; `None` stands for the policy under test.
    pub placement: Option<PlacementFunction>,
    /// Settings of the policy; `None` stands for the baseline with one queue per upstream, unlimited retries and no
    /// deadlines.
    pub settings: Option<pool::Settings>,
    /// Faults with their time in seconds and their upstream.
    pub faults: Vec<(u64, usize, Fault)>,
}

#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub offered: u64,
    /// Short and long requests that were answered before their deadlines.
    pub answered_in_time: [u64; 2],
    pub answered_work_seconds: f64,
    /// Requests that a balancer refused.
    pub refused_early: u64,
    pub refused_by_upstream: u64,
    pub dispatches: u64,
    pub latencies: [Vec<f64>; 2],
    pub work_imbalance: Vec<f64>,
    pub flow_imbalance: Vec<f64>,
    /// Flows that opened on an upstream more than 3 s after its drain began.
    pub flows_after_drain: u64,
}

type Event = Box<dyn FnOnce(&mut Model)>;

trait ModelDispatcher: Dispatcher {
    fn report(&mut self, _now: Duration, _upstream: u64, _signal: Signal) {}
}

impl ModelDispatcher for FifoDispatcher {}

impl ModelDispatcher for pool::PoolDispatcher {
    fn report(&mut self, now: Duration, upstream: u64, signal: Signal) {
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
    is_dispatched: bool,
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
    slowdown: f64,
    drained: Option<Duration>,
}

pub struct Model {
    setup: Setup,
    now: Duration,
    random: SmallRng,
    events: BTreeMap<(Duration, u64), Event>,
    /// Last number of an event, job or flow placement.
    sequence: u64,
    /// One dispatcher for each balancer.
    dispatchers: Vec<Box<dyn ModelDispatcher>>,
    pool: Arc<Resolved>,
    flows: Vec<Flow>,
    servers: Vec<Server>,
    requests: Map<JobId, Request>,
    stats: Stats,
}

impl Setup {
    /// Requests per second that the upstreams can serve.
    pub fn capacity(&self) -> f64 {
        let mean = SHORT_MEAN_SECONDS * (1.0 + self.long_share * (LONG_FACTOR - 1.0));
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
            dispatchers: (0..self.balancers)
                .map(|at| new_dispatcher(self, &pool, at))
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

fn new_dispatcher(setup: &Setup, pool: &Arc<Resolved>, at: usize) -> Box<dyn ModelDispatcher> {
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
        (0..self.flows.len()).for_each(|flow| self.open_flow(flow));
        self.schedule(Duration::ZERO, Model::generate_request);
        self.schedule(Duration::ZERO, Model::tick);
        self.schedule(Duration::ZERO, Model::replace_flow);
        self.schedule(MEASUREMENT_START, Model::record_imbalance);
        for (at, server, fault) in self.setup.faults.clone() {
            self.schedule(Duration::from_secs(at), move |model| {
                model.apply_fault(server, fault)
            });
        }
        while let Some(((at, _), event)) = self.events.pop_first()
            && at < Duration::from_secs(self.setup.seconds)
        {
            self.now = at;
            event(self);
        }
    }

    fn schedule(&mut self, delay: Duration, event: impl FnOnce(&mut Model) + 'static) {
        self.sequence += 1;
        self.events
            .insert((self.now + delay, self.sequence), Box::new(event));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn dispatcher(&mut self, flow: usize) -> &mut dyn ModelDispatcher {
        let index = (self.flows[flow].hash >> 32) as usize % self.dispatchers.len();
        &mut *self.dispatchers[index]
    }

    fn open_flow(&mut self, flow: usize) {
        let (now, hash, count) = (self.now, self.flows[flow].hash, self.servers.len());
        self.sequence += 1;
        let server = match self.setup.placement {
            Some(placement) => {
                let turn = self.sequence as usize;
                Some(placement(
                    self.random.random::<u32>() as usize,
                    turn,
                    hash as usize,
                    count,
                ))
            }
            None => {
                let placement = self.dispatcher(flow).place(now, hash);
                placement.map(|placement| self.pool.positions[&placement.upstream])
            }
        };
        self.flows[flow].server = server;
        let Some(server) = server else { return };
        self.servers[server].flows += 1;
        self.dispatcher(flow).flow_opened(id(server));
        let drained = self.servers[server].drained;
        let is_late = drained.is_some_and(|at| now > at + Duration::from_secs(3));
        self.stats.flows_after_drain += u64::from(is_late);
    }

    fn close_flow(&mut self, flow: usize) {
        if let Some(server) = self.flows[flow].server.take() {
            self.servers[server].flows -= 1;
            self.dispatcher(flow).flow_closed(id(server));
        }
    }

    fn generate_request(&mut self) {
        let load = if self.now < LOAD_CHANGE {
            0.5
        } else {
            self.setup.load
        };
        let delay = self.exponential(1.0 / (self.setup.capacity() * load));
        self.schedule(Duration::from_secs_f64(delay), Model::generate_request);
        let flow = self.random.random_range(0..self.flows.len());
        let is_long = self.random.random_bool(self.setup.long_share);
        let mean = SHORT_MEAN_SECONDS * if is_long { LONG_FACTOR } else { 1.0 };
        let request = Request {
            flow,
            server: 0,
            is_long,
            service: self.exponential(mean),
            arrived: self.now,
            is_dispatched: false,
        };
        self.stats.offered += u64::from(self.now >= MEASUREMENT_START);
        self.submit(request);
    }

    fn submit(&mut self, mut request: Request) {
        let flow = request.flow;
        let server = self.flows[flow].server;
        if !server.is_some_and(|server| self.dispatcher(flow).is_usable(id(server))) {
            self.close_flow(flow);
            self.open_flow(flow);
        }
        let Some(server) = self.flows[flow].server else {
            self.stats.refused_early += 1;
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
        self.schedule(job.deadline - now, move |model| {
            model.handle_deadline(job_id)
        });
        self.requests.insert(job.id, request);
        let mut verdicts = Vec::new();
        self.dispatcher(flow).submit(now, job, &mut verdicts);
        self.apply_verdicts(verdicts);
    }

    fn apply_verdicts(&mut self, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            match verdict {
                Verdict::Dispatch(id) => self.dispatch(id),
                Verdict::Refuse { id, .. } => {
                    self.requests.remove(&id);
                    self.stats.refused_early += 1;
                }
            }
        }
    }

    fn dispatch(&mut self, id: JobId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        assert!(!request.is_dispatched, "job {id} was dispatched twice");
        request.is_dispatched = true;
        let server = request.server;
        self.servers[server].work += request.service;
        self.stats.dispatches += u64::from(request.arrived >= MEASUREMENT_START);
        self.schedule(ONE_WAY_DELAY, move |model| {
            model.arrive_at_upstream(server, id)
        });
    }

    fn arrive_at_upstream(&mut self, at: usize, id: JobId) {
        let server = &mut self.servers[at];
        if server.fault == Some(Fault::Silent) {
            return;
        }
        if server.fault == Some(Fault::Shed) || server.queue.len() >= UPSTREAM_QUEUE_LIMIT {
            return self.schedule(ONE_WAY_DELAY, move |model| model.handle_refusal(id));
        }
        server.queue.push_back(id);
        self.start_queued_requests(at);
    }

    fn start_queued_requests(&mut self, at: usize) {
        while self.servers[at].running < self.setup.slots
            && let Some(id) = self.servers[at].queue.pop_front()
        {
            // The upstream skips requests whose deadline has passed, which are no longer in the map.
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let server = &mut self.servers[at];
            server.running += 1;
            let service = request.service * (1.0 + server.slowdown);
            server.slowdown *= 0.99;
            let service = Duration::from_secs_f64(service);
            self.schedule(service, move |model| model.complete_request(at, id));
        }
    }

    fn complete_request(&mut self, at: usize, id: JobId) {
        // A restart resets the number of running requests, and the requests are lost.
        if self.servers[at].running > 0 && self.servers[at].fault != Some(Fault::Silent) {
            self.servers[at].running -= 1;
            self.schedule(ONE_WAY_DELAY, move |model| model.handle_answer(id));
            self.start_queued_requests(at);
        }
    }

    fn handle_refusal(&mut self, id: JobId) {
        let Some(request) = self.finish_job(id, JobResult::Refused) else {
            return;
        };
        self.stats.refused_by_upstream += 1;
        let now = self.now;
        let retry = match self.setup.settings {
            Some(_) => self.dispatcher(request.flow).retry(now, id),
            // The baseline waits for the Max-Age of the upstream and always retries.
            None => Some(now + Duration::from_secs(1)),
        };
        if let Some(at) = retry.filter(|&at| at < request.arrived + DEADLINE) {
            self.schedule(at - now, move |model| model.submit(request));
        }
    }

    fn handle_answer(&mut self, id: JobId) {
        let Some(request) = self.finish_job(id, JobResult::Answered) else {
            return;
        };
        self.flows[request.flow].is_established = true;
        // Requests count when they are answered. Those that arrived before the measurement compensate for those that
        // are answered after it.
        if self.now < MEASUREMENT_START || self.now > request.arrived + DEADLINE {
            return;
        }
        let kind = usize::from(request.is_long);
        let latency = self.now - request.arrived;
        self.stats.answered_in_time[kind] += 1;
        self.stats.answered_work_seconds += request.service;
        self.stats.latencies[kind].push(latency.as_secs_f64());
    }

    fn finish_job(&mut self, id: JobId, result: JobResult) -> Option<Request> {
        let mut request = self.requests.remove(&id)?;
        request.is_dispatched = false;
        let now = self.now;
        let mut verdicts = Vec::new();
        self.dispatcher(request.flow)
            .finished(now, id, result, &mut verdicts);
        self.apply_verdicts(verdicts);
        Some(request)
    }

    fn handle_deadline(&mut self, id: JobId) {
        if self.setup.settings.is_none() {
            return;
        }
        let is_dispatched = self
            .requests
            .get(&id)
            .is_some_and(|request| request.is_dispatched);
        let result = if is_dispatched {
            JobResult::TimedOut
        } else {
            JobResult::Cancelled
        };
        self.finish_job(id, result);
    }

    fn tick(&mut self) {
        for index in 0..self.dispatchers.len() {
            let mut verdicts = Vec::new();
            self.dispatchers[index].tick(self.now, &mut verdicts);
            self.apply_verdicts(verdicts);
        }
        self.schedule(TICK, Model::tick);
    }

    fn replace_flow(&mut self) {
        if self.setup.churn == 0.0 {
            return;
        }
        let delay = self.exponential(1.0 / self.setup.churn);
        self.schedule(Duration::from_secs_f64(delay), Model::replace_flow);
        let flow = self.random.random_range(0..self.flows.len());
        self.close_flow(flow);
        // The new flow keeps the high half of the hash, which selects the owner, so that requests in flight keep
        // theirs. The low half selects only the upstream.
        let hash = self.flows[flow].hash;
        self.flows[flow].hash = hash >> 32 << 32 | u64::from(self.random.random::<u32>());
        self.flows[flow].is_established = false;
        self.open_flow(flow);
    }

    fn record_imbalance(&mut self) {
        let imbalance =
            |values: Vec<f64>| values.iter().copied().fold(0.0, f64::max) / mean(&values);
        let servers = self.servers.iter_mut();
        let work = imbalance(servers.map(|server| mem::take(&mut server.work)).collect());
        let flows = self.servers.iter().map(|server| f64::from(server.flows));
        if self.now > MEASUREMENT_START {
            self.stats.work_imbalance.push(work);
            self.stats.flow_imbalance.push(imbalance(flows.collect()));
        }
        self.schedule(IMBALANCE_WINDOW, Model::record_imbalance);
    }

    fn apply_fault(&mut self, server: usize, fault: Fault) {
        let state = &mut self.servers[server];
        match fault {
            Fault::Shed | Fault::Silent => state.fault = Some(fault),
            Fault::Restart(slowdown) => {
                *state = Server {
                    slowdown,
                    flows: state.flows,
                    ..Server::default()
                };
            }
            Fault::Drain => state.drained = Some(self.now),
            Fault::Report(signal) => {
                let delay = Duration::from_millis(2_500) / self.dispatchers.len() as u32;
                for at in 0..self.dispatchers.len() {
                    self.schedule(delay * at as u32, move |model| {
                        model.dispatchers[at].report(model.now, id(server), signal);
                    });
                }
            }
        }
    }
}
