//! Usual latency and size of the responses of a route.
//!
//! The module addresses routes whose requests differ in work: some take several times longer than the others, and an
//! overloaded upstream answers at once with a short refusal. A single latency therefore says little, and the estimate is
//! a mean of logarithms over recent responses. See [the design note](../../../docs/design/placement.md).

use std::time::Duration;

/// Maximum length in bytes of a response that can be a refusal.
const MAX_REFUSAL_BYTES: u32 = 256;

/// Ratio between the usual responses of a route and a refusal.
const MIN_REFUSAL_RATIO: u32 = 2;

/// Share by which a response shifts the usual size towards its own.
const SIZE_SHARE: f64 = 0.05;

/// Latencies below this limit are raised to it, as they are dominated by the network.
const MIN_LATENCY: Duration = Duration::from_micros(100);

/// Returns whether a response is a refusal, judged by its size and that of the usual responses of the route.
///
/// A route whose usual responses are as short has no detectable refusals.
pub fn is_refusal(bytes: u32, usual_bytes: u32) -> bool {
    bytes < MAX_REFUSAL_BYTES && usual_bytes >= bytes.saturating_mul(MIN_REFUSAL_RATIO)
}

/// A sum and a count of observations that lose weight with time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingMean {
    sum: f64,
    weight: f64,
    updated_at: Duration,
}

impl DecayingMean {
    /// Reduces the weight of earlier observations to what is left of it at `now`.
    pub fn decay(&mut self, now: Duration, retention: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        if !elapsed.is_zero() {
            let factor = (-elapsed.as_secs_f64() / retention.as_secs_f64()).exp();
            self.sum *= factor;
            self.weight *= factor;
            self.updated_at = now;
        }
    }

    /// Adds an observation with a weight.
    pub fn add(&mut self, value: f64, weight: f64) {
        self.sum += value * weight;
        self.weight += weight;
    }

    /// Reduces the weight of the observations to a maximum.
    pub fn limit_weight(&mut self, max_weight: f64) {
        if self.weight > max_weight {
            self.sum *= max_weight / self.weight;
            self.weight = max_weight;
        }
    }

    /// Returns the weight of the observations.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the mean of the observations and of `prior` further ones whose value is 0.
    pub fn mean(&self, prior: f64) -> f64 {
        let weight = self.weight + prior;
        if weight > 0.0 { self.sum / weight } else { 0.0 }
    }
}

/// Cost of the requests of one route as seen in recent responses, with the waiting time at the upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    log_latency: DecayingMean,
    usual_bytes: f64,
}

impl Cost {
    /// Records the size of a response and returns whether it is a refusal.
    pub fn observe_size(&mut self, bytes: u32) -> bool {
        if is_refusal(bytes, self.usual_bytes as u32) {
            return true;
        }
        let bytes = f64::from(bytes);
        if bytes > self.usual_bytes {
            // The size rises at once, so that refusals are detected even if the first responses were refusals.
            self.usual_bytes = bytes;
        } else {
            self.usual_bytes += (bytes - self.usual_bytes) * SIZE_SHARE;
        }
        false
    }

    /// Records a latency and returns the logarithm of its ratio to the usual one, which is `None` while fewer than
    /// `min_weight` responses are known.
    pub fn observe_latency(
        &mut self,
        now: Duration,
        latency: Duration,
        retention: Duration,
        min_weight: f64,
    ) -> Option<f64> {
        let value = latency.max(MIN_LATENCY).as_secs_f64().ln();
        self.log_latency.decay(now, retention);
        let usual = self.log_latency.mean(0.0);
        let is_known = self.log_latency.weight() >= min_weight;
        self.log_latency.add(value, 1.0);
        is_known.then_some(value - usual)
    }
}
