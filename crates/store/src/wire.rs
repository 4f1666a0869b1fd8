//! JSON types of the store's API and of the configuration objects.

use {
    crate::json,
    serde::{Deserialize, Serialize},
    skylarkflow_policy::{config, id::Generation, vm},
    std::{net::SocketAddr, time::Duration},
};

/// Prefix of the keys of routes.
pub const ROUTE_PREFIX: &str = "routes/";

/// Prefix of the keys of pools.
pub const POOL_PREFIX: &str = "pools/";

/// Identifier of one edit, unique across operators. It shows whether a write whose response was lost took effect.
pub type EditId = String;

/// An object of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// Key, unique in the store.
    pub key: String,
    /// Version, which the store increases with every write of the object.
    pub version: u64,
    /// Value; JSON of at most a megabyte.
    pub value: serde_json::Value,
}

/// Response to a list or a watch.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Listing {
    /// Store revision: the number of writes so far.
    pub revision: u64,
    /// Matching objects.
    pub objects: Vec<Object>,
}

impl Listing {
    /// Reads a response; objects that cannot be read are left out, so that the others stay usable.
    ///
    /// # Errors
    ///
    /// Fails if the response has not the form of a listing.
    pub fn from_slice(text: &[u8]) -> serde_json::Result<Listing> {
        let members = json::members(text).unwrap_or_default();
        let objects = json::member(&members, "objects").and_then(json::elements);
        let (Some(objects), Some(revision)) = (objects, json::member(&members, "revision")) else {
            return serde_json::from_slice(text);
        };
        let objects = objects.into_iter();
        Ok(Listing {
            revision: serde_json::from_slice(revision)?,
            objects: objects
                .filter_map(|object| serde_json::from_slice(object).ok())
                .collect(),
        })
    }
}

/// Response to a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteResponse {
    /// New version of the object.
    pub version: u64,
}

/// The VM list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VmList {
    /// All VMs.
    pub vms: Vec<vm::Record>,
}

/// Value of a route object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the service.
    pub name: String,
    /// Generation of the value, which every edit increases.
    pub generation: Generation,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Name of the pool.
    pub pool: String,
    /// Maximum time from a request's arrival to its response.
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
    /// Generation of the value, which every edit increases.
    pub generation: Generation,
    /// Maximum number of requests that one upstream processes at a time.
    pub slots: u32,
    /// Maximum number of open flows of one upstream.
    pub connections: u32,
    /// Upstreams in the order of the table.
    pub upstreams: Vec<Upstream>,
    /// Edit that wrote the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit: Option<EditId>,
}

/// Value of a removed route or pool.
///
/// The key stays in the store, so that a balancer that was down during the removal still learns of it, and so that an
/// object created later under this key gets a higher generation. The value lacks fields that a [`Route`] or [`Pool`]
/// requires, so that a reader without support for tombstones skips it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
    /// Name of the removed route or pool.
    pub name: String,
    /// Generation of the value, which every edit increases.
    pub generation: Generation,
    /// Always `true`.
    pub removed: Removed,
    /// Edit that wrote the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit: Option<EditId>,
}

/// Value of the field `removed`, which can only be `true`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "bool", into = "bool")]
pub struct Removed;

/// Value under the key of a route or pool: the object or its tombstone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Entry<T> {
    /// The object was removed.
    Removed(Tombstone),
    /// The object exists.
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
            Err("`removed` must be true or absent")
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
