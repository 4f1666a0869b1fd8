//! Properties of the lookup tables and of the ranking of zones.

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
        let id = table.get(slot).expect("the table is not empty");
        let position = table
            .ids()
            .binary_search(&id)
            .expect("the identifier is an input");
        shares[position] += 1;
    }
    shares
}

/// Guards against two balancers that build different tables because they learned of the members in different orders.
#[test]
fn table_is_independent_of_the_input_order() {
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
fn slots_are_distributed_evenly() {
    let table = Table::new(&inputs(880), OWNER_SLOTS);
    let shares = shares(&table, OWNER_SLOTS as u64);
    let mean = OWNER_SLOTS as f64 / 880.0;
    let largest = *shares.iter().max().expect("shares") as f64;
    assert!(largest / mean < 1.02, "{largest} of {mean}");
}

/// Guards against a weight that does not change the share of the flows.
#[test]
fn shares_are_proportional_to_weights() {
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

/// Guards against a removal that moves too many flows of the remaining members. In total, fewer slots than twice the
/// share of the removed member may move.
#[test]
fn removal_moves_few_slots() {
    let all = inputs(9);
    let before = Table::new(&all, OWNER_SLOTS);
    let after = Table::new(&all[1..], OWNER_SLOTS);
    let moved = before.differing_slots(&after) as f64 / OWNER_SLOTS as f64;
    assert!(moved < 2.0 / 9.0, "{moved}");
}

/// Guards against a panic on an empty table and on a table whose inputs have weight 0.
#[test]
fn lookup_in_an_empty_table_returns_none() {
    assert_eq!(Table::new(&[], OWNER_SLOTS).get(7), None);
    assert_eq!(
        Table::new(&[Input { id: 1, weight: 0 }], OWNER_SLOTS).get(7),
        None
    );
}

/// Guards against a change of the hash between versions, which would move every flow during a rolling update.
#[test]
fn flow_hash_is_stable() {
    let key = Key {
        caller: "192.0.2.7:40001".parse().expect("an address"),
        service: "198.51.100.1:5683".parse().expect("an address"),
    };
    assert_eq!(key.hash(), 0xd527_1d40_aade_c936);
}

/// Guards against the removal of a zone that changes the home zone of flows of the other zones.
#[test]
fn removed_zone_moves_only_its_own_flows() {
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
