//! Adaptive limit on the requests that one balancer keeps in flight at one upstream.
//!
//! An upstream has one slot for each request that it processes at a time. Several balancers share these slots without
//! coordination, and each derives its share from the answers and refusals it receives. See
//! [requests](../../../docs/design.md#6-requests).

use std::time::Duration;

/// Settings of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Additive increase: an answer raises the limit by this number of requests divided by the limit.
    pub increase: f64,
    /// Multiplicative decrease: the limit is multiplied by this factor after a refusal or at high latency.
    pub decrease_factor: f64,
    /// Lowest limit of long requests when short ones are slow, as a multiple of this balancer's share of the slots.
    pub long_latency_floor: f64,
    /// Lowest limit of long requests when short ones are refused, as a multiple of this balancer's share of the slots.
    pub long_min: f64,
    /// Mean latency above which the limit is lowered, as a multiple of the latency without load.
    pub high_latency_ratio: f64,
    /// Mean latency up to which the upstream counts as unloaded, as a multiple of the latency without load. Above 1,
    /// since service times vary.
    pub normal_latency_ratio: f64,
    /// Cap on one latency sample, as a multiple of the latency without load, so that one request that waits behind a
    /// long one is not taken for overload.
    pub max_latency_ratio: f64,
    /// Weight of the newest sample in the exponential moving average of the latency.
    pub smoothing: f64,
    /// Duration of the slow start, after which a cold upstream gets its full share.
    pub slow_start: Duration,
    /// Share of the full limit that a cold upstream, one that is new or has restarted, gets at the beginning of the
    /// slow start.
    pub cold_start_share: f64,
    /// Age from which a load report is ignored.
    pub max_report_age: Duration,
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The upstream answered.
    Answered,
    /// The upstream refused the request or did not answer before the deadline.
    Failed,
}

/// Bounds of a [`ConcurrencyLimit`], in requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRange {
    /// Lowest limit. A limit below one request is enforced by pauses between requests.
    pub min: f64,
    /// Lowest limit that high latency alone can cause.
    pub latency_floor: f64,
    /// Highest limit.
    pub max: f64,
}

/// An adaptive concurrency limit with additive increase and multiplicative decrease (AIMD).
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
    /// Returns the bounds for short requests at one of `balancers` balancers.
    ///
    /// High latency does not lower the limit below one request: a single request in flight cannot overload the
    /// upstream, and sending fewer does not help a short request that waits behind long ones.
    pub fn short(slots: u32, balancers: u32) -> LimitRange {
        LimitRange {
            min: slot_share(slots, balancers).min(1.0),
            latency_floor: 1.0,
            max: f64::from(slots),
        }
    }

    /// Returns the bounds for long requests, which may hold all slots but one.
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
    /// Creates the limit of a warm upstream.
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

    /// Sets new bounds after a change of the number of slots or balancers.
    pub fn set_range(&mut self, range: LimitRange) {
        self.range = range;
        self.limit = self.limit.min(range.max);
    }

    /// Begins the slow start of an upstream that is new or has restarted.
    pub fn start_cold(&mut self, now: Duration) {
        self.cold_since = Some(now);
        self.limit = self.limit.min(1.0);
    }

    /// Returns the progress of the slow start: the share of a warm upstream's load that this one may get, up to 1.
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

    /// Returns the position of the mean latency between that of an unloaded upstream (0) and the one that lowers the
    /// limit (1).
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

    /// Lowers the limit if a request failed, and paces requests while the limit is below one.
    ///
    /// `latency` is the latency without load.
    pub fn request_ended(&mut self, now: Duration, latency: Duration, end: RequestEnd) {
        if end == RequestEnd::Failed {
            self.lower(now, latency, self.range.min);
        }
        let value = self.value(now);
        if value < 1.0 {
            self.paused_until = now + latency.mul_f64(1.0 / value - 1.0);
        }
    }

    /// Adapts the limit to a latency sample of `ratio` times `latency`, the latency without load.
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

    /// Lowers the limit to free slots for requests of the other kind, of which one has just been refused.
    pub fn yield_slots(&mut self, now: Duration, latency: Duration) {
        self.lower(now, latency, self.range.min);
    }

    /// Records an upstream's load report that requests wait there.
    ///
    /// The report only suspends the growth of the limit. It does not lower it, since load reports can be wrong.
    pub fn report_busy(&mut self, now: Duration) {
        self.busy_until = now + self.settings.max_report_age;
    }

    fn lower(&mut self, now: Duration, latency: Duration, floor: f64) {
        // Requests that were in flight at the same time fail because of the same overload, which counts once.
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
