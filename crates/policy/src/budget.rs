//! Byte budgets of control traffic.

use std::time::Duration;

/// A token bucket in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    rate: usize,
    burst: usize,
    tokens: f64,
    filled: Duration,
}

impl Budget {
    /// Creates a full bucket with a rate in bytes per second and a burst in bytes.
    pub fn new(rate: usize, burst: usize) -> Budget {
        Budget {
            rate,
            burst,
            tokens: burst as f64,
            filled: Duration::ZERO,
        }
    }

    /// Takes bytes of a message that is sent whatever the budget says; the bucket may go down to minus one burst.
    pub fn charge(&mut self, now: Duration, bytes: usize) {
        self.fill(now);
        self.tokens = (self.tokens - bytes as f64).max(-(self.burst as f64));
    }

    /// Takes bytes if the bucket holds them.
    pub fn take(&mut self, now: Duration, bytes: usize) -> bool {
        self.fill(now);
        if self.tokens < bytes as f64 {
            return false;
        }
        self.tokens -= bytes as f64;
        true
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate as f64).min(self.burst as f64);
        self.filled = self.filled.max(now);
    }
}
