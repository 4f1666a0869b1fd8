//! How many requests one balancer keeps in flight at one upstream.
//!
//! The slots of an upstream are shared by balancers that do not coordinate. Each finds its share from answers and
//! refusals alone. See [requests](../../../docs/design.md#6-requests).

use std::time::Duration;

/// Settings of a [`Limit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Smallest limit, in requests. Below one request the limit is kept by pauses between requests.
    pub least: f64,
    /// Growth of the limit per answer, in requests, divided by the limit.
    pub increase: f64,
    /// Factor of the limit at a refusal or at high latency.
    pub decrease: f64,
    /// High latency, as a multiple of the latency without load.
    pub high: f64,
    /// Weight of the newest sample in the mean latency.
    pub smoothing: f64,
    /// Time in which a cold upstream reaches its full share.
    pub slow_start: Duration,
    /// Share of a cold upstream at the start.
    pub cold_share: f64,
    /// Age from which on a load report is ignored.
    pub report_age: Duration,
}

/// What a finished request says about its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// An answer, with its latency as a multiple of the latency without load.
    Answered(f64),
    /// The upstream refused the request.
    Refused,
    /// No answer came.
    TimedOut,
}

/// An adaptive limit with additive increase and multiplicative decrease.
#[derive(Clone, Debug)]
pub struct Limit {
    settings: Settings,
    slots: u32,
    limit: f64,
    ratio: f64,
    cold_since: Option<Duration>,
    decreased: Duration,
    busy_until: Duration,
    paused_until: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            least: 0.05,
            increase: 0.1,
            decrease: 0.8,
            high: 2.0,
            smoothing: 0.2,
            slow_start: Duration::from_secs(10),
            cold_share: 0.1,
            report_age: Duration::from_secs(3),
        }
    }
}

impl Limit {
    /// Creates the limit of one of `balancers` balancers for an upstream with `slots` slots.
    pub fn new(settings: Settings, slots: u32, balancers: u32) -> Limit {
        Limit {
            settings,
            slots,
            limit: share(slots, balancers),
            ratio: 1.0,
            cold_since: None,
            decreased: Duration::ZERO,
            busy_until: Duration::ZERO,
            paused_until: Duration::ZERO,
        }
    }

    /// Takes a changed number of slots or balancers into account.
    ///
    /// A smaller share lowers the limit at once. A larger one is found by the increase, since the other balancers learn
    /// of the change at another time.
    pub fn set_share(&mut self, slots: u32, balancers: u32) {
        self.slots = slots;
        self.limit = self.limit.min(share(slots, balancers));
    }

    /// Starts the slow start of a cold upstream.
    pub fn start_cold(&mut self, now: Duration) {
        self.cold_since = Some(now);
        self.limit = self.limit.min(1.0);
    }

    /// Returns the share of a warm upstream's work that this one may get, from 0 to 1.
    pub fn warmth(&self, now: Duration) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let age = now.saturating_sub(since).as_secs_f64();
        let part = age / self.settings.slow_start.as_secs_f64();
        (self.settings.cold_share + (1.0 - self.settings.cold_share) * part).min(1.0)
    }

    /// Returns the limit, in requests.
    pub fn value(&self, now: Duration) -> f64 {
        (self.limit * self.warmth(now)).max(self.settings.least)
    }

    /// Returns the mean latency as a multiple of the latency without load.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Returns whether one more request may be sent.
    pub fn allows(&self, now: Duration, in_flight: u32) -> bool {
        now >= self.paused_until && f64::from(in_flight) < self.value(now).max(1.0).round()
    }

    /// Returns the time until which a limit below one request pauses the upstream.
    pub fn paused_until(&self) -> Duration {
        self.paused_until
    }

    /// Adapts the limit to a finished request that took `latency`.
    pub fn finished(&mut self, now: Duration, latency: Duration, signal: Signal) {
        match signal {
            Signal::Answered(ratio) => self.answered(now, latency, ratio),
            Signal::Refused | Signal::TimedOut => self.lower(now, latency),
        }
        let value = self.value(now);
        if value < 1.0 {
            self.paused_until = now + latency.mul_f64(1.0 / value - 1.0);
        }
    }

    /// Takes note of an upstream's own report that requests wait there.
    ///
    /// A report only holds the limit; it neither raises nor lowers it, since upstreams misreport.
    pub fn report_busy(&mut self, now: Duration) {
        self.busy_until = now + self.settings.report_age;
    }

    fn answered(&mut self, now: Duration, latency: Duration, ratio: f64) {
        self.ratio += self.settings.smoothing * (ratio - self.ratio);
        if self.ratio > self.settings.high {
            self.lower(now, latency);
        } else if now >= self.busy_until || self.limit < 1.0 {
            let grown = self.limit + self.settings.increase / self.limit.max(1.0);
            self.limit = grown.min(f64::from(self.slots));
        }
    }

    fn lower(&mut self, now: Duration, latency: Duration) {
        // Requests that were in flight together report the same overload, which counts once.
        if now.saturating_sub(self.decreased) < latency {
            return;
        }
        self.decreased = now;
        self.limit = (self.limit * self.settings.decrease).max(self.settings.least);
    }
}

fn share(slots: u32, balancers: u32) -> f64 {
    (f64::from(slots) / f64::from(balancers.max(1))).max(1.0)
}
