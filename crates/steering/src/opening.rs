//! Decisions about opening packets, which choose the upstream of a flow.

use {
    crate::{
        balancer::{Action, Balancer, DropReason, Placement, ResetReason, Verdict},
        placement,
        table::{Route, Table, Target},
        upstream::Upstream,
    },
    rand::{Rng, rngs::SmallRng},
    skylarkflow_policy::{flow::Key, health::Signal},
    std::{net::IpAddr, sync::Arc, time::Duration},
};

/// Time after a pause of this process in which no opening packet is reset for overload: it may be old, and a
/// retransmission may have opened its flow.
const RESUME_GRACE: Duration = Duration::from_millis(250);

impl Balancer {
    /// Decides about an opening packet.
    pub(crate) fn handle_opening(
        &mut self,
        now: Duration,
        table: &Table,
        key: Key,
        retransmission: u32,
    ) -> Verdict {
        let Some(route) = table.routes.get(&key.service) else {
            return Verdict::Reset(ResetReason::NoRoute);
        };
        if !table.accepts_flows {
            return Verdict::Drop(DropReason::NoTable);
        }
        let mut unanswered = None;
        let mut duplicate_of = None;
        if let Some((upstream, last)) = self.tracker.opening_flow(&key) {
            if retransmission > last {
                unanswered = Some(Arc::clone(upstream));
            } else if table.is_evacuated(upstream) {
                duplicate_of = Some(last);
            } else {
                let upstream = Arc::clone(upstream);
                return self.forward_duplicate(now, table, upstream, retransmission);
            }
        }
        if let Some(upstream) = &unanswered {
            self.record_signal(now, upstream, Signal::TimedOut);
            self.liveness.record_missing_answer(now, upstream.record.id);
            self.collect_actions(Some(table));
        }
        // The flow may be open already if this packet is not the first one: a retransmission, a duplicate, or an old
        // packet that was read after a pause.
        let may_be_open = retransmission > 0
            || self.tracker.first_packet_at(&key).is_some()
            || self.tracker.is_full()
            || now < self.resumed_at + RESUME_GRACE;
        let choice = match self.choose_upstream(now, table, route, key.caller.ip(), may_be_open) {
            Ok(choice) => choice,
            Err(_) if duplicate_of.is_some() => {
                return Verdict::Drop(DropReason::DuplicateOpening);
            }
            Err(reason) => return Verdict::Reset(reason),
        };
        let last = duplicate_of.unwrap_or(retransmission);
        self.tracker
            .record_opening(now, key, last, &choice.upstream);
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
        caller: IpAddr,
        may_be_open: bool,
    ) -> Result<placement::Choice, ResetReason> {
        let target = draw_target(&route.targets, &mut self.rng).ok_or(ResetReason::NoUpstream)?;
        let upstreams = table.pools.get(&target.pool);
        let upstreams = upstreams.ok_or(ResetReason::NoUpstream)?;
        let is_admitted = may_be_open || upstreams.is_empty() || {
            let priority = route.level.priority;
            let rng = &mut self.rng;
            self.admission
                .admit(now, &target.pool, priority, caller, rng)
        };
        if !is_admitted {
            return Err(ResetReason::Overloaded);
        }
        let warmup = table.warmups.get(&target.pool);
        let (monitor, liveness, budget) = (&self.monitor, &self.liveness, &self.warmup_budget);
        let has_budget = |upstream: &Upstream| budget.admits(now, warmup, upstream);
        let is_usable = |upstream: &Upstream| {
            let id = upstream.record.id;
            !monitor.looks_down(id) && !liveness.is_suspect_or_dead(id) && has_budget(upstream)
        };
        let (settings, zone) = (&self.settings.placement, &self.settings.zone);
        let (knowledge, rng) = (&self.knowledge, &mut self.rng);
        let mut choice =
            placement::choose(settings, now, zone, upstreams, is_usable, knowledge, rng);
        // Without a usable upstream, any other one is chosen, as the failure detection may be wrong. A used budget is
        // certain, so the choice is then repeated among the upstreams that have some left.
        if choice
            .as_ref()
            .is_some_and(|choice| !has_budget(&choice.upstream))
        {
            choice = placement::choose(settings, now, zone, upstreams, has_budget, knowledge, rng);
            choice = choice.filter(|choice| has_budget(&choice.upstream));
        }
        let chosen = choice.as_ref().map(|choice| &*choice.upstream);
        let budget = &mut self.warmup_budget;
        if budget.record_choice(now, &target.pool, warmup, chosen) {
            let pool = target.pool.clone();
            self.actions.push(Action::WarmupBudgetUsed(pool));
        }
        choice.ok_or(ResetReason::NoUpstream)
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
