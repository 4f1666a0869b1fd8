//! The compared ways to choose an upstream.

use {
    super::{
        simulation::Server,
        site::{SLOTS, UPSTREAMS},
    },
    rand::{Rng, rngs::SmallRng},
    skylarkflow_steering::{
        placement::{self, Settings},
        speed::Speeds,
        upstream::Upstream,
    },
    std::{ops::Range, sync::Arc, time::Duration},
};

/// Requests per slot by which an upstream outside the subset has to be better.
const SPILL_OVER: f64 = 0.5;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    Counts,
    Learned,
    Random,
    TwoChoices,
    LeastRequests,
    Oracle,
    /// Learned speeds; each balancer prefers this many upstreams of its zone, drawn by a hash of its name.
    HashedSubset(usize),
    /// The same, dealt out by the rank of the balancer in its zone, so that each upstream has equally many balancers.
    BalancedSubset(usize),
}

/// What a balancer chooses by.
pub struct View<'a> {
    pub now: Duration,
    /// Whether the balancer prefers an upstream, for the policies with subsets.
    pub subset: &'a [bool],
    pub zone: &'a str,
    /// Indices of the upstreams of its zone.
    pub own_zone: Range<usize>,
    pub upstreams: &'a [Arc<Upstream>],
    pub speeds: &'a Speeds,
    /// True state of the upstreams, which only the oracle uses.
    pub servers: &'a [Server],
    /// True slowness of an upstream, which only the oracle uses.
    pub slowness: &'a dyn Fn(usize) -> f64,
}

impl Policy {
    /// Returns whether balancers learn the speeds of upstreams.
    pub fn is_learned(self) -> bool {
        matches!(
            self,
            Policy::Learned | Policy::HashedSubset(_) | Policy::BalancedSubset(_)
        )
    }

    pub fn choose(self, view: &View, rng: &mut SmallRng) -> usize {
        let requests = |index: usize| view.upstreams[index].load_counters.load().requests;
        match self {
            Policy::Counts | Policy::Learned => {
                let settings = Settings::default();
                let View {
                    now,
                    zone,
                    upstreams,
                    speeds,
                    ..
                } = *view;
                let choice =
                    placement::choose(&settings, now, zone, upstreams, |_| true, speeds, rng);
                choice.expect("a pool with upstreams").upstream.record.id as usize - 1
            }
            Policy::HashedSubset(_) | Policy::BalancedSubset(_) => {
                let settings = Settings::default();
                let choose = |is_usable: &dyn Fn(&Upstream) -> bool, rng: &mut SmallRng| {
                    let choice = placement::choose(
                        &settings,
                        view.now,
                        view.zone,
                        view.upstreams,
                        is_usable,
                        view.speeds,
                        rng,
                    );
                    choice.expect("a pool with upstreams")
                };
                let is_preferred =
                    |upstream: &Upstream| view.subset[upstream.record.id as usize - 1];
                let preferred = choose(&is_preferred, rng);
                let any = choose(&|_| true, rng);
                let choice = if preferred.score > any.score + SPILL_OVER {
                    any
                } else {
                    preferred
                };
                choice.upstream.record.id as usize - 1
            }
            Policy::Random => rng.random_range(view.own_zone.clone()),
            Policy::TwoChoices => {
                let a = rng.random_range(view.own_zone.clone());
                let b = rng.random_range(view.own_zone.clone());
                if requests(a) <= requests(b) { a } else { b }
            }
            Policy::LeastRequests => {
                let (start, count) = (view.own_zone.start, view.own_zone.len());
                let first = rng.random_range(0..count);
                let indices = (0..count).map(|step| start + (first + step) % count);
                indices
                    .min_by_key(|&index| requests(index))
                    .unwrap_or(start)
            }
            Policy::Oracle => {
                let first = rng.random_range(0..UPSTREAMS);
                let indices = (0..UPSTREAMS).map(|step| (first + step) % UPSTREAMS);
                let time = |index: usize| {
                    let server = &view.servers[index];
                    let backlog = server.backlog(view.now) + server.expected_work();
                    backlog / SLOTS as f64 + (view.slowness)(index) * 0.015
                };
                indices
                    .min_by(|&a, &b| time(a).total_cmp(&time(b)))
                    .unwrap_or_default()
            }
        }
    }
}
