//! How many requests one balancer keeps in flight at one upstream.
//!
//! The slots of an upstream are shared by balancers that do not coordinate. Each finds its share from answers and
//! refusals alone. See [requests](../../../docs/design.md#6-requests).

use std::time::Duration;

/// Settings of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Growth of the limit per answer, in requests, divided by the limit.
    pub increase: f64,
    /// Factor of the limit at a refusal or at high latency.
    pub decrease_factor: f64,
    /// ConcurrencyLimit of long requests when short ones are slow, as a multiple of their share of the slots.
    pub long_latency_floor: f64,
    /// ConcurrencyLimit of long requests when short ones are refused, as a multiple of their share of the slots.
    pub long_min: f64,
    /// High latency, as a multiple of the latency without load.
    pub high_latency_ratio: f64,
    /// Latency without a sign of load, as a multiple of the latency without load; service times vary.
    pub normal_latency_ratio: f64,
    /// Highest multiple that one sample counts as, so that one request behind a long one is not taken for overload.
    pub max_latency_ratio: f64,
    /// Weight of the newest sample in the mean latency.
    pub smoothing: f64,
    /// Time in which a cold upstream reaches its full share.
    pub slow_start: Duration,
    /// Share of a cold upstream at the start.
    pub cold_start_share: f64,
    /// Age from which on a load report is ignored.
    pub max_report_age: Duration,
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The upstream answered.
    Answered,
    /// The upstream refused the request, or no answer came.
    Failed,
}

/// The range of a [`ConcurrencyLimit`], in requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRange {
    /// Lowest value. Below one request the limit is kept by pauses between requests.
    pub min: f64,
    /// Lowest value that high latency leads to.
    pub latency_floor: f64,
    /// Highest value.
    pub max: f64,
}

/// An adaptive limit with additive increase and multiplicative decrease.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    settings: Settings,
    range: LimitRange,
    limit: f64,
    mean_latency_ratio: f64,
    cold_since: Option<Duration>,
    lowered_at: Duration,
    busy_until: Duration,
    paused_until: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            increase: 0.1,
            decrease_factor: 0.8,
            long_latency_floor: 2.0,
            long_min: 0.5,
            high_latency_ratio: 2.0,
            normal_latency_ratio: 1.25,
            max_latency_ratio: 4.0,
            smoothing: 0.1,
            slow_start: Duration::from_secs(10),
            cold_start_share: 0.1,
            max_report_age: Duration::from_secs(3),
        }
    }
}

impl LimitRange {
    /// Returns the range for short requests at one of `balancers` balancers.
    ///
    /// One request in flight bounds itself, and less of it does not help a short request that waits behind long ones.
    pub fn short(slots: u32, balancers: u32) -> LimitRange {
        LimitRange {
            min: slot_share(slots, balancers).min(1.0),
            latency_floor: 1.0,
            max: f64::from(slots),
        }
    }

    /// Returns the range for long requests, which may hold all slots but one.
    pub fn long(settings: &Settings, slots: u32, balancers: u32) -> LimitRange {
        let share = slot_share(slots.saturating_sub(1).max(1), balancers);
        let ceiling = share.max(1.0);
        LimitRange {
            min: share * settings.long_min,
            latency_floor: (share * settings.long_latency_floor).min(ceiling),
            max: ceiling,
        }
    }
}

impl ConcurrencyLimit {
    /// Creates a limit.
    pub fn new(settings: Settings, range: LimitRange) -> ConcurrencyLimit {
        ConcurrencyLimit {
            settings,
            range,
            limit: range.latency_floor.max(1.0).min(range.max),
            mean_latency_ratio: 1.0,
            cold_since: None,
            lowered_at: Duration::ZERO,
            busy_until: Duration::ZERO,
            paused_until: Duration::ZERO,
        }
    }

    /// Takes a changed number of slots or balancers into account.
    pub fn set_range(&mut self, range: LimitRange) {
        self.range = range;
        self.limit = self.limit.min(range.max);
    }

    /// Starts the slow start of a cold upstream.
    pub fn start_cold(&mut self, now: Duration) {
        self.cold_since = Some(now);
        self.limit = self.limit.min(1.0);
    }

    /// Returns the share of a warm upstream's work that this one may get, from 0 to 1.
    pub fn warmup_factor(&self, now: Duration) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let age = now.saturating_sub(since).as_secs_f64();
        let part = age / self.settings.slow_start.as_secs_f64();
        (self.settings.cold_start_share + (1.0 - self.settings.cold_start_share) * part).min(1.0)
    }

    /// Returns the limit, in requests.
    pub fn value(&self, now: Duration) -> f64 {
        self.limit * self.warmup_factor(now)
    }

    /// Returns where the mean latency lies between one without a sign of load, 0, and one that lowers the limit, 1.
    pub fn latency_pressure(&self) -> f64 {
        let Settings {
            normal_latency_ratio: normal,
            high_latency_ratio: high,
            ..
        } = self.settings;
        ((self.mean_latency_ratio - normal) / (high - normal)).clamp(0.0, 1.0)
    }

    /// Returns whether one more request may be sent.
    pub fn allows(&self, now: Duration, in_flight: u32) -> bool {
        now >= self.paused_until && f64::from(in_flight) < self.value(now).max(1.0).floor()
    }

    /// Adapts the limit to the end of a request, where `latency` is the usual one without load.
    pub fn request_ended(&mut self, now: Duration, latency: Duration, end: RequestEnd) {
        if end == RequestEnd::Failed {
            self.lower(now, latency, self.range.min);
        }
        let value = self.value(now);
        if value < 1.0 {
            self.paused_until = now + latency.mul_f64(1.0 / value - 1.0);
        }
    }

    /// Adapts the limit to a latency, given as a multiple of the usual one without load.
    pub fn observe_latency(&mut self, now: Duration, latency: Duration, ratio: f64) {
        let sample = ratio.min(self.settings.max_latency_ratio);
        self.mean_latency_ratio += self.settings.smoothing * (sample - self.mean_latency_ratio);
        if self.mean_latency_ratio > self.settings.high_latency_ratio {
            self.lower(now, latency, self.range.latency_floor);
        } else if now >= self.busy_until || self.limit < self.range.latency_floor {
            let grown = self.limit + self.settings.increase / self.limit.max(1.0);
            self.limit = grown.min(self.range.max);
        }
    }

    /// Lowers the limit in favour of requests of the other kind, which have to be refused.
    pub fn yield_slots(&mut self, now: Duration, latency: Duration) {
        self.lower(now, latency, self.range.min);
    }

    /// Takes note of an upstream's own report that requests wait there.
    ///
    /// A report only holds the limit; it neither raises nor lowers it, since upstreams misreport.
    pub fn report_busy(&mut self, now: Duration) {
        self.busy_until = now + self.settings.max_report_age;
    }

    fn lower(&mut self, now: Duration, latency: Duration, floor: f64) {
        // Requests that were in flight together report the same overload, which counts once.
        if now.saturating_sub(self.lowered_at) < latency {
            return;
        }
        self.lowered_at = now;
        let lowered = self.limit * self.settings.decrease_factor;
        self.limit = lowered.max(floor.min(self.limit));
    }
}

fn slot_share(slots: u32, balancers: u32) -> f64 {
    f64::from(slots) / f64::from(balancers.max(1))
}
