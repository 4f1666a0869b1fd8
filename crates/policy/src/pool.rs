//! Dispatcher of one pool: queues, concurrency limits, health checks, placement and retries.
//!
//! All balancers share the slots of an upstream without coordination. Each relies on its own requests in flight and on
//! the answers and refusals it receives. See [requests](../../../docs/design.md#6-requests).

use {
    crate::{
        concurrency_limit::{self, LimitRange, RequestEnd},
        config::Resolved,
        dispatch::{self, Job, JobId, JobResult, Occupancy, Placement, Verdict},
        exchange::Effect,
        flow::Hash,
        health::{self, Change, Monitor},
        id::{Map, Set, UpstreamId},
        placement,
        queue::Running,
        retry::{self, EndedJob, RetryBudget},
        service_time::{self, Estimator, RequestKind},
        upstream::Upstream,
        upstream_set::UpstreamSet,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{collections::VecDeque, sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// Settings of a [`PoolDispatcher`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Concurrency limits.
    pub concurrency: concurrency_limit::Settings,
    /// Classification of requests as short or long.
    pub service_time: service_time::Settings,
    /// Health checks.
    pub health: health::Settings,
    /// Placement of new flows.
    pub placement: placement::Settings,
    /// Retry budget.
    pub retry: retry::Settings,
    /// Maximum number of waiting requests of one kind per upstream.
    pub max_queued: usize,
    /// Longest accepted estimated wait, as a share of the time to the deadline; for short and for long requests.
    ///
    /// A longer queue of short requests adds latency but no goodput. Service times vary, so part of the time to the
    /// deadline is kept as a reserve.
    pub max_wait_shares: [f64; 2],
    /// Age of a short request in flight from which its upstream gets no further request, since long requests seem to
    /// hold all its slots; as a multiple of the latency without load.
    pub blocked_ratio: f64,
    /// Latency up to which the answer to a short request counts as quick, as a multiple of the latency without load.
    pub quick_ratio: f64,
    /// Longest time for which a long request waits for a quick answer to a short one, as a multiple of the latency of
    /// long requests without load. A quick answer shows that long requests do not hold all slots.
    pub max_hold_ratio: f64,
    /// Seed of the jitter of retries.
    pub seed: u64,
}

/// Information about an upstream from outside of the request path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Whether it is draining, according to itself or to the platform.
    Drain(bool),
    /// A probe of its health endpoint ended.
    Health {
        /// Whether the endpoint reported that it is up.
        is_up: bool,
        /// Time of the probe.
        observed: Duration,
    },
    /// A probe of its load endpoint ended.
    Load {
        /// Number of requests that wait at the upstream.
        waiting: u32,
        /// Time of the probe.
        observed: Duration,
    },
}

/// The dispatcher of one pool at one balancer.
#[derive(Debug)]
pub struct PoolDispatcher {
    pub(crate) settings: Settings,
    pub(crate) pool: Arc<Resolved>,
    balancers: u32,
    pub(crate) upstreams: Map<UpstreamId, Upstream>,
    /// Upstreams that are not draining, used for placement while the health check fails open.
    open: UpstreamSet,
    /// Upstreams that are neither draining nor down, used for placement otherwise.
    healthy: UpstreamSet,
    health: Monitor,
    service_times: Estimator,
    budget: RetryBudget,
    jobs: Map<JobId, (UpstreamId, RequestKind)>,
    /// Upstreams whose queues are processed at the next tick.
    backlog: Set<UpstreamId>,
    /// Jobs that ended without an answer and may be retried.
    pub(crate) ended: VecDeque<EndedJob>,
    /// Deadlines of the requests to be retried, by flow and time of arrival.
    pub(crate) retries: Map<(Hash, Duration), Duration>,
    random: SmallRng,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            concurrency: concurrency_limit::Settings::default(),
            service_time: service_time::Settings::default(),
            health: health::Settings::default(),
            placement: placement::Settings::default(),
            retry: retry::Settings::default(),
            max_queued: 64,
            max_wait_shares: [0.35, 0.5],
            blocked_ratio: 4.0,
            quick_ratio: 1.0,
            max_hold_ratio: 10.0,
            seed: 0,
        }
    }
}

impl PoolDispatcher {
    /// Creates the dispatcher of a pool whose upstreams are warm.
    pub fn new(settings: Settings, pool: &Arc<Resolved>, balancers: u32) -> PoolDispatcher {
        let mut dispatcher = PoolDispatcher {
            settings,
            pool: pool.clone(),
            balancers,
            upstreams: Map::default(),
            open: UpstreamSet::default(),
            healthy: UpstreamSet::default(),
            health: Monitor::new(settings.health),
            service_times: Estimator::new(settings.service_time),
            budget: RetryBudget::new(settings.retry),
            jobs: Map::default(),
            backlog: Set::default(),
            ended: VecDeque::new(),
            retries: Map::default(),
            random: SmallRng::seed_from_u64(settings.seed),
        };
        dispatcher.apply_configuration();
        dispatcher
    }

    /// Returns a factory for [`Core::new`](crate::balancer::Core::new).
    pub fn factory(settings: Settings, balancers: u32) -> dispatch::DispatcherFactory {
        Box::new(move |pool| Box::new(PoolDispatcher::new(settings, pool, balancers)))
    }

    /// Sets the number of balancers that send to the upstreams of this pool.
    pub fn set_balancers(&mut self, balancers: u32) {
        self.balancers = balancers;
        self.update_limit_ranges();
    }

    /// Applies information about an upstream from outside of the request path.
    pub fn signal(&mut self, now: Duration, upstream: UpstreamId, signal: Signal) {
        match signal {
            Signal::Drain(is_marked) => self.set_drain_mark(upstream, is_marked),
            Signal::Health { is_up, observed } => {
                self.observe(now, upstream, health::Signal::Report { is_up, observed });
            }
            Signal::Load { waiting, observed } => {
                let is_recent =
                    now.saturating_sub(observed) < self.settings.concurrency.max_report_age;
                if let Some(entry) = self.upstreams.get_mut(&upstream)
                    && waiting > 0
                    && is_recent
                {
                    entry.queue_mut(RequestKind::Short).limit.report_busy(now);
                }
            }
        }
    }

    /// Returns whether requests of a class are short or long.
    pub fn kind(&self, class: u64) -> RequestKind {
        self.service_times.kind(class)
    }

    /// Adds and updates the configured upstreams, and returns those that are new.
    fn apply_configuration(&mut self) -> Vec<UpstreamId> {
        let pool = self.pool.clone();
        let mut added = Vec::new();
        for (&id, &at) in &pool.positions {
            let configured = &pool.pool.upstreams[at];
            self.health.add(id);
            if !self.upstreams.contains_key(&id) {
                added.push(id);
                let upstream = Upstream::new(self.settings.concurrency, self.limit_ranges());
                self.upstreams.insert(id, upstream);
            }
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.weight = configured.weight;
                upstream.is_drained_by_config = configured.drain;
            }
        }
        for &id in pool.positions.keys() {
            self.update_candidates(id);
        }
        added
    }

    fn limit_ranges(&self) -> [LimitRange; 2] {
        let slots = self.pool.pool.slots;
        [
            LimitRange::short(slots, self.balancers),
            LimitRange::long(&self.settings.concurrency, slots, self.balancers),
        ]
    }

    fn update_limit_ranges(&mut self) {
        let ranges = self.limit_ranges();
        for upstream in self.upstreams.values_mut() {
            upstream.set_ranges(ranges);
        }
    }

    fn drain_removed_upstreams(&mut self) {
        let positions = &self.pool.positions;
        let is_removed = |id: &&UpstreamId| !positions.contains_key(*id);
        let removed: Vec<UpstreamId> = self.upstreams.keys().filter(is_removed).copied().collect();
        for id in removed {
            self.health.remove(id);
            self.open.remove(id);
            self.healthy.remove(id);
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.is_drained_by_config = true;
            }
            self.backlog.insert(id);
        }
    }

    fn set_drain_mark(&mut self, id: UpstreamId, is_marked: bool) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.is_reported_draining = is_marked;
            self.update_candidates(id);
        }
    }

    /// Updates the candidates for placement after a change of one upstream.
    fn update_candidates(&mut self, id: UpstreamId) {
        let Some(upstream) = self.upstreams.get(&id) else {
            return;
        };
        let is_open = !upstream.is_draining();
        let is_healthy = is_open && !self.health.looks_down(id);
        let (weight, flows) = (upstream.weight, upstream.flows);
        self.open.set(id, is_open, weight, flows);
        self.healthy.set(id, is_healthy, weight, flows);
    }

    fn observe(&mut self, now: Duration, id: UpstreamId, signal: health::Signal) {
        if let Some(change) = self.health.observe(now, id, signal) {
            self.apply_health_change(now, change);
        }
    }

    fn apply_health_change(&mut self, now: Duration, change: Change) {
        let (Change::Down(id) | Change::Cold(id) | Change::Up(id)) = change;
        if let Change::Cold(_) = change {
            self.start_cold(now, id);
        }
        self.update_candidates(id);
        self.backlog.insert(id);
    }

    fn start_cold(&mut self, now: Duration, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.start_cold(now);
        }
    }

    fn can_serve(&self, id: UpstreamId) -> bool {
        let is_down = self.health.looks_down(id) && !self.health.fails_open();
        self.pool.positions.contains_key(&id) && !is_down
    }

    /// Checks whether a job can be queued; otherwise, the error is the Max-Age of the refusal, in seconds.
    fn check_admission(&self, now: Duration, job: &Job, kind: RequestKind) -> Result<(), u32> {
        let Some(upstream) = self.upstreams.get(&job.upstream) else {
            return Err(1);
        };
        let queue = upstream.queue(kind);
        let wait = queue.estimated_wait(now, job);
        let left = job.deadline.saturating_sub(now).as_secs_f64();
        let is_late = wait > left * self.settings.max_wait_shares[kind.index()];
        if queue.waiting() >= self.settings.max_queued || is_late || !self.can_serve(job.upstream) {
            return Err(max_age(wait, job.id));
        }
        Ok(())
    }

    fn yield_slots(&mut self, now: Duration, id: UpstreamId) {
        let no_load_latency = Duration::from_secs_f64(
            self.service_times
                .no_load_latency(RequestKind::Short)
                .unwrap_or(0.0),
        );
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream
                .queue_mut(RequestKind::Long)
                .limit
                .yield_slots(now, no_load_latency);
        }
    }

    /// Dispatches the waiting requests that the limits of an upstream allow, and refuses those that can no longer be
    /// answered in time.
    fn dispatch_waiting(&mut self, now: Duration, id: UpstreamId, verdicts: &mut Vec<Verdict>) {
        self.refuse_expired(now, id, verdicts);
        for kind in [RequestKind::Short, RequestKind::Long] {
            while self.may_dispatch(now, id, kind)
                && let Some(job) = self.pop_waiting(now, id, kind)
            {
                self.dispatch_job(now, kind, job, verdicts);
            }
        }
        let waiting = self.upstreams.get(&id).map_or(0, Upstream::waiting);
        if waiting == 0 {
            self.backlog.remove(&id);
            self.delete_removed_upstream(id);
        } else {
            self.backlog.insert(id);
        }
    }

    fn delete_removed_upstream(&mut self, id: UpstreamId) {
        let is_removed = !self.pool.positions.contains_key(&id);
        if is_removed && self.upstreams.get(&id).is_some_and(Upstream::is_idle) {
            self.upstreams.remove(&id);
        }
    }

    fn pop_waiting(&mut self, now: Duration, id: UpstreamId, kind: RequestKind) -> Option<Job> {
        self.upstreams.get_mut(&id)?.queue_mut(kind).pop(now)
    }

    fn may_dispatch(&self, now: Duration, id: UpstreamId, kind: RequestKind) -> bool {
        let Some(short) = self.service_times.no_load_latency(RequestKind::Short) else {
            return true;
        };
        let blocked_after = Duration::from_secs_f64(short * self.settings.blocked_ratio);
        let quick_latency = Duration::from_secs_f64(short * self.settings.quick_ratio);
        let long = self
            .service_times
            .no_load_latency(RequestKind::Long)
            .unwrap_or(0.0);
        let max_wait = Duration::from_secs_f64(long * self.settings.max_hold_ratio);
        let upstream = self.upstreams.get(&id);
        upstream.is_some_and(|upstream| match kind {
            RequestKind::Short => !upstream.is_blocked(now, blocked_after),
            RequestKind::Long => upstream.may_dispatch_long(now, quick_latency, max_wait),
        })
    }

    fn dispatch_job(
        &mut self,
        now: Duration,
        kind: RequestKind,
        job: Job,
        verdicts: &mut Vec<Verdict>,
    ) {
        verdicts.push(Verdict::Dispatch(job.id));
        if self.retries.remove(&(job.flow, job.arrived)).is_none() {
            self.budget.deposit();
        }
        self.jobs.insert(job.id, (job.upstream, kind));
        if let Some(upstream) = self.upstreams.get_mut(&job.upstream) {
            upstream.queue_mut(kind).start(now, job);
        }
    }

    fn refuse_expired(&mut self, now: Duration, id: UpstreamId, verdicts: &mut Vec<Verdict>) {
        let is_usable = self.can_serve(id);
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        // All of them are refused at once, and the queue drains in about the time that the last of them would have
        // waited.
        let waits = upstream.drain_times(now);
        for id in upstream.remove_late(now, is_usable) {
            let kind = self.jobs.remove(&id).map(|(_, kind)| kind);
            let wait = kind.map_or(0.0, |kind| waits[kind.index()]);
            let max_age = max_age(wait, id);
            verdicts.push(Verdict::Refuse { id, max_age });
        }
    }

    fn record_result(
        &mut self,
        now: Duration,
        kind: RequestKind,
        running: &Running,
        result: JobResult,
    ) {
        let signal = match result {
            JobResult::Answered | JobResult::Refused => health::Signal::Answered,
            JobResult::TimedOut => health::Signal::TimedOut,
            JobResult::Cancelled => return,
        };
        let id = running.job.upstream;
        self.observe(now, id, signal);
        let latency = now.saturating_sub(running.dispatched_at);
        let end = match result {
            JobResult::Answered => RequestEnd::Answered,
            _ => RequestEnd::Failed,
        };
        if end == RequestEnd::Answered {
            self.record_answer(now, kind, running, latency);
        }
        let no_load_latency = self.service_times.no_load_latency(kind);
        let no_load_latency = no_load_latency.map_or(latency, Duration::from_secs_f64);
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream
                .queue_mut(kind)
                .limit
                .request_ended(now, no_load_latency, end);
        }
    }

    fn record_answer(
        &mut self,
        now: Duration,
        kind: RequestKind,
        running: &Running,
        latency: Duration,
    ) {
        let seconds = latency.as_secs_f64();
        self.service_times.observe(now, running.job.class, latency);
        let no_load_latency = self
            .service_times
            .no_load_latency(RequestKind::Short)
            .unwrap_or(seconds);
        let Some(upstream) = self.upstreams.get_mut(&running.job.upstream) else {
            return;
        };
        upstream.queue_mut(kind).record_latency(seconds);
        if kind == RequestKind::Short {
            let no_load_latency = Duration::from_secs_f64(no_load_latency);
            upstream.update_limits(now, latency, no_load_latency, self.settings.quick_ratio);
        }
    }
}

impl dispatch::Dispatcher for PoolDispatcher {
    fn set_pool(&mut self, now: Duration, pool: &Arc<Resolved>) {
        self.pool = pool.clone();
        self.drain_removed_upstreams();
        for id in self.apply_configuration() {
            self.start_cold(now, id);
        }
        self.update_limit_ranges();
    }

    fn place(&mut self, now: Duration, flow: Hash) -> Option<Placement> {
        let members = if self.health.fails_open() {
            &self.open
        } else {
            &self.healthy
        };
        let choice = placement::choose(
            &self.settings.placement,
            &self.pool.table,
            members.ids(),
            flow,
            |id| self.capacity(now, members, id),
        )?;
        Some(Placement {
            upstream: choice.upstream,
            exception: choice.is_exception,
        })
    }

    fn flow_opened(&mut self, upstream: UpstreamId) {
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.flows += 1;
            self.update_candidates(upstream);
        }
    }

    fn flow_closed(&mut self, upstream: UpstreamId) {
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.flows = entry.flows.saturating_sub(1);
            self.update_candidates(upstream);
        }
    }

    fn submit(&mut self, now: Duration, job: Job, verdicts: &mut Vec<Verdict>) {
        let kind = self.service_times.kind(job.class);
        if let Err(max_age) = self.check_admission(now, &job, kind) {
            if kind == RequestKind::Short {
                self.yield_slots(now, job.upstream);
            }
            verdicts.push(Verdict::Refuse {
                id: job.id,
                max_age,
            });
            return;
        }
        let id = job.upstream;
        self.jobs.insert(job.id, (id, kind));
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.queue_mut(kind).push(job);
        }
        self.dispatch_waiting(now, id, verdicts);
    }

    fn finished(
        &mut self,
        now: Duration,
        id: JobId,
        result: JobResult,
        verdicts: &mut Vec<Verdict>,
    ) {
        let Some((at, kind)) = self.jobs.remove(&id) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(&at) else {
            return;
        };
        if let Some(running) = upstream.queue_mut(kind).finish(id) {
            self.record_result(now, kind, &running, result);
            if result != JobResult::Answered {
                self.ended.push_back(EndedJob {
                    at: now,
                    job: running.job,
                    result,
                });
            }
        } else {
            upstream.queue_mut(kind).cancel(id);
        }
        self.dispatch_waiting(now, at, verdicts);
    }

    fn retry(&mut self, now: Duration, id: JobId) -> Option<Duration> {
        let at = self.ended.iter().rposition(|ended| ended.job.id == id)?;
        let EndedJob { job, result, .. } = self.ended.remove(at)?;
        if result == JobResult::TimedOut && job.effect == Effect::NonIdempotent {
            return None;
        }
        let pause = self
            .budget
            .backoff(now.saturating_sub(job.arrived), &mut self.random);
        if now + pause >= job.deadline || !self.budget.withdraw() {
            return None;
        }
        self.retries.insert((job.flow, job.arrived), job.deadline);
        Some(now + pause)
    }

    fn tick(&mut self, now: Duration, verdicts: &mut Vec<Verdict>) {
        let mut changes = Vec::new();
        self.health.tick(now, &mut changes);
        for change in changes {
            self.apply_health_change(now, change);
        }
        let backlog: Vec<UpstreamId> = self.backlog.iter().copied().collect();
        for id in backlog {
            self.dispatch_waiting(now, id, verdicts);
        }
        self.expire_ended_jobs(now);
    }

    fn set_balancers(&mut self, balancers: u32) {
        PoolDispatcher::set_balancers(self, balancers);
    }

    fn occupancy(&self, upstream: UpstreamId) -> Occupancy {
        let occupancy = |upstream: &Upstream| Occupancy {
            flows: upstream.flows.into(),
            in_flight: upstream.in_flight().into(),
            queued: upstream.waiting() as u64,
        };
        self.upstreams
            .get(&upstream)
            .map(occupancy)
            .unwrap_or_default()
    }

    fn is_usable(&self, upstream: UpstreamId) -> bool {
        self.can_serve(upstream)
    }
}

/// Returns the Max-Age of a refusal in seconds: one to two times the wait, spread by the identifier of the job, so that
/// callers that are refused at the same time do not return at the same time.
fn max_age(wait: f64, id: JobId) -> u32 {
    let spread = xxh3_64(&id.to_be_bytes()) as f64 / u64::MAX as f64;
    (wait * (1.0 + spread)).ceil().clamp(1.0, 30.0) as u32
}
