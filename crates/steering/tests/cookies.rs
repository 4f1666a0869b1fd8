//! Every balancer assigns the same cookies to the same set of upstreams.

use {
    proptest::prelude::*,
    skylarkflow_steering::cookie::{self, Claim},
    std::collections::BTreeSet,
};

/// Finds two identifiers whose first cookies are equal; about 2^17 identifiers suffice for one such pair.
fn collision() -> (u64, u64) {
    let mut seen = std::collections::HashMap::new();
    for id in 0..1_u64 << 18 {
        if let Some(other) = seen.insert(cookie::derive(id, 0), id) {
            return (other, id);
        }
    }
    panic!("no collision among 2^18 identifiers");
}

/// Guards against packets of open flows that are forwarded to a wrong upstream, because one that started later hashes
/// to the same cookie and takes it over.
#[test]
fn the_upstream_that_started_first_keeps_a_shared_cookie() {
    let (a, b) = collision();
    let older = Claim {
        started_unix_ms: 1,
        id: b,
    };
    let newer = Claim {
        started_unix_ms: 2,
        id: a,
    };
    let alone = cookie::assign(&[older]);
    let both = cookie::assign(&[newer, older]);
    assert_eq!(both[&b], alone[&b]);
    assert_ne!(both[&a], both[&b]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against balancers that assign other cookies because they read the list in another order, against the
    /// cookie 0, and against two upstreams with the same cookie.
    #[test]
    fn cookies_are_unique_and_independent_of_the_order(
        ids in prop::collection::btree_map(any::<u64>(), 0_u64..4, 1..200),
    ) {
        let claims: Vec<Claim> = ids.iter().map(|(&id, &started_unix_ms)| Claim { started_unix_ms, id }).collect();
        let reversed: Vec<Claim> = claims.iter().rev().copied().collect();
        let assigned = cookie::assign(&claims);
        prop_assert_eq!(&assigned, &cookie::assign(&reversed));
        prop_assert_eq!(assigned.len(), claims.len());
        let distinct: BTreeSet<u32> = assigned.values().copied().collect();
        prop_assert_eq!(distinct.len(), claims.len());
        prop_assert!(!distinct.contains(&0));
    }
}

/// Guards against upstreams without a cookie in a deployment of 35,000, the size that is expected in two years.
#[test]
fn every_upstream_of_35000_has_a_cookie() {
    let claims: Vec<Claim> = (0..35_000)
        .map(|id| Claim {
            started_unix_ms: id % 7,
            id,
        })
        .collect();
    assert_eq!(cookie::assign(&claims).len(), claims.len());
}
