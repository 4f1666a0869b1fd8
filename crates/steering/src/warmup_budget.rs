//! Budgets of opening packets for cold upstreams, without a coordinator.
//!
//! The load that this module addresses: after a start, an evacuation or a return, many upstreams are cold at once, idle
//! and therefore attractive to every balancer, while each can process only a few requests per second. Each balancer sees
//! a small share of the flows and knows the others only from a list and from reports.
//!
//! For each cold upstream, rendezvous hashing ranks the balancers of its zone. Each of them may place a fixed number of
//! openings in any sliding second, so that the openings of all stay within half of the limit as long as each balancer
//! that places knows the others, and within the limit if there are two unrelated views. See [the design
//! note](../../../docs/design/warmup.md).

use {
    crate::{
        report::{Name, PeerInfo},
        table::{Table, Warmup},
        upstream::{PoolName, Upstream, UpstreamId, ZoneName},
    },
    skylarkflow_policy::id::Map,
    std::{
        cell::Cell,
        collections::{BTreeMap, VecDeque},
        mem,
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Minimum time between two reports that a pool has no budget left.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Hash of the name of a balancer.
type NameHash = u64;

/// Settings of a [`WarmupBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time in which a balancer places at most its share on a cold upstream: a second, and 100 ms since packets that
    /// left further apart may arrive within a second after a queue on their way.
    pub window: Duration,
    /// Number of unrelated views of the membership for which the sum stays within the limit.
    pub views: f64,
    /// Share of the budget of one view that a balancer takes at most, so that a few balancers of a zone that do not know
    /// each other stay within the limit.
    pub max_member_share: f64,
    /// Share of the budget at the start of the warm-up.
    pub initial_share: f64,
    /// Part of the warm-up after which the whole budget is used.
    pub ramp_part: f64,
    /// Time from the list that has this balancer until it places on cold upstreams: its reports have reached those that
    /// the list has by then, and the openings of a former process under its name are out of the window.
    pub settle_time: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            window: Duration::from_millis(1_100),
            views: 2.0,
            max_member_share: 0.5,
            initial_share: 0.25,
            ramp_part: 0.5,
            settle_time: Duration::from_millis(1_500),
        }
    }
}

/// Bound of the opening packets that a cold upstream gets in any second: the rate of its pool times `excess`, plus
/// `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Factor of the rate.
    pub excess: f64,
    /// Number of openings beside it.
    pub slack: f64,
}

impl Bounds {
    /// Returns the number of openings that all balancers may place on a cold upstream in any second.
    pub fn limit(&self, rate: f64) -> f64 {
        (rate * self.excess + self.slack).floor().max(0.0)
    }
}

/// The balancers that one of them knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Members {
    /// Name of this balancer.
    pub local: Name,
    /// Whether a list of the store had this balancer, so that it knows all that were registered before, and those that
    /// are registered later know it.
    pub is_complete: bool,
    /// All that are registered or were heard from recently, this balancer included.
    pub all: Vec<PeerInfo>,
}

/// What other threads tell the one that places flows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inputs {
    /// Bounds; `None` if the platform states none, in which case cold upstreams have no budget.
    pub bounds: Option<Bounds>,
    /// Members; nothing is placed on cold upstreams until they are complete.
    pub members: Option<Arc<Members>>,
}

/// Numbers of decisions since they were taken last.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Openings that went to a cold upstream within its budget.
    pub placed: u64,
    /// Openings for which at least one cold upstream was left out.
    pub diverted: u64,
    /// Openings that no upstream could take because of the budgets.
    pub refused: u64,
}

/// Place of this balancer among those that may place flows on an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Rank {
    /// Zone of the upstream.
    zone: ZoneName,
    /// Number of balancers with a higher hash; `None` if this balancer is not among them.
    rank: Option<usize>,
    /// Number of balancers.
    count: usize,
}

/// Budgets of one balancer for the cold upstreams.
#[derive(Debug, Default)]
pub struct WarmupBudget {
    settings: Settings,
    inputs: Inputs,
    by_zone: Map<ZoneName, Vec<NameHash>>,
    all: Vec<NameHash>,
    local: NameHash,
    /// Time from which this balancer places on cold upstreams.
    settled_at: Option<Duration>,
    /// Ranks for the cold upstreams of the table, which are the same until the members change.
    ranks: Map<UpstreamId, Rank>,
    /// Times of the last openings that were placed on an upstream, the oldest first.
    openings: Map<UpstreamId, VecDeque<Duration>>,
    counts: Counts,
    /// Whether an upstream was left out of the current choice.
    has_left_out: Cell<bool>,
    /// Pools without a budget that were reported, with the time of the last report.
    exhausted: BTreeMap<PoolName, Duration>,
}

impl WarmupBudget {
    /// Creates budgets without bounds.
    pub fn new(settings: Settings) -> WarmupBudget {
        WarmupBudget {
            settings,
            ..WarmupBudget::default()
        }
    }

    /// Adopts changed bounds and members.
    pub fn set_inputs(&mut self, now: Duration, inputs: Inputs) {
        self.inputs = inputs;
        self.ranks.clear();
        self.by_zone.clear();
        self.all.clear();
        let Some(members) = self.inputs.members.clone() else {
            return;
        };
        self.local = xxh3_64(members.local.as_bytes());
        for member in &members.all {
            let hash = xxh3_64(member.name.as_bytes());
            self.all.push(hash);
            let zone = self.by_zone.entry(member.zone.clone()).or_default();
            zone.push(hash);
        }
        if members.is_complete {
            let settle_time = self.settings.settle_time;
            self.settled_at.get_or_insert(now + settle_time);
        }
    }

    /// Computes the ranks for the cold upstreams of a table.
    pub fn update_table(&mut self, now: Duration, table: &Table) {
        if self.inputs.bounds.is_none() {
            return;
        }
        let mut ranks = Map::default();
        for (pool, upstreams) in table.pools.iter() {
            let warmup = table.warmups.get(pool);
            for upstream in upstreams {
                if self.limit(now, warmup, upstream).is_some() {
                    let id = upstream.record.id;
                    let known = self.ranks.remove(&id);
                    let known = known.filter(|rank| rank.zone == upstream.record.zone);
                    ranks.insert(id, known.unwrap_or_else(|| self.compute_rank(upstream)));
                }
            }
        }
        self.ranks = ranks;
    }

    /// Returns whether a further opening may be placed on an upstream; always if it is warm or nothing bounds its pool.
    pub fn has_room(&self, now: Duration, warmup: Option<&Warmup>, upstream: &Upstream) -> bool {
        let Some(limit) = self.limit(now, warmup, upstream) else {
            return true;
        };
        let share = self.share(now, limit, warmup, upstream);
        let Some(openings) = self.openings.get(&upstream.record.id) else {
            return share > 0;
        };
        // If the window has at least as many openings as the share, the one that is this far back is the oldest of them.
        share > 0
            && openings
                .len()
                .checked_sub(share)
                .is_none_or(|index| now >= openings[index] + self.settings.window)
    }

    /// Returns the same as [`WarmupBudget::has_room`] for a candidate of a choice that ends with
    /// [`WarmupBudget::record_choice`].
    pub fn admits(&self, now: Duration, warmup: Option<&Warmup>, upstream: &Upstream) -> bool {
        let has_room = self.has_room(now, warmup, upstream);
        if !has_room {
            self.has_left_out.set(true);
        }
        has_room
    }

    /// Counts the choice for an opening packet; returns whether to report that the pool has no budget left, at most once
    /// a second.
    pub fn record_choice(
        &mut self,
        now: Duration,
        pool: &PoolName,
        warmup: Option<&Warmup>,
        upstream: Option<&Upstream>,
    ) -> bool {
        let has_left_out = self.has_left_out.take();
        self.counts.diverted += u64::from(has_left_out);
        match upstream {
            Some(upstream) => {
                self.record(now, warmup, upstream);
                false
            }
            None => has_left_out && self.record_refusal(now, pool),
        }
    }

    /// Counts a copy of an opening packet that was sent to an upstream before; returns whether it may be forwarded.
    pub fn record_copy(
        &mut self,
        now: Duration,
        warmup: Option<&Warmup>,
        upstream: &Upstream,
    ) -> bool {
        let has_room = self.has_room(now, warmup, upstream);
        if has_room {
            self.record(now, warmup, upstream);
        }
        has_room
    }

    fn record(&mut self, now: Duration, warmup: Option<&Warmup>, upstream: &Upstream) {
        if self.limit(now, warmup, upstream).is_none() {
            return;
        }
        let window = self.settings.window;
        let openings = self.openings.entry(upstream.record.id).or_default();
        while openings.front().is_some_and(|&at| now >= at + window) {
            openings.pop_front();
        }
        openings.push_back(now);
        self.counts.placed += 1;
    }

    fn record_refusal(&mut self, now: Duration, pool: &PoolName) -> bool {
        self.counts.refused += 1;
        let is_recent = |&at: &Duration| now < at + MIN_REPORT_INTERVAL;
        if self.exhausted.get(pool).is_some_and(is_recent) {
            return false;
        }
        self.exhausted.insert(pool.clone(), now);
        true
    }

    /// Returns the numbers of decisions since the last call.
    pub fn take_counts(&mut self) -> Counts {
        mem::take(&mut self.counts)
    }

    /// Drops what is no longer needed; to be called periodically.
    pub fn tick(&mut self, now: Duration) {
        let window = self.settings.window;
        self.openings
            .retain(|_, openings| openings.back().is_some_and(|&at| now < at + window));
        self.exhausted
            .retain(|_, at| now < *at + MIN_REPORT_INTERVAL);
    }

    /// Returns the limit of an upstream over all balancers; `None` if it has none.
    fn limit(&self, now: Duration, warmup: Option<&Warmup>, upstream: &Upstream) -> Option<f64> {
        let bounds = self.inputs.bounds?;
        let rate = warmup?.rate;
        let is_bounded = rate > 0.0 && now < upstream.warmup_end;
        is_bounded.then(|| bounds.limit(rate))
    }

    /// Returns the number of openings that this balancer may place on a cold upstream within the window.
    ///
    /// The total of all members is distributed like cards in the order of their ranks. A member that others know and
    /// that has ended leaves its share unused, and can only lower the shares of others.
    fn share(
        &self,
        now: Duration,
        limit: f64,
        warmup: Option<&Warmup>,
        upstream: &Upstream,
    ) -> usize {
        if self.settled_at.is_none_or(|at| now < at) {
            return 0;
        }
        let computed;
        let rank = match self.ranks.get(&upstream.record.id) {
            Some(rank) if rank.zone == upstream.record.zone => rank,
            _ => {
                computed = self.compute_rank(upstream);
                &computed
            }
        };
        let whole = (limit / self.settings.views).floor();
        let total = (whole * self.ramp(now, warmup, upstream)).ceil() as usize;
        let most = (whole * self.settings.max_member_share).ceil() as usize;
        match rank.rank {
            Some(index) if index < total => (total - index).div_ceil(rank.count).min(most),
            _ => 0,
        }
    }

    /// Returns the part of the budget that is used at this time of the warm-up.
    fn ramp(&self, now: Duration, warmup: Option<&Warmup>, upstream: &Upstream) -> f64 {
        let duration = warmup.map_or(Duration::ZERO, |warmup| warmup.duration);
        if duration.is_zero() {
            return 1.0;
        }
        let remaining = upstream.warmup_end.saturating_sub(now);
        let elapsed = 1.0 - remaining.as_secs_f64() / duration.as_secs_f64();
        let Settings {
            initial_share,
            ramp_part,
            ..
        } = self.settings;
        let progress = (elapsed.max(0.0) / ramp_part).min(1.0);
        initial_share + (1.0 - initial_share) * progress
    }

    fn compute_rank(&self, upstream: &Upstream) -> Rank {
        let zone = &upstream.record.zone;
        let members = self.by_zone.get(zone).unwrap_or(&self.all);
        let id = upstream.record.id.to_be_bytes();
        let weight = |&member: &NameHash| (xxh3_64_with_seed(&id, member), member);
        let local = weight(&self.local);
        let higher = members.iter().filter(|member| weight(member) > local);
        let is_member = members.contains(&self.local);
        Rank {
            zone: zone.clone(),
            rank: is_member.then(|| higher.count()),
            count: members.len(),
        }
    }
}
