//! State shared by the threads of a steering balancer.

use {
    crate::{
        clock::Clock, event_log::EventLog, metrics::Metrics, steer_latency::Latencies,
        steer_sources::ObjectKind,
    },
    skylarkflow_steering::{
        gossip::Rank, lifecycle::Phase, speed::Notice, table::Table, warmup_budget,
    },
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Shared state of a balancer.
pub struct State {
    /// Monotonic clock since the start of the process.
    pub clock: Clock,
    /// Event log.
    pub event_log: EventLog,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Latencies of opening packets and requests.
    pub latencies: Mutex<Latencies>,
    /// Slow upstreams that peers are told of; the packet thread replaces them and never waits for the lock.
    pub slow_upstreams: Mutex<Vec<Notice>>,
    /// Rank among the balancers of the zone.
    pub rank: Mutex<Rank>,
    table: Mutex<Option<Arc<Table>>>,
    table_generation: AtomicU64,
    warmup: Mutex<warmup_budget::Inputs>,
    warmup_generation: AtomicU64,
    phase: Mutex<Phase>,
    last_packet: AtomicU64,
    is_stopped: AtomicBool,
    /// For each [`ObjectKind`], whether the last call of the store failed.
    is_store_unreachable: [AtomicBool; ObjectKind::COUNT],
}

impl State {
    /// Creates the state of a balancer without a table.
    pub fn new(event_log: EventLog, metrics: Metrics, phase: Phase) -> State {
        State {
            clock: Clock::start(),
            event_log,
            metrics,
            latencies: Mutex::new(Latencies::default()),
            slow_upstreams: Mutex::default(),
            rank: Mutex::default(),
            table: Mutex::new(None),
            table_generation: AtomicU64::new(0),
            warmup: Mutex::default(),
            warmup_generation: AtomicU64::new(0),
            phase: Mutex::new(phase),
            last_packet: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            is_store_unreachable: [const { AtomicBool::new(false) }; ObjectKind::COUNT],
        }
    }

    /// Records the rank among the balancers of the zone.
    pub fn set_rank(&self, rank: Rank) {
        *lock(&self.rank) = rank;
    }

    /// Returns the slow upstreams that peers are told of.
    pub fn slow_upstreams(&self) -> Vec<Notice> {
        lock(&self.slow_upstreams).clone()
    }

    /// Replaces the active table.
    pub fn publish_table(&self, table: Table) {
        *lock(&self.table) = Some(Arc::new(table));
        self.table_generation.fetch_add(1, Ordering::Release);
    }

    /// Returns the number of tables published so far, which shows whether there is a new one.
    pub fn table_generation(&self) -> u64 {
        self.table_generation.load(Ordering::Acquire)
    }

    /// Returns the active table; `None` without waiting if another thread holds its lock.
    pub fn try_table(&self) -> Option<Option<Arc<Table>>> {
        let table = self.table.try_lock().ok()?;
        Some(table.clone())
    }

    /// Replaces the bounds of cold upstreams.
    pub fn set_warmup_bounds(&self, bounds: Option<warmup_budget::Bounds>) {
        self.update_warmup(|inputs| inputs.bounds = bounds);
    }

    /// Replaces the members that share the budgets of cold upstreams.
    pub fn set_warmup_members(&self, members: Arc<warmup_budget::Members>) {
        self.update_warmup(|inputs| inputs.members = Some(members));
    }

    fn update_warmup(&self, update: impl FnOnce(&mut warmup_budget::Inputs)) {
        update(&mut lock(&self.warmup));
        self.warmup_generation.fetch_add(1, Ordering::Release);
    }

    /// Returns the number of changes of the inputs of budgets, which shows whether there is a new one.
    pub fn warmup_generation(&self) -> u64 {
        self.warmup_generation.load(Ordering::Acquire)
    }

    /// Returns the inputs of the budgets of cold upstreams; `None` without waiting if another thread holds their lock.
    pub fn try_warmup(&self) -> Option<warmup_budget::Inputs> {
        let inputs = self.warmup.try_lock().ok()?;
        Some(inputs.clone())
    }

    /// Returns the lifecycle phase.
    pub fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Changes the lifecycle phase.
    pub fn set_phase(&self, phase: Phase) {
        *lock(&self.phase) = phase;
    }

    /// Records the time of the last received packet.
    pub fn record_packet(&self, now: Duration) {
        let millis = now.as_millis() as u64;
        self.last_packet.store(millis, Ordering::Relaxed);
    }

    /// Returns the time of the last received packet, zero if there was none.
    pub fn last_packet(&self) -> Duration {
        Duration::from_millis(self.last_packet.load(Ordering::Relaxed))
    }

    /// Records whether the last call of the store for a kind of object failed.
    pub fn set_store_unreachable(&self, kind: ObjectKind, is_unreachable: bool) {
        self.is_store_unreachable[kind as usize].store(is_unreachable, Ordering::Relaxed);
    }

    /// Returns whether the last call of the store failed for any kind of object.
    pub fn is_store_unreachable(&self) -> bool {
        self.is_store_unreachable
            .iter()
            .any(|is_unreachable| is_unreachable.load(Ordering::Relaxed))
    }

    /// Tells the threads to stop.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether the threads have to stop.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
