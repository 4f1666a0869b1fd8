//! Comparison of the placement with simpler algorithms in a simulation: long flows on upstreams of two slots at peak
//! load.
//!
//! Several balancers place flows, each by its own counts; the requests of a flow stay on its upstream. As the platform
//! describes it, service times are short, with a tail of requests that take seven times as long.

mod support;

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_steering::{
        placement::{self, Knowledge, Settings},
        upstream::{Load, Upstream},
    },
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration},
    support::{directory, ms, record},
};

const BALANCERS: usize = 8;
const UPSTREAMS: usize = 14;
const SLOTS: usize = 2;

const REQUESTS_PER_FLOW: u32 = 12;

const MEAN_SERVICE_TIME_MS: f64 = 26.0;
/// Mean pause between two requests of a flow.
const MEAN_PAUSE_MS: f64 = 300.0;

/// Simulated time.
const SIMULATION_MS: f64 = 60_000.0;

/// Latency up to which a request counts as served in time.
const LATENCY_TARGET: Duration = Duration::from_millis(150);

type Choose = fn(&[Arc<Upstream>], &mut SmallRng) -> usize;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Flow,
    Request(usize),
    Done(usize, usize),
}

#[derive(Clone, Copy)]
struct Flow {
    balancer: usize,
    upstream: usize,
    remaining_requests: u32,
    sent: Duration,
}

struct Simulation {
    rng: SmallRng,
    choose: Choose,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
    views: Vec<Vec<Arc<Upstream>>>,
    flows: Vec<Flow>,
    busy: [usize; UPSTREAMS],
    queues: Vec<Vec<usize>>,
    in_time: u64,
    late: u64,
}

fn exponential(mean_ms: f64, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-mean_ms * uniform.ln() / 1_000.0)
}

impl Simulation {
    fn new(choose: Choose, seed: u64) -> Simulation {
        let records: Vec<_> = (1..=UPSTREAMS as u64).map(|id| record(id, "a")).collect();
        let view = || {
            let view = support::view(&directory(&records), ms(0));
            view.pools["dispatch"].clone()
        };
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            choose,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            count: 0,
            views: (0..BALANCERS).map(|_| view()).collect(),
            flows: Vec::new(),
            busy: [0; UPSTREAMS],
            queues: vec![Vec::new(); UPSTREAMS],
            in_time: 0,
            late: 0,
        }
    }

    /// Returns the share of requests that are served in time at an offered load of `load`, a fraction of all slots.
    fn run(mut self, load: f64) -> f64 {
        let slots = (UPSTREAMS * SLOTS) as f64;
        // The tail, 3 % of the requests that take seven times as long, adds 18 % to the mean.
        let flow_service_time_ms = f64::from(REQUESTS_PER_FLOW) * MEAN_SERVICE_TIME_MS * 1.18;
        let mean_gap_ms = flow_service_time_ms / (slots * load);
        self.schedule(Duration::ZERO, Event::Flow);
        let end = Duration::from_secs_f64(SIMULATION_MS / 1_000.0);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match event {
                Event::Flow => {
                    self.open_flow();
                    let gap = exponential(mean_gap_ms, &mut self.rng);
                    self.schedule(gap, Event::Flow);
                }
                Event::Request(flow) => self.send_request(flow),
                Event::Done(flow, upstream) => self.finish_request(flow, upstream),
            }
        }
        self.in_time as f64 / (self.in_time + self.late) as f64
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.events
            .push(Reverse((self.now + after, self.count, event)));
    }

    fn add_load(&self, flow: Flow, flows: i32, requests: i32) {
        let load_counters = &self.views[flow.balancer][flow.upstream].load_counters;
        let load = load_counters.load();
        load_counters.set_load(Load {
            flows: load.flows.saturating_add_signed(flows),
            requests: load.requests.saturating_add_signed(requests),
        });
    }

    fn open_flow(&mut self) {
        let balancer = self.rng.random_range(0..BALANCERS);
        let flow = Flow {
            balancer,
            upstream: (self.choose)(&self.views[balancer], &mut self.rng),
            remaining_requests: REQUESTS_PER_FLOW,
            sent: self.now,
        };
        self.add_load(flow, 1, 0);
        self.flows.push(flow);
        self.schedule(Duration::ZERO, Event::Request(self.flows.len() - 1));
    }

    fn send_request(&mut self, index: usize) {
        self.flows[index].sent = self.now;
        let flow = self.flows[index];
        self.add_load(flow, 0, 1);
        if self.busy[flow.upstream] < SLOTS {
            self.start_service(index);
        } else {
            self.queues[flow.upstream].push(index);
        }
    }

    fn start_service(&mut self, index: usize) {
        let upstream = self.flows[index].upstream;
        self.busy[upstream] += 1;
        let tail = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
        let work = exponential(MEAN_SERVICE_TIME_MS * tail, &mut self.rng);
        self.schedule(work, Event::Done(index, upstream));
    }

    fn finish_request(&mut self, index: usize, upstream: usize) {
        self.busy[upstream] -= 1;
        let flow = self.flows[index];
        self.add_load(flow, 0, -1);
        if self.now - flow.sent <= LATENCY_TARGET {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
        if !self.queues[upstream].is_empty() {
            let next = self.queues[upstream].remove(0);
            self.start_service(next);
        }
        self.flows[index].remaining_requests -= 1;
        if self.flows[index].remaining_requests == 0 {
            self.add_load(flow, -1, 0);
        } else {
            let pause = exponential(MEAN_PAUSE_MS, &mut self.rng);
            self.schedule(pause, Event::Request(index));
        }
    }
}

fn lowest_score(upstreams: &[Arc<Upstream>], rng: &mut SmallRng) -> usize {
    let (settings, knowledge) = (Settings::default(), Knowledge::default());
    let choice = placement::choose(&settings, ms(0), "a", upstreams, |_| true, &knowledge, rng);
    let id = choice.expect("a pool with upstreams").upstream.record.id;
    id as usize - 1
}

fn random(upstreams: &[Arc<Upstream>], rng: &mut SmallRng) -> usize {
    rng.random_range(0..upstreams.len())
}

fn least_flows(upstreams: &[Arc<Upstream>], rng: &mut SmallRng) -> usize {
    let start = rng.random_range(0..upstreams.len());
    let indices = (0..upstreams.len()).map(|step| (start + step) % upstreams.len());
    indices
        .min_by_key(|&index| upstreams[index].load_counters.load().flows)
        .unwrap_or_default()
}

fn two_choices(upstreams: &[Arc<Upstream>], rng: &mut SmallRng) -> usize {
    let (a, b) = (random(upstreams, rng), random(upstreams, rng));
    let flows = |index: usize| upstreams[index].load_counters.load().flows;
    if flows(a) <= flows(b) { a } else { b }
}

fn mean_share_in_time(choose: Choose, load: f64) -> f64 {
    let shares = (0..5).map(|seed| Simulation::new(choose, seed).run(load));
    shares.sum::<f64>() / 5.0
}

/// Guards against a placement that serves fewer requests in time than a simpler algorithm, at peak load and below.
#[test]
fn the_score_serves_more_requests_in_time_than_its_baselines() {
    for load in [0.5, 0.7, 0.85] {
        let score = mean_share_in_time(lowest_score, load);
        let baselines = [
            mean_share_in_time(random, load),
            mean_share_in_time(two_choices, load),
            mean_share_in_time(least_flows, load),
        ];
        println!("load {load}: score {score:.4}, random, two choices, least flows {baselines:.4?}");
        // Least flows lacks only the requests in flight, a difference that a few seeds cannot always show.
        assert!(score > baselines[0], "random is better at {load}");
        assert!(score > baselines[1], "two choices are better at {load}");
        assert!(
            score > baselines[2] - 0.002,
            "least flows are better at {load}"
        );
    }
}
