//! Upstreams that a balancer prefers, so that few balancers share each of them.
//!
//! The module addresses zones with many balancers, of which each sees so little of the load that its counts and
//! responses say nothing about most upstreams. If five balancers share an upstream instead of a hundred, the counts of
//! each are a fifth of the upstream's load. The upstreams of the zone are dealt out by the rank of the balancer in its
//! zone, so that each gets equally many balancers. See [the design note](../../../docs/design/placement.md).

use {
    crate::{
        gossip::Rank,
        upstream::{PoolName, Upstream, UpstreamId},
    },
    skylarkflow_policy::id::{Map, Set},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Settings of a [`Subset`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Number of balancers that share an upstream.
    pub balancers_per_upstream: usize,
    /// Minimum number of preferred upstreams of a pool; with fewer, a burst of one balancer meets too few slots.
    pub min_upstreams: usize,
    /// Penalty for an upstream of the own zone that is not preferred, in requests per slot.
    pub penalty: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            balancers_per_upstream: 5,
            min_upstreams: 4,
            penalty: 0.5,
        }
    }
}

/// The preferred upstreams of one balancer.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    preferred: Set<UpstreamId>,
}

impl Subset {
    /// Deals out the upstreams of a zone.
    ///
    /// Balancers that know the same upstreams and members get shares of equal size. Where views differ for a while, an
    /// upstream has some balancers more or less.
    pub fn new(
        settings: &Settings,
        rank: Rank,
        zone: &str,
        pools: &Map<PoolName, Vec<Arc<Upstream>>>,
    ) -> Subset {
        let mut preferred = Set::default();
        for upstreams in pools.values() {
            let own = upstreams
                .iter()
                .filter(|upstream| upstream.record.zone == zone);
            let mut ids: Vec<UpstreamId> = own.map(|upstream| upstream.record.id).collect();
            // The number of parts does not follow each upstream that comes or goes, which would move most shares.
            let parts = rank.count / settings.balancers_per_upstream.max(1);
            let parts = parts.min(ids.len() / settings.min_upstreams.max(1));
            if parts < 2 {
                preferred.extend(ids);
                continue;
            }
            // Each round of balancers deals the upstreams out in an order of its own, so that two balancers rarely share
            // more than one.
            let round = (rank.index / parts) as u64;
            ids.sort_by_cached_key(|id| (xxh3_64_with_seed(&id.to_be_bytes(), round), *id));
            let part = rank.index % parts;
            let range = part * ids.len() / parts..(part + 1) * ids.len() / parts;
            preferred.extend(&ids[range]);
        }
        Subset { preferred }
    }

    /// Returns whether an upstream of the own zone is preferred; all are while nothing was dealt out.
    pub fn contains(&self, id: UpstreamId) -> bool {
        self.preferred.is_empty() || self.preferred.contains(&id)
    }
}
