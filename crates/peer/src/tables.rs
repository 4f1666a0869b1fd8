//! CBOR encoding of the tables that a steering balancer sends to a peer whose own are older.

use {
    crate::error::{Error, ErrorCode, Result},
    serde::{Deserialize, Serialize},
    skylarkflow_steering::{
        directory::{Change, Update},
        evacuation::{Entry, Evacuations, Status},
        position::{Epoch, Position, Revision},
        table::{Config, Level, Route, Target, Warmup},
        upstream::{Record, State},
    },
    std::{collections::BTreeMap, iter, net::SocketAddr, time::Duration},
};

/// Configuration and upstream changes that a peer lacks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tables {
    /// Configuration, if the peer has an older version.
    pub config: Option<Config>,
    /// Position of the store that the peer reaches with the changes.
    pub position: Position,
    /// Entries of upstreams.
    pub upstreams: Update,
    /// Evacuated zones; `None` if they are not known or not followed.
    pub evacuations: Option<Evacuations>,
}

/// Encoded form of [`Tables`]. A starting balancer receives thousands of entries over a link of about 10 Mbit/s, so
/// each name is sent once and fields are encoded by position.
#[derive(Deserialize, Serialize)]
struct TablesWire {
    config: Option<ConfigWire>,
    revision: u64,
    names: StringTable,
    changes: Vec<(u64, u64, Option<RecordWire>)>,
    /// Absent in messages of older versions.
    #[serde(default)]
    complete: bool,
    /// Epoch of the revisions. Absent in messages of older versions.
    #[serde(default)]
    epoch: Epoch,
    /// Heartbeat of the record in each change, 0 where there is none. Absent in messages of older versions.
    #[serde(default)]
    heartbeats: Vec<u64>,
    /// Level of each route of the configuration. Absent in messages of older versions.
    #[serde(default)]
    levels: Vec<LevelWire>,
    /// Warm-up by pool. Absent in messages of older versions.
    #[serde(default)]
    warmups: BTreeMap<String, WarmupWire>,
    /// Absent in messages of older versions, and where evacuations are not followed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    evacuations: Option<EvacuationsWire>,
}

/// Epoch and revision up to which changes are known, the same of the last change, and the zones.
#[derive(Deserialize, Serialize)]
struct EvacuationsWire(
    (Epoch, Revision),
    (Epoch, Revision),
    BTreeMap<String, ZoneWire>,
);

/// Epoch and revision of the status, whether the evacuation is in force, and epoch and revision of the latest invalid
/// entry.
#[derive(Deserialize, Serialize)]
struct ZoneWire(Epoch, Revision, bool, Option<(Epoch, Revision)>);

/// Priority, timeout and target latency in milliseconds; 0 if they are not known.
#[derive(Default, Deserialize, Serialize)]
struct LevelWire(u32, u64, u64);

/// Duration in milliseconds and requests per second.
#[derive(Deserialize, Serialize)]
struct WarmupWire(u64, f64);

/// Names of pools and zones, which records refer to by index.
#[derive(Default, Deserialize, Serialize)]
#[serde(transparent)]
struct StringTable(Vec<String>);

/// Version, idle timeout in milliseconds, routes, and health path by pool.
#[derive(Deserialize, Serialize)]
struct ConfigWire(u64, u64, Vec<RouteWire>, BTreeMap<String, String>);

/// Name, address, and the pools with their weights.
#[derive(Deserialize, Serialize)]
struct RouteWire(String, SocketAddr, Vec<(String, u32)>);

/// Index of the pool's name, address, index of the zone's name, slots, whether the upstream is draining, warm-up in
/// milliseconds, start time in Unix milliseconds.
#[derive(Deserialize, Serialize)]
struct RecordWire(usize, SocketAddr, usize, u32, bool, u64, u64);

impl StringTable {
    fn intern(&mut self, name: String) -> usize {
        let known = self.0.iter().position(|known| *known == name);
        known.unwrap_or_else(|| {
            self.0.push(name);
            self.0.len() - 1
        })
    }

    fn get(&self, index: usize) -> Result<String> {
        let name = self.0.get(index).cloned();
        name.ok_or_else(|| Error::from(ErrorCode::Cbor))
    }
}

impl From<Tables> for TablesWire {
    fn from(tables: Tables) -> TablesWire {
        let mut names = StringTable::default();
        let heartbeat = |change: &Change| change.record.as_ref().map(|record| record.heartbeat);
        let heartbeats = tables.upstreams.changes.iter().map(heartbeat);
        let heartbeats = heartbeats.map(Option::unwrap_or_default).collect();
        let changes = tables.upstreams.changes.into_iter().map(|change| {
            let record = change
                .record
                .map(|record| to_record_wire(&mut names, record));
            (change.id, change.revision, record)
        });
        let changes = changes.collect();
        let config = tables.config.as_ref();
        let levels = config.into_iter().flat_map(|config| &config.routes);
        let warmups = config.into_iter().flat_map(|config| &config.warmups);
        let warmup = |(pool, &warmup): (&String, &Warmup)| (pool.clone(), warmup.into());
        TablesWire {
            levels: levels.map(|route| route.level.into()).collect(),
            warmups: warmups.map(warmup).collect(),
            config: tables.config.map(Into::into),
            revision: tables.position.revision,
            names,
            changes,
            complete: tables.upstreams.is_complete,
            epoch: tables.position.epoch,
            heartbeats,
            evacuations: tables.evacuations.map(Into::into),
        }
    }
}

impl TryFrom<TablesWire> for Tables {
    type Error = Error;

    fn try_from(wire: TablesWire) -> Result<Tables> {
        let names = wire.names;
        let heartbeats = wire.heartbeats.into_iter().chain(iter::repeat(0));
        let changes = wire.changes.into_iter().zip(heartbeats);
        let changes = changes.map(|((id, revision, record), heartbeat)| {
            let record = record.map(|record| record.into_record(&names, id, heartbeat));
            Ok(Change {
                id,
                revision,
                record: record.transpose()?,
            })
        });
        let mut config: Option<Config> = wire.config.map(Into::into);
        if let Some(config) = &mut config {
            for (route, level) in config.routes.iter_mut().zip(wire.levels) {
                route.level = level.into();
            }
            let warmups = wire.warmups.into_iter();
            config.warmups = warmups.map(|(pool, wire)| (pool, wire.into())).collect();
        }
        Ok(Tables {
            config,
            position: Position {
                epoch: wire.epoch,
                revision: wire.revision,
            },
            upstreams: Update {
                changes: changes.collect::<Result<_>>()?,
                is_complete: wire.complete,
            },
            evacuations: wire.evacuations.map(Into::into),
        })
    }
}

impl From<Evacuations> for EvacuationsWire {
    fn from(evacuations: Evacuations) -> EvacuationsWire {
        let pair = |position: Position| (position.epoch, position.revision);
        let zone = |(name, entry): (&String, &Entry)| {
            let (epoch, revision) = pair(entry.position);
            let is_in_force = entry.status == Status::InForce;
            let invalid_at = entry.invalid_at.map(pair);
            let wire = ZoneWire(epoch, revision, is_in_force, invalid_at);
            (name.clone(), wire)
        };
        EvacuationsWire(
            pair(evacuations.known_up_to().unwrap_or_default()),
            pair(evacuations.changed_at().unwrap_or_default()),
            evacuations.entries().iter().map(zone).collect(),
        )
    }
}

impl From<EvacuationsWire> for Evacuations {
    fn from(EvacuationsWire(known_up_to, changed_at, zones): EvacuationsWire) -> Evacuations {
        let position = |(epoch, revision): (Epoch, Revision)| Position { epoch, revision };
        let entry = |(name, wire): (String, ZoneWire)| {
            let ZoneWire(epoch, revision, is_in_force, invalid_at) = wire;
            let status = if is_in_force {
                Status::InForce
            } else {
                Status::Ended
            };
            let entry = Entry {
                position: position((epoch, revision)),
                status,
                invalid_at: invalid_at.map(position),
            };
            (name, entry)
        };
        Evacuations::new(
            position(known_up_to),
            position(changed_at),
            zones.into_iter().map(entry).collect(),
        )
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
            level: Level::default(),
        };
        Config {
            version,
            routes: routes.into_iter().map(route).collect(),
            health_paths,
            warmups: BTreeMap::new(),
            idle_timeout: Duration::from_millis(idle_ms),
        }
    }
}

impl From<Level> for LevelWire {
    fn from(level: Level) -> LevelWire {
        let millis = |time: Option<Duration>| time.unwrap_or_default().as_millis() as u64;
        LevelWire(
            level.priority,
            millis(level.timeout),
            millis(level.target_latency),
        )
    }
}

impl From<LevelWire> for Level {
    fn from(LevelWire(priority, timeout_ms, target_ms): LevelWire) -> Level {
        let duration = |millis: u64| (millis > 0).then(|| Duration::from_millis(millis));
        Level {
            priority,
            timeout: duration(timeout_ms),
            target_latency: duration(target_ms),
        }
    }
}

impl From<Warmup> for WarmupWire {
    fn from(warmup: Warmup) -> WarmupWire {
        WarmupWire(warmup.duration.as_millis() as u64, warmup.rate)
    }
}

impl From<WarmupWire> for Warmup {
    fn from(WarmupWire(millis, rate): WarmupWire) -> Warmup {
        Warmup {
            duration: Duration::from_millis(millis),
            rate: if rate.is_finite() { rate.max(0.0) } else { 0.0 },
        }
    }
}

fn to_record_wire(names: &mut StringTable, record: Record) -> RecordWire {
    RecordWire(
        names.intern(record.pool),
        record.address,
        names.intern(record.zone),
        record.slots,
        record.state == State::Draining,
        record.warmup.as_millis() as u64,
        record.started_unix_ms,
    )
}

impl RecordWire {
    fn into_record(self, names: &StringTable, id: u64, heartbeat: u64) -> Result<Record> {
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
            heartbeat,
        })
    }
}

/// Decodes tables.
///
/// # Errors
///
/// Fails if the bytes are malformed.
pub fn from_slice(bytes: &[u8]) -> Result<Tables> {
    let wire: TablesWire =
        ciborium::from_reader(bytes).map_err(|_| Error::from(ErrorCode::Cbor))?;
    wire.try_into()
}

/// Encodes tables.
///
/// # Errors
///
/// Fails if the tables cannot be encoded.
pub fn to_vec(tables: Tables) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(&TablesWire::from(tables), &mut bytes)
        .map_err(|_| Error::from(ErrorCode::Encoding))?;
    Ok(bytes)
}
