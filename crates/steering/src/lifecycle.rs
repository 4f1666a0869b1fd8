//! Lifecycle of a balancer, from the start of the process to its exit.
//!
//! Flows survive the exit of a balancer, as any other one can forward their packets. A draining balancer therefore
//! only has to continue forwarding until the routers have noticed that it is not ready.

use {
    crate::fault_injection::{self, Fault},
    std::time::Duration,
};

/// Settings of the drain of a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Minimum time between the signal and the exit: routers check readiness twice per second and stop sending packets
    /// after the second failed check.
    pub min_drain_time: Duration,
    /// Time without a packet after which the balancer may exit.
    pub idle_time: Duration,
    /// Maximum time between the signal and the exit.
    pub max_drain_time: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            min_drain_time: Duration::from_millis(1_500),
            idle_time: Duration::from_millis(300),
            max_drain_time: Duration::from_millis(5_500),
        }
    }
}

/// The balancer has no complete table yet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Starting;

/// The balancer accepts new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Serving(());

/// The balancer is not ready and forwards until packets cease to arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Draining {
    settings: Settings,
    since: Duration,
}

/// Phase of a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Waiting for the first complete table; see [`Starting`].
    Starting(Starting),
    /// Accepting new flows; see [`Serving`].
    Serving(Serving),
    /// Forwarding until the exit; see [`Draining`].
    Draining(Draining),
}

impl Starting {
    /// Enters the serving phase, in which routers may send new flows.
    pub fn serve(self) -> Serving {
        Serving(())
    }

    /// Begins the drain of a balancer that has not served yet.
    pub fn begin_drain(self, settings: Settings, now: Duration) -> Draining {
        self.serve().begin_drain(settings, now)
    }
}

impl Serving {
    /// Begins the drain.
    pub fn begin_drain(self, settings: Settings, now: Duration) -> Draining {
        Draining {
            settings,
            since: now,
        }
    }
}

impl Draining {
    /// Returns whether the process may exit, given the time of the last packet.
    pub fn is_done(&self, now: Duration, last_packet: Duration) -> bool {
        let elapsed = now.saturating_sub(self.since);
        let is_idle = now.saturating_sub(last_packet) >= self.settings.idle_time;
        let is_done = elapsed >= self.settings.max_drain_time
            || (elapsed >= self.settings.min_drain_time && is_idle);
        is_done && !fault_injection::is_injected(Fault::Stop)
    }
}

impl Phase {
    /// Returns whether routers may send new flows to this balancer.
    pub fn is_ready(&self) -> bool {
        let is_draining = matches!(self, Phase::Draining(_));
        matches!(self, Phase::Serving(_))
            || (is_draining && fault_injection::is_injected(Fault::Readiness))
    }

    /// Begins the drain, unless it is already in progress.
    pub fn begin_drain(self, settings: Settings, now: Duration) -> Draining {
        match self {
            Phase::Starting(starting) => starting.begin_drain(settings, now),
            Phase::Serving(serving) => serving.begin_drain(settings, now),
            Phase::Draining(draining) => draining,
        }
    }
}
