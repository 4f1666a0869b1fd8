//! One upstream as one balancer sees it.

use {
    crate::{
        admission::{self, Limit, Range},
        class::Kind,
        dispatch::JobId,
        queue::Lane,
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
    /// Whether it or the platform says that it is leaving.
    pub is_leaving: bool,
    /// Time of the last quick answer to a short request.
    last_quick_answer: Duration,
    lanes: [Lane; 2],
}

impl Upstream {
    /// Creates an upstream without flows, with the limits of short and long requests.
    pub fn new(settings: admission::Settings, ranges: [Range; 2]) -> Upstream {
        Upstream {
            weight: 0,
            flows: 0,
            is_drained_by_config: false,
            is_leaving: false,
            last_quick_answer: Duration::ZERO,
            lanes: ranges.map(|range| Lane::new(Limit::new(settings, range))),
        }
    }

    /// Changes the limits of short and long requests.
    pub fn set_ranges(&mut self, ranges: [Range; 2]) {
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
        self.lane(Kind::Short).limit.warmth(now)
    }

    /// Returns whether it gets no new flows.
    pub fn is_draining(&self) -> bool {
        self.is_drained_by_config || self.is_leaving || self.weight == 0
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.lanes.iter().map(Lane::in_flight).sum()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.lanes.iter().map(Lane::waiting).sum()
    }

    /// Returns whether no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.lanes.iter().all(|lane| lane.in_flight() == 0)
    }

    /// Returns the requests of one kind.
    pub fn lane(&self, kind: Kind) -> &Lane {
        &self.lanes[kind.index()]
    }

    /// Returns the requests of one kind.
    pub fn lane_mut(&mut self, kind: Kind) -> &mut Lane {
        &mut self.lanes[kind.index()]
    }

    /// Adapts the limits to the latency of a short request, where `unloaded` is the one without load.
    ///
    /// Slow short requests are a sign of too many long ones, too.
    pub fn update_limits(
        &mut self,
        now: Duration,
        latency: Duration,
        unloaded: Duration,
        quick_ratio: f64,
    ) {
        let ratio = latency.as_secs_f64() / unloaded.as_secs_f64();
        if ratio <= quick_ratio {
            self.last_quick_answer = now;
        }
        for lane in &mut self.lanes {
            lane.limit.sense(now, unloaded, ratio);
        }
    }

    /// Returns whether a short request in flight is older than `quick_latency`, so that long ones seem to max_wait all slots.
    pub fn is_blocked(&self, now: Duration, quick_latency: Duration) -> bool {
        let since = now.saturating_sub(quick_latency);
        self.lane(Kind::Short).has_run_since(since)
    }

    /// Returns whether a long request may be sent: after a quick answer, or after it has waited for one for `max_wait`.
    ///
    /// At low load quick answers are rare and long requests seldom meet, so the wait is shorter.
    pub fn may_dispatch_long(
        &self,
        now: Duration,
        quick_latency: Duration,
        max_wait: Duration,
    ) -> bool {
        let max_wait = max_wait.mul_f64(self.lane(Kind::Short).limit.strain());
        let next = self.lane(Kind::Long).front();
        let is_overdue = next.is_some_and(|job| now >= job.arrived + max_wait);
        !self.is_blocked(now, quick_latency)
            && (now <= self.last_quick_answer + quick_latency || is_overdue)
    }

    /// Removes and returns the waiting requests that can no longer be answered in time, or all if it is not usable.
    pub fn remove_late(&mut self, now: Duration, is_usable: bool) -> Vec<JobId> {
        let mut late = Vec::new();
        for lane in &mut self.lanes {
            let reserve = Duration::from_secs_f64(lane.latency().unwrap_or(0.0));
            lane.expire(|job| !is_usable || now + reserve > job.deadline, &mut late);
        }
        late
    }
}
