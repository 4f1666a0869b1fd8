//! Tests of the encoding of tables between steering balancers.

use {
    serde::{Deserialize, Serialize},
    skylarkflow_peer::tables::{self, Tables},
    skylarkflow_steering::{
        directory::{Change, Update},
        evacuation::{Entry, Evacuations, Status},
        position::Position,
        table::{Config, Level, Route, Target, Warmup},
        upstream::{Record, State},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

fn change(id: u64) -> Change {
    let record = Record {
        id,
        pool: format!("pool-{}", id % 3),
        address: SocketAddr::from(([10, 1, (id >> 8) as u8, id as u8], 8080)),
        zone: format!("zone-{}", id % 5),
        slots: 2,
        state: if id.is_multiple_of(7) {
            State::Draining
        } else {
            State::Ready
        },
        warmup: Duration::from_millis(1_500),
        started_unix_ms: 1_790_000_000_000 + id,
        heartbeat: 100 + id,
    };
    Change {
        id,
        revision: 1_000 + id,
        record: (!id.is_multiple_of(11)).then_some(record),
    }
}

fn evacuations() -> Evacuations {
    let at = |revision| Position { epoch: 3, revision };
    let entry = |revision, status| Entry {
        position: at(revision),
        status,
        invalid_at: (revision > 41).then(|| at(revision + 1)),
    };
    let entries = BTreeMap::from([
        ("zone-1".to_owned(), entry(40, Status::InForce)),
        ("zone-2".to_owned(), entry(41, Status::Ended)),
        ("zone-3".to_owned(), entry(42, Status::InForce)),
    ]);
    Evacuations::new(at(50), at(42), entries)
}

fn tables(count: u64) -> Tables {
    let route = Route {
        name: "dispatch".to_owned(),
        address: SocketAddr::from(([198, 18, 0, 1], 443)),
        targets: vec![Target {
            pool: "pool-1".to_owned(),
            weight: 3,
        }],
        level: Level {
            priority: 2,
            timeout: Some(Duration::from_secs(1)),
            target_latency: None,
        },
    };
    let warmup = Warmup {
        duration: Duration::from_secs(2),
        rate: 7.5,
    };
    Tables {
        config: Some(Config {
            version: 9,
            routes: vec![route],
            health_paths: BTreeMap::from([("pool-1".to_owned(), "/health".to_owned())]),
            warmups: BTreeMap::from([("pool-1".to_owned(), warmup)]),
            idle_timeout: Duration::from_secs(15),
        }),
        position: Position {
            epoch: 3,
            revision: 5_000,
        },
        upstreams: Update {
            changes: (0..count).map(change).collect(),
            is_complete: count > 1,
        },
        evacuations: Some(evacuations()),
    }
}

/// Guards against entries whose fields are lost or swapped by the encoding.
#[test]
fn decoded_tables_equal_the_encoded_ones() {
    let sent = tables(100);
    let bytes = tables::to_vec(sent.clone()).expect("bytes");
    assert_eq!(tables::from_slice(&bytes).expect("tables"), sent);
}

/// Guards against a slow start of a balancer because of a long transfer: with at most 64 bytes per entry, 3,000 entries
/// arrive within 0.2 s over a link of 10 Mbit/s.
#[test]
fn an_entry_takes_at_most_64_bytes() {
    let bytes = tables::to_vec(tables(3_000)).expect("bytes");
    assert!(bytes.len() <= 3_000 * 64, "{} bytes", bytes.len());
}

/// Guards against a panic on truncated or corrupted bytes.
#[test]
fn truncated_or_corrupted_bytes_do_not_panic() {
    let bytes = tables::to_vec(tables(20)).expect("bytes");
    for length in 0..bytes.len() {
        assert!(tables::from_slice(&bytes[..length]).is_err());
    }
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 0x15;
        // The changed byte may still be a valid value.
        let _ = tables::from_slice(&changed);
    }
}

type EarlierConfig = (
    u64,
    u64,
    Vec<(String, SocketAddr, Vec<(String, u32)>)>,
    BTreeMap<String, String>,
);

type EarlierRecord = (usize, SocketAddr, usize, u32, bool, u64, u64);

/// Tables as balancers encode and decode them that do not know evacuations.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierTables {
    config: Option<EarlierConfig>,
    revision: u64,
    names: Vec<String>,
    changes: Vec<(u64, u64, Option<EarlierRecord>)>,
    complete: bool,
    epoch: u64,
    heartbeats: Vec<u64>,
    levels: Vec<(u32, u64, u64)>,
    warmups: BTreeMap<String, (u64, f64)>,
}

/// Guards against balancers that cannot read each other's tables while a release is rolled out.
#[test]
fn tables_are_readable_across_versions() {
    let bytes = tables::to_vec(tables(20)).expect("bytes");
    let earlier: EarlierTables = ciborium::from_reader(&bytes[..]).expect("earlier tables");
    assert_eq!(earlier.changes.len(), 20);
    let mut bytes = Vec::new();
    ciborium::into_writer(&earlier, &mut bytes).expect("bytes");
    let expected = Tables {
        evacuations: None,
        ..tables(20)
    };
    assert_eq!(tables::from_slice(&bytes).expect("tables"), expected);
    // Balancers that do not follow evacuations send the same message as before.
    assert_eq!(tables::to_vec(expected).expect("bytes"), bytes);
}
