//! Queue of the requests of one kind, short or long, for one upstream.

use {
    crate::{
        concurrency_limit::ConcurrencyLimit,
        dispatch::{Job, JobId},
    },
    std::{collections::VecDeque, time::Duration},
};

/// Weight of the newest sample in the exponential moving average of the latency.
const SMOOTHING: f64 = 0.1;

/// Waiting and running requests, with the concurrency limit of the running ones.
#[derive(Clone, Debug)]
pub struct RequestQueue {
    /// Limit on the running requests.
    pub limit: ConcurrencyLimit,
    established: VecDeque<Job>,
    new: VecDeque<Job>,
    running: Vec<Running>,
    mean_latency: Option<f64>,
}

/// A request that was sent to its upstream and has not ended.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request.
    pub job: Job,
    /// Time of its dispatch.
    pub dispatched_at: Duration,
}

impl RequestQueue {
    /// Creates an empty queue.
    pub fn new(limit: ConcurrencyLimit) -> RequestQueue {
        RequestQueue {
            limit,
            established: VecDeque::new(),
            new: VecDeque::new(),
            running: Vec::new(),
            mean_latency: None,
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.established.len() + self.new.len()
    }

    /// Returns the number of running requests.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the estimated wait of a request that arrives now, in seconds.
    pub fn estimated_wait(&self, now: Duration, job: &Job) -> f64 {
        let ahead = if job.established {
            self.established.len()
        } else {
            self.waiting()
        };
        if ahead == 0 && self.limit.allows(now, self.in_flight()) {
            return 0.0;
        }
        self.time_to_process(now, ahead + 1)
    }

    /// Returns the estimated time until all waiting requests are dispatched, in seconds.
    pub fn drain_time(&self, now: Duration) -> f64 {
        self.time_to_process(now, self.waiting())
    }

    fn time_to_process(&self, now: Duration, requests: usize) -> f64 {
        requests as f64 * self.mean_latency.unwrap_or(0.0) / self.limit.value(now)
    }

    /// Appends a request. Requests of established flows precede those of new flows.
    pub fn push(&mut self, job: Job) {
        if job.established {
            self.established.push_back(job)
        } else {
            self.new.push_back(job)
        }
    }

    /// Removes and returns the next request if the limit allows one more.
    pub fn pop(&mut self, now: Duration) -> Option<Job> {
        if !self.limit.allows(now, self.in_flight()) {
            return None;
        }
        let established = self.established.pop_front();
        established.or_else(|| self.new.pop_front())
    }

    /// Returns the next request.
    pub fn front(&self) -> Option<&Job> {
        self.established.front().or_else(|| self.new.front())
    }

    /// Removes a waiting request and returns whether it was there.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let before = self.waiting();
        self.established.retain(|job| job.id != id);
        self.new.retain(|job| job.id != id);
        self.waiting() < before
    }

    /// Removes the waiting requests that `is_late` selects, and appends their identifiers to `late`.
    ///
    /// Each queue is searched up to the first request that is not selected: requests wait in the order of their
    /// arrival, so those behind it have more time left.
    pub fn expire(&mut self, is_late: impl Fn(&Job) -> bool, late: &mut Vec<JobId>) {
        for queue in [&mut self.established, &mut self.new] {
            while let Some(job) = queue.pop_front_if(|job| is_late(job)) {
                late.push(job.id);
            }
        }
    }

    /// Records the dispatch of a request.
    pub fn start(&mut self, now: Duration, job: Job) {
        self.running.push(Running {
            job,
            dispatched_at: now,
        });
    }

    /// Removes and returns a running request that has ended.
    pub fn finish(&mut self, id: JobId) -> Option<Running> {
        let at = self
            .running
            .iter()
            .position(|running| running.job.id == id)?;
        Some(self.running.swap_remove(at))
    }

    /// Adds the latency of an answered request to the mean.
    pub fn record_latency(&mut self, seconds: f64) {
        let mean = self.mean_latency.unwrap_or(seconds);
        self.mean_latency = Some(mean + SMOOTHING * (seconds - mean));
    }

    /// Returns the mean latency in seconds, or `None` before the first answer.
    pub fn mean_latency(&self) -> Option<f64> {
        self.mean_latency
    }

    /// Returns whether a running request was dispatched before `since`.
    pub fn has_dispatched_before(&self, since: Duration) -> bool {
        self.running
            .iter()
            .any(|running| running.dispatched_at < since)
    }
}
