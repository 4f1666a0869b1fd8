//! Phases of a balancer's life, from the first packet to the exit.
//!
//! A flow survives its balancer, so a planned stop only has to go on forwarding until the routers have seen that this
//! balancer is not ready.

use {
    crate::fault_injection::{self, Fault},
    std::time::Duration,
};

/// Settings of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Least time between the signal and the exit: routers ask twice per second and act on the second miss.
    pub min_stop_time: Duration,
    /// Time without a packet after which the balancer exits.
    pub idle_time: Duration,
    /// Longest time between the signal and the exit.
    pub max_stop_time: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            min_stop_time: Duration::from_millis(1_500),
            idle_time: Duration::from_millis(300),
            max_stop_time: Duration::from_millis(5_500),
        }
    }
}

/// Has no complete table yet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Starting;

/// Takes new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Serving(());

/// Forwards until no packets arrive any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopping {
    settings: Settings,
    since: Duration,
}

/// Phase of a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// See [`Starting`].
    Starting(Starting),
    /// See [`Serving`].
    Serving(Serving),
    /// See [`Stopping`].
    Stopping(Stopping),
}

impl Starting {
    /// Begins to serve.
    pub fn serve(self) -> Serving {
        Serving(())
    }

    /// Ends before it has served.
    pub fn begin_stop(self, settings: Settings, now: Duration) -> Stopping {
        self.serve().begin_stop(settings, now)
    }
}

impl Serving {
    /// Begins the planned stop.
    pub fn begin_stop(self, settings: Settings, now: Duration) -> Stopping {
        Stopping {
            settings,
            since: now,
        }
    }
}

impl Stopping {
    /// Returns whether the process may exit, given the time of the last packet.
    pub fn is_done(&self, now: Duration, last_packet: Duration) -> bool {
        let elapsed = now.saturating_sub(self.since);
        let is_idle = now.saturating_sub(last_packet) >= self.settings.idle_time;
        let is_done = elapsed >= self.settings.max_stop_time
            || (elapsed >= self.settings.min_stop_time && is_idle);
        is_done && !fault_injection::is_injected(Fault::Stop)
    }
}

impl Phase {
    /// Returns whether routers may send new flows.
    pub fn is_ready(&self) -> bool {
        let is_stopping = matches!(self, Phase::Stopping(_));
        matches!(self, Phase::Serving(_))
            || (is_stopping && fault_injection::is_injected(Fault::Readiness))
    }

    /// Begins the planned stop, unless it has begun.
    pub fn begin_stop(self, settings: Settings, now: Duration) -> Stopping {
        match self {
            Phase::Starting(starting) => starting.begin_stop(settings, now),
            Phase::Serving(serving) => serving.begin_stop(settings, now),
            Phase::Stopping(stopping) => stopping,
        }
    }
}
