//! Which upstream takes a new flow.
//!
//! The load pattern behind it: upstreams with two or three slots, flows that stay for many requests, and crests of
//! twice the mean load. A flow goes to the upstream that is least busy for its slots, by the flows and requests that this
//! balancer has placed. Another zone is used only where it is clearly less busy, since bytes between zones are paid for and
//! another zone may be out of reach.

use {
    crate::upstream::Upstream,
    rand::{Rng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
};

/// Weights of the parts of a score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Requests that an open flow stands for while it waits for its next one; long flows are busy a tenth of the time.
    pub flow_weight: f64,
    /// Score, in requests for each slot, by which an upstream of another zone has to be better.
    pub remote_zone_penalty: f64,
    /// Share of its slots that an upstream offers while it warms up; it works 1.6 times slower then.
    pub warmup_slot_share: f64,
    /// Most upstreams that are compared; of a larger pool as many are drawn, so that the cost does not grow with it.
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

/// A candidate that was chosen.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Its score, in requests for each slot.
    pub score: f64,
}

/// Chooses among `upstreams`, of which `is_usable` tells whether one answers at present.
///
/// If none is usable, one is chosen all the same: the signs may be wrong, and a caller loses nothing.
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

/// Returns the busy share of an upstream after one more request, in requests for each slot.
pub fn score(settings: &Settings, now: Duration, upstream: &Upstream) -> f64 {
    let load = upstream.load_counters.load();
    let slot_share = if now < upstream.warm_at {
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

/// The best candidate so far, with its cost and its score; each of several equal ones is as likely.
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
