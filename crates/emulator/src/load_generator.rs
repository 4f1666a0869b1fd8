//! Open-loop load generator: requests arrive as a seeded Poisson process and are spread over a fixed number of flows.
//!
//! Arrivals do not wait for responses, and latency is measured from the arrival, including the time that a request
//! waits for the previous one of its flow. A slow service therefore shows up as slow (no coordinated omission).

use {
    crate::{
        exchange::{self, Exchange, Outcome, Received, Request},
        socket::MAX_DATAGRAM_BYTES,
    },
    coap_lite::RequestType,
    hdrhistogram::Histogram,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        net::UdpSocket,
        runtime::{self, Runtime},
        sync::{mpsc, watch},
        time,
    },
};

/// Time limit for the shutdown of the runtime.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Significant decimal digits of the recorded latencies.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// A kind of request in the generated mix.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name in the report.
    pub name: &'static str,
    /// Method.
    pub method: RequestType,
    /// Path, which has a single segment.
    pub path: String,
    /// Share of the arrivals relative to the other kinds.
    pub weight: u32,
}

/// Settings of a load generator.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the service.
    pub service: SocketAddr,
    /// Number of flows; each has one request in flight at a time.
    pub flows: usize,
    /// Mean arrivals per second over all flows.
    pub rate: f64,
    /// Kinds of requests.
    pub mix: Vec<RequestKind>,
    /// Time after which a caller stops waiting for a response.
    pub timeout: Duration,
    /// Number of threads.
    pub threads: usize,
    /// Seed of the arrival times, the kinds and the choice of flows.
    pub seed: u64,
}

/// Counts and latencies of the requests of one kind.
#[derive(Clone, Debug)]
pub struct KindStats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests with a response of the service itself.
    pub answered: u64,
    /// Requests refused with 5.03.
    pub refused: u64,
    /// Requests whose response was 5.04: they may have run.
    pub unknown: u64,
    /// Requests without a response within the timeout.
    pub timed_out: u64,
    /// Responses whose payload does not echo the query of the request.
    pub mismatched: u64,
    /// Retransmissions.
    pub retransmissions: u64,
    /// Time from the arrival to the response of the service, in microseconds.
    pub latency: Histogram<u64>,
}

/// Results of a load generator.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Counts and latencies by the name of the request kind.
    pub kinds: BTreeMap<&'static str, KindStats>,
    /// Responses that came from another upstream than the previous response of the same flow.
    pub upstream_changes: u64,
    /// Queries of the requests refused with 5.03, which must not have run.
    pub refused: Vec<String>,
    /// Queries of the POST requests with a response of the service itself.
    pub answered: Vec<String>,
}

/// A running load generator.
pub struct LoadGenerator {
    runtime: Runtime,
    report: Arc<Mutex<Report>>,
    stop: watch::Sender<bool>,
    flows: Vec<tokio::task::JoinHandle<()>>,
}

struct Arrival {
    time: Instant,
    kind: RequestKind,
    query: String,
}

struct Flow {
    socket: UdpSocket,
    random: SmallRng,
    next_message_id: u16,
    timeout: Duration,
    upstream: Option<String>,
    report: Arc<Mutex<Report>>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            service: SocketAddr::from(([127, 0, 0, 1], 5683)),
            flows: 50,
            rate: 100.0,
            mix: vec![RequestKind::default()],
            timeout: Duration::from_secs(30),
            threads: 2,
            seed: 1,
        }
    }
}

impl Default for RequestKind {
    fn default() -> RequestKind {
        RequestKind {
            name: "short",
            method: RequestType::Get,
            path: "stops".to_owned(),
            weight: 1,
        }
    }
}

impl Default for KindStats {
    fn default() -> KindStats {
        KindStats {
            arrived: 0,
            answered: 0,
            refused: 0,
            unknown: 0,
            timed_out: 0,
            mismatched: 0,
            retransmissions: 0,
            latency: Histogram::new(LATENCY_SIGNIFICANT_DIGITS)
                .expect("the number of digits is valid"),
        }
    }
}

impl LoadGenerator {
    /// Starts a load generator on threads of its own.
    ///
    /// # Errors
    ///
    /// Fails if a socket or the threads cannot be created.
    pub fn start(settings: Settings) -> io::Result<LoadGenerator> {
        let mut builder = runtime::Builder::new_multi_thread();
        let builder = builder.worker_threads(settings.threads).enable_all();
        let runtime = builder.thread_name("load").build()?;
        let report = Arc::new(Mutex::new(Report::default()));
        let (stop, stop_requested) = watch::channel(false);
        let mut queues = Vec::new();
        let mut flows = Vec::new();
        for index in 0..settings.flows {
            let seed = settings.seed.wrapping_add(index as u64 + 1);
            let flow = runtime.block_on(Flow::open(&settings, seed, Arc::clone(&report)))?;
            let (queue, arrivals) = mpsc::unbounded_channel();
            queues.push(queue);
            flows.push(runtime.spawn(flow.run(arrivals)));
        }
        runtime.spawn(generate_arrivals(
            settings,
            queues,
            stop_requested,
            Arc::clone(&report),
        ));
        Ok(LoadGenerator {
            runtime,
            report,
            stop,
            flows,
        })
    }

    /// Returns the results so far.
    pub fn report(&self) -> Report {
        lock(&self.report).clone()
    }

    /// Ends the arrivals, waits for the requests in flight and returns the results.
    pub fn finish(self) -> Report {
        let _ = self.stop.send(true);
        self.runtime.block_on(async {
            for flow in self.flows {
                let _ = flow.await;
            }
        });
        self.runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
        lock(&self.report).clone()
    }
}

impl Report {
    /// Returns the sum over all kinds.
    pub fn total(&self) -> KindStats {
        let mut total = KindStats::default();
        for stats in self.kinds.values() {
            total.arrived += stats.arrived;
            total.answered += stats.answered;
            total.refused += stats.refused;
            total.unknown += stats.unknown;
            total.timed_out += stats.timed_out;
            total.mismatched += stats.mismatched;
            total.retransmissions += stats.retransmissions;
            let _ = total.latency.add(&stats.latency);
        }
        total
    }
}

impl Flow {
    async fn open(settings: &Settings, seed: u64, report: Arc<Mutex<Report>>) -> io::Result<Flow> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        socket.connect(settings.service).await?;
        Ok(Flow {
            socket,
            random: SmallRng::seed_from_u64(seed),
            next_message_id: 1,
            timeout: settings.timeout,
            upstream: None,
            report,
        })
    }

    async fn run(mut self, mut arrivals: mpsc::UnboundedReceiver<Arrival>) {
        while let Some(arrival) = arrivals.recv().await {
            let request = Request {
                method: arrival.kind.method,
                path: arrival.kind.path.clone(),
                query: Some(arrival.query.clone()),
                payload: arrival.query.clone().into_bytes(),
                ..Request::default()
            };
            let mut exchange = Exchange::new(&request, self.next_message_id, &mut self.random);
            self.next_message_id = self.next_message_id.wrapping_add(1);
            let response = time::timeout(self.timeout, self.run_exchange(&mut exchange)).await;
            self.record_outcome(&arrival, &exchange, response.ok());
        }
    }

    async fn run_exchange(&self, exchange: &mut Exchange) -> coap_lite::Packet {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            if let Some(bytes) = exchange.poll_transmit() {
                let _ = self.socket.send(bytes).await;
            }
            let fallback = Instant::now() + self.timeout;
            let wake = time::sleep_until(exchange.next_transmission().unwrap_or(fallback).into());
            let length = tokio::select! {
                received = self.socket.recv(&mut buffer) => received,
                () = wake => continue,
            };
            let Ok(length) = length else {
                continue;
            };
            let (received, acknowledgement) = exchange.handle_datagram(&buffer[..length]);
            if let Some(bytes) = acknowledgement {
                let _ = self.socket.send(&bytes).await;
            }
            if let Received::Response(response) = received {
                return *response;
            }
        }
    }

    fn record_outcome(
        &mut self,
        arrival: &Arrival,
        exchange: &Exchange,
        response: Option<coap_lite::Packet>,
    ) {
        let mut report = lock(&self.report);
        let stats = report.kinds.entry(arrival.kind.name).or_default();
        stats.retransmissions += u64::from(exchange.retransmissions());
        let Some(response) = response else {
            stats.timed_out += 1;
            return;
        };
        match exchange::outcome(&response) {
            Outcome::Refused => {
                stats.refused += 1;
                report.refused.push(arrival.query.clone());
            }
            Outcome::Unknown => stats.unknown += 1,
            Outcome::Answered => {
                stats.answered += 1;
                let elapsed = arrival.time.elapsed().as_micros();
                let _ = stats.latency.record(elapsed as u64);
                let payload = String::from_utf8_lossy(&response.payload).into_owned();
                stats.mismatched += u64::from(!payload.ends_with(&arrival.query));
                let upstream = payload.split(' ').next().map(str::to_owned);
                let has_changed = self.upstream.is_some() && self.upstream != upstream;
                report.upstream_changes += u64::from(has_changed);
                if arrival.kind.method == RequestType::Post {
                    report.answered.push(arrival.query.clone());
                }
                self.upstream = upstream;
            }
        }
    }
}

async fn generate_arrivals(
    settings: Settings,
    queues: Vec<mpsc::UnboundedSender<Arrival>>,
    mut stop_requested: watch::Receiver<bool>,
    report: Arc<Mutex<Report>>,
) {
    let mut random = SmallRng::seed_from_u64(settings.seed);
    let mut time = Instant::now();
    for number in 0_u64.. {
        let uniform: f64 = random.random();
        time += Duration::from_secs_f64(-(1.0 - uniform).ln() / settings.rate);
        tokio::select! {
            () = time::sleep_until(time.into()) => {}
            _ = stop_requested.changed() => return,
        }
        let kind = choose_kind(&settings.mix, &mut random);
        let query = format!("id={}-{number}", settings.seed);
        lock(&report).kinds.entry(kind.name).or_default().arrived += 1;
        let flow = random.random_range(0..queues.len());
        let arrival = Arrival { time, kind, query };
        if queues[flow].send(arrival).is_err() {
            return;
        }
    }
}

fn choose_kind(mix: &[RequestKind], random: &mut SmallRng) -> RequestKind {
    let total: u32 = mix.iter().map(|kind| kind.weight).sum();
    let mut rest = random.random_range(0..total);
    for kind in mix {
        if rest < kind.weight {
            return kind.clone();
        }
        rest -= kind.weight;
    }
    mix[0].clone()
}

fn lock(report: &Mutex<Report>) -> MutexGuard<'_, Report> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}
