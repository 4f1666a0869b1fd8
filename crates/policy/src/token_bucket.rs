//! Token bucket that limits the bytes of control traffic.

use std::time::Duration;

/// A token bucket whose tokens are bytes, with a check for each message.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_bytes_per_second: usize,
    burst_bytes: usize,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_bytes_per_second: usize, burst_bytes: usize) -> TokenBucket {
        TokenBucket {
            rate_bytes_per_second,
            burst_bytes,
            tokens: burst_bytes as f64,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes the bytes of a message that is sent regardless of the limit. The balance may fall to minus one burst.
    pub fn take_unconditionally(&mut self, now: Duration, bytes: usize) {
        self.refill(now);
        self.tokens = (self.tokens - bytes as f64).max(-(self.burst_bytes as f64));
    }

    /// Takes bytes if the bucket holds enough, and returns whether it did.
    pub fn try_take(&mut self, now: Duration, bytes: usize) -> bool {
        self.refill(now);
        if self.tokens < bytes as f64 {
            return false;
        }
        self.tokens -= bytes as f64;
        true
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens =
            (self.tokens + passed * self.rate_bytes_per_second as f64).min(self.burst_bytes as f64);
        self.refilled_at = self.refilled_at.max(now);
    }
}
