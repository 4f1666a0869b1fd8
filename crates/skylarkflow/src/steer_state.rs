//! State that the threads of a steering balancer share.

use {
    crate::{
        clock::Clock, event_log::EventLog, metrics::Metrics, steer_latency::Latencies,
        steer_sources::Kind,
    },
    skylarkflow_steering::{lifecycle::Phase, table::Table},
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Shared state of one balancer.
pub struct State {
    /// Time since the start of the process.
    pub clock: Clock,
    /// Log lines.
    pub journal: EventLog,
    /// Counters.
    pub metrics: Metrics,
    /// Times that flows took.
    pub latencies: Mutex<Latencies>,
    table: Mutex<Option<Arc<Table>>>,
    generation: AtomicU64,
    phase: Mutex<Phase>,
    last_packet: AtomicU64,
    is_stopped: AtomicBool,
    /// For each kind of object, whether the last call of the store failed.
    is_store_lost: [AtomicBool; Kind::COUNT],
}

impl State {
    /// Creates the state of a balancer without a table.
    pub fn new(journal: EventLog, metrics: Metrics, phase: Phase) -> State {
        State {
            clock: Clock::start(),
            journal,
            metrics,
            latencies: Mutex::new(Latencies::default()),
            table: Mutex::new(None),
            generation: AtomicU64::new(0),
            phase: Mutex::new(phase),
            last_packet: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            is_store_lost: [const { AtomicBool::new(false) }; Kind::COUNT],
        }
    }

    /// Takes a table into force.
    pub fn publish(&self, table: Table) {
        *lock(&self.table) = Some(Arc::new(table));
        self.generation.fetch_add(1, Ordering::Release);
    }

    /// Returns the number of tables that came into force.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Returns the table in force, unless another thread is just replacing it.
    pub fn try_table(&self) -> Option<Option<Arc<Table>>> {
        let table = self.table.try_lock().ok()?;
        Some(table.clone())
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    /// Changes the phase.
    pub fn set_phase(&self, phase: Phase) {
        *lock(&self.phase) = phase;
    }

    /// Records the time of the last packet.
    pub fn touch(&self, now: Duration) {
        let millis = now.as_millis() as u64;
        self.last_packet.store(millis, Ordering::Relaxed);
    }

    /// Returns the time of the last packet.
    pub fn last_packet(&self) -> Duration {
        Duration::from_millis(self.last_packet.load(Ordering::Relaxed))
    }

    /// Records whether the last call of the store for a kind of object failed.
    pub fn set_store_lost(&self, kind: Kind, is_lost: bool) {
        self.is_store_lost[kind as usize].store(is_lost, Ordering::Relaxed);
    }

    /// Returns whether calls of the store fail.
    pub fn is_store_lost(&self) -> bool {
        self.is_store_lost
            .iter()
            .any(|is_lost| is_lost.load(Ordering::Relaxed))
    }

    /// Ends the threads.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether the threads are to end.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
