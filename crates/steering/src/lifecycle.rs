//! Phases of a balancer's life, from the first packet to the exit.
//!
//! A flow survives its balancer, so a planned stop only has to go on forwarding until the routers have seen that this
//! balancer is not ready.

use {
    crate::planted::{self, Fault},
    std::time::Duration,
};

/// Settings of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Least time between the signal and the exit: routers ask twice per second and act on the second miss.
    pub least: Duration,
    /// Time without a packet after which the balancer exits.
    pub quiet: Duration,
    /// Longest time between the signal and the exit.
    pub most: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            least: Duration::from_millis(1_500),
            quiet: Duration::from_millis(300),
            most: Duration::from_millis(5_500),
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
pub struct Leaving {
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
    /// See [`Leaving`].
    Leaving(Leaving),
}

impl Starting {
    /// Begins to serve.
    pub fn serve(self) -> Serving {
        Serving(())
    }

    /// Ends before it has served.
    pub fn leave(self, settings: Settings, now: Duration) -> Leaving {
        self.serve().leave(settings, now)
    }
}

impl Serving {
    /// Begins the planned stop.
    pub fn leave(self, settings: Settings, now: Duration) -> Leaving {
        Leaving {
            settings,
            since: now,
        }
    }
}

impl Leaving {
    /// Returns whether the process may exit, given the time of the last packet.
    pub fn is_done(&self, now: Duration, last_packet: Duration) -> bool {
        let elapsed = now.saturating_sub(self.since);
        let is_quiet = now.saturating_sub(last_packet) >= self.settings.quiet;
        let is_done = elapsed >= self.settings.most || (elapsed >= self.settings.least && is_quiet);
        is_done && !planted::has(Fault::Stop)
    }
}

impl Phase {
    /// Returns whether routers may send new flows.
    pub fn is_ready(&self) -> bool {
        let is_leaving = matches!(self, Phase::Leaving(_));
        matches!(self, Phase::Serving(_)) || (is_leaving && planted::has(Fault::Readiness))
    }

    /// Begins the planned stop, unless it has begun.
    pub fn leave(self, settings: Settings, now: Duration) -> Leaving {
        match self {
            Phase::Starting(starting) => starting.leave(settings, now),
            Phase::Serving(serving) => serving.leave(settings, now),
            Phase::Leaving(leaving) => leaving,
        }
    }
}
