//! The compared ways to choose an upstream.

use {
    super::{
        simulation::Server,
        site::{SLOTS, UPSTREAMS},
    },
    rand::{Rng, rngs::SmallRng},
    skylarkflow_steering::{
        placement::{self, Knowledge, Settings},
        upstream::Upstream,
    },
    std::{ops::Range, sync::Arc, time::Duration},
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    Counts,
    Learned,
    Subset,
    Random,
    TwoChoices,
    LeastRequests,
    Oracle,
}

/// What a balancer chooses by.
pub struct View<'a> {
    pub now: Duration,
    pub zone: &'a str,
    /// Indices of the upstreams of its zone.
    pub own_zone: Range<usize>,
    pub upstreams: &'a [Arc<Upstream>],
    pub knowledge: &'a Knowledge,
    /// True state of the upstreams, which only the oracle uses.
    pub servers: &'a [Server],
    /// True slowness of an upstream, which only the oracle uses.
    pub slowness: &'a dyn Fn(usize) -> f64,
}

impl Policy {
    pub fn choose(self, view: &View, rng: &mut SmallRng) -> usize {
        let requests = |index: usize| view.upstreams[index].load_counters.load().requests;
        match self {
            Policy::Counts | Policy::Learned | Policy::Subset => {
                let settings = Settings::default();
                let View {
                    now,
                    zone,
                    upstreams,
                    knowledge,
                    ..
                } = *view;
                let choice =
                    placement::choose(&settings, now, zone, upstreams, |_| true, knowledge, rng);
                choice.expect("a pool with upstreams").upstream.record.id as usize - 1
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
