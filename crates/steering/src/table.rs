//! Immutable forwarding tables, which are replaced as a whole.

use {
    crate::{
        cookie::{Claim, Cookie},
        directory::Directory,
        fault_injection::{self, Fault},
        upstream::{PoolName, State, Upstream, ZoneName},
    },
    skylarkflow_policy::id::{Map, Set},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Number of a configuration; a higher one is newer.
pub type Version = u64;

/// Pool of a route with its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the pool.
    pub pool: PoolName,
    /// Share of the route's new flows relative to the other targets; a pool of weight 0 gets none, unless it is the
    /// only target.
    pub weight: u32,
}

/// What the callers of a route need.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Level {
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u32,
    /// Time after which a caller gives a request up; `None` if the configuration does not state it.
    pub timeout: Option<Duration>,
    /// Latency that callers aim at; `None` if the configuration does not state it.
    pub target_latency: Option<Duration>,
}

/// Warm-up of the upstreams of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Warmup {
    /// Time after the start of an upstream in which it is cold.
    pub duration: Duration,
    /// Requests per second that a cold upstream can process; 0 if the configuration states no limit.
    pub rate: f64,
}

/// Route from the address of a service to the pools that serve it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name, unique within a configuration.
    pub name: String,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Pools that serve it.
    pub targets: Vec<Target>,
    /// What its callers need.
    pub level: Level,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version; a higher one is newer.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Path of the health check of the upstreams, by pool.
    pub health_paths: BTreeMap<PoolName, String>,
    /// Warm-up of the upstreams, by pool.
    pub warmups: BTreeMap<PoolName, Warmup>,
    /// Time without a packet after which a flow may be dropped from the flow tracker.
    pub idle_timeout: Duration,
}

impl Config {
    /// Returns the names of the pools that the configuration lists or that its routes use.
    pub fn pool_names(&self) -> Set<PoolName> {
        let targets = self.routes.iter().flat_map(|route| &route.targets);
        let used = targets.map(|target| &target.pool);
        self.health_paths.keys().chain(used).cloned().collect()
    }
}

/// Forwarding table that is made of the current routes and upstreams.
#[derive(Clone, Debug)]
pub struct Table {
    /// Version of the configuration.
    pub version: Version,
    /// Time without a packet after which a flow may be dropped from the flow tracker.
    pub idle_timeout: Duration,
    /// Routes by the address that callers send to.
    pub routes: Arc<Map<SocketAddr, Route>>,
    /// Addresses that had a route in an earlier version and have none now.
    pub removed: Arc<Set<SocketAddr>>,
    /// Upstreams that accept new flows, by pool; without those of evacuated zones.
    pub pools: Arc<Map<PoolName, Vec<Arc<Upstream>>>>,
    /// All upstreams to which open flows may belong, by cookie.
    pub cookies: Arc<Map<Cookie, Arc<Upstream>>>,
    /// Holders of the addresses of the registered upstreams.
    pub addresses: Arc<Map<SocketAddr, Claim>>,
    /// Path of the health check of the upstreams, by pool.
    pub health_paths: Arc<BTreeMap<PoolName, String>>,
    /// Warm-up of the upstreams, by pool.
    pub warmups: Arc<BTreeMap<PoolName, Warmup>>,
    /// Pools that the configuration names.
    pub pool_names: Arc<Set<PoolName>>,
    /// Zones whose upstreams get no new flows.
    pub evacuated: Arc<Set<ZoneName>>,
    /// Whether new flows may be placed. They have to wait while the evacuations are not known.
    pub accepts_flows: bool,
}

impl Table {
    /// Returns whether the zone of an upstream is evacuated.
    pub fn is_evacuated(&self, upstream: &Upstream) -> bool {
        self.evacuated.contains(&upstream.record.zone)
    }

    /// Returns whether an upstream is registered and its address belongs to no other one.
    pub fn is_registered(&self, upstream: &Upstream) -> bool {
        self.holder_at_address_of(upstream) == Some(upstream.record.claim())
    }

    /// Returns whether a registered upstream that started later has taken over the address of the given one.
    ///
    /// Entries prove this only among upstreams of pools that the configuration names.
    pub fn is_replaced(&self, upstream: &Upstream) -> bool {
        let claim = upstream.record.claim();
        let holder = self.holder_at_address_of(upstream);
        let is_taken = holder.is_some_and(|holder| holder.id != claim.id && holder > claim);
        is_taken && self.pool_names.contains(&upstream.record.pool)
    }

    fn holder_at_address_of(&self, upstream: &Upstream) -> Option<Claim> {
        self.addresses.get(&upstream.record.address).copied()
    }
}

/// The active configuration, and the addresses that had a route in an earlier one only.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    config: Option<Config>,
    routes: Arc<Map<SocketAddr, Route>>,
    removed: Arc<Set<SocketAddr>>,
    health_paths: Arc<BTreeMap<PoolName, String>>,
    warmups: Arc<BTreeMap<PoolName, Warmup>>,
    pool_names: Arc<Set<PoolName>>,
}

/// Outcome of [`Routes::adopt`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// The configuration became active.
    Adopted,
    /// This version is already active.
    Unchanged,
    /// The configuration is older than the active one and was rejected.
    Older {
        /// Version of the active configuration.
        active_version: Version,
    },
}

impl Routes {
    /// Returns the version of the active configuration.
    pub fn version(&self) -> Option<Version> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Returns the active configuration.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Adopts a configuration if it is newer than the active one.
    pub fn adopt(&mut self, config: Config) -> Adoption {
        match self.version() {
            Some(_) if fault_injection::is_injected(Fault::Configuration) => {
                return Adoption::Unchanged;
            }
            Some(active_version) if config.version < active_version => {
                return Adoption::Older { active_version };
            }
            Some(active_version) if config.version == active_version => return Adoption::Unchanged,
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
        self.warmups = Arc::new(config.warmups.clone());
        self.pool_names = Arc::new(config.pool_names());
        self.config = Some(config);
        Adoption::Adopted
    }

    /// Builds the table of the current routes and the upstreams of a directory; `None` before the first configuration.
    pub fn table(&self, now: Duration, directory: &Directory) -> Option<Table> {
        let config = self.config.as_ref()?;
        let view = directory.view(now, &self.pool_names);
        Some(Table {
            version: config.version,
            idle_timeout: config.idle_timeout,
            routes: Arc::clone(&self.routes),
            removed: Arc::clone(&self.removed),
            pools: view.pools,
            cookies: view.cookies,
            addresses: view.addresses,
            health_paths: Arc::clone(&self.health_paths),
            warmups: Arc::clone(&self.warmups),
            pool_names: Arc::clone(&self.pool_names),
            evacuated: view.evacuated,
            accepts_flows: true,
        })
    }
}

/// Groups the upstreams that accept new flows by pool.
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
