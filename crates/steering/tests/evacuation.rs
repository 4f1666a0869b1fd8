//! State of evacuations: guards against one that ends or begins because of an old list, a list of a copy, a restore of the
//! store, an odd entry or the order of messages between balancers, and against balancers that never agree.

mod support;

use {
    proptest::prelude::*,
    skylarkflow_steering::{
        evacuation::{
            self, Content, Entry, Evacuations, MAX_NAME_BYTES, MAX_ZONES, Observation, Status,
            Transition, Zones,
        },
        position::{Position, Revision},
    },
    std::collections::BTreeMap,
    support::{at, virtual_store::Store},
};

fn restored(revision: Revision) -> Position {
    Position { epoch: 2, revision }
}

fn observation(zone: &str, revision: Revision, content: Content) -> Observation {
    Observation {
        zone: zone.to_owned(),
        revision,
        content,
    }
}

fn evacuated(zone: &str, revision: Revision) -> Observation {
    observation(zone, revision, Content::Evacuated)
}

fn listed(position: Position, entries: &[Observation]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.apply_list(position, true, entries);
    evacuations
}

fn names(evacuations: &Evacuations) -> Vec<String> {
    evacuations.zones().into_keys().collect()
}

#[test]
fn a_list_of_the_current_store_ends_what_it_lacks() {
    let mut evacuations = listed(at(10), &[evacuated("a", 5), evacuated("b", 6)]);
    evacuations.apply_list(at(20), true, &[evacuated("b", 6)]);
    assert_eq!(names(&evacuations), ["b"]);
    assert_eq!(evacuations.changed_at(), Some(at(20)));
}

#[test]
fn a_list_of_a_copy_or_of_an_earlier_revision_or_of_a_later_epoch_ends_nothing() {
    for (position, is_current) in [(at(20), false), (at(4), true), (restored(20), true)] {
        let mut evacuations = listed(at(3), &[]);
        evacuations.apply_changes(at(10), &[evacuated("a", 5)]);
        evacuations.apply_list(position, is_current, &[]);
        assert_eq!(names(&evacuations), ["a"], "{position:?}");
        assert_eq!(evacuations.changed_at(), Some(at(5)), "{position:?}");
    }
}

#[test]
fn a_restored_store_that_lacks_an_entry_leaves_it_unconfirmed_until_it_is_written_and_removed() {
    let mut evacuations = listed(at(10), &[evacuated("a", 5)]);
    evacuations.apply_list(restored(4), true, &[]);
    assert_eq!(evacuations.zones(), Zones::from([("a".to_owned(), false)]));
    evacuations.apply_list(restored(9), true, &[]);
    assert_eq!(evacuations.zones(), Zones::from([("a".to_owned(), false)]));
    evacuations.apply_changes(restored(12), &[evacuated("a", 11)]);
    assert_eq!(evacuations.zones(), Zones::from([("a".to_owned(), true)]));
    evacuations.apply_changes(restored(14), &[observation("a", 11, Content::Removed)]);
    assert_eq!(evacuations.zones(), Zones::new());
}

/// Guards against balancers that have ended an evacuation and take it back from one that was cut off before the restore.
#[test]
fn an_evacuation_that_ended_before_a_restore_does_not_return_with_a_peer_that_is_behind() {
    let behind = listed(at(10), &[evacuated("a", 5)]);
    let mut evacuations = behind.clone();
    evacuations.apply_changes(at(12), &[observation("a", 5, Content::Removed)]);
    evacuations.apply_list(restored(4), true, &[]);
    evacuations.merge(&behind);
    assert_eq!(evacuations.zones(), Zones::new());
    let mut behind = behind;
    behind.merge(&evacuations);
    assert_eq!(behind.zones(), Zones::new());
}

/// Guards against a balancer that has just started, in whose list an ended evacuation is absent, and that takes it back
/// from a peer that is behind; the peer has to learn of the end as well.
#[test]
fn a_removal_that_only_a_list_shows_wins_over_a_peer_that_is_behind() {
    let mut behind = listed(at(10), &[evacuated("a", 5)]);
    let mut started = listed(at(20), &[]);
    assert_eq!(started.changed_at(), Some(Position::default()));
    started.merge(&behind);
    assert_eq!(started.zones(), Zones::new());
    assert!(started.changed_at() > behind.changed_at());
    behind.merge(&started);
    assert_eq!(behind.zones(), Zones::new());
}

/// Guards against a state of which nothing is known that counts as one without evacuations.
#[test]
fn an_unknown_state_ends_nothing_and_is_older_than_an_empty_one() {
    let mut evacuations = listed(at(10), &[evacuated("a", 5)]);
    evacuations.merge(&Evacuations::default());
    assert_eq!(names(&evacuations), ["a"]);
    assert!(Evacuations::default().changed_at() < listed(at(1), &[]).changed_at());
}

/// Guards against a removal whose revision is taken for that of the response, which hides a later entry in it.
#[test]
fn an_entry_that_is_removed_and_written_again_in_one_response_is_in_force() {
    let mut evacuations = listed(at(10), &[evacuated("a", 5)]);
    let changes = [
        observation("a", 5, Content::Removed),
        evacuated("a", 12),
        evacuated("b", 13),
        observation("b", 13, Content::Removed),
    ];
    evacuations.apply_changes(at(14), &changes);
    assert_eq!(names(&evacuations), ["a"]);
}

#[test]
fn an_odd_entry_neither_begins_nor_ends_an_evacuation() {
    let odd = |zone, revision| observation(zone, revision, Content::Unreadable);
    let mut evacuations = listed(at(10), &[evacuated("a", 5), odd("b", 6)]);
    let changed_at = evacuations.changed_at();
    evacuations.apply_changes(at(12), &[odd("a", 11)]);
    evacuations.apply_list(at(15), true, &[odd("a", 11), odd("b", 6)]);
    assert_eq!(names(&evacuations), ["a"]);
    // A balancer that starts knows the odd entry only, so its state does not show that the evacuation has ended.
    let mut started = listed(at(20), &[odd("a", 11)]);
    evacuations.merge(&started);
    started.merge(&evacuations);
    assert_eq!(
        (names(&evacuations), names(&started)),
        (vec!["a".to_owned()], vec!["a".to_owned()])
    );
    assert_eq!(evacuations.changed_at(), changed_at);
    evacuations.apply_changes(at(22), &[observation("a", 11, Content::Removed)]);
    started.merge(&evacuations);
    assert_eq!(started.zones(), Zones::new());
}

/// Guards against memory and messages that grow with the entries of another writer, and against evacuations in force that
/// such entries end.
#[test]
fn entries_beyond_the_limit_are_ignored_and_end_nothing() {
    let many = |count: usize| -> Vec<Observation> {
        (0..count)
            .map(|index| evacuated(&format!("x{index:04}"), 100 + index as u64))
            .collect()
    };
    let mut evacuations = listed(at(10), &[evacuated("zone", 5)]);
    let ignored = evacuations.apply_changes(at(2_000), &many(1_000));
    assert_eq!(ignored.len(), 1_001 - MAX_ZONES);
    assert_eq!(names(&evacuations).len(), MAX_ZONES);
    assert!(evacuations.zones().contains_key("zone"));
    // Another balancer may have kept other zones, so its full state proves nothing about those that it lacks.
    let other = listed(at(2_000), &many(1_000));
    evacuations.merge(&other);
    assert!(evacuations.zones().contains_key("zone"));
    let long = "z".repeat(MAX_NAME_BYTES + 1);
    assert_eq!(
        names(&listed(at(10), &[evacuated(&long, 5), evacuated("", 6)])),
        Vec::<String>::new()
    );
    let entry = Entry {
        position: at(5),
        status: Status::InForce,
        invalid_at: None,
    };
    let received = Evacuations::new(at(10), at(5), BTreeMap::from([(long, entry)]));
    assert_eq!(received.zones(), Zones::new());
}

/// Guards against a balancer that had no room for an entry, then knows fewer evacuations and ends that of the entry at others.
#[test]
fn a_state_that_left_out_an_entry_does_not_end_it_at_others() {
    let entries: Vec<Observation> = (0..=MAX_ZONES)
        .map(|index| evacuated(&format!("x{index:04}"), 100 + index as u64))
        .collect();
    let mut full = listed(at(1_000), &entries);
    full.apply_changes(at(1_010), &[observation("x0000", 100, Content::Removed)]);
    let mut started = listed(at(1_005), &entries[1..]);
    started.merge(&full);
    let last = format!("x{MAX_ZONES:04}");
    assert!(started.zones().contains_key(&last));
    full.merge(&started);
    assert!(full.zones().contains_key(&last));
}

#[test]
fn operators_are_told_of_each_difference() {
    let zones = |zones: &[(&str, bool)]| -> Zones {
        zones
            .iter()
            .map(|&(zone, is_confirmed)| (zone.to_owned(), is_confirmed))
            .collect()
    };
    let before = zones(&[("a", true), ("b", true), ("c", false), ("d", true)]);
    let after = zones(&[
        ("b", false),
        ("c", true),
        ("d", true),
        ("e", true),
        ("f", false),
    ]);
    let transitions = evacuation::transitions(&before, &after);
    let transitions: Vec<(&str, Transition)> = transitions
        .iter()
        .map(|(zone, transition)| (&**zone, *transition))
        .collect();
    assert_eq!(
        transitions,
        [
            ("a", Transition::Ended),
            ("b", Transition::Unconfirmed),
            ("c", Transition::Confirmed),
            ("e", Transition::Started),
            ("f", Transition::Started),
            ("f", Transition::Unconfirmed),
        ]
    );
}

#[derive(Clone, Debug)]
enum Step {
    Evacuate(usize),
    Odd(usize),
    Remove(usize),
    Others,
    /// Keeps a copy of the store.
    Copy,
    /// Restores the copy.
    Restore,
    /// A balancer lists the current store.
    List(usize),
    /// A balancer reads the changes since its last call.
    Watch(usize),
    /// A balancer takes the state of another one.
    Merge(usize, usize),
    /// A balancer forgets everything.
    Restart(usize),
}

const BALANCERS: usize = 4;
const ZONES: [&str; 3] = ["a", "b", "c"];

fn steps(has_restores: bool) -> impl Strategy<Value = Vec<Step>> {
    let zone = 0..ZONES.len();
    let balancer = || 0..BALANCERS;
    let others = prop_oneof![
        4 => zone.clone().prop_map(Step::Evacuate),
        1 => zone.clone().prop_map(Step::Odd),
        4 => zone.prop_map(Step::Remove),
        2 => Just(Step::Others),
        6 => balancer().prop_map(Step::List),
        10 => balancer().prop_map(Step::Watch),
        10 => (balancer(), balancer()).prop_map(|(to, from)| Step::Merge(to, from)),
        1 => balancer().prop_map(Step::Restart),
        1 => Just(Step::Copy),
        u32::from(has_restores) => Just(Step::Restore),
    ];
    prop::collection::vec(others, 0..120)
}

/// A balancer with the position up to which it has read changes itself.
#[derive(Clone, Default)]
struct Node {
    evacuations: Evacuations,
    read_up_to: Option<Position>,
}

impl Node {
    fn list(&mut self, store: &Store) {
        let (position, listed) = store.list(true);
        self.evacuations.apply_list(position, true, &listed);
        self.read_up_to = Some(position);
    }

    fn watch(&mut self, store: &Store) {
        let after = self.read_up_to.filter(|after| after.epoch == store.epoch);
        let changes = after.and_then(|after| store.changes(after.revision, true));
        if let Some((position, changes)) = changes {
            self.evacuations.apply_changes(position, &changes);
            self.read_up_to = Some(position);
        }
    }
}

/// Checks that a balancer evacuates each zone whose entry is not newer than the changes that it knows.
fn assert_entries_are_in_force(store: &Store, node: &Node) {
    let known_up_to = node.evacuations.known_up_to();
    let known_up_to = known_up_to.filter(|known| known.epoch == store.epoch);
    let zones = node.evacuations.zones();
    for (zone, entry) in &store.current.entries {
        let is_known = known_up_to.is_some_and(|known| entry.revision <= known.revision);
        if entry.content == Content::Evacuated && is_known {
            assert_eq!(zones.get(zone), Some(&true), "{zone}");
        }
    }
}

/// Plays steps; returns the store and the state of all balancers after one of them has listed the store and all have
/// heard from each other.
fn play(steps: &[Step]) -> (Store, Vec<Zones>) {
    let mut store = Store::default();
    let mut copy = store.current.clone();
    let mut nodes = vec![Node::default(); BALANCERS];
    for step in steps {
        match *step {
            Step::Evacuate(zone) => store.evacuate(ZONES[zone]),
            Step::Odd(zone) => store.write_odd(ZONES[zone]),
            Step::Remove(zone) => store.remove(ZONES[zone]),
            Step::Others => store.write_others(1),
            Step::Copy => copy = store.current.clone(),
            Step::Restore => store.restore(copy.clone()),
            Step::List(node) => nodes[node].list(&store),
            Step::Watch(node) => nodes[node].watch(&store),
            Step::Merge(to, from) => {
                let from = nodes[from].evacuations.clone();
                let before = nodes[to].evacuations.changed_at();
                nodes[to].evacuations.merge(&from);
                let after = nodes[to].evacuations.changed_at();
                // Otherwise a balancer would fetch the tables of a peer that is ahead for ever.
                assert!(after >= before && after >= from.changed_at());
            }
            Step::Restart(node) => nodes[node] = Node::default(),
        }
        nodes
            .iter()
            .for_each(|node| assert_entries_are_in_force(&store, node));
    }
    nodes[0].list(&store);
    for _ in 0..2 {
        for to in 0..BALANCERS {
            for from in 0..BALANCERS {
                let from = nodes[from].evacuations.clone();
                nodes[to].evacuations.merge(&from);
            }
        }
    }
    let zones = nodes.iter().map(|node| node.evacuations.zones()).collect();
    (store, zones)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn without_a_restore_all_balancers_end_with_the_entries_of_the_store(steps in steps(false)) {
        let (store, zones) = play(&steps);
        for name in ZONES {
            for zones in &zones {
                if store.has(name, Content::Evacuated) {
                    prop_assert_eq!(zones.get(name), Some(&true));
                } else if !store.has(name, Content::Unreadable) {
                    prop_assert_eq!(zones.get(name), None);
                }
            }
        }
        prop_assert!(zones.iter().all(|other| *other == zones[0]));
    }

    #[test]
    fn after_restores_all_balancers_agree_and_only_entries_of_the_store_are_confirmed(steps in steps(true)) {
        let (store, zones) = play(&steps);
        for name in ZONES {
            let has_entry = store.current.entries.contains_key(name);
            let is_odd = |step: &Step| matches!(step, Step::Odd(zone) if ZONES[*zone] == name);
            let was_odd = steps.iter().any(is_odd);
            for zones in &zones {
                if store.has(name, Content::Evacuated) {
                    prop_assert_eq!(zones.get(name), Some(&true));
                } else if !has_entry && !was_odd {
                    prop_assert_ne!(zones.get(name), Some(&true));
                }
            }
        }
        prop_assert!(zones.iter().all(|other| *other == zones[0]));
    }
}
