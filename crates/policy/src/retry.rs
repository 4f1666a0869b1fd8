//! Retry budget and backoff, and the expiry of the jobs that may be retried.
//!
//! Unlimited retries multiply the load when most upstreams fail. The budget keeps the number of dispatches within a
//! fixed multiple of the number of requests, whatever fails. See [requests](../../../docs/design.md#6-requests).

use {
    crate::{
        dispatch::{Job, JobResult},
        pool::PoolDispatcher,
    },
    rand::{Rng, rngs::SmallRng},
    std::time::Duration,
};

/// Time after the end of a job during which it can be retried.
const RETRY_WINDOW: Duration = Duration::from_secs(30);

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries earned per request. It is below the bound of 0.1 retries per request, which leaves room for the retries
    /// that were saved.
    pub ratio: f64,
    /// Maximum number of unused retries that are saved.
    pub burst: f64,
    /// Upper bound of the first backoff.
    pub first_backoff: Duration,
    /// Upper bound of every backoff.
    pub max_backoff: Duration,
}

/// A token bucket to which each request adds a fraction of a retry and from which each retry takes one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Settings,
    tokens: f64,
}

/// A job that ended without an answer, kept for a retry.
#[derive(Debug)]
pub(crate) struct EndedJob {
    pub(crate) at: Duration,
    pub(crate) job: Job,
    pub(crate) result: JobResult,
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
    /// Creates an empty budget, so that its bound holds from the first request.
    pub fn new(settings: Settings) -> RetryBudget {
        RetryBudget {
            settings,
            tokens: 0.0,
        }
    }

    /// Adds tokens for the first dispatch of a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one retry from the budget and returns whether one was available.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the backoff before a retry of a request that arrived `age` ago.
    ///
    /// A delay as long as the age doubles the age, so that the backoff is exponential without a count of attempts.
    /// Jitter shortens it by up to half, so that requests that failed together are not retried together.
    pub fn backoff(&self, age: Duration, random: &mut SmallRng) -> Duration {
        let bound = age
            .max(self.settings.first_backoff)
            .min(self.settings.max_backoff);
        bound.mul_f64(random.random_range(0.5..=1.0))
    }
}

impl PoolDispatcher {
    pub(crate) fn expire_ended_jobs(&mut self, now: Duration) {
        while let Some(ended) = self.ended.front()
            && now.saturating_sub(ended.at) > RETRY_WINDOW
        {
            self.ended.pop_front();
        }
        if self.retries.len() > self.settings.max_queued {
            self.retries.retain(|_, deadline| *deadline > now);
        }
    }
}
