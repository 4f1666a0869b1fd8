//! Builders of upstreams, tables and packets for tests.

#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod cold_fleet;
pub mod evacuation_fleet;
pub mod fleet;
pub mod virtual_store;

use {
    skylarkflow_policy::flow::Key,
    skylarkflow_steering::{
        balancer::{Balancer, Settings, Verdict},
        directory::{self, Directory, View},
        position::{Position, Revision},
        segment::{Kind, Segment},
        table::{Config, Level, Route, Routes, Table, Target},
        upstream::{Record, State, Upstream, UpstreamId},
    },
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        ops::Range,
        sync::Arc,
        time::Duration,
    },
};

/// Address of the service that the tables of these tests have a route for.
pub const SERVICE: ([u8; 4], u16) = ([198, 18, 0, 1], 443);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the position of a revision in the first epoch of the store.
pub fn at(revision: Revision) -> Position {
    Position { epoch: 1, revision }
}

pub fn service() -> SocketAddr {
    SocketAddr::from(SERVICE)
}

pub fn record(id: UpstreamId, zone: &str) -> Record {
    Record {
        id,
        pool: "dispatch".to_owned(),
        address: SocketAddr::from((Ipv4Addr::new(10, 1, 0, id as u8), 8080)),
        zone: zone.to_owned(),
        slots: 2,
        state: State::Ready,
        warmup: Duration::ZERO,
        started_unix_ms: 1,
        heartbeat: 1,
    }
}

pub fn directory(records: &[Record]) -> Directory {
    let mut directory = Directory::new(directory::Settings::default());
    let records = records.iter().map(|record| (1, record.clone())).collect();
    directory.replace(Duration::ZERO, at(1), records);
    directory
}

pub fn config(version: u64, addresses: &[SocketAddr]) -> Config {
    let route = |&address: &SocketAddr| Route {
        name: address.to_string(),
        address,
        targets: vec![Target {
            pool: "dispatch".to_owned(),
            weight: 1,
        }],
        level: Level::default(),
    };
    Config {
        version,
        routes: addresses.iter().map(route).collect(),
        health_paths: BTreeMap::new(),
        warmups: BTreeMap::new(),
        idle_timeout: Duration::from_secs(15),
    }
}

/// Returns a configuration that lists pools besides that of its route.
pub fn config_with_pools(version: u64, pools: &[&str]) -> Config {
    let health_path = |pool: &&str| ((*pool).to_owned(), "/health".to_owned());
    Config {
        health_paths: pools.iter().map(health_path).collect(),
        ..config(version, &[service()])
    }
}

pub fn table(directory: &Directory) -> Table {
    let mut routes = Routes::default();
    routes.adopt(config(1, &[service()]));
    routes
        .table(Duration::ZERO, directory)
        .expect("a configuration was adopted")
}

/// Returns the view of a directory while the configuration names the pool of [`record`].
pub fn view(directory: &Directory, now: Duration) -> View {
    directory.view(now, &config(1, &[service()]).pool_names())
}

pub fn balancer(zone: &str) -> Balancer {
    let settings = Settings {
        zone: zone.to_owned(),
        ..Settings::default()
    };
    Balancer::new(settings, 7)
}

/// Interval at which the thread that forwards packets calls a balancer without packets.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Calls an idle balancer for some time, as the thread that forwards packets does.
pub fn run(balancer: &mut Balancer, table: &Table, times: Range<Duration>) {
    let mut now = times.start;
    while now < times.end {
        balancer.check_openings(now, Some(table));
        now += CALL_INTERVAL;
    }
}

pub fn key(port: u16) -> Key {
    Key {
        caller: SocketAddr::from(([100, 64, 0, 7], port)),
        service: service(),
    }
}

pub fn open(port: u16, retransmission: u32) -> Segment {
    Segment {
        flow: key(port),
        kind: Kind::Open { retransmission },
        cookie: 0,
        sequence: 1_000,
        acknowledged: retransmission,
        length: 0,
    }
}

pub fn data(port: u16, cookie: u32, sequence: u32, acknowledged: u32) -> Segment {
    Segment {
        flow: key(port),
        kind: Kind::Established { is_last: false },
        cookie,
        sequence,
        acknowledged,
        length: 200,
    }
}

/// Returns the upstream to which a packet is forwarded; panics if it is not.
pub fn target(verdict: Verdict) -> Arc<Upstream> {
    match verdict {
        Verdict::Forward { upstream, .. } => upstream,
        other => panic!("the packet is not forwarded: {other:?}"),
    }
}
