//! One upstream as one balancer sees it.

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
    pub is_drained: bool,
    /// Whether it or the platform says that it is leaving.
    pub is_marked: bool,
    /// Time of the last quick answer to a short request.
    cleared: Duration,
    lanes: [RequestQueue; 2],
}

impl Upstream {
    /// Creates an upstream without flows, with the limits of short and long requests.
    pub fn new(settings: concurrency_limit::Settings, ranges: [LimitRange; 2]) -> Upstream {
        Upstream {
            weight: 0,
            flows: 0,
            is_drained: false,
            is_marked: false,
            cleared: Duration::ZERO,
            lanes: ranges.map(|range| RequestQueue::new(ConcurrencyLimit::new(settings, range))),
        }
    }

    /// Changes the limits of short and long requests.
    pub fn set_ranges(&mut self, ranges: [LimitRange; 2]) {
        for (lane, range) in self.lanes.iter_mut().zip(ranges) {
            lane.limit.set_range(range);
        }
    }

    /// Starts the slow start of a cold upstream.
    pub fn start_cold(&mut self, now: Duration) {
        for lane in &mut self.lanes {
            lane.limit.start_cold(now);
        }
    }

    /// Returns the share of a warm upstream's work that this one may get, from 0 to 1.
    pub fn warmth(&self, now: Duration) -> f64 {
        self.lane(RequestKind::Short).limit.warmup_factor(now)
    }

    /// Returns whether it gets no new flows.
    pub fn is_draining(&self) -> bool {
        self.is_drained || self.is_marked || self.weight == 0
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.lanes.iter().map(RequestQueue::in_flight).sum()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.lanes.iter().map(RequestQueue::waiting).sum()
    }

    /// Returns whether no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.lanes.iter().all(|lane| lane.in_flight() == 0)
    }

    /// Returns the requests of one kind.
    pub fn lane(&self, kind: RequestKind) -> &RequestQueue {
        &self.lanes[kind.index()]
    }

    /// Returns the requests of one kind.
    pub fn lane_mut(&mut self, kind: RequestKind) -> &mut RequestQueue {
        &mut self.lanes[kind.index()]
    }

    /// Adapts the limits to the latency of a short request, where `usual` is the one without load.
    ///
    /// Slow short requests are a sign of too many long ones, too.
    pub fn sense(&mut self, now: Duration, latency: Duration, usual: Duration, quick: f64) {
        let ratio = latency.as_secs_f64() / usual.as_secs_f64();
        if ratio <= quick {
            self.cleared = now;
        }
        for lane in &mut self.lanes {
            lane.limit.observe_latency(now, usual, ratio);
        }
    }

    /// Returns whether a short request in flight is older than `quick`, so that long ones seem to hold all slots.
    pub fn is_blocked(&self, now: Duration, quick: Duration) -> bool {
        let since = now.saturating_sub(quick);
        self.lane(RequestKind::Short).has_dispatched_before(since)
    }

    /// Returns whether a long request may be sent: after a quick answer, or after it has waited for one for `hold`.
    ///
    /// At low load quick answers are rare and long requests seldom meet, so the wait is shorter.
    pub fn takes_long(&self, now: Duration, quick: Duration, hold: Duration) -> bool {
        let hold = hold.mul_f64(self.lane(RequestKind::Short).limit.latency_pressure());
        let next = self.lane(RequestKind::Long).front();
        let is_overdue = next.is_some_and(|job| now >= job.arrived + hold);
        !self.is_blocked(now, quick) && (now <= self.cleared + quick || is_overdue)
    }

    /// Removes and returns the waiting requests that can no longer be answered in time, or all if it is not usable.
    pub fn expire(&mut self, now: Duration, is_usable: bool) -> Vec<JobId> {
        let mut late = Vec::new();
        for lane in &mut self.lanes {
            let reserve = Duration::from_secs_f64(lane.mean_latency().unwrap_or(0.0));
            lane.expire(|job| !is_usable || now + reserve > job.deadline, &mut late);
        }
        late
    }
}
