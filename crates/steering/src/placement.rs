//! Choice of the upstream for a new flow.
//!
//! It is designed for upstreams with two or three slots, flows that last for many requests, and load peaks of twice the
//! mean. A flow goes to the upstream with the lowest load per slot, counted by the flows and requests that this
//! balancer has placed. An upstream in another zone is chosen only if its load is clearly lower, since traffic between
//! zones costs money and the other zone may be unreachable.

use {
    crate::upstream::Upstream,
    rand::{Rng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
};

/// Parameters of the placement score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
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
    rng: &mut SmallRng,
) -> Option<Choice> {
    choose_lowest_cost(settings, now, zone, upstreams, &is_usable, rng)
        .or_else(|| choose_lowest_cost(settings, now, zone, upstreams, &|_| true, rng))
}

/// Returns the load of an upstream after one more request, in requests per slot.
pub fn score(settings: &Settings, now: Duration, upstream: &Upstream) -> f64 {
    let load = upstream.load_counters.load();
    let slot_share = if now < upstream.warmup_end {
        settings.warmup_slot_share
    } else {
        1.0
    };
    let slots = f64::from(upstream.record.slots.max(1)) * slot_share;
    (f64::from(load.requests) + f64::from(load.flows) * settings.flow_weight + 1.0) / slots
}

fn choose_lowest_cost(
    settings: &Settings,
    now: Duration,
    zone: &str,
    upstreams: &[Arc<Upstream>],
    is_usable: &impl Fn(&Upstream) -> bool,
    rng: &mut SmallRng,
) -> Option<Choice> {
    let mut best = Best::default();
    if upstreams.len() <= settings.max_candidates {
        for upstream in upstreams.iter().filter(|upstream| is_usable(upstream)) {
            best.consider(settings, now, zone, upstream, rng);
        }
    } else {
        for _ in 0..settings.max_candidates {
            let upstream = &upstreams[rng.random_range(0..upstreams.len())];
            if is_usable(upstream) {
                best.consider(settings, now, zone, upstream, rng);
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
    fn consider(
        &mut self,
        settings: &Settings,
        now: Duration,
        zone: &str,
        upstream: &'a Arc<Upstream>,
        rng: &mut SmallRng,
    ) {
        let score = score(settings, now, upstream);
        let is_remote = upstream.record.zone != zone;
        let cost = score
            + if is_remote {
                settings.remote_zone_penalty
            } else {
                0.0
            };
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
