//! The balancer's clock: monotonic time since its start, and the Unix time of that start.

use {
    skylarkflow_policy::id::Incarnation,
    std::time::{Duration, Instant, SystemTime},
};

/// Monotonic time since the start of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_unix_time: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
            start_unix_time: SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a time on this clock to Unix time.
    pub fn to_unix_time(&self, time: Duration) -> Duration {
        self.start_unix_time + time
    }

    /// Returns the incarnation of this process: its start in milliseconds of Unix time, so that a restart within the
    /// same second gets another one.
    pub fn incarnation(&self) -> Incarnation {
        self.start_unix_time.as_millis() as Incarnation
    }
}
