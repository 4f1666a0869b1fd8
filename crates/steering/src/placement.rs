//! Choice of the upstream for a new flow.
//!
//! It is designed for upstreams with two or three slots, flows that last for many requests, and load peaks of twice the
//! mean. A flow goes to the upstream with the lowest load per slot, counted by the flows and requests that this
//! balancer has placed. An upstream in another zone is chosen only if its load is clearly lower, since traffic between
//! zones costs money and the other zone may be unreachable.

use {
    crate::{
        speed::{self, Speeds},
        subset::{self, Subset},
        upstream::Upstream,
    },
    rand::{Rng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
};

/// What the choice of an upstream depends on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The flows and requests that this balancer has placed.
    #[default]
    Counts,
    /// In addition, how slow upstreams are according to their responses. Without evidence that upstreams differ, the
    /// choice is that of [`Policy::Counts`].
    Learned,
    /// In addition, each balancer prefers some upstreams of its zone, so that its counts are much of their load.
    Subset,
}

impl Policy {
    /// Returns whether the speed of upstreams is learned.
    pub fn learns_speeds(self) -> bool {
        matches!(self, Policy::Learned | Policy::Subset)
    }
}

/// What a balancer knows of upstreams besides its counts; the default is nothing.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    /// Speeds of upstreams.
    pub speeds: Speeds,
    /// Preferred upstreams.
    pub subset: Subset,
}

/// Parameters of the placement score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// What the choice depends on.
    pub policy: Policy,
    /// Speed of upstreams, for [`Policy::Learned`].
    pub speed: speed::Settings,
    /// Preferred upstreams, for [`Policy::Subset`].
    pub subset: subset::Settings,
    /// Weight of an open flow, in requests; long flows have a request in flight a tenth of the time.
    pub flow_weight: f64,
    /// Penalty for an upstream of another zone, in requests per slot.
    pub remote_zone_penalty: f64,
    /// Share of its slots with which an upstream is counted during its warm-up, when it is 1.6 times slower.
    pub warmup_slot_share: f64,
    /// Maximum number of upstreams that are compared; of a larger pool, this many are drawn at random, so that the cost
    /// does not grow with the pool.
    pub max_candidates: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            policy: Policy::default(),
            speed: speed::Settings::default(),
            subset: subset::Settings::default(),
            flow_weight: 0.1,
            remote_zone_penalty: 0.75,
            warmup_slot_share: 0.6,
            max_candidates: 128,
        }
    }
}

/// The upstream that was chosen.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Its score, in requests per slot.
    pub score: f64,
}

/// Chooses one of `upstreams`, preferring those for which `is_usable` returns `true`.
///
/// If none is usable, one of the others is chosen: the failure detection may be wrong, and the caller loses nothing by
/// the attempt.
pub fn choose(
    settings: &Settings,
    now: Duration,
    zone: &str,
    upstreams: &[Arc<Upstream>],
    is_usable: impl Fn(&Upstream) -> bool,
    knowledge: &Knowledge,
    rng: &mut SmallRng,
) -> Option<Choice> {
    let mut choose = |is_usable: &dyn Fn(&Upstream) -> bool, speeds: Option<&Speeds>| {
        let context = Context {
            settings,
            now,
            zone,
            speeds: speeds.filter(|speeds| !speeds.is_even()),
            subset: &knowledge.subset,
        };
        choose_lowest_cost(&context, upstreams, is_usable, rng)
    };
    choose(&is_usable, Some(&knowledge.speeds))
        // All usable upstreams may be slow ones that were left out by chance.
        .or_else(|| choose(&is_usable, None))
        .or_else(|| choose(&|_| true, None))
}

/// Returns the load of an upstream after one more request, in requests per slot of an upstream of usual speed.
pub fn score(settings: &Settings, now: Duration, upstream: &Upstream, slowness: f64) -> f64 {
    let load = upstream.load_counters.load();
    let slot_share = if now < upstream.warmup_end {
        settings.warmup_slot_share
    } else {
        1.0
    };
    let slots = f64::from(upstream.record.slots.max(1)) * slot_share;
    let placed = f64::from(load.requests) + f64::from(load.flows) * settings.flow_weight;
    (placed * slowness + 1.0) / slots
}

struct Context<'a> {
    settings: &'a Settings,
    now: Duration,
    zone: &'a str,
    /// Speeds of upstreams, if any is slower than usual.
    speeds: Option<&'a Speeds>,
    subset: &'a Subset,
}

fn choose_lowest_cost(
    context: &Context,
    upstreams: &[Arc<Upstream>],
    is_usable: &dyn Fn(&Upstream) -> bool,
    rng: &mut SmallRng,
) -> Option<Choice> {
    let mut best = Best::default();
    if upstreams.len() <= context.settings.max_candidates {
        for upstream in upstreams.iter().filter(|upstream| is_usable(upstream)) {
            best.consider(context, upstream, rng);
        }
    } else {
        for _ in 0..context.settings.max_candidates {
            let upstream = &upstreams[rng.random_range(0..upstreams.len())];
            if is_usable(upstream) {
                best.consider(context, upstream, rng);
            }
        }
    }
    best.lowest.map(|(_, score, upstream)| Choice {
        upstream: Arc::clone(upstream),
        score,
    })
}

/// The cheapest candidate so far, with its cost and its score; ties are broken at random with equal probability.
#[derive(Default)]
struct Best<'a> {
    lowest: Option<(f64, f64, &'a Arc<Upstream>)>,
    ties: u32,
}

impl<'a> Best<'a> {
    fn consider(&mut self, context: &Context, upstream: &'a Arc<Upstream>, rng: &mut SmallRng) {
        let Context {
            settings,
            now,
            zone,
            speeds,
            subset,
        } = *context;
        let mut slowness = 1.0;
        if let Some(slow) = speeds.and_then(|speeds| speeds.slow(upstream.record.id)) {
            // Other balancers place most of the load. If each of them took the lowest score, all would avoid a slow
            // upstream, or all would choose it once the others are busy, so each leaves it out by chance.
            if rng.random::<f64>() >= slow.share {
                return;
            }
            slowness = slow.slowness;
        }
        let score = score(settings, now, upstream, slowness);
        let penalty = if upstream.record.zone != zone {
            settings.remote_zone_penalty
        } else if !subset.contains(upstream.record.id) {
            settings.subset.penalty
        } else {
            0.0
        };
        let cost = score + penalty;
        match self.lowest {
            Some((lowest, ..)) if cost > lowest => return,
            Some((lowest, ..)) if cost == lowest => {
                self.ties += 1;
                if rng.random_range(0..=self.ties) > 0 {
                    return;
                }
            }
            _ => self.ties = 0,
        }
        self.lowest = Some((cost, score, upstream));
    }
}
