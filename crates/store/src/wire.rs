//! JSON types of the store's API and of the configuration objects.

use {
    serde::{Deserialize, Serialize},
    skylarkflow_policy::{config, id::Generation, vm},
    std::{net::SocketAddr, time::Duration},
};

/// Prefix of the keys of routes.
pub const ROUTE_PREFIX: &str = "routes/";

/// Prefix of the keys of pools.
pub const POOL_PREFIX: &str = "pools/";

/// Identifier of one edit, unique over all operators; tells whether a write whose answer was lost took effect.
pub type EditId = String;

/// An object of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// Key, unique in the store.
    pub key: String,
    /// Version, which the store raises with every write.
    pub version: u64,
    /// Value; JSON of at most a megabyte.
    pub value: serde_json::Value,
}

/// Answer to a list or a watch.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Listing {
    /// Number of writes that the store has taken.
    pub revision: u64,
    /// Objects that match.
    pub objects: Vec<Object>,
}

/// Answer to a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteResponse {
    /// New version of the object.
    pub version: u64,
}

/// The VM list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VmList {
    /// All rows.
    pub vms: Vec<vm::Record>,
}

/// Value of a route object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the service.
    pub name: String,
    /// Version of the value.
    pub generation: Generation,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Name of the pool.
    pub pool: String,
    /// Longest time from a request's arrival to its answer.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Edit that wrote the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit: Option<EditId>,
}

/// Value of a pool object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Name, which routes refer to.
    pub name: String,
    /// Version of the value.
    pub generation: Generation,
    /// Requests that one upstream works on at a time.
    pub slots: u32,
    /// Open flows that one upstream accepts.
    pub connections: u32,
    /// Upstreams in the order of the table.
    pub upstreams: Vec<Upstream>,
    /// Edit that wrote the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit: Option<EditId>,
}

/// Value of a removed route or pool.
///
/// The key stays in the store, so that a balancer that was away for the removal still learns of it and a later
/// addition gets a higher generation. It lacks the fields that a [`Route`] or [`Pool`] requires, so that a reader
/// without tombstones skips it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
    /// Name of the removed route or pool.
    pub name: String,
    /// Version of the value.
    pub generation: Generation,
    /// Always `true`.
    pub removed: Removed,
    /// Edit that wrote the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit: Option<EditId>,
}

/// The value `true` of the field `removed`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "bool", into = "bool")]
pub struct Removed;

/// Value of the key of a route or pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Entry<T> {
    /// The object was removed.
    Removed(Tombstone),
    /// The object is in use.
    Present(T),
}

/// An upstream in a pool object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Name, unique in its pool.
    pub name: String,
    /// Address of its CoAP server.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Share of the flows relative to the other upstreams.
    pub weight: u32,
    /// Whether the operator is draining it.
    pub drain: bool,
}

impl TryFrom<bool> for Removed {
    type Error = &'static str;

    fn try_from(removed: bool) -> Result<Removed, &'static str> {
        if removed {
            Ok(Removed)
        } else {
            Err("`removed` is true or absent")
        }
    }
}

impl From<Removed> for bool {
    fn from(_: Removed) -> bool {
        true
    }
}

impl<T> Entry<T> {
    /// Returns the object unless it was removed.
    pub fn present(self) -> Option<T> {
        match self {
            Entry::Removed(_) => None,
            Entry::Present(object) => Some(object),
        }
    }
}

impl From<Route> for config::Route {
    fn from(wire: Route) -> config::Route {
        let Route {
            name,
            generation,
            address,
            pool,
            deadline,
            edit: _,
        } = wire;
        config::Route {
            name,
            generation,
            address,
            pool,
            deadline,
        }
    }
}

impl From<Pool> for config::Pool {
    fn from(wire: Pool) -> config::Pool {
        config::Pool {
            name: wire.name,
            generation: wire.generation,
            slots: wire.slots,
            connections: wire.connections,
            upstreams: wire.upstreams.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Upstream> for config::Upstream {
    fn from(wire: Upstream) -> config::Upstream {
        let Upstream {
            name,
            address,
            zone,
            weight,
            drain,
        } = wire;
        config::Upstream {
            name,
            address,
            zone,
            weight,
            drain,
        }
    }
}
