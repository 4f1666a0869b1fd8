//! Tests of the check with random bytes and mutated tables.

use {
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, any},
        test_runner::{RngAlgorithm, TestRng, TestRunner},
    },
    skylarkflow_store::{
        check,
        table::{Pools, Routes},
    },
};

const CASES: u32 = 2_000;
const SEED: [u8; 32] = *b"skylarkflow tables robust seed 1";

const ROUTES: &str = "routes:
  - {name: dispatch, address: '10.0.0.1:7001', pool: dispatch, deadline: 30s}
";

const POOLS: &str = "pools:
  - name: dispatch
    slots: 2
    connections: 2000
    upstreams:
      - &first {name: one, address: '10.0.1.1:5683', zone: tacoma, weight: 2, drain: true}
      - {<<: *first, name: two, address: '10.0.1.2:5683'}
";

/// Fragments of YAML syntax, which make a mutation more likely to reach the checks.
const YAML_FRAGMENTS: [&str; 16] = [
    "\n",
    "  ",
    "- ",
    ": ",
    "{",
    "}",
    "[",
    "]",
    "&a ",
    "*a",
    "<<: *a",
    "!!int ",
    "\u{feff}",
    "---\n",
    "99999999999999999999",
    "|\n",
];

fn runner() -> TestRunner {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn is_accepted(routes: &[u8], pools: &[u8]) -> bool {
    let routes = Routes::from_slice("routes.yaml", routes);
    let pools = Pools::from_slice("pools.yaml", pools);
    check::check(&routes, &pools).is_ok()
}

/// Replaces a part of a table at each of the given positions.
fn mutate(text: &str, edits: &[(usize, usize, usize, u8)]) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for &(at, length, fragment, byte) in edits {
        let at = at % (bytes.len() + 1);
        let end = (at + length).min(bytes.len());
        let new = YAML_FRAGMENTS
            .get(fragment)
            .map_or(vec![byte], |fragment| fragment.as_bytes().to_vec());
        bytes.splice(at..end, new);
    }
    bytes
}

/// Guards against mutation tests whose unmodified input is already rejected.
#[test]
fn the_unchanged_tables_are_accepted() {
    assert!(is_accepted(ROUTES.as_bytes(), POOLS.as_bytes()));
}

/// Guards against a panic on a file that is not a table at all.
#[test]
fn random_bytes_do_not_panic() {
    let bytes = (vec(any::<u8>(), 0..400), vec(any::<u8>(), 0..400));
    let result = runner().run(&bytes, |(routes, pools)| {
        is_accepted(&routes, &pools);
        Ok(())
    });
    result.expect("no panic");
}

/// Guards against a panic or an endless loop on a table with mistakes of an operator.
#[test]
fn mutated_tables_do_not_panic() {
    let edit = || (any::<usize>(), 0..12_usize, 0..24_usize, any::<u8>());
    let edits = (vec(edit(), 1..4), vec(edit(), 1..4));
    let result = runner().run(&edits, |(routes, pools)| {
        is_accepted(&mutate(ROUTES, &routes), &mutate(POOLS, &pools));
        Ok(())
    });
    result.expect("no panic");
}

/// Guards against a stack overflow on a deeply nested file, and against aliases that expand exponentially.
#[test]
fn nesting_and_aliases_are_limited() {
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    assert!(!is_accepted(deep.as_bytes(), POOLS.as_bytes()));
    let mut bomb = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for level in 1..12 {
        let below = format!("*a{}", level - 1);
        let list = vec![below; 10].join(", ");
        bomb += &format!("a{level}: &a{level} [{list}]\n");
    }
    assert!(!is_accepted(bomb.as_bytes(), POOLS.as_bytes()));
}
