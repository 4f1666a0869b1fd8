//! Immutable tables that decide where packets go, swapped as a whole.

use {
    crate::{
        cookie::Cookie,
        directory::View,
        fault_injection::{self, Fault},
        upstream::{PoolName, State, Upstream, UpstreamId},
    },
    skylarkflow_policy::id::{Map, Set},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Number of a configuration; a higher one is newer.
pub type Version = u64;

/// Pool of a route with its share of the new flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the pool.
    pub pool: PoolName,
    /// Share relative to the other targets of the route; 0 gets no new flows.
    pub weight: u32,
}

/// A service that callers reach.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: String,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Pools that serve it.
    pub targets: Vec<Target>,
}

/// The routes of one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    /// Version.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Paths on which the upstreams of each pool tell their health.
    pub health_paths: BTreeMap<PoolName, String>,
    /// Time without a packet after which a flow may be forgotten.
    pub idle_timeout: Duration,
}

/// Routes and upstreams in force.
#[derive(Clone, Debug)]
pub struct Table {
    /// Version of the configuration.
    pub version: Version,
    /// Time without a packet after which a flow may be forgotten.
    pub idle_timeout: Duration,
    /// Routes by the address that callers send to.
    pub routes: Arc<Map<SocketAddr, Route>>,
    /// Addresses that had a route in an earlier version and have none now.
    pub removed: Arc<Set<SocketAddr>>,
    /// Upstreams that take new flows, by pool.
    pub pools: Arc<Map<PoolName, Vec<Arc<Upstream>>>>,
    /// All upstreams that open flows may have, by cookie.
    pub cookies: Arc<Map<Cookie, Arc<Upstream>>>,
    /// Addresses of the registered upstreams.
    pub addresses: Arc<Map<SocketAddr, UpstreamId>>,
    /// Paths on which the upstreams of each pool tell their health.
    pub health_paths: Arc<BTreeMap<PoolName, String>>,
}

impl Table {
    /// Returns whether the entry of an upstream exists.
    pub fn is_registered(&self, upstream: &Upstream) -> bool {
        self.upstream_at_address_of(upstream) == Some(upstream.record.id)
    }

    /// Returns the registered upstream that has the address of this one.
    pub fn upstream_at_address_of(&self, upstream: &Upstream) -> Option<UpstreamId> {
        self.addresses.get(&upstream.record.address).copied()
    }
}

/// The newest configuration and what it has replaced.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    config: Option<Config>,
    routes: Arc<Map<SocketAddr, Route>>,
    removed: Arc<Set<SocketAddr>>,
    health_paths: Arc<BTreeMap<PoolName, String>>,
}

/// Outcome of an offered configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// It came into force.
    Adopted,
    /// It is in force already.
    Unchanged,
    /// It is older than the one in force and was refused.
    Older {
        /// Version in force.
        in_force: Version,
    },
}

impl Routes {
    /// Returns the version in force.
    pub fn version(&self) -> Option<Version> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Adopts a configuration that is newer than the one in force.
    pub fn adopt(&mut self, config: Config) -> Adoption {
        match self.version() {
            Some(_) if fault_injection::is_injected(Fault::Configuration) => {
                return Adoption::Unchanged;
            }
            Some(in_force) if config.version < in_force => return Adoption::Older { in_force },
            Some(in_force) if config.version == in_force => return Adoption::Unchanged,
            _ => {}
        }
        let routes: Map<SocketAddr, Route> = config
            .routes
            .iter()
            .map(|route| (route.address, route.clone()))
            .collect();
        let earlier = self.routes.keys().chain(self.removed.iter());
        self.removed = Arc::new(
            earlier
                .filter(|address| !routes.contains_key(address))
                .copied()
                .collect(),
        );
        self.routes = Arc::new(routes);
        self.health_paths = Arc::new(config.health_paths.clone());
        self.config = Some(config);
        Adoption::Adopted
    }

    /// Joins the routes with the upstreams; `None` before the first configuration.
    pub fn table(&self, view: View) -> Option<Table> {
        let config = self.config.as_ref()?;
        Some(Table {
            version: config.version,
            idle_timeout: config.idle_timeout,
            routes: Arc::clone(&self.routes),
            removed: Arc::clone(&self.removed),
            pools: view.pools,
            cookies: view.cookies,
            addresses: view.addresses,
            health_paths: Arc::clone(&self.health_paths),
        })
    }
}

/// Groups the upstreams that take new flows by pool.
pub fn group_by_pool<'a>(
    upstreams: impl Iterator<Item = &'a Arc<Upstream>>,
) -> Map<PoolName, Vec<Arc<Upstream>>> {
    let mut pools: Map<PoolName, Vec<Arc<Upstream>>> = Map::default();
    for upstream in upstreams {
        let is_ready =
            upstream.record.state == State::Ready || fault_injection::is_injected(Fault::Drain);
        if is_ready && upstream.cookie.is_some() {
            let pool = pools.entry(upstream.record.pool.clone()).or_default();
            pool.push(Arc::clone(upstream));
        }
    }
    pools
}
