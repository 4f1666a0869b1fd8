//! State shared by the threads of one balancer.

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

/// State shared by the threads of one balancer.
pub struct Context {
    /// Settings of the balancer.
    pub settings: Settings,
    /// Decides about flows and requests, without I/O.
    pub core: Core,
    /// UDP sockets.
    pub sockets: Sockets,
    /// Clock that all deadlines of this balancer refer to.
    pub clock: Clock,
    /// Log of numbered events.
    pub event_log: EventLog,
    /// Counters and gauges.
    pub metrics: Arc<Metrics>,
    /// Links to other balancers.
    pub links: Links,
    /// Drain states that upstreams report in their responses.
    pub upstream_reports: UpstreamReports,
    /// Sends inputs to the control thread.
    input_sender: Sender<Input>,
    /// Balancers known to this one.
    pub members: RwLock<Arc<MemberList>>,
    drain: Mutex<DrainProgress>,
    /// Whether the drain has started; read without a lock for every datagram of the fabric.
    draining: AtomicBool,
    last_ingress_ms: AtomicU64,
    stopped: AtomicBool,
}

/// Balancers known to this one, with their names.
#[derive(Debug, Default)]
pub struct MemberList {
    /// The balancers, ordered by name.
    pub entries: Vec<MemberEntry>,
    /// Index in `entries` by identifier.
    pub positions: Map<VmId, usize>,
}

/// A balancer and its membership state as known to this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberEntry {
    /// Name of the VM.
    pub name: String,
    /// Identifier, zone and address.
    pub member: Member,
    /// Name of the membership state.
    pub state: &'static str,
}

/// Progress of the drain of this balancer.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainProgress {
    /// Current phase.
    pub phase: Phase,
    /// When the drain started, on the balancer's clock.
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

    /// Passes an input to the control thread; it is dropped and counted if the queue is full.
    pub fn enqueue_input(&self, input: Input) {
        if self.input_sender.try_send(input).is_err() {
            let text = format_args!("input for the control thread: its queue is full");
            self.count_and_log(Counter::ControlDropped, &event::CONTROL_DROPPED, text);
        }
    }

    /// Returns whether the threads must end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Tells the threads to end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Locks and returns the progress of the drain.
    pub fn drain_progress(&self) -> MutexGuard<'_, DrainProgress> {
        self.drain.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the drain of this balancer; returns false if it has been started before.
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
        let text = format_args!("this balancer hands its flows over and stops within {limit}");
        self.event_log.record(&event::DRAIN_STARTED, text);
        self.core.leave(now);
        self.enqueue_input(Input::DrainStarted);
        true
    }

    /// Changes the phase from starting to serving once the balancer has members and routes.
    pub fn mark_serving_if_ready(&self) {
        let is_member = self.metrics.gauge(Gauge::Members) > 0;
        let has_tables = !self.core.tables().routes.is_empty();
        let mut drain = self.drain_progress();
        if drain.phase == Phase::Starting && is_member && has_tables {
            drain.phase = Phase::Serving;
        }
    }

    /// Records that the fabric still delivers datagrams to this balancer. Does nothing unless the balancer is draining.
    pub fn record_ingress_time(&self) {
        if self.draining.load(Ordering::Relaxed) {
            let now = self.clock.now().as_millis() as u64;
            self.last_ingress_ms.store(now, Ordering::Relaxed);
        }
    }

    /// Returns the time at which the fabric last delivered a datagram during the drain, or at which the drain started.
    pub fn last_ingress(&self) -> Duration {
        Duration::from_millis(self.last_ingress_ms.load(Ordering::Relaxed))
    }

    /// Returns the balancers known to this one.
    pub fn member_list(&self) -> Arc<MemberList> {
        let members = self.members.read();
        Arc::clone(&members.unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the balancers known to this one.
    pub fn set_member_list(&self, member_list: MemberList) {
        let mut members = self.members.write().unwrap_or_else(PoisonError::into_inner);
        *members = Arc::new(member_list);
    }

    /// Returns the name of a balancer, or its identifier in hexadecimal if it is unknown.
    pub fn balancer_name(&self, id: VmId) -> String {
        let members = self.member_list();
        let name = members.get(id).map(|entry| entry.name.clone());
        name.unwrap_or_else(|| format!("{id:016x}"))
    }

    /// Returns the name of an upstream, or its identifier in hexadecimal if it is unknown.
    pub fn upstream_name(&self, id: UpstreamId) -> String {
        let tables = self.core.tables();
        let mut upstreams = tables.pools.values().filter_map(|pool| pool.upstream(id));
        let name = upstreams.next().map(|upstream| upstream.name.clone());
        name.unwrap_or_else(|| format!("{id:016x}"))
    }

    /// Counts a failure, such as a dropped datagram, and logs it at most once a second per event.
    pub fn count_and_log(&self, counter: Counter, event: &Event, text: Arguments<'_>) {
        self.metrics.count(counter);
        self.event_log.record_limited(self.clock.now(), event, text);
    }

    /// Sends a datagram; a failure is counted and logged.
    pub fn send(&self, socket: &UdpSocket, address: SocketAddr, bytes: &[u8]) {
        if let Err(error) = socket.send_to(bytes, address) {
            let text = format_args!("cannot send {} bytes to {address}: {error}", bytes.len());
            self.count_and_log(Counter::SendFailed, &event::SEND_FAILED, text);
        }
    }
}
