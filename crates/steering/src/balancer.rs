//! Forwarding decisions for single packets.

use {
    crate::{
        admission,
        cookie::Cookie,
        fault_injection::{self, Fault},
        gossip::Rank,
        liveness::{self, LivenessTracker, ProbeOutcome},
        placement::{self, Policy},
        pool_admission::{PoolAdmission, Summary},
        segment::{Kind, Segment},
        speed::{self, Notice, Speeds},
        subset::Subset,
        table::{Table, Version},
        tracker::{self, Evidence, FlowTracker, LatencySamples, Packet},
        upstream::{PoolName, Upstream, UpstreamId},
        warmup_budget::{self, WarmupBudget},
    },
    rand::{SeedableRng, rngs::SmallRng},
    skylarkflow_policy::{
        flow::Key,
        health::{self, Change, Monitor, Signal},
        id::Set,
    },
    std::{mem, sync::Arc, time::Duration},
};

/// Idle timeout of tracked flows while no configuration is active.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Settings of a [`Balancer`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Availability zone of the balancer.
    pub zone: String,
    /// Choice of the upstream for a new flow.
    pub placement: placement::Settings,
    /// Admission of new flows when capacity is insufficient; `None` admits all.
    pub admission: Option<admission::Settings>,
    /// Tracking of recent flows.
    pub tracker: tracker::Settings,
    /// Passive health checks, based on whether upstreams answer opening packets.
    pub health: health::Settings,
    /// Detection of upstreams that have ended.
    pub liveness: liveness::Settings,
    /// Budgets of openings for cold upstreams.
    pub warmup_budget: warmup_budget::Settings,
    /// Time within which a new configuration is active on every connected balancer: the longest that the platform allows
    /// in any deployment.
    pub max_config_lag: Duration,
    /// Time without a call after which this process must have been paused, so that its table may be older than
    /// `max_config_lag`; several periods of a CPU quota.
    pub pause_threshold: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            zone: String::new(),
            placement: placement::Settings::default(),
            admission: None,
            tracker: tracker::Settings::default(),
            health: health::Settings {
                // An opening packet is rarely retransmitted while its upstream is alive, and a false positive costs
                // nothing as long as other upstreams have free capacity.
                failure_threshold: 1,
                base_ejection: Duration::from_secs(1),
                max_ejection: Duration::from_secs(8),
                ..health::Settings::default()
            },
            liveness: liveness::Settings::default(),
            warmup_budget: warmup_budget::Settings::default(),
            max_config_lag: Duration::from_secs(6),
            pause_threshold: Duration::from_millis(500),
        }
    }
}

/// Decision about a packet.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Forward it to an upstream; an opening packet gets a new cookie.
    Forward {
        /// The upstream.
        upstream: Arc<Upstream>,
        /// The cookie to write, if any.
        cookie: Option<Cookie>,
        /// How the upstream was chosen, for an opening packet.
        placement: Option<Placement>,
    },
    /// Send a reset to the caller, as its flow has ended or cannot be opened.
    Reset(ResetReason),
    /// Drop it.
    Drop(DropReason),
}

/// How the upstream of a new flow was chosen, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Version of the configuration.
    pub version: Version,
    /// Score of the upstream, in requests per slot; 0 if the packet follows an earlier choice.
    pub score: f64,
    /// Number of the retransmission of the opening packet; 0 for the first packet.
    pub retransmission: u32,
}

/// Why a caller gets a reset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResetReason {
    /// There is no route for the address.
    NoRoute,
    /// The route was removed while the flow was open.
    RouteRemoved,
    /// No upstream of the route accepts new flows.
    NoUpstream,
    /// The upstreams of the pool have no room for the flow.
    Overloaded,
    /// The upstream of the flow has ended.
    UpstreamEnded,
}

/// Task for the caller of [`Balancer`] besides the handling of a packet.
#[derive(Clone, Debug)]
pub enum Action {
    /// Probe an upstream and report the outcome to [`Balancer::handle_probe`].
    Probe(Arc<Upstream>),
    /// Send a reset to the caller of a flow whose upstream has ended.
    Reset {
        /// The flow.
        key: Key,
        /// Acknowledgement number of the caller's last packet.
        acknowledged: u32,
    },
    /// Report that an upstream has ended; an [`Action::Reset`] follows for each of its flows.
    UpstreamEnded {
        /// The upstream.
        id: UpstreamId,
        /// Probe outcome that shows it.
        outcome: ProbeOutcome,
        /// Number of its open flows that this balancer tracked.
        flows: usize,
    },
    /// Report that an upstream which was considered dead is alive.
    UpstreamRestored(UpstreamId),
    /// Report that an upstream was found slow or usual again.
    SpeedChanged(speed::Change),
    /// Report that the health of an upstream has changed, so that it gets no new flows or gets them again.
    HealthChanged(Change),
    /// Report that admission starts to limit the new flows of a pool, or stops to.
    AdmissionChanged {
        /// The pool.
        pool: PoolName,
        /// Whether it limits them now.
        is_limiting: bool,
    },
    /// Report that all upstreams of a pool that could take a flow are cold, and their budgets are used up.
    WarmupBudgetUsed(PoolName),
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// It duplicates an opening packet whose upstream takes no new flows any more, and no other upstream is left. The
    /// flow may be open, so it is not reset.
    DuplicateOpening,
    /// No configuration is active yet, so it is unknown whether the address has a route, or it is unknown which zones
    /// are evacuated.
    NoTable,
    /// No known upstream has its cookie.
    UnknownCookie,
    /// The packet repeats an opening packet, and the budget of its cold upstream is used up.
    WarmupBudgetUsed,
}

/// Decision logic of the data path of one balancer.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) tracker: FlowTracker,
    pub(crate) monitor: Monitor,
    pub(crate) liveness: LivenessTracker,
    /// Remains empty unless the placement policy uses it.
    pub(crate) knowledge: placement::Knowledge,
    /// Rank among the balancers of the zone.
    pub(crate) rank: Rank,
    pub(crate) admission: PoolAdmission,
    pub(crate) warmup_budget: WarmupBudget,
    pub(crate) rng: SmallRng,
    pub(crate) changes: Vec<Change>,
    pub(crate) actions: Vec<Action>,
    /// Time of the last call.
    pub(crate) last_call_at: Duration,
    /// End of the last pause of this process.
    pub(crate) resumed_at: Duration,
}

impl Balancer {
    /// Creates a balancer without tracked flows; `seed` seeds its random choices.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        Balancer {
            tracker: FlowTracker::new(settings.tracker),
            monitor: Monitor::new(settings.health),
            rng: SmallRng::seed_from_u64(seed),
            liveness: LivenessTracker::new(settings.liveness),
            knowledge: placement::Knowledge {
                speeds: Speeds::new(settings.placement.speed),
                ..placement::Knowledge::default()
            },
            rank: Rank::default(),
            admission: PoolAdmission::new(settings.admission),
            warmup_budget: WarmupBudget::new(settings.warmup_budget),
            changes: Vec::new(),
            actions: Vec::new(),
            last_call_at: Duration::ZERO,
            resumed_at: Duration::ZERO,
            settings,
        }
    }

    /// Passes the collected latency samples to `take` and clears them.
    pub fn drain_samples(&mut self, take: impl FnMut(&LatencySamples)) {
        self.tracker.drain_samples(take);
    }

    /// Returns the admission of new flows, summed over all pools, and clears its counts.
    pub fn take_admission(&mut self, now: Duration) -> Summary {
        self.admission.take_summary(now)
    }

    /// Returns the number of tracked flows, which sent packets recently.
    pub fn flow_count(&self) -> usize {
        self.tracker.len()
    }

    /// Returns the number of upstreams that are known to be slower than the others of their pool.
    pub fn slow_upstream_count(&self) -> usize {
        self.knowledge.speeds.reported_count()
    }

    /// Returns the slow upstreams that other balancers are told of.
    pub fn slow_upstreams(&self) -> Vec<Notice> {
        self.knowledge.speeds.notices()
    }

    /// Takes into account that another balancer has found an upstream to be slow.
    pub fn record_slow_upstream(&mut self, now: Duration, table: Option<&Table>, notice: Notice) {
        let is_known = || {
            let mut known = table.into_iter().flat_map(|table| table.cookies.values());
            known.any(|upstream| upstream.record.id == notice.id)
        };
        if self.settings.placement.policy.learns_speeds() && is_known() {
            self.knowledge.speeds.record_notice(now, notice);
        }
    }

    /// Returns whether an upstream is considered down because it does not answer.
    pub fn looks_down(&self, upstream: UpstreamId) -> bool {
        self.monitor.looks_down(upstream) || self.liveness.is_dead(upstream)
    }

    /// Removes and returns the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Adopts changed bounds of cold upstreams, or changed members that share their budgets.
    pub fn set_warmup_inputs(
        &mut self,
        now: Duration,
        table: Option<&Table>,
        inputs: warmup_budget::Inputs,
    ) {
        self.warmup_budget.set_inputs(now, inputs);
        if let Some(table) = table {
            self.warmup_budget.update_table(now, table);
        }
    }

    /// Returns the numbers of decisions about cold upstreams since the last call.
    pub fn take_warmup_counts(&mut self) -> warmup_budget::Counts {
        self.warmup_budget.take_counts()
    }

    /// Updates the state of upstreams by the differences between a new table and the previous one.
    pub fn update_table(&mut self, now: Duration, previous: Option<&Table>, table: &Table) {
        self.warmup_budget.update_table(now, table);
        for upstream in table.cookies.values() {
            let id = upstream.record.id;
            let was_registered = previous.is_some_and(|previous| previous.is_registered(upstream));
            if table.is_replaced(upstream) {
                self.liveness.record_replacement(id);
            } else if table.is_registered(upstream) {
                if !was_registered {
                    self.liveness.record_registration(id);
                }
            } else if was_registered && self.tracker.has_flows(upstream) {
                self.liveness.record_removal(now, id);
            }
        }
        let gone = previous
            .into_iter()
            .flat_map(|previous| previous.cookies.iter());
        for (_, upstream) in gone.filter(|(cookie, _)| !table.cookies.contains_key(cookie)) {
            self.liveness.forget(upstream.record.id);
            self.monitor.remove(upstream.record.id);
            self.knowledge.speeds.remove(upstream.record.id);
        }
        self.update_subset(Some(table));
        self.collect_actions(Some(table));
    }

    /// Divides the upstreams of the zone anew if the rank among its balancers has changed.
    pub fn set_rank(&mut self, rank: Rank, table: Option<&Table>) {
        if rank != self.rank {
            self.rank = rank;
            self.update_subset(table);
        }
    }

    fn update_subset(&mut self, table: Option<&Table>) {
        let placement = &self.settings.placement;
        if placement.policy == Policy::Subset
            && let Some(table) = table
        {
            let (settings, zone) = (&placement.subset, &self.settings.zone);
            self.knowledge.subset = Subset::new(settings, self.rank, zone, &table.pools);
        }
    }

    /// Handles the report of another balancer that an upstream may have ended.
    pub fn suspect_upstream(&mut self, now: Duration, table: Option<&Table>, id: UpstreamId) {
        self.liveness.record_missing_answer(now, id);
        self.collect_actions(table);
    }

    /// Handles the outcome of a probe that was sent at `sent`.
    pub fn handle_probe(
        &mut self,
        now: Duration,
        table: Option<&Table>,
        sent: Duration,
        id: UpstreamId,
        outcome: ProbeOutcome,
    ) {
        self.liveness.record_probe(now, sent, id, outcome);
        self.collect_actions(table);
    }

    /// Decides about a packet.
    pub fn handle(&mut self, now: Duration, table: Option<&Table>, segment: &Segment) -> Verdict {
        self.detect_pause(now);
        if fault_injection::is_injected(Fault::Panic) {
            panic!("injected fault");
        }
        let Some(table) = table else {
            if fault_injection::is_injected(Fault::EarlyReset) && segment.cookie != 0 {
                return Verdict::Reset(ResetReason::NoRoute);
            }
            return Verdict::Drop(DropReason::NoTable);
        };
        match segment.kind {
            Kind::Open { retransmission } => {
                self.handle_opening(now, table, segment.flow, retransmission)
            }
            Kind::Established { is_last } => self.handle_established(now, table, segment, is_last),
            Kind::Reset => self.handle_reset(table, segment),
        }
    }

    /// Suspects upstreams that have not answered an opening packet in time; to be called every few milliseconds.
    pub fn check_openings(&mut self, now: Duration, table: Option<&Table>) {
        self.detect_pause(now);
        while let Some(upstream) = self.tracker.pop_overdue_upstream(now) {
            self.liveness.record_missing_answer(now, upstream.record.id);
        }
        self.collect_actions(table);
    }

    /// Removes expired flows and probes dead upstreams that may be back; to be called periodically.
    pub fn tick(&mut self, now: Duration, table: Option<&Table>) {
        let idle = table.map_or(DEFAULT_IDLE_TIMEOUT, |table| table.idle_timeout);
        self.tracker.sweep(now, idle);
        self.monitor.tick(now, &mut self.changes);
        self.knowledge.speeds.tick(now);
        for (pool, is_limiting) in self.admission.tick(now, table) {
            self.actions
                .push(Action::AdmissionChanged { pool, is_limiting });
        }
        self.warmup_budget.tick(now);
        if let Some(table) = table {
            let holders = table.addresses.values();
            let registered: Set<UpstreamId> = holders.map(|holder| holder.id).collect();
            self.liveness.tick(now, |id| registered.contains(&id));
        }
        self.collect_actions(table);
    }

    fn detect_pause(&mut self, now: Duration) {
        if now >= self.last_call_at + self.settings.pause_threshold {
            self.resumed_at = now;
        }
        self.last_call_at = now;
    }

    /// Returns whether a flow at an address without a route is known to be older than the removal of the route.
    ///
    /// The route may exist again in a configuration that is not active here yet, and the flow may have been opened by
    /// it through another balancer. A configuration that was older than the first packet seen here is active by now.
    fn has_lost_route(&self, now: Duration, table: &Table, key: &Key) -> bool {
        let first_packet_at = self.tracker.first_packet_at(key);
        table.removed.contains(&key.service)
            && first_packet_at
                .is_some_and(|at| now >= at.max(self.resumed_at) + self.settings.max_config_lag)
    }

    /// Moves health changes and the actions of the liveness tracker to the pending actions.
    pub(crate) fn collect_actions(&mut self, table: Option<&Table>) {
        let changes = self.changes.drain(..).map(Action::HealthChanged);
        self.actions.extend(changes);
        let changes = self.knowledge.speeds.take_changes().into_iter();
        self.actions.extend(changes.map(Action::SpeedChanged));
        for action in self.liveness.take_actions() {
            match action {
                liveness::Action::Probe(id) => {
                    let mut known = table.into_iter().flat_map(|table| table.cookies.values());
                    match known.find(|upstream| upstream.record.id == id) {
                        Some(upstream) => self.actions.push(Action::Probe(Arc::clone(upstream))),
                        None => self.liveness.forget(id),
                    }
                }
                liveness::Action::ResetFlows(id, outcome) => self.reset_flows(id, outcome),
                liveness::Action::Restored(id) => self.actions.push(Action::UpstreamRestored(id)),
            }
        }
    }

    fn reset_flows(&mut self, id: UpstreamId, outcome: ProbeOutcome) {
        let open = self.tracker.take_flows(id);
        self.actions.push(Action::UpstreamEnded {
            id,
            outcome,
            flows: open.len(),
        });
        let resets = open
            .into_iter()
            .map(|(key, acknowledged)| Action::Reset { key, acknowledged });
        self.actions.extend(resets);
    }

    fn handle_established(
        &mut self,
        now: Duration,
        table: &Table,
        segment: &Segment,
        is_last: bool,
    ) -> Verdict {
        let known = if fault_injection::is_injected(Fault::Cookie) {
            table.cookies.values().next()
        } else {
            table.cookies.get(&segment.cookie)
        };
        let Some(upstream) = known else {
            return Verdict::Drop(DropReason::UnknownCookie);
        };
        let id = upstream.record.id;
        if self.liveness.is_dead(id) {
            self.tracker.remove(&segment.flow);
            return Verdict::Reset(ResetReason::UpstreamEnded);
        }
        let packet = Packet {
            key: segment.flow,
            sequence: segment.sequence,
            acknowledged: segment.acknowledged,
            has_data: segment.length > 0,
            is_last,
        };
        let evidence = self.tracker.record_packet(now, &packet, upstream);
        // The first request of a flow was counted with its opening packet.
        let is_counted = evidence == Evidence::Answered(None) || self.settings.admission.is_none();
        if !is_counted && self.tracker.request_sent_at(&segment.flow) == Some(now) {
            let service = &segment.flow.service;
            let pool = &upstream.record.pool;
            self.admission.record_continued(now, table, pool, service);
        }
        match evidence {
            Evidence::Answered(response) => {
                self.record_signal(now, upstream, Signal::Answered);
                self.liveness.record_answer(now, id);
                if let Some(response) = response {
                    let pool = &upstream.record.pool;
                    self.admission.observe(now, table, pool, &response);
                    if self.settings.placement.policy.learns_speeds() {
                        self.knowledge.speeds.record(now, id, &response);
                    }
                }
            }
            Evidence::Retransmitted => {
                self.liveness.record_missing_answer(now, id);
                self.collect_actions(Some(table));
            }
            Evidence::None => {}
        }
        if self.has_lost_route(now, table, &segment.flow) {
            // It stays tracked, so that its next packets are reset as well if this reset is lost.
            self.tracker.close(&segment.flow);
            return Verdict::Reset(ResetReason::RouteRemoved);
        }
        forward_to(upstream)
    }

    fn handle_reset(&mut self, table: &Table, segment: &Segment) -> Verdict {
        self.tracker.remove(&segment.flow);
        match table.cookies.get(&segment.cookie) {
            Some(upstream) => forward_to(upstream),
            None => Verdict::Drop(DropReason::UnknownCookie),
        }
    }

    pub(crate) fn record_signal(&mut self, now: Duration, upstream: &Upstream, signal: Signal) {
        let id = upstream.record.id;
        self.monitor.add(id);
        self.changes.extend(self.monitor.observe(now, id, signal));
    }
}

fn forward_to(upstream: &Arc<Upstream>) -> Verdict {
    Verdict::Forward {
        upstream: Arc::clone(upstream),
        cookie: None,
        placement: None,
    }
}
