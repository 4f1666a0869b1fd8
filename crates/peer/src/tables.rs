//! Tables that a steering balancer hands to a peer whose own are older, in CBOR.

use {
    crate::error::{Code, Error, Result},
    serde::{Deserialize, Serialize},
    skylarkflow_steering::{
        directory::Change,
        table::{Config, Route, Target},
        upstream::{Record, State},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// What a balancer knows that a peer does not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tables {
    /// Configuration, if the peer has an older one.
    pub config: Option<Config>,
    /// Revision of the store that the changes lead to.
    pub revision: u64,
    /// Changes of entries of upstreams.
    pub changes: Vec<Change>,
}

#[derive(Deserialize, Serialize)]
struct Wire {
    config: Option<ConfigWire>,
    revision: u64,
    changes: Vec<(u64, u64, Option<RecordWire>)>,
}

/// Version, idle time-out in milliseconds, the routes, and the health path of each pool.
#[derive(Deserialize, Serialize)]
struct ConfigWire(u64, u64, Vec<RouteWire>, BTreeMap<String, String>);

/// Name, address, and the pools with their weights.
#[derive(Deserialize, Serialize)]
struct RouteWire(String, SocketAddr, Vec<(String, u32)>);

#[derive(Deserialize, Serialize)]
struct RecordWire {
    pool: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    draining: bool,
    warmup_ms: u64,
    born: u64,
}

impl From<Tables> for Wire {
    fn from(tables: Tables) -> Wire {
        let change = |change: Change| (change.id, change.revision, change.record.map(Into::into));
        Wire {
            config: tables.config.map(Into::into),
            revision: tables.revision,
            changes: tables.changes.into_iter().map(change).collect(),
        }
    }
}

impl From<Wire> for Tables {
    fn from(wire: Wire) -> Tables {
        let change = |(id, revision, record): (u64, u64, Option<RecordWire>)| Change {
            id,
            revision,
            record: record.map(|record| record.into_record(id)),
        };
        Tables {
            config: wire.config.map(Into::into),
            revision: wire.revision,
            changes: wire.changes.into_iter().map(change).collect(),
        }
    }
}

impl From<Config> for ConfigWire {
    fn from(config: Config) -> ConfigWire {
        let route = |route: Route| {
            let targets = route.targets.into_iter();
            let targets = targets.map(|target| (target.pool, target.weight));
            RouteWire(route.name, route.address, targets.collect())
        };
        ConfigWire(
            config.version,
            config.idle_timeout.as_millis() as u64,
            config.routes.into_iter().map(route).collect(),
            config.health_paths,
        )
    }
}

impl From<ConfigWire> for Config {
    fn from(ConfigWire(version, idle_ms, routes, health_paths): ConfigWire) -> Config {
        let target = |(pool, weight): (String, u32)| Target { pool, weight };
        let route = |RouteWire(name, address, targets): RouteWire| Route {
            name,
            address,
            targets: targets.into_iter().map(target).collect(),
        };
        Config {
            version,
            routes: routes.into_iter().map(route).collect(),
            health_paths,
            idle_timeout: Duration::from_millis(idle_ms),
        }
    }
}

impl From<Record> for RecordWire {
    fn from(record: Record) -> RecordWire {
        RecordWire {
            pool: record.pool,
            address: record.address,
            zone: record.zone,
            slots: record.slots,
            draining: record.state == State::Draining,
            warmup_ms: record.warmup.as_millis() as u64,
            born: record.born,
        }
    }
}

impl RecordWire {
    fn into_record(self, id: u64) -> Record {
        Record {
            id,
            pool: self.pool,
            address: self.address,
            zone: self.zone,
            slots: self.slots,
            state: if self.draining {
                State::Draining
            } else {
                State::Ready
            },
            warmup: Duration::from_millis(self.warmup_ms),
            born: self.born,
        }
    }
}

/// Reads tables.
///
/// # Errors
///
/// Fails if the bytes are malformed.
pub fn from_slice(bytes: &[u8]) -> Result<Tables> {
    let wire: Wire = ciborium::from_reader(bytes).map_err(|_| Error::from(Code::Control))?;
    Ok(wire.into())
}

/// Writes tables.
///
/// # Errors
///
/// Fails if the encoder does.
pub fn to_vec(tables: Tables) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(&Wire::from(tables), &mut bytes)
        .map_err(|_| Error::from(Code::Encoding))?;
    Ok(bytes)
}
