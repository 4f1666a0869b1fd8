//! Choice of the upstream of a new flow: the default of the lookup table, or an exception.
//!
//! Every balancer derives the default from the configuration alone, so that only exceptions have to be replicated.
//! See [placement](../../../docs/design.md#5-placement).

use {
    crate::{
        flow::Hash, id::UpstreamId, lookup::Table, pool::PoolDispatcher, upstream_set::UpstreamSet,
    },
    std::time::Duration,
};

/// Settings of the placement of new flows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Bounded-load factor: the limit of an upstream as a multiple of its weighted share of the flows.
    pub load_bound: f64,
    /// Number of candidates drawn from the lookup table, before any are drawn from the usable upstreams.
    pub table_draws: u64,
    /// Number of candidates drawn from the usable upstreams, which finds the few that are left when most are down.
    pub usable_draws: u64,
}

/// The upstream of a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether it differs from the default of the lookup table.
    pub is_exception: bool,
}

/// Capacity of an upstream for a new flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Capacity {
    /// It is below its bounded-load limit.
    Available,
    /// It is usable but above its bounded-load limit. The value is its load as a multiple of that limit.
    AboveLimit(f64),
    /// It is draining, down or at its connection limit.
    Closed,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            load_bound: 1.10,
            table_draws: 16,
            usable_draws: 16,
        }
    }
}

impl PoolDispatcher {
    pub(crate) fn capacity(
        &self,
        now: Duration,
        members: &UpstreamSet,
        id: UpstreamId,
    ) -> Capacity {
        let Some(upstream) = self.upstreams.get(&id).filter(|_| members.contains(id)) else {
            return Capacity::Closed;
        };
        if upstream.flows >= self.pool.pool.connections {
            return Capacity::Closed;
        }
        let limit = bounded_load_limit(
            &self.settings.placement,
            members.flows() + 1,
            f64::from(upstream.weight),
            members.weight() as f64,
        );
        let load = f64::from(upstream.flows + 1) / (limit * upstream.warmup_factor(now));
        if load <= 1.0 {
            Capacity::Available
        } else {
            Capacity::AboveLimit(load)
        }
    }
}

/// Chooses the upstream of a new flow, or `None` if no candidate can take it.
///
/// `usable` lists the upstreams that may take new flows. The first candidate below its bounded-load limit is chosen,
/// otherwise the one with the lowest relative load. The number of candidates is bounded, so that the cost does not grow
/// with the pool.
pub fn choose(
    settings: &Settings,
    table: &Table,
    usable: &[UpstreamId],
    flow: Hash,
    capacity: impl Fn(UpstreamId) -> Capacity,
) -> Option<Choice> {
    let default = table.get(flow);
    let choice = |upstream| Choice {
        upstream,
        is_exception: Some(upstream) != default,
    };
    let mut least: Option<(f64, UpstreamId)> = None;
    for upstream in candidates(settings, table, usable, flow) {
        match capacity(upstream) {
            Capacity::Available => return Some(choice(upstream)),
            Capacity::AboveLimit(load) if least.is_none_or(|(lowest, _)| load < lowest) => {
                least = Some((load, upstream));
            }
            Capacity::AboveLimit(_) | Capacity::Closed => {}
        }
    }
    least.map(|(_, upstream)| choice(upstream))
}

/// Returns the bounded-load limit, in flows, of an upstream that has `weight` of the pool's `total_weight`.
pub fn bounded_load_limit(settings: &Settings, flows: u64, weight: f64, total_weight: f64) -> f64 {
    (settings.load_bound * flows as f64 * weight / total_weight).ceil()
}

fn candidates<'a>(
    settings: &Settings,
    table: &'a Table,
    usable: &'a [UpstreamId],
    flow: Hash,
) -> impl Iterator<Item = UpstreamId> + 'a {
    let drawn = (1..=settings.table_draws).filter_map(move |draw| table.get(mix(flow, draw)));
    let last = settings.table_draws + settings.usable_draws;
    let others = (settings.table_draws + 1..=last)
        .filter_map(move |draw| usable.get(index(mix(flow, draw), usable.len())).copied());
    table.get(flow).into_iter().chain(drawn).chain(others)
}

fn index(hash: u64, length: usize) -> usize {
    hash.checked_rem(length as u64).unwrap_or(0) as usize
}

/// Returns an independent hash for each draw of a flow (the finalizer of SplitMix64).
fn mix(flow: Hash, draw: u64) -> u64 {
    let mut hash = flow.wrapping_add(draw.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
