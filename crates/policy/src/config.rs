//! Active routes and pools of a balancer.

pub use crate::{config_relay::Relay, config_store::Store};
use {
    crate::{
        id::{self, Generation, Map, PoolId, RouteId, UpstreamId},
        lookup,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// A service that callers reach.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the service.
    pub name: String,
    /// Version of this object.
    pub generation: Generation,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Name of the pool that serves the route.
    pub pool: String,
    /// Longest time from the arrival of a request to its response.
    pub deadline: Duration,
}

/// An upstream of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Name, unique in its pool.
    pub name: String,
    /// Address of its CoAP server.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Share of new flows relative to the other upstreams of the pool; an upstream with weight 0 gets none.
    pub weight: u32,
    /// Whether it must get no new flows: in the configuration because an operator drains it, in a [`Snapshot`] for any
    /// reason.
    pub drain: bool,
}

/// The upstreams that serve a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Name, which routes refer to.
    pub name: String,
    /// Version of this object.
    pub generation: Generation,
    /// Largest number of requests that one upstream processes at a time.
    pub slots: u32,
    /// Largest number of open flows of one upstream.
    pub connections: u32,
    /// Upstreams in the order of the configuration.
    pub upstreams: Vec<Upstream>,
}

/// A pool with the lookup table and the index of upstreams that are derived from it.
#[derive(Debug)]
pub struct Resolved {
    /// The pool as configured.
    pub pool: Arc<Pool>,
    /// Maps each flow to its default upstream.
    pub table: lookup::Table,
    /// Position of each upstream in the pool.
    pub positions: Map<UpstreamId, usize>,
}

/// The tables of a balancer: an immutable set of routes and pools, which is replaced as a whole.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Routes by the address that callers send to.
    pub routes: Map<SocketAddr, Arc<Route>>,
    /// Pools by the hash of their name.
    pub pools: Map<PoolId, Arc<Resolved>>,
}

impl Route {
    /// Returns the identifier of the route.
    pub fn id(&self) -> RouteId {
        id::from_name(&self.name)
    }

    /// Returns the identifier of the pool that serves the route.
    pub fn pool_id(&self) -> PoolId {
        id::from_name(&self.pool)
    }
}

impl Resolved {
    /// Derives the lookup table and index of a pool.
    pub fn new(pool: Arc<Pool>) -> Resolved {
        let id = |upstream: &Upstream| id::from_upstream(&pool.name, &upstream.name);
        let input = |upstream: &Upstream| lookup::Input {
            id: id(upstream),
            weight: upstream.weight,
        };
        let inputs: Vec<lookup::Input> = pool.upstreams.iter().map(input).collect();
        let table = lookup::Table::new(&inputs, lookup::pool_slots(inputs.len()));
        let positions = pool
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, upstream)| (id(upstream), index))
            .collect();
        Resolved {
            pool,
            table,
            positions,
        }
    }

    /// Returns an upstream by its identifier.
    pub fn upstream(&self, id: UpstreamId) -> Option<&Upstream> {
        self.positions
            .get(&id)
            .map(|&index| &self.pool.upstreams[index])
    }
}

impl Snapshot {
    /// Creates a snapshot of routes and pools.
    pub fn new(routes: Vec<Route>, pools: Vec<Pool>) -> Snapshot {
        let resolved = |pool: Pool| {
            (
                id::from_name(&pool.name),
                Arc::new(Resolved::new(Arc::new(pool))),
            )
        };
        Snapshot {
            routes: routes
                .into_iter()
                .map(|route| (route.address, Arc::new(route)))
                .collect(),
            pools: pools.into_iter().map(resolved).collect(),
        }
    }
}
