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

/// A starting balancer takes thousands of entries over a link of some 10 Mbit/s, so names are sent once and fields by
/// position.
#[derive(Deserialize, Serialize)]
struct Wire {
    config: Option<ConfigWire>,
    revision: u64,
    names: Names,
    changes: Vec<(u64, u64, Option<RecordWire>)>,
}

/// Names of pools and zones, which records refer to by their positions.
#[derive(Default, Deserialize, Serialize)]
#[serde(transparent)]
struct Names(Vec<String>);

/// Version, idle time-out in milliseconds, the routes, and the health path of each pool.
#[derive(Deserialize, Serialize)]
struct ConfigWire(u64, u64, Vec<RouteWire>, BTreeMap<String, String>);

/// Name, address, and the pools with their weights.
#[derive(Deserialize, Serialize)]
struct RouteWire(String, SocketAddr, Vec<(String, u32)>);

/// Position of the pool's name, address, position of the zone's name, slots, whether the upstream drains, warm-up in
/// milliseconds, start in Unix milliseconds.
#[derive(Deserialize, Serialize)]
struct RecordWire(usize, SocketAddr, usize, u32, bool, u64, u64);

impl Names {
    fn position(&mut self, name: String) -> usize {
        let known = self.0.iter().position(|known| *known == name);
        known.unwrap_or_else(|| {
            self.0.push(name);
            self.0.len() - 1
        })
    }

    fn get(&self, position: usize) -> Result<String> {
        let name = self.0.get(position).cloned();
        name.ok_or_else(|| Error::from(Code::Control))
    }
}

impl From<Tables> for Wire {
    fn from(tables: Tables) -> Wire {
        let mut names = Names::default();
        let changes = tables.changes.into_iter().map(|change| {
            let record = change.record.map(|record| record_wire(&mut names, record));
            (change.id, change.revision, record)
        });
        let changes = changes.collect();
        Wire {
            config: tables.config.map(Into::into),
            revision: tables.revision,
            names,
            changes,
        }
    }
}

impl TryFrom<Wire> for Tables {
    type Error = Error;

    fn try_from(wire: Wire) -> Result<Tables> {
        let names = wire.names;
        let changes = wire.changes.into_iter().map(|(id, revision, record)| {
            let record = record.map(|record| record.into_record(&names, id));
            Ok(Change {
                id,
                revision,
                record: record.transpose()?,
            })
        });
        Ok(Tables {
            config: wire.config.map(Into::into),
            revision: wire.revision,
            changes: changes.collect::<Result<_>>()?,
        })
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

fn record_wire(names: &mut Names, record: Record) -> RecordWire {
    RecordWire(
        names.position(record.pool),
        record.address,
        names.position(record.zone),
        record.slots,
        record.state == State::Draining,
        record.warmup.as_millis() as u64,
        record.started_unix_ms,
    )
}

impl RecordWire {
    fn into_record(self, names: &Names, id: u64) -> Result<Record> {
        let RecordWire(pool, address, zone, slots, is_draining, warmup_ms, started_unix_ms) = self;
        Ok(Record {
            id,
            pool: names.get(pool)?,
            address,
            zone: names.get(zone)?,
            slots,
            state: if is_draining {
                State::Draining
            } else {
                State::Ready
            },
            warmup: Duration::from_millis(warmup_ms),
            started_unix_ms,
        })
    }
}

/// Reads tables.
///
/// # Errors
///
/// Fails if the bytes are malformed.
pub fn from_slice(bytes: &[u8]) -> Result<Tables> {
    let wire: Wire = ciborium::from_reader(bytes).map_err(|_| Error::from(Code::Control))?;
    wire.try_into()
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
