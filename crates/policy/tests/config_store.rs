//! Merging of configuration objects into the store, whichever way and in whichever order they arrive.

use {
    skylarkflow_policy::{
        config::{Pool, Store, Upstream},
        config_object::Object,
        config_store::ADDRESS_HOLD,
        id,
    },
    std::{net::SocketAddr, time::Duration},
};

const START: Duration = Duration::from_secs(100);

fn pool(name: &str, generation: u64, upstreams: &[u8]) -> Object {
    let upstream = |&number: &u8| Upstream {
        name: format!("u{number}"),
        address: SocketAddr::from(([10, 1, 0, number], 5683)),
        zone: "a".to_owned(),
        weight: 1,
        drain: false,
    };
    Object::from_pool(Pool {
        name: name.to_owned(),
        generation,
        slots: 2,
        connections: 2_000,
        upstreams: upstreams.iter().map(upstream).collect(),
    })
}

/// Returns whether an upstream, given by its position in the pool, drains and gets no new flows.
fn is_draining(store: &mut Store, now: Duration, pool: &str, at: usize) -> bool {
    let snapshot = store.snapshot(now);
    snapshot.pools[&id::from_name(pool)].pool.upstreams[at].drain
}

/// Guards against requests of one service at an upstream that other balancers still use for another service, after its
/// address moves from one pool to another. The address drains in the new pool until all balancers have the change.
#[test]
fn moved_address_drains_until_the_hold_ends() {
    let mut store = Store::default();
    store.adopt(START, pool("p", 1, &[1, 2]));
    store.adopt(START, pool("q", 1, &[3]));
    store.adopt(START, pool("p", 2, &[1]));
    store.adopt(START, pool("q", 2, &[3, 2]));
    assert!(is_draining(&mut store, START, "q", 1));
    assert!(!is_draining(&mut store, START, "q", 0));
    assert_eq!(store.next_hold_end(START), Some(START + ADDRESS_HOLD));
    assert!(!is_draining(&mut store, START + ADDRESS_HOLD, "q", 1));
}

/// Guards against a deleted object that reappears when an old message arrives late, and against a tombstone that
/// prevents a new generation of the object.
#[test]
fn tombstone_overrides_only_older_generations() {
    let mut store = Store::default();
    assert!(store.adopt(START, pool("p", 1, &[1])));
    assert!(store.adopt(START, Object::deleted("pools/p", 2)));
    assert!(!store.adopt(START, pool("p", 1, &[1])));
    assert!(store.snapshot(START).pools.is_empty());
    assert!(store.adopt(START, pool("p", 3, &[1])));
    assert_eq!(store.snapshot(START).pools.len(), 1);
}

/// Guards against balancers that never converge after two different contents were written with the same generation.
#[test]
fn contents_of_one_generation_converge_in_any_order() {
    let (one, other) = (pool("p", 1, &[1]), pool("p", 1, &[2]));
    let mut stores = [Store::default(), Store::default()];
    stores[0].adopt(START, one.clone());
    stores[0].adopt(START, other.clone());
    stores[1].adopt(START, other);
    stores[1].adopt(START, one.clone());
    assert_eq!(stores[0].digests(), stores[1].digests());
    assert_eq!(stores[0].get(one.id()), stores[1].get(one.id()));
}
