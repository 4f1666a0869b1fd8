//! The simulated site: upstreams with slots, a queue and a speed, and the load that callers offer.

use {
    rand::{Rng, rngs::SmallRng},
    std::time::Duration,
};

pub const UPSTREAMS: usize = 120;
pub const SLOTS: usize = 2;

/// Requests that wait at an upstream at most; it refuses further ones at once.
pub const QUEUE: usize = 8;

/// Simulated time.
pub const END: Duration = Duration::from_secs(12);

/// Time up to which requests are not counted, as the site is empty at the start.
pub const COUNTED_FROM: Duration = Duration::from_secs(1);

/// Time in which upstreams are slow in [`Speed::Change`].
const SLOW_FROM: Duration = Duration::from_secs(3);
const SLOW_UNTIL: Duration = Duration::from_secs(8);

/// Latency up to which a request counts as served in time.
pub const TARGET_LATENCY: Duration = Duration::from_millis(400);

/// Round-trip time that a latency includes.
pub const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Requests of a long flow, and the mean pause between them.
pub const REQUESTS_PER_FLOW: u32 = 12;
pub const PAUSE_MS: f64 = 300.0;

/// Mean work of a request of a long flow and of a request with a flow of its own, without the tail.
const LONG_FLOW_WORK_MS: f64 = 13.0;
const SINGLE_WORK_MS: f64 = 17.0;

/// Share of the requests of long flows that take longer, and by how much.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

/// Share of the requests that belong to long flows: 1,155 of 1,485 a second.
const LONG_FLOW_REQUESTS: f64 = 1_155.0 / 1_485.0;

/// How the speeds of upstreams differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Speed {
    /// All are equal.
    Even,
    /// A third is 2.4 times slower.
    Third,
    /// 40 % are six times slower for some seconds.
    Change,
}

impl Speed {
    /// Returns by how much an upstream is slower than usual.
    pub fn slowness(self, now: Duration, upstream: usize) -> f64 {
        match self {
            Speed::Third if upstream.is_multiple_of(3) => 2.4,
            Speed::Change if upstream % 5 < 2 && (SLOW_FROM..SLOW_UNTIL).contains(&now) => 6.0,
            _ => 1.0,
        }
    }

    /// Returns the number of usual slots that all upstreams amount to while the slow ones are slow.
    fn capacity(self) -> f64 {
        let speeds = (0..UPSTREAMS).map(|upstream| 1.0 / self.slowness(SLOW_FROM, upstream));
        speeds.sum::<f64>() * SLOTS as f64
    }

    /// Returns the mean times between new long flows and between single requests at a load, a fraction of the capacity.
    pub fn gaps_ms(self, load: f64) -> (f64, f64) {
        let long_work = LONG_FLOW_WORK_MS * (1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0));
        let work = LONG_FLOW_REQUESTS * long_work + (1.0 - LONG_FLOW_REQUESTS) * SINGLE_WORK_MS;
        let gap = work / (self.capacity() * load);
        let flow_gap = gap * f64::from(REQUESTS_PER_FLOW) / LONG_FLOW_REQUESTS;
        (flow_gap, gap / (1.0 - LONG_FLOW_REQUESTS))
    }
}

pub fn exponential(mean_ms: f64, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-mean_ms * uniform.ln() / 1_000.0)
}

/// Draws the work of a request in seconds at an upstream of usual speed: half of it is constant, half exponential.
pub fn work(is_long_flow: bool, rng: &mut SmallRng) -> f64 {
    let mean = if is_long_flow {
        LONG_FLOW_WORK_MS
    } else {
        SINGLE_WORK_MS
    };
    let is_tail = is_long_flow && rng.random_bool(TAIL_SHARE);
    let factor = if is_tail { TAIL_FACTOR } else { 1.0 };
    let work = mean / 2_000.0 + exponential(mean / 2.0, rng).as_secs_f64();
    work * factor
}
