//! How many requests one balancer keeps in flight at one upstream.
//!
//! The slots of an upstream are shared by balancers that do not coordinate. Each finds its share from answers and
//! refusals alone. See [requests](../../../docs/design.md#6-requests).

use std::time::Duration;

/// Settings of a [`Limit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Growth of the limit per answer, in requests, divided by the limit.
    pub increase: f64,
    /// Factor of the limit at a refusal or at high latency.
    pub decrease: f64,
    /// Limit of long requests when short ones are slow, as a multiple of their share of the slots.
    pub long_floor: f64,
    /// Limit of long requests when short ones are refused, as a multiple of their share of the slots.
    pub long_least: f64,
    /// High latency, as a multiple of the latency without load.
    pub high: f64,
    /// Highest multiple that one sample counts as, so that one request behind a long one is not taken for overload.
    pub highest_sample: f64,
    /// Weight of the newest sample in the mean latency.
    pub smoothing: f64,
    /// Time in which a cold upstream reaches its full share.
    pub slow_start: Duration,
    /// Share of a cold upstream at the start.
    pub cold_share: f64,
    /// Age from which on a load report is ignored.
    pub report_age: Duration,
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The upstream answered.
    Answered,
    /// The upstream refused the request, or no answer came.
    Failed,
}

/// The range of a [`Limit`], in requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// Lowest value. Below one request the limit is kept by pauses between requests.
    pub least: f64,
    /// Lowest value that high latency leads to.
    pub floor: f64,
    /// Highest value.
    pub ceiling: f64,
}

/// An adaptive limit with additive increase and multiplicative decrease.
#[derive(Clone, Debug)]
pub struct Limit {
    settings: Settings,
    range: Range,
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
            increase: 0.1,
            decrease: 0.8,
            long_floor: 2.0,
            long_least: 0.5,
            high: 2.0,
            highest_sample: 4.0,
            smoothing: 0.1,
            slow_start: Duration::from_secs(10),
            cold_share: 0.1,
            report_age: Duration::from_secs(3),
        }
    }
}

impl Range {
    /// Returns the range for short requests at one of `balancers` balancers.
    ///
    /// One request in flight bounds itself, and less of it does not help a short request that waits behind long ones.
    pub fn short(slots: u32, balancers: u32) -> Range {
        Range {
            least: share(slots, balancers).min(1.0),
            floor: 1.0,
            ceiling: f64::from(slots),
        }
    }

    /// Returns the range for long requests, which may hold all slots but one.
    pub fn long(settings: &Settings, slots: u32, balancers: u32) -> Range {
        let share = share(slots.saturating_sub(1).max(1), balancers);
        let ceiling = share.max(1.0);
        Range {
            least: share * settings.long_least,
            floor: (share * settings.long_floor).min(ceiling),
            ceiling,
        }
    }
}

impl Limit {
    /// Creates a limit.
    pub fn new(settings: Settings, range: Range) -> Limit {
        Limit {
            settings,
            range,
            limit: range.floor.max(1.0).min(range.ceiling),
            ratio: 1.0,
            cold_since: None,
            decreased: Duration::ZERO,
            busy_until: Duration::ZERO,
            paused_until: Duration::ZERO,
        }
    }

    /// Takes a changed number of slots or balancers into account.
    pub fn set_range(&mut self, range: Range) {
        self.range = range;
        self.limit = self.limit.min(range.ceiling);
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
        self.limit * self.warmth(now)
    }

    /// Returns whether one more request may be sent.
    pub fn allows(&self, now: Duration, in_flight: u32) -> bool {
        now >= self.paused_until && f64::from(in_flight) < self.value(now).max(1.0).floor()
    }

    /// Adapts the limit to the end of a request, where `latency` is the usual one without load.
    pub fn finished(&mut self, now: Duration, latency: Duration, end: End) {
        if end == End::Failed {
            self.lower(now, latency, self.range.least);
        }
        let value = self.value(now);
        if value < 1.0 {
            self.paused_until = now + latency.mul_f64(1.0 / value - 1.0);
        }
    }

    /// Adapts the limit to a latency, given as a multiple of the usual one without load.
    pub fn sense(&mut self, now: Duration, latency: Duration, ratio: f64) {
        let sample = ratio.min(self.settings.highest_sample);
        self.ratio += self.settings.smoothing * (sample - self.ratio);
        if self.ratio > self.settings.high {
            self.lower(now, latency, self.range.floor);
        } else if now >= self.busy_until || self.limit < self.range.floor {
            let grown = self.limit + self.settings.increase / self.limit.max(1.0);
            self.limit = grown.min(self.range.ceiling);
        }
    }

    /// Lowers the limit in favour of requests of the other kind, which have to be refused.
    pub fn yield_slots(&mut self, now: Duration, latency: Duration) {
        self.lower(now, latency, self.range.least);
    }

    /// Takes note of an upstream's own report that requests wait there.
    ///
    /// A report only holds the limit; it neither raises nor lowers it, since upstreams misreport.
    pub fn report_busy(&mut self, now: Duration) {
        self.busy_until = now + self.settings.report_age;
    }

    fn lower(&mut self, now: Duration, latency: Duration, floor: f64) {
        // Requests that were in flight together report the same overload, which counts once.
        if now.saturating_sub(self.decreased) < latency {
            return;
        }
        self.decreased = now;
        let lowered = self.limit * self.settings.decrease;
        self.limit = lowered.max(floor.min(self.limit));
    }
}

fn share(slots: u32, balancers: u32) -> f64 {
    f64::from(slots) / f64::from(balancers.max(1))
}
