//! Slots, queues and placement of one pool at one balancer.
//!
//! The slots of an upstream are shared by all balancers without coordination. Each works from its own count of requests
//! in flight and from what answers and refusals tell. See [requests](../../../docs/design.md#6-requests).

use {
    crate::{
        admission::{self, End, Range},
        class::{self, Estimator, Kind},
        config::Resolved,
        dispatch::{self, Job, JobId, JobResult, Occupancy, Placement, Verdict},
        exchange::Effect,
        flow::Hash,
        health::{self, Change, Monitor},
        id::{Map, Set, UpstreamId},
        members::Members,
        placement::{self, Room},
        queue::Running,
        retry::{self, Budget},
        upstream::Upstream,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Time for which an ended job can be retried.
const RETRY_MEMORY: Duration = Duration::from_secs(30);

/// Settings of a [`Dispatcher`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Concurrency limits.
    pub admission: admission::Settings,
    /// Short or long.
    pub class: class::Settings,
    /// State of the upstreams.
    pub health: health::Settings,
    /// Placement of new flows.
    pub placement: placement::Settings,
    /// Retry budget.
    pub retry: retry::Settings,
    /// Most requests of one kind that wait for one upstream.
    pub queue: usize,
    /// Longest wait of short and of long requests that is accepted, as a share of the time to the deadline.
    ///
    /// A longer queue of short requests adds latency but no goodput. The service times vary, so part of the time is
    /// kept as a reserve.
    pub patience: [f64; 2],
    /// Age of a short request in flight, as a multiple of the latency without load, from which on its upstream seems
    /// occupied by long requests and gets no further request.
    pub blocked: f64,
    /// Latency up to which a short request was answered quickly, as a multiple of the latency without load.
    pub quick: f64,
    /// Longest time that a long request waits for a short one to be answered quickly, as a multiple of the latency of
    /// long requests without load. Such an answer shows that long requests do not hold all slots.
    pub hold: f64,
    /// Seed of the jitter.
    pub seed: u64,
}

/// Something that another part of the balancer knows about an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// It is leaving, or no longer is.
    Drain(bool),
    /// Its health endpoint was probed.
    Health {
        /// What the endpoint said.
        is_up: bool,
        /// Time of the probe.
        observed: Duration,
    },
    /// Its load endpoint was probed.
    Load {
        /// Requests that wait at the upstream.
        waiting: u32,
        /// Time of the probe.
        observed: Duration,
    },
}

/// The load decisions of one balancer for one pool.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    pool: Arc<Resolved>,
    balancers: u32,
    upstreams: Map<UpstreamId, Upstream>,
    /// Upstreams that are not draining.
    open: Members,
    /// Upstreams that are neither draining nor down.
    healthy: Members,
    health: Monitor,
    classes: Estimator,
    budget: Budget,
    jobs: Map<JobId, (UpstreamId, Kind)>,
    backlog: Set<UpstreamId>,
    ended: VecDeque<Ended>,
    retries: Map<(Hash, Duration), Duration>,
    random: SmallRng,
}

/// A job that ended without an answer.
#[derive(Debug)]
struct Ended {
    at: Duration,
    job: Job,
    result: JobResult,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            admission: admission::Settings::default(),
            class: class::Settings::default(),
            health: health::Settings::default(),
            placement: placement::Settings::default(),
            retry: retry::Settings::default(),
            queue: 64,
            patience: [0.35, 0.5],
            blocked: 4.0,
            quick: 1.0,
            hold: 10.0,
            seed: 0,
        }
    }
}

impl Dispatcher {
    /// Creates the dispatcher of a pool whose upstreams are warm.
    pub fn new(settings: Settings, pool: &Arc<Resolved>, balancers: u32) -> Dispatcher {
        let mut dispatcher = Dispatcher {
            settings,
            pool: pool.clone(),
            balancers,
            upstreams: Map::default(),
            open: Members::default(),
            healthy: Members::default(),
            health: Monitor::new(settings.health),
            classes: Estimator::new(settings.class),
            budget: Budget::new(settings.retry),
            jobs: Map::default(),
            backlog: Set::default(),
            ended: VecDeque::new(),
            retries: Map::default(),
            random: SmallRng::seed_from_u64(settings.seed),
        };
        dispatcher.adopt();
        dispatcher
    }

    /// Returns a factory for [`Core::new`](crate::balancer::Core::new).
    pub fn factory(settings: Settings, balancers: u32) -> dispatch::Factory {
        Box::new(move |pool| Box::new(Dispatcher::new(settings, pool, balancers)))
    }

    /// Sets the number of balancers that send to the upstreams of this pool.
    pub fn set_balancers(&mut self, balancers: u32) {
        self.balancers = balancers;
        self.share();
    }

    /// Takes in what another part of the balancer knows about an upstream.
    pub fn signal(&mut self, now: Duration, upstream: UpstreamId, signal: Signal) {
        match signal {
            Signal::Drain(is_marked) => self.mark(upstream, is_marked),
            Signal::Health { is_up, observed } => {
                self.observe(now, upstream, health::Signal::Report { is_up, observed });
            }
            Signal::Load { waiting, observed } => {
                let is_recent = now.saturating_sub(observed) < self.settings.admission.report_age;
                if let Some(entry) = self.upstreams.get_mut(&upstream)
                    && waiting > 0
                    && is_recent
                {
                    entry.lane_mut(Kind::Short).limit.report_busy(now);
                }
            }
        }
    }

    /// Returns whether requests of a class are short or long.
    pub fn kind(&self, class: u64) -> Kind {
        self.classes.kind(class)
    }

    fn adopt(&mut self) -> Vec<UpstreamId> {
        let pool = self.pool.clone();
        let mut added = Vec::new();
        for (&id, &at) in &pool.positions {
            let configured = &pool.pool.upstreams[at];
            self.health.add(id);
            if !self.upstreams.contains_key(&id) {
                added.push(id);
                let upstream = Upstream::new(self.settings.admission, self.ranges());
                self.upstreams.insert(id, upstream);
            }
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.weight = configured.weight;
                upstream.is_drained_by_config = configured.drain;
            }
        }
        for &id in pool.positions.keys() {
            self.refresh(id);
        }
        added
    }

    fn ranges(&self) -> [Range; 2] {
        let slots = self.pool.pool.slots;
        [
            Range::short(slots, self.balancers),
            Range::long(&self.settings.admission, slots, self.balancers),
        ]
    }

    fn share(&mut self) {
        let ranges = self.ranges();
        for upstream in self.upstreams.values_mut() {
            upstream.set_ranges(ranges);
        }
    }

    fn forget_removed(&mut self) {
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

    fn mark(&mut self, id: UpstreamId, is_marked: bool) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.is_reported_draining = is_marked;
            self.refresh(id);
        }
    }

    /// Updates the sets of candidates after a change of one upstream.
    fn refresh(&mut self, id: UpstreamId) {
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
            self.apply(now, change);
        }
    }

    fn apply(&mut self, now: Duration, change: Change) {
        let (Change::Down(id) | Change::Cold(id) | Change::Up(id)) = change;
        if let Change::Cold(_) = change {
            self.start_cold(now, id);
        }
        self.refresh(id);
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

    fn room(&self, now: Duration, members: &Members, id: UpstreamId) -> Room {
        let Some(upstream) = self.upstreams.get(&id).filter(|_| members.contains(id)) else {
            return Room::Closed;
        };
        if upstream.flows >= self.pool.pool.connections {
            return Room::Closed;
        }
        let limit = placement::limit(
            &self.settings.placement,
            members.flows() + 1,
            f64::from(upstream.weight),
            members.weight() as f64,
        );
        let load = f64::from(upstream.flows + 1) / (limit * upstream.warmth(now));
        if load <= 1.0 {
            Room::Spare
        } else {
            Room::Above(load)
        }
    }

    fn is_accepted(&self, now: Duration, job: &Job, kind: Kind) -> Result<(), u32> {
        let Some(upstream) = self.upstreams.get(&job.upstream) else {
            return Err(1);
        };
        let lane = upstream.lane(kind);
        let wait = lane.wait(now, job);
        let left = job.deadline.saturating_sub(now).as_secs_f64();
        let is_late = wait > left * self.settings.patience[kind.index()];
        if lane.waiting() >= self.settings.queue || is_late || !self.can_serve(job.upstream) {
            return Err(max_age(wait));
        }
        Ok(())
    }

    fn yield_slots(&mut self, now: Duration, id: UpstreamId) {
        let usual = Duration::from_secs_f64(self.classes.no_load(Kind::Short).unwrap_or(0.0));
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.lane_mut(Kind::Long).limit.yield_slots(now, usual);
        }
    }

    /// Sends what the limits of an upstream allow and refuses what can no longer be answered in time.
    fn advance(&mut self, now: Duration, id: UpstreamId, verdicts: &mut Vec<Verdict>) {
        self.refuse_late(now, id, verdicts);
        for kind in [Kind::Short, Kind::Long] {
            while self.may_send(now, id, kind)
                && let Some(job) = self.next(now, id, kind)
            {
                self.start(now, kind, job, verdicts);
            }
        }
        let waiting = self.upstreams.get(&id).map_or(0, Upstream::waiting);
        if waiting == 0 {
            self.backlog.remove(&id);
            self.drop_removed(id);
        } else {
            self.backlog.insert(id);
        }
    }

    fn drop_removed(&mut self, id: UpstreamId) {
        let is_removed = !self.pool.positions.contains_key(&id);
        if is_removed && self.upstreams.get(&id).is_some_and(Upstream::is_idle) {
            self.upstreams.remove(&id);
        }
    }

    fn next(&mut self, now: Duration, id: UpstreamId, kind: Kind) -> Option<Job> {
        self.upstreams.get_mut(&id)?.lane_mut(kind).pop(now)
    }

    fn may_send(&self, now: Duration, id: UpstreamId, kind: Kind) -> bool {
        let Some(short) = self.classes.no_load(Kind::Short) else {
            return true;
        };
        let stuck = Duration::from_secs_f64(short * self.settings.blocked);
        let quick = Duration::from_secs_f64(short * self.settings.quick);
        let long = self.classes.no_load(Kind::Long).unwrap_or(0.0);
        let hold = Duration::from_secs_f64(long * self.settings.hold);
        let upstream = self.upstreams.get(&id);
        upstream.is_some_and(|upstream| match kind {
            Kind::Short => !upstream.is_blocked(now, stuck),
            Kind::Long => upstream.may_dispatch_long(now, quick, hold),
        })
    }

    fn start(&mut self, now: Duration, kind: Kind, job: Job, verdicts: &mut Vec<Verdict>) {
        verdicts.push(Verdict::Dispatch(job.id));
        if self.retries.remove(&(job.flow, job.arrived)).is_none() {
            self.budget.deposit();
        }
        self.jobs.insert(job.id, (job.upstream, kind));
        if let Some(upstream) = self.upstreams.get_mut(&job.upstream) {
            upstream.lane_mut(kind).start(now, job);
        }
    }

    fn refuse_late(&mut self, now: Duration, id: UpstreamId, verdicts: &mut Vec<Verdict>) {
        let is_usable = self.can_serve(id);
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        let late = upstream.remove_late(now, is_usable);
        for id in late {
            self.jobs.remove(&id);
            verdicts.push(Verdict::Refuse { id, max_age: 1 });
        }
    }

    fn settle(&mut self, now: Duration, kind: Kind, running: &Running, result: JobResult) {
        let seen = match result {
            JobResult::Answered | JobResult::Refused => health::Signal::Answered,
            JobResult::TimedOut => health::Signal::TimedOut,
            JobResult::Cancelled => return,
        };
        let id = running.job.upstream;
        self.observe(now, id, seen);
        let latency = now.saturating_sub(running.since);
        let end = match result {
            JobResult::Answered => End::Answered,
            _ => End::Failed,
        };
        if end == End::Answered {
            self.answered(now, kind, running, latency);
        }
        let usual = self.classes.no_load(kind);
        let usual = usual.map_or(latency, Duration::from_secs_f64);
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.lane_mut(kind).limit.finished(now, usual, end);
        }
    }

    fn answered(&mut self, now: Duration, kind: Kind, running: &Running, latency: Duration) {
        let seconds = latency.as_secs_f64();
        self.classes.observe(now, running.job.class, latency);
        let usual = self.classes.no_load(Kind::Short).unwrap_or(seconds);
        let Some(upstream) = self.upstreams.get_mut(&running.job.upstream) else {
            return;
        };
        upstream.lane_mut(kind).observe(seconds);
        if kind == Kind::Short {
            let usual = Duration::from_secs_f64(usual);
            upstream.update_limits(now, latency, usual, self.settings.quick);
        }
    }

    fn forget_ended(&mut self, now: Duration) {
        while let Some(ended) = self.ended.front()
            && now.saturating_sub(ended.at) > RETRY_MEMORY
        {
            self.ended.pop_front();
        }
        if self.retries.len() > self.settings.queue {
            self.retries.retain(|_, deadline| *deadline > now);
        }
    }
}

impl dispatch::Dispatcher for Dispatcher {
    fn set_pool(&mut self, now: Duration, pool: &Arc<Resolved>) {
        self.pool = pool.clone();
        self.forget_removed();
        for id in self.adopt() {
            self.start_cold(now, id);
        }
        self.share();
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
            |id| self.room(now, members, id),
        )?;
        Some(Placement {
            upstream: choice.upstream,
            exception: choice.is_exception,
        })
    }

    fn flow_opened(&mut self, upstream: UpstreamId) {
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.flows += 1;
            self.refresh(upstream);
        }
    }

    fn flow_closed(&mut self, upstream: UpstreamId) {
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.flows = entry.flows.saturating_sub(1);
            self.refresh(upstream);
        }
    }

    fn submit(&mut self, now: Duration, job: Job, verdicts: &mut Vec<Verdict>) {
        let kind = self.classes.kind(job.class);
        if let Err(max_age) = self.is_accepted(now, &job, kind) {
            if kind == Kind::Short {
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
            upstream.lane_mut(kind).push(job);
        }
        self.advance(now, id, verdicts);
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
        if let Some(running) = upstream.lane_mut(kind).finish(id) {
            self.settle(now, kind, &running, result);
            if result != JobResult::Answered {
                self.ended.push_back(Ended {
                    at: now,
                    job: running.job,
                    result,
                });
            }
        } else {
            upstream.lane_mut(kind).cancel(id);
        }
        self.advance(now, at, verdicts);
    }

    fn retry(&mut self, now: Duration, id: JobId) -> Option<Duration> {
        let at = self.ended.iter().rposition(|ended| ended.job.id == id)?;
        let Ended { job, result, .. } = self.ended.remove(at)?;
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
            self.apply(now, change);
        }
        let backlog: Vec<UpstreamId> = self.backlog.iter().copied().collect();
        for id in backlog {
            self.advance(now, id, verdicts);
        }
        self.forget_ended(now);
    }

    fn set_balancers(&mut self, balancers: u32) {
        Dispatcher::set_balancers(self, balancers);
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

fn max_age(wait: f64) -> u32 {
    (wait.ceil() as u32).clamp(1, 30)
}
