//! Load and admission limits of one upstream at one balancer.

use {
    crate::{
        concurrency_limit::{self, ConcurrencyLimit, LimitRange},
        dispatch::JobId,
        queue::RequestQueue,
        service_time::RequestKind,
    },
    std::time::Duration,
};

/// Flows, waiting requests and requests in flight of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Share of the flows relative to the other upstreams.
    pub weight: u32,
    /// Open flows of this balancer.
    pub flows: u32,
    /// Whether the configuration drains or removes it.
    pub is_drained_by_config: bool,
    /// Whether the upstream itself or the platform reports that it is draining.
    pub is_reported_draining: bool,
    /// Time of the last answer to a short request whose latency was close to that without load.
    last_quick_answer: Duration,
    /// Queues of short and long requests.
    queues: [RequestQueue; 2],
}

impl Upstream {
    /// Creates an upstream without flows, with the limits of short and long requests.
    pub fn new(settings: concurrency_limit::Settings, ranges: [LimitRange; 2]) -> Upstream {
        Upstream {
            weight: 0,
            flows: 0,
            is_drained_by_config: false,
            is_reported_draining: false,
            last_quick_answer: Duration::ZERO,
            queues: ranges.map(|range| RequestQueue::new(ConcurrencyLimit::new(settings, range))),
        }
    }

    /// Changes the limits of short and long requests.
    pub fn set_ranges(&mut self, ranges: [LimitRange; 2]) {
        for (queue, range) in self.queues.iter_mut().zip(ranges) {
            queue.limit.set_range(range);
        }
    }

    /// Begins the slow start of an upstream that is new or has restarted.
    pub fn start_cold(&mut self, now: Duration) {
        for queue in &mut self.queues {
            queue.limit.start_cold(now);
        }
    }

    /// Returns the progress of the slow start: the share of its full load that the upstream may get, up to 1.
    pub fn warmup_factor(&self, now: Duration) -> f64 {
        self.queue(RequestKind::Short).limit.warmup_factor(now)
    }

    /// Returns whether the upstream gets no new flows.
    pub fn is_draining(&self) -> bool {
        self.is_drained_by_config || self.is_reported_draining || self.weight == 0
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.queues.iter().map(RequestQueue::in_flight).sum()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(RequestQueue::waiting).sum()
    }

    /// Returns whether no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.queues.iter().all(|queue| queue.in_flight() == 0)
    }

    /// Returns the queue of the requests of one kind.
    pub fn queue(&self, kind: RequestKind) -> &RequestQueue {
        &self.queues[kind.index()]
    }

    /// Returns the queue of the requests of one kind for modification.
    pub fn queue_mut(&mut self, kind: RequestKind) -> &mut RequestQueue {
        &mut self.queues[kind.index()]
    }

    /// Adapts the admission limits to the latency of a short request. `no_load_latency` is its latency without load.
    ///
    /// The limit of long requests is adapted as well, because too many long requests also slow down short ones.
    pub fn update_limits(
        &mut self,
        now: Duration,
        latency: Duration,
        no_load_latency: Duration,
        quick_ratio: f64,
    ) {
        let ratio = latency.as_secs_f64() / no_load_latency.as_secs_f64();
        if ratio <= quick_ratio {
            self.last_quick_answer = now;
        }
        for queue in &mut self.queues {
            queue.limit.observe_latency(now, no_load_latency, ratio);
        }
    }

    /// Returns whether a short request has been in flight for longer than `quick_latency`.
    ///
    /// Then long requests probably occupy all slots of the upstream.
    pub fn is_blocked(&self, now: Duration, quick_latency: Duration) -> bool {
        let since = now.saturating_sub(quick_latency);
        self.queue(RequestKind::Short).has_dispatched_before(since)
    }

    /// Returns whether the next long request may be dispatched: after a recent quick answer to a short request, or
    /// after `max_wait` in the queue.
    ///
    /// At low load the wait is shorter, because quick answers are rare and long requests seldom coincide.
    pub fn may_dispatch_long(
        &self,
        now: Duration,
        quick_latency: Duration,
        max_wait: Duration,
    ) -> bool {
        let max_wait = max_wait.mul_f64(self.queue(RequestKind::Short).limit.latency_pressure());
        let next = self.queue(RequestKind::Long).front();
        let is_overdue = next.is_some_and(|job| now >= job.arrived + max_wait);
        !self.is_blocked(now, quick_latency)
            && (now <= self.last_quick_answer + quick_latency || is_overdue)
    }

    /// Returns the estimated time until all waiting requests of a kind are dispatched, in seconds, by
    /// [`RequestKind::index`].
    pub fn drain_times(&self, now: Duration) -> [f64; 2] {
        [RequestKind::Short, RequestKind::Long].map(|kind| self.queue(kind).drain_time(now))
    }

    /// Removes and returns the queued requests that can no longer be answered before their deadline, or all of them if
    /// the upstream is not usable.
    pub fn remove_late(&mut self, now: Duration, is_usable: bool) -> Vec<JobId> {
        let mut late = Vec::new();
        for queue in &mut self.queues {
            let reserve = Duration::from_secs_f64(queue.mean_latency().unwrap_or(0.0));
            queue.expire(|job| !is_usable || now + reserve > job.deadline, &mut late);
        }
        late
    }
}
