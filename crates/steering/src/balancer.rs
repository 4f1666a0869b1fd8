//! Forwarding decisions for single packets.

use {
    crate::{
        cookie::Cookie,
        fault_injection::{self, Fault},
        liveness::{self, LivenessTracker, ProbeOutcome},
        placement,
        segment::{Kind, Segment},
        table::{Route, Table, Target, Version},
        tracker::{self, Evidence, FlowTracker, LatencySamples, Packet},
        upstream::{PoolName, Upstream, UpstreamId},
        warmup_budget::{self, WarmupBudget},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
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
    /// Report that the health of an upstream has changed, so that it gets no new flows or gets them again.
    HealthChanged(Change),
    /// Report that all upstreams of a pool that could take a flow are cold, and their budgets are used up.
    WarmupBudgetUsed(PoolName),
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// No configuration is active yet, so it is unknown whether the address has a route.
    NoTable,
    /// No known upstream has its cookie.
    UnknownCookie,
    /// The packet repeats an opening packet, and the budget of its cold upstream is used up.
    WarmupBudgetUsed,
}

/// Decision logic of the data path of one balancer.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    tracker: FlowTracker,
    monitor: Monitor,
    liveness: LivenessTracker,
    warmup_budget: WarmupBudget,
    rng: SmallRng,
    changes: Vec<Change>,
    actions: Vec<Action>,
    /// Time of the last call.
    last_call_at: Duration,
    /// End of the last pause of this process.
    resumed_at: Duration,
}

impl Balancer {
    /// Creates a balancer without tracked flows; `seed` seeds its random choices.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        Balancer {
            tracker: FlowTracker::new(settings.tracker),
            monitor: Monitor::new(settings.health),
            rng: SmallRng::seed_from_u64(seed),
            liveness: LivenessTracker::new(settings.liveness),
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

    /// Returns the number of tracked flows, which sent packets recently.
    pub fn flow_count(&self) -> usize {
        self.tracker.len()
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
        }
        self.collect_actions(Some(table));
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
    fn collect_actions(&mut self, table: Option<&Table>) {
        let changes = self.changes.drain(..).map(Action::HealthChanged);
        self.actions.extend(changes);
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

    fn handle_opening(
        &mut self,
        now: Duration,
        table: &Table,
        key: Key,
        retransmission: u32,
    ) -> Verdict {
        let Some(route) = table.routes.get(&key.service) else {
            return Verdict::Reset(ResetReason::NoRoute);
        };
        let mut unanswered = None;
        if let Some((upstream, last)) = self.tracker.opening_flow(&key) {
            if retransmission <= last {
                let upstream = Arc::clone(upstream);
                return self.forward_duplicate(now, table, upstream, retransmission);
            }
            unanswered = Some(Arc::clone(upstream));
        }
        if let Some(upstream) = &unanswered {
            self.record_signal(now, upstream, Signal::TimedOut);
            self.liveness.record_missing_answer(now, upstream.record.id);
            self.collect_actions(Some(table));
        }
        let Some(choice) = self.choose_upstream(now, table, route) else {
            return Verdict::Reset(ResetReason::NoUpstream);
        };
        self.tracker
            .record_opening(now, key, retransmission, &choice.upstream);
        forward_opening(table, choice.upstream, retransmission, choice.score)
    }

    /// Forwards a copy of an opening packet to the upstream that was chosen for it.
    ///
    /// A copy over the budget of a cold upstream is dropped: the upstream has the first one, and if that was lost, the
    /// caller sends a retransmission.
    fn forward_duplicate(
        &mut self,
        now: Duration,
        table: &Table,
        upstream: Arc<Upstream>,
        retransmission: u32,
    ) -> Verdict {
        // The table may have a later entry of the upstream than that with which the flow was opened.
        let current = upstream
            .cookie
            .and_then(|cookie| table.cookies.get(&cookie));
        let current = current.filter(|current| current.record.id == upstream.record.id);
        let current = current.unwrap_or(&upstream);
        let warmup = table.warmups.get(&current.record.pool);
        if !self.warmup_budget.record_copy(now, warmup, current) {
            return Verdict::Drop(DropReason::WarmupBudgetUsed);
        }
        forward_opening(table, upstream, retransmission, 0.0)
    }

    fn choose_upstream(
        &mut self,
        now: Duration,
        table: &Table,
        route: &Route,
    ) -> Option<placement::Choice> {
        let target = draw_target(&route.targets, &mut self.rng)?;
        let upstreams = table.pools.get(&target.pool)?;
        let warmup = table.warmups.get(&target.pool);
        let (monitor, liveness, budget) = (&self.monitor, &self.liveness, &self.warmup_budget);
        let is_admitted = |upstream: &Upstream| budget.admits(now, warmup, upstream);
        let is_usable = |upstream: &Upstream| {
            let id = upstream.record.id;
            !monitor.looks_down(id) && !liveness.is_suspect_or_dead(id) && is_admitted(upstream)
        };
        let (settings, zone) = (&self.settings.placement, &self.settings.zone);
        let rng = &mut self.rng;
        let mut choice = placement::choose(settings, now, zone, upstreams, is_usable, rng);
        // Without a usable upstream, any other one is chosen, as the failure detection may be wrong. A used budget is
        // certain, so the choice is then repeated among the upstreams that have some left.
        if choice
            .as_ref()
            .is_some_and(|choice| !is_admitted(&choice.upstream))
        {
            choice = placement::choose(settings, now, zone, upstreams, is_admitted, rng);
            choice = choice.filter(|choice| is_admitted(&choice.upstream));
        }
        let chosen = choice.as_ref().map(|choice| &*choice.upstream);
        let budget = &mut self.warmup_budget;
        if budget.record_choice(now, &target.pool, warmup, chosen) {
            let pool = target.pool.clone();
            self.actions.push(Action::WarmupBudgetUsed(pool));
        }
        choice
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
        match self.tracker.record_packet(now, &packet, upstream) {
            Evidence::Answered(_) => {
                self.record_signal(now, upstream, Signal::Answered);
                self.liveness.record_answer(now, id);
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

    fn record_signal(&mut self, now: Duration, upstream: &Upstream, signal: Signal) {
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

fn forward_opening(
    table: &Table,
    upstream: Arc<Upstream>,
    retransmission: u32,
    score: f64,
) -> Verdict {
    Verdict::Forward {
        cookie: upstream.cookie,
        upstream,
        placement: Some(Placement {
            version: table.version,
            score,
            retransmission,
        }),
    }
}

/// Draws a target at random by weight.
fn draw_target<'a>(targets: &'a [Target], rng: &mut SmallRng) -> Option<&'a Target> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    if let [target] = targets {
        return Some(target);
    }
    if total == 0 {
        return None;
    }
    let mut remaining = rng.random_range(0..total);
    targets.iter().find(|target| {
        let weight = u64::from(target.weight);
        let is_drawn = remaining < weight;
        remaining = remaining.saturating_sub(weight);
        is_drawn
    })
}
