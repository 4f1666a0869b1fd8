//! Identifiers of VMs, pools, routes and upstreams.
//!
//! An identifier is the `xxh3` hash of a name, so balancers of all versions derive the same value without coordination.

use {
    rustc_hash::{FxHashMap, FxHashSet},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Hash map with a fast hasher.
pub type Map<K, V> = FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = FxHashSet<K>;

/// Identifies a balancer by the name of its VM.
pub type VmId = u64;

/// Orders the starts of one balancer and its refutations of a suspicion; a higher value is newer.
pub type Incarnation = u64;

/// Identifies a pool by its name.
pub type PoolId = u64;

/// Identifies a route by its name.
pub type RouteId = u64;

/// Identifies an upstream by the name of its pool and its own name.
pub type UpstreamId = u64;

/// Orders the versions of one configuration object; a higher value is newer.
pub type Generation = u64;

/// Returns the identifier for a name.
pub fn from_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the identifier of an upstream, which is unique across pools.
pub fn from_upstream(pool: &str, upstream: &str) -> UpstreamId {
    xxh3_64_with_seed(upstream.as_bytes(), from_name(pool))
}
