//! Emulated upstream: a CoAP server with a fixed number of slots and a bounded queue.
//!
//! It enforces the deadlines of requests, reports its load, sheds load with 5.03, accepts cancellations, and counts the
//! runs of each non-idempotent request, so that a test can find one that ran twice.

use {
    crate::{
        job::{Job, RequestId},
        response::{self, Load, Response},
        socket::{self, StopFlag},
    },
    coap_lite::{MessageClass, MessageType, Packet, RequestType},
    crossbeam::channel::{self, Receiver, Sender, TrySendError},
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, VecDeque},
        io,
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time after which a request gets an empty acknowledgement and its response follows separately. It is below
/// ACK_TIMEOUT (2 s, RFC 7252), so that the sender does not retransmit.
const ACK_DELAY: Duration = Duration::from_millis(1_500);

/// Interval at which a slot checks whether its request was cancelled.
const CANCELLATION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Limit on the recent requests kept to recognize retransmissions.
const MAX_CACHED_REQUESTS: usize = 16_384;

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the CoAP server; port 0 binds a free port.
    pub address: SocketAddr,
    /// Name, with which the payload of a text response starts.
    pub name: String,
    /// Service that the upstream belongs to; requests for others are counted and refused with 5.05.
    pub service: String,
    /// Requests that run at a time.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are refused with 5.03.
    pub queue: usize,
    /// Initial behaviour, which can be changed while the upstream runs.
    pub behaviour: Behaviour,
}

/// Behaviour of an upstream that can be changed while it runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Service time of a request.
    pub service_time: Duration,
    /// First path segment of requests that take `long_time`.
    pub long_path: String,
    /// Service time of a request to `long_path`.
    pub long_time: Duration,
    /// Whether it reports that it is draining; it still serves requests.
    pub draining: bool,
    /// Whether it refuses every request with 5.03.
    pub refusing: bool,
    /// Whether it drops every message and sends nothing.
    pub silent: bool,
    /// Length of the resource `/bundle`, which is served in blocks.
    pub bundle_bytes: usize,
}

/// Counters of an upstream.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that ran.
    pub ran: AtomicU64,
    /// Requests for another service.
    pub misdelivered: AtomicU64,
    /// Requests refused with 5.03.
    pub refused: AtomicU64,
    /// Requests whose deadline had passed before they could run.
    pub expired: AtomicU64,
    /// Requests cancelled before or during their run.
    pub cancelled: AtomicU64,
    /// Requests received, including retransmissions.
    pub received: AtomicU64,
}

/// A running upstream; it stops when dropped.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: StopFlag,
}

#[derive(Debug)]
struct Shared {
    socket: UdpSocket,
    settings: Settings,
    behaviour: RwLock<Behaviour>,
    counters: Counters,
    busy: AtomicUsize,
    cache: Mutex<DeduplicationCache>,
    executed: Mutex<BTreeMap<Vec<u8>, u32>>,
}

/// Recent requests by ID, to recognize retransmissions and to find the request that a reset cancels.
#[derive(Debug, Default)]
struct DeduplicationCache {
    order: VecDeque<RequestId>,
    entries: FxHashMap<RequestId, CachedRequest>,
}

#[derive(Debug)]
struct CachedRequest {
    cancelled: Arc<AtomicBool>,
    response: Option<Vec<u8>>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "upstream".to_owned(),
            service: "service".to_owned(),
            slots: 2,
            queue: 64,
            behaviour: Behaviour::default(),
        }
    }
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            service_time: Duration::ZERO,
            long_path: "long".to_owned(),
            long_time: Duration::from_millis(500),
            draining: false,
            refusing: false,
            silent: false,
            bundle_bytes: 1 << 20,
        }
    }
}

impl Upstream {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Upstream> {
        let socket = UdpSocket::bind(settings.address)?;
        let address = socket.local_addr()?;
        let (sender, receiver) = channel::bounded(settings.queue);
        let slots = settings.slots;
        let shared = Arc::new(Shared {
            socket: socket.try_clone()?,
            behaviour: RwLock::new(settings.behaviour.clone()),
            settings,
            counters: Counters::default(),
            busy: AtomicUsize::default(),
            cache: Mutex::default(),
            executed: Mutex::default(),
        });
        for _ in 0..slots {
            let (shared, jobs) = (Arc::clone(&shared), receiver.clone());
            thread::spawn(move || shared.run_slot(&jobs));
        }
        let stop = StopFlag::default();
        let receiving = Arc::clone(&shared);
        socket::spawn_receiver(&socket, &stop, move |_, source, bytes| {
            receiving.handle_datagram(&sender, source, bytes);
        })?;
        Ok(Upstream {
            address,
            shared,
            stop,
        })
    }

    /// Returns the address of the CoAP server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Changes the behaviour of the running upstream.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        let behaviour = self.shared.behaviour.write();
        change(&mut behaviour.unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns how often each non-idempotent request with a payload ran, keyed by the payload.
    pub fn executed(&self) -> BTreeMap<Vec<u8>, u32> {
        self.shared.executed().clone()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.stop.set();
    }
}

impl Shared {
    fn behaviour(&self) -> Behaviour {
        let behaviour = self.behaviour.read();
        behaviour.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn cache(&self) -> MutexGuard<'_, DeduplicationCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn executed(&self) -> MutexGuard<'_, BTreeMap<Vec<u8>, u32>> {
        self.executed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle_datagram(&self, jobs: &Sender<Job>, source: SocketAddr, bytes: &[u8]) {
        if self.behaviour().silent {
            return;
        }
        let Ok(packet) = Packet::from_bytes(bytes) else {
            return;
        };
        match (packet.header.code, packet.header.get_type()) {
            (MessageClass::Empty, MessageType::Reset) => {
                self.cancel(source, packet.header.message_id);
            }
            (MessageClass::Request(_), MessageType::Confirmable) => {
                self.enqueue(jobs, source, packet);
            }
            _ => {}
        }
    }

    fn enqueue(&self, jobs: &Sender<Job>, source: SocketAddr, packet: Packet) {
        self.counters.received.fetch_add(1, Ordering::Relaxed);
        let cancelled = Arc::new(AtomicBool::new(false));
        let job = Job::new(source, packet, Arc::clone(&cancelled));
        if let Some(response) = self.cache().find_or_insert(&job.id, cancelled) {
            if let Some(bytes) = response {
                let _ = self.socket.send_to(&bytes, source);
            }
            return;
        }
        let load = self.load(jobs.len());
        if self.behaviour().refusing {
            return self.refuse(&job, load);
        }
        if let Err(TrySendError::Full(job)) = jobs.try_send(job) {
            self.refuse(&job, load);
        }
    }

    fn cancel(&self, source: SocketAddr, message_id: u16) {
        let cache = self.cache();
        let mut ids = cache.order.iter().rev();
        let id = ids.find(|id| id.source == source && id.message_id == message_id);
        if let Some(request) = id.and_then(|id| cache.entries.get(id)) {
            request.cancelled.store(true, Ordering::Relaxed);
        }
    }

    fn run_slot(&self, jobs: &Receiver<Job>) {
        for mut job in jobs {
            self.busy.fetch_add(1, Ordering::Relaxed);
            let response = self.run_request(&mut job);
            // Frees the slot before sending the response, because its receiver may send the next request at once.
            self.busy.fetch_sub(1, Ordering::Relaxed);
            if let Some(response) = response {
                self.respond(&job, &response, self.load(jobs.len()));
            }
        }
    }

    fn run_request(&self, job: &mut Job) -> Option<Response> {
        let behaviour = self.behaviour();
        if behaviour.silent {
            return None;
        }
        if job.service() != Some(self.settings.service.as_bytes()) {
            self.counters.misdelivered.fetch_add(1, Ordering::Relaxed);
            return Some(Response::OtherService);
        }
        if job.is_cancelled() {
            self.counters.cancelled.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        if job.is_expired() {
            self.counters.expired.fetch_add(1, Ordering::Relaxed);
            return Some(Response::Refused);
        }
        let ran = self.counters.ran.fetch_add(1, Ordering::Relaxed) + 1;
        self.record_execution(job);
        let is_long = job.first_segment() == Some(behaviour.long_path.as_bytes());
        let time = if is_long {
            behaviour.long_time
        } else {
            behaviour.service_time
        };
        self.hold_slot(job, time)?;
        let text = format!("{} {ran} {}", self.settings.name, job.query());
        Some(response::for_request(
            &job.packet,
            text,
            behaviour.bundle_bytes,
        ))
    }

    /// Counts the run of a non-idempotent request; requests without a payload are not counted.
    fn record_execution(&self, job: &Job) {
        let is_non_idempotent = matches!(
            job.packet.header.code,
            MessageClass::Request(RequestType::Post | RequestType::Patch)
        );
        if is_non_idempotent && !job.packet.payload.is_empty() {
            let mut executed = self.executed();
            *executed.entry(job.packet.payload.clone()).or_default() += 1;
        }
    }

    /// Occupies a slot for `time`, and sends an empty acknowledgement if the response is late. Returns `None` if the
    /// request is cancelled meanwhile.
    fn hold_slot(&self, job: &mut Job, time: Duration) -> Option<()> {
        let end = Instant::now() + time;
        loop {
            if job.received_at.elapsed() >= ACK_DELAY && !job.is_acknowledged {
                job.is_acknowledged = true;
                if let Some(bytes) = response::acknowledgement(&job.packet) {
                    let _ = self.socket.send_to(&bytes, job.id.source);
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Some(());
            }
            if job.is_cancelled() {
                self.counters.cancelled.fetch_add(1, Ordering::Relaxed);
                return None;
            }
            thread::sleep(left.min(CANCELLATION_POLL_INTERVAL));
        }
    }

    fn refuse(&self, job: &Job, load: Load) {
        self.counters.refused.fetch_add(1, Ordering::Relaxed);
        self.respond(job, &Response::Refused, load);
    }

    fn respond(&self, job: &Job, response: &Response, load: Load) {
        let Some(bytes) = response::to_vec(&job.packet, job.is_acknowledged, response, load) else {
            return;
        };
        if let Some(cached) = self.cache().entries.get_mut(&job.id) {
            cached.response = Some(bytes.clone());
        }
        let _ = self.socket.send_to(&bytes, job.id.source);
    }

    fn load(&self, queued: usize) -> Load {
        Load {
            busy: self.busy.load(Ordering::Relaxed),
            slots: self.settings.slots,
            queued,
            draining: self.behaviour().draining,
        }
    }
}

impl DeduplicationCache {
    /// Inserts a request and returns `None`. For a retransmission, returns `Some` with the response, if one has been
    /// sent.
    fn find_or_insert(
        &mut self,
        id: &RequestId,
        cancelled: Arc<AtomicBool>,
    ) -> Option<Option<Vec<u8>>> {
        if let Some(known) = self.entries.get(id) {
            return Some(known.response.clone());
        }
        if self.order.len() >= MAX_CACHED_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.entries.remove(&oldest);
        }
        self.order.push_back(id.clone());
        let cached = CachedRequest {
            cancelled,
            response: None,
        };
        self.entries.insert(id.clone(), cached);
        None
    }
}
