//! What the threads of one balancer share.

use {
    crate::{
        clock::Clock,
        control::Input,
        event::{self, Event},
        event_log::EventLog,
        metrics::{Counter, Gauge, Metrics},
        settings::Settings,
        sockets::Sockets,
        upstream_reports::UpstreamReports,
    },
    crossbeam::channel::Sender,
    skylarkflow_operator::wire::Phase,
    skylarkflow_peer::link::Links,
    skylarkflow_policy::{
        balancer::Core,
        id::{self, Map, UpstreamId, VmId},
        owner::Member,
    },
    std::{
        fmt::Arguments,
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// What the threads of one balancer share.
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// Decisions.
    pub core: Core,
    /// Sockets.
    pub sockets: Sockets,
    /// Clock of the decisions.
    pub clock: Clock,
    /// Log lines.
    pub event_log: EventLog,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Links to other balancers.
    pub links: Links,
    /// What upstreams report about themselves.
    pub upstream_reports: UpstreamReports,
    /// Messages to the control thread.
    input_sender: Sender<Input>,
    /// Balancers that this one knows.
    pub members: RwLock<Arc<MemberList>>,
    drain: Mutex<DrainProgress>,
    draining: AtomicBool,
    last_ingress_ms: AtomicU64,
    stopped: AtomicBool,
}

/// Balancers of the view in force, with their names.
#[derive(Debug, Default)]
pub struct MemberList {
    /// Balancers and their states, ordered by name.
    pub entries: Vec<MemberEntry>,
    /// Positions in the entries.
    pub positions: Map<VmId, usize>,
}

/// A balancer as this one knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberEntry {
    /// Name of the VM.
    pub name: String,
    /// The balancer.
    pub member: Member,
    /// Membership state in words.
    pub state: &'static str,
}

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainProgress {
    /// How far it is.
    pub phase: Phase,
    /// When it started.
    pub since: Option<Duration>,
}

impl MemberList {
    /// Creates the list, sorted by name.
    pub fn new(mut entries: Vec<MemberEntry>) -> MemberList {
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        let positions = entries.iter().enumerate();
        let positions = positions.map(|(at, entry)| (entry.member.id, at)).collect();
        MemberList { entries, positions }
    }

    /// Returns a balancer by its identifier.
    pub fn get(&self, id: VmId) -> Option<&MemberEntry> {
        self.positions.get(&id).map(|&at| &self.entries[at])
    }
}

impl Context {
    /// Creates the shared state.
    pub fn new(
        settings: Settings,
        core: Core,
        sockets: Sockets,
        clock: Clock,
        metrics: Arc<Metrics>,
        links: Links,
        input_sender: Sender<Input>,
    ) -> Context {
        Context {
            event_log: EventLog::new(&settings.name),
            settings,
            core,
            sockets,
            clock,
            metrics,
            links,
            input_sender,
            upstream_reports: UpstreamReports::default(),
            members: RwLock::default(),
            drain: Mutex::default(),
            draining: AtomicBool::default(),
            last_ingress_ms: AtomicU64::default(),
            stopped: AtomicBool::default(),
        }
    }

    /// Returns the identifier of this balancer.
    pub fn id(&self) -> VmId {
        id::from_name(&self.settings.name)
    }

    /// Passes a message to the control thread; it is dropped and counted if the queue is full.
    pub fn enqueue_input(&self, input: Input) {
        if self.input_sender.try_send(input).is_err() {
            let text = format_args!("to the control thread: its queue is full");
            self.count_and_log(Counter::ControlDropped, &event::CONTROL_DROPPED, text);
        }
    }

    /// Returns whether the threads are to end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Tells the threads to end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns the progress of a planned stop.
    pub fn drain_progress(&self) -> MutexGuard<'_, DrainProgress> {
        self.drain.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a planned stop; returns whether this call started it.
    pub fn start_drain(&self) -> bool {
        let now = self.clock.now();
        {
            let mut drain = self.drain_progress();
            if drain.since.is_some() {
                return false;
            }
            drain.since = Some(now);
            drain.phase = Phase::Draining;
        }
        self.draining.store(true, Ordering::Relaxed);
        self.record_ingress_time();
        let limit = humantime::format_duration(self.settings.drain.limit);
        let text = format_args!("hands over and stops within {limit}");
        self.event_log.record(&event::DRAIN_STARTED, text);
        self.core.leave(now);
        self.enqueue_input(Input::Leave);
        true
    }

    /// Notes that the balancer may have members and tables now.
    pub fn mark_serving_if_ready(&self) {
        let is_member = self.metrics.gauge(Gauge::Members) > 0;
        let has_tables = !self.core.tables().routes.is_empty();
        let mut drain = self.drain_progress();
        if drain.phase == Phase::Starting && is_member && has_tables {
            drain.phase = Phase::Serving;
        }
    }

    /// Notes that the fabric still delivers datagrams to this balancer; needed only while it is draining.
    pub fn record_ingress_time(&self) {
        if self.draining.load(Ordering::Relaxed) {
            let now = self.clock.now().as_millis() as u64;
            self.last_ingress_ms.store(now, Ordering::Relaxed);
        }
    }

    /// Returns the time at which the fabric last delivered a datagram during a planned stop.
    pub fn last_ingress(&self) -> Duration {
        Duration::from_millis(self.last_ingress_ms.load(Ordering::Relaxed))
    }

    /// Returns the balancers that this one knows.
    pub fn member_list(&self) -> Arc<MemberList> {
        let members = self.members.read();
        Arc::clone(&members.unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the balancers that this one knows.
    pub fn set_member_list(&self, member_list: MemberList) {
        let mut members = self.members.write().unwrap_or_else(PoisonError::into_inner);
        *members = Arc::new(member_list);
    }

    /// Returns the name of a balancer, or its number if it is unknown.
    pub fn balancer_name(&self, id: VmId) -> String {
        let members = self.member_list();
        let name = members.get(id).map(|entry| entry.name.clone());
        name.unwrap_or_else(|| format!("{id:016x}"))
    }

    /// Returns the name of an upstream, or its number if it is unknown.
    pub fn upstream_name(&self, id: UpstreamId) -> String {
        let tables = self.core.tables();
        let mut upstreams = tables.pools.values().filter_map(|pool| pool.upstream(id));
        let name = upstreams.next().map(|upstream| upstream.name.clone());
        name.unwrap_or_else(|| format!("{id:016x}"))
    }

    /// Counts and records a datagram that is dropped.
    pub fn count_and_log(&self, counter: Counter, event: &Event, text: Arguments<'_>) {
        self.metrics.count(counter);
        self.event_log.record_limited(self.clock.now(), event, text);
    }

    /// Sends a datagram; a failure is counted.
    pub fn send(&self, socket: &UdpSocket, address: SocketAddr, bytes: &[u8]) {
        if let Err(error) = socket.send_to(bytes, address) {
            let text = format_args!("sending {} bytes to {address}: {error}", bytes.len());
            self.count_and_log(Counter::SendFailed, &event::SEND_FAILED, text);
        }
    }
}
