//! Tests of the encoding of tables between steering balancers.

use {
    skylarkflow_peer::tables::{self, Tables},
    skylarkflow_steering::{
        directory::{Change, Update},
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
