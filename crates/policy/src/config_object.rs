//! Versioned objects that balancers exchange: routes, pools, entry VMs and drain marks.
//!
//! A drain mark records whether one source reports that an upstream is draining.

use {
    crate::{
        config::{Pool, Route, Upstream},
        id::{self, Generation, UpstreamId},
        vm,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    xxhash_rust::xxh3::Xxh3,
};

/// Identifies an object by the hash of its key.
pub type KeyId = u64;

/// What reported that an upstream is draining.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Source {
    /// The responses of the upstream or its health check.
    #[serde(rename = "u")]
    Upstream,
    /// The platform's VM list.
    #[serde(rename = "p")]
    Platform,
}

/// Content of an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// A route that operators configured.
    Route(Route),
    /// A pool that operators configured.
    Pool(Pool),
    /// A route or pool that an operator removed.
    Deleted,
    /// An entry VM, and whether the VM list contains it.
    Vm(vm::Record, bool),
    /// Drain mark: whether a source reports that an upstream is draining.
    Drain(UpstreamId, Source, bool),
}

/// A versioned object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "ObjectWire", into = "ObjectWire")]
pub struct Object {
    /// Key, for example `routes/dispatch`.
    pub key: String,
    /// Version; a higher value replaces a lower one.
    pub generation: Generation,
    /// Content.
    pub value: Value,
}

/// The version of an object without its content.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(KeyId, Generation, u32)", into = "(KeyId, Generation, u32)")]
pub struct Version {
    /// Hash of the object's key.
    pub key: KeyId,
    /// Its generation.
    pub generation: Generation,
    /// Hash of the content, which gives all balancers the same order of different contents with one generation.
    pub content: u32,
}

impl Object {
    /// Creates an object from a route.
    pub fn from_route(route: Route) -> Object {
        Object {
            key: format!("routes/{}", route.name),
            generation: route.generation,
            value: Value::Route(route),
        }
    }

    /// Creates an object from a pool.
    pub fn from_pool(pool: Pool) -> Object {
        Object {
            key: format!("pools/{}", pool.name),
            generation: pool.generation,
            value: Value::Pool(pool),
        }
    }

    /// Creates the tombstone of a removed object.
    pub fn deleted(key: &str, generation: Generation) -> Object {
        Object {
            key: key.to_owned(),
            generation,
            value: Value::Deleted,
        }
    }

    /// Creates an object from an entry VM.
    pub fn from_vm(record: vm::Record, listed: bool, generation: Generation) -> Object {
        Object {
            key: Object::vm_key(&record.name),
            generation,
            value: Value::Vm(record, listed),
        }
    }

    /// Creates a drain mark.
    pub fn from_drain(
        upstream: UpstreamId,
        source: Source,
        draining: bool,
        generation: Generation,
    ) -> Object {
        Object {
            key: Object::drain_key(upstream, source),
            generation,
            value: Value::Drain(upstream, source, draining),
        }
    }

    /// Returns the key of an entry VM.
    pub fn vm_key(name: &str) -> String {
        format!("vms/{name}")
    }

    /// Returns the key of a drain mark.
    pub fn drain_key(upstream: UpstreamId, source: Source) -> String {
        let source = match source {
            Source::Upstream => 'u',
            Source::Platform => 'p',
        };
        format!("drains/{upstream:x}/{source}")
    }

    /// Returns the identifier of the key.
    pub fn id(&self) -> KeyId {
        id::from_name(&self.key)
    }

    /// Returns whether operators write the object.
    pub fn is_configuration(&self) -> bool {
        matches!(
            self.value,
            Value::Route(_) | Value::Pool(_) | Value::Deleted
        )
    }

    /// Returns the version.
    pub fn version(&self) -> Version {
        let mut hash = Xxh3::new();
        hash.update(format!("{:?}", self.value).as_bytes());
        Version {
            key: self.id(),
            generation: self.generation,
            content: hash.digest() as u32,
        }
    }

    /// Returns an upper bound of the encoded size in bytes.
    pub fn encoded_bytes(&self) -> usize {
        const ADDRESS: usize = 20;
        let value = match &self.value {
            Value::Route(route) => ADDRESS + 16 + route.pool.len(),
            Value::Pool(pool) => {
                let upstreams = pool.upstreams.iter();
                let bytes = |it: &Upstream| it.name.len() + it.zone.len() + ADDRESS + 10;
                upstreams.map(bytes).sum::<usize>() + 20
            }
            Value::Deleted => 4,
            Value::Vm(record, _) => record.zone.len() + ADDRESS + 8,
            Value::Drain(..) => 16,
        };
        self.key.len() + 14 + value
    }
}

impl Version {
    /// Upper bound of the encoded size in bytes.
    pub const BYTES: usize = 20;

    /// Returns whether this version replaces another one.
    pub fn replaces(&self, other: &Version) -> bool {
        (self.generation, self.content) > (other.generation, other.content)
    }
}

impl From<(KeyId, Generation, u32)> for Version {
    fn from((key, generation, content): (KeyId, Generation, u32)) -> Version {
        Version {
            key,
            generation,
            content,
        }
    }
}

impl From<Version> for (KeyId, Generation, u32) {
    fn from(version: Version) -> (KeyId, Generation, u32) {
        (version.key, version.generation, version.content)
    }
}

/// [`Object`] encoded as a tuple, because field names would double its size. The name is part of the key.
#[derive(Deserialize, Serialize)]
struct ObjectWire(String, Generation, ValueWire);

#[derive(Deserialize, Serialize)]
enum ValueWire {
    #[serde(rename = "r")]
    Route(SocketAddr, String, u64),
    #[serde(rename = "p")]
    Pool(u32, u32, Vec<UpstreamWire>),
    #[serde(rename = "x")]
    Deleted,
    #[serde(rename = "v")]
    Vm(SocketAddr, String, bool, bool),
    #[serde(rename = "d")]
    Drain(UpstreamId, Source, bool),
}

#[derive(Deserialize, Serialize)]
struct UpstreamWire(String, SocketAddr, String, u32, bool);

impl From<Object> for ObjectWire {
    fn from(object: Object) -> ObjectWire {
        let value = match object.value {
            Value::Route(it) => {
                ValueWire::Route(it.address, it.pool, it.deadline.as_millis() as u64)
            }
            Value::Pool(it) => {
                let upstreams = it.upstreams.into_iter();
                let wire =
                    |it: Upstream| UpstreamWire(it.name, it.address, it.zone, it.weight, it.drain);
                ValueWire::Pool(it.slots, it.connections, upstreams.map(wire).collect())
            }
            Value::Deleted => ValueWire::Deleted,
            Value::Vm(it, listed) => {
                ValueWire::Vm(it.address, it.zone, it.state == vm::State::Leaving, listed)
            }
            Value::Drain(upstream, source, draining) => {
                ValueWire::Drain(upstream, source, draining)
            }
        };
        ObjectWire(object.key, object.generation, value)
    }
}

impl From<ObjectWire> for Object {
    fn from(ObjectWire(key, generation, value): ObjectWire) -> Object {
        let name = key.split_once('/').map_or("", |(_, name)| name).to_owned();
        let value = match value {
            ValueWire::Route(address, pool, deadline) => Value::Route(Route {
                name,
                generation,
                address,
                pool,
                deadline: Duration::from_millis(deadline),
            }),
            ValueWire::Pool(slots, connections, upstreams) => Value::Pool(Pool {
                name,
                generation,
                slots,
                connections,
                upstreams: upstreams.into_iter().map(Upstream::from).collect(),
            }),
            ValueWire::Deleted => Value::Deleted,
            ValueWire::Vm(address, zone, leaving, listed) => {
                let state = if leaving {
                    vm::State::Leaving
                } else {
                    vm::State::Live
                };
                let record = vm::Record {
                    name,
                    address,
                    zone,
                    role: vm::Role::Entry,
                    state,
                };
                Value::Vm(record, listed)
            }
            ValueWire::Drain(upstream, source, draining) => {
                Value::Drain(upstream, source, draining)
            }
        };
        Object {
            key,
            generation,
            value,
        }
    }
}

impl From<UpstreamWire> for Upstream {
    fn from(UpstreamWire(name, address, zone, weight, drain): UpstreamWire) -> Upstream {
        Upstream {
            name,
            address,
            zone,
            weight,
            drain,
        }
    }
}
