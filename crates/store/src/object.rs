//! Conversion between the objects of the store and the configuration objects that balancers exchange.

use {
    crate::wire::{
        Entry, Object, POOL_PREFIX, Pool, ROUTE_PREFIX, Removed, Route, Tombstone, Upstream,
    },
    derive_more::{Display, Error},
    serde_json::Value,
    skylarkflow_policy::{
        config,
        config_object::{self, Value as Content},
        config_reader::Stored,
    },
};

/// An object of the store that cannot be decoded.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{key}: {problem}")]
pub struct Malformed {
    key: String,
    problem: String,
}

/// Returns whether the key is that of a route or a pool, which operators write.
pub fn is_configuration(key: &str) -> bool {
    key.starts_with(ROUTE_PREFIX) || key.starts_with(POOL_PREFIX)
}

/// Decodes a route, a pool or a tombstone.
///
/// # Errors
///
/// Fails if the value is none of them, or if its name differs from the name in the key.
pub fn from_wire(object: Object) -> Result<Stored, Malformed> {
    let Object {
        key,
        version,
        value,
    } = object;
    let parsed = if key.starts_with(ROUTE_PREFIX) {
        serde_json::from_value::<Entry<Route>>(value).map(|entry| match entry {
            Entry::Removed(tombstone) => to_deleted(&key, &tombstone),
            Entry::Present(route) => config_object::Object::from_route(route.into()),
        })
    } else {
        serde_json::from_value::<Entry<Pool>>(value).map(|entry| match entry {
            Entry::Removed(tombstone) => to_deleted(&key, &tombstone),
            Entry::Present(pool) => config_object::Object::from_pool(pool.into()),
        })
    };
    let malformed = |problem: String| Malformed {
        key: key.clone(),
        problem,
    };
    let object = parsed.map_err(|error| malformed(error.to_string()))?;
    if object.key != key {
        return Err(malformed(format!(
            "the value belongs to the key {}",
            object.key
        )));
    }
    Ok(Stored { object, version })
}

/// Encodes a route, a pool or a tombstone; `None` for other objects, which the store does not hold.
pub fn to_value(object: &config_object::Object) -> Option<Value> {
    let value = match &object.value {
        Content::Route(route) => serde_json::to_value(Route::from(route.clone())),
        Content::Pool(pool) => serde_json::to_value(Pool::from(pool.clone())),
        Content::Deleted => serde_json::to_value(Tombstone {
            name: name_in_key(&object.key).to_owned(),
            generation: object.generation,
            removed: Removed,
            edit: None,
        }),
        Content::Vm(..) | Content::Drain(..) => return None,
    };
    value.ok()
}

fn to_deleted(key: &str, tombstone: &Tombstone) -> config_object::Object {
    config_object::Object::deleted(key, tombstone.generation)
}

fn name_in_key(key: &str) -> &str {
    key.split_once('/').map_or(key, |(_, name)| name)
}

impl From<config::Route> for Route {
    fn from(route: config::Route) -> Route {
        let config::Route {
            name,
            generation,
            address,
            pool,
            deadline,
        } = route;
        Route {
            name,
            generation,
            address,
            pool,
            deadline,
            edit: None,
        }
    }
}

impl From<config::Pool> for Pool {
    fn from(pool: config::Pool) -> Pool {
        Pool {
            name: pool.name,
            generation: pool.generation,
            slots: pool.slots,
            connections: pool.connections,
            upstreams: pool.upstreams.into_iter().map(Into::into).collect(),
            edit: None,
        }
    }
}

impl From<config::Upstream> for Upstream {
    fn from(upstream: config::Upstream) -> Upstream {
        let config::Upstream {
            name,
            address,
            zone,
            weight,
            drain,
        } = upstream;
        Upstream {
            name,
            address,
            zone,
            weight,
            drain,
        }
    }
}
