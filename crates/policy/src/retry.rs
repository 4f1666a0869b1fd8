//! RetryBudget and backoff of retries.
//!
//! Unlimited retries multiply the load at the moment when most upstreams fail. The budget keeps the dispatches within a
//! fixed multiple of the requests, whatever fails. See [requests](../../../docs/design.md#6-requests).

use {
    rand::{Rng, rngs::SmallRng},
    std::time::Duration,
};

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries per request; less than the bound of 0.1, which leaves room for the saved ones.
    pub ratio: f64,
    /// Most retries that quiet times may save up.
    pub burst: f64,
    /// Upper bound of the first backoff.
    pub first_backoff: Duration,
    /// Upper bound of every backoff.
    pub max_backoff: Duration,
}

/// A token bucket that requests fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Settings,
    tokens: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            ratio: 0.09,
            burst: 10.0,
            first_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(5),
        }
    }
}

impl RetryBudget {
    /// Creates an empty budget, so that the bound holds from the first request on.
    pub fn new(settings: Settings) -> RetryBudget {
        RetryBudget {
            settings,
            tokens: 0.0,
        }
    }

    /// Counts the first dispatch of a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one retry from the budget and returns whether it was there.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the pause before a retry of a request that arrived `age` ago.
    ///
    /// A pause as long as the age doubles the age, so the pauses grow exponentially without a count of attempts. The
    /// pause is drawn from the upper half of that interval, so that requests that failed together do not return together.
    pub fn backoff(&self, age: Duration, random: &mut SmallRng) -> Duration {
        let bound = age
            .max(self.settings.first_backoff)
            .min(self.settings.max_backoff);
        bound.mul_f64(random.random_range(0.5..=1.0))
    }
}
