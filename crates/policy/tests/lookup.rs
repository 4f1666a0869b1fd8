//! Properties of the lookup tables and of the zone rank.

use skylarkflow_policy::{
    flow::Key,
    lookup::{self, Input, OWNER_SLOTS, Table},
    zone::Candidate,
};

fn inputs(count: u64) -> Vec<Input> {
    (0..count)
        .map(|index| Input {
            id: index.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            weight: 1,
        })
        .collect()
}

fn shares(table: &Table, samples: u64) -> Vec<usize> {
    let mut shares = vec![0; table.ids().len()];
    for slot in 0..samples {
        let id = table.get(slot).expect("a table with inputs");
        let position = table.ids().binary_search(&id).expect("a known identifier");
        shares[position] += 1;
    }
    shares
}

/// Guards against two balancers that learn of the members in another order and then build different tables.
#[test]
fn order_of_the_inputs_does_not_matter() {
    let forward = inputs(9);
    let mut backward = forward.clone();
    backward.reverse();
    assert_eq!(
        Table::new(&forward, OWNER_SLOTS),
        Table::new(&backward, OWNER_SLOTS)
    );
}

/// Guards against an owner table that gives one balancer more than 2 % above its share.
#[test]
fn slots_are_shared_evenly() {
    let table = Table::new(&inputs(880), OWNER_SLOTS);
    let shares = shares(&table, OWNER_SLOTS as u64);
    let mean = OWNER_SLOTS as f64 / 880.0;
    let largest = *shares.iter().max().expect("shares") as f64;
    assert!(largest / mean < 1.02, "{largest} of {mean}");
}

/// Guards against a weight that does not show in the share of the flows.
#[test]
fn weights_set_the_shares() {
    let mut weighted = inputs(4);
    weighted[2].weight = 3;
    let table = Table::new(&weighted, lookup::pool_slots(4));
    let heavy = weighted[2].id;
    let slots = lookup::pool_slots(4) as u64;
    let share = (0..slots)
        .filter(|&slot| table.get(slot) == Some(heavy))
        .count() as f64
        / slots as f64;
    assert!((share - 0.5).abs() < 0.02, "{share}");
}

/// Guards against a removal that moves flows of the members that remain: at most twice the share of the removed one.
#[test]
fn a_removal_moves_few_slots() {
    let all = inputs(9);
    let before = Table::new(&all, OWNER_SLOTS);
    let after = Table::new(&all[1..], OWNER_SLOTS);
    let moved = before.differing_slots(&after) as f64 / OWNER_SLOTS as f64;
    assert!(moved < 2.0 / 9.0, "{moved}");
}

/// Guards against a panic on an empty table and on inputs without weight.
#[test]
fn a_table_without_inputs_serves_nobody() {
    assert_eq!(Table::new(&[], OWNER_SLOTS).get(7), None);
    assert_eq!(
        Table::new(&[Input { id: 1, weight: 0 }], OWNER_SLOTS).get(7),
        None
    );
}

/// Guards against a change of the hash between versions, which would move every flow in a rolling replacement.
#[test]
fn the_flow_hash_is_stable() {
    let key = Key {
        caller: "192.0.2.7:40001".parse().expect("an address"),
        service: "198.51.100.1:5683".parse().expect("an address"),
    };
    assert_eq!(key.hash(), 0xd527_1d40_aade_c936);
}

/// Guards against a removed zone that changes the home zone of flows that were not at home there.
#[test]
fn a_removed_zone_moves_its_own_flows_only() {
    let home = |zones: &[&'static str], flow| {
        let best = zones
            .iter()
            .max_by_key(|zone| Candidate::new(zone).rank(flow));
        best.copied()
    };
    for flow in 0..1_000 {
        let before = home(&["tacoma", "salem", "spokane"], flow);
        let after = home(&["tacoma", "salem"], flow);
        assert!(before == after || before == Some("spokane"));
    }
}
