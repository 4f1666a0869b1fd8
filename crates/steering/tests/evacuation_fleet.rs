//! Evacuations in a fleet: guards against balancers that learn of one too late or never, that end one because of an old
//! copy, a peer that is behind, a partition or a restore of the store, and that are ready before they know it.

mod support;

use {
    skylarkflow_steering::{
        evacuation::Zones,
        gossip::{Action, Freshness, Gossip, Report, Settings},
        list_watch,
        position::Position,
    },
    std::time::Duration,
    support::{at, evacuation_fleet::Fleet, fleet::peer_info, ms, virtual_store::Store},
};

/// Time in which an evacuation has to be in force on every connected balancer.
const BOUND: Duration = Duration::from_secs(5);

const ZONE: &str = "z1";

fn zones(zones: &[(&str, bool)]) -> Zones {
    let zones = zones.iter();
    zones
        .map(|&(zone, is_confirmed)| (zone.to_owned(), is_confirmed))
        .collect()
}

/// Sizes of fleets with their zones.
const FLEETS: [(usize, usize); 4] = [(1, 1), (8, 3), (60, 4), (300, 5)];

/// Returns cases in which upstreams write to the store all the time, so that tables are fetched anyway, and in which only
/// the evacuations change.
fn cases() -> impl Iterator<Item = (usize, usize, u64)> {
    let fleets = FLEETS.into_iter();
    fleets.flat_map(|(count, zones)| [(count, zones, 5), (count, zones, 0)])
}

#[test]
fn an_evacuation_is_in_force_on_every_balancer_within_the_bound() {
    for (count, zone_count, other_writes) in cases() {
        let mut fleet = Fleet::settled(count, zone_count);
        fleet.other_writes = other_writes;
        fleet.store.evacuate(ZONE);
        let started_at = fleet.now;
        while fleet.count_placing_in(ZONE) > 0 {
            fleet.run(ms(100));
            assert!(fleet.now <= started_at + BOUND, "{count} balancers");
        }
        println!(
            "{count} balancers, {other_writes} other writes: in force after {:?}",
            fleet.now - started_at
        );
        fleet.store.remove(ZONE);
        fleet.run(BOUND);
        assert_eq!(fleet.zones(), zones(&[]), "{count} balancers");
    }
}

/// Guards against a zone that waits for its own reader: the watches of the zone hang while another zone knows the change.
#[test]
fn balancers_without_the_store_learn_of_an_evacuation_from_peers() {
    let mut fleet = Fleet::settled(60, 4);
    for node in fleet.nodes.values_mut().skip(1) {
        node.reaches_store = false;
    }
    fleet.store.evacuate(ZONE);
    fleet.run(BOUND);
    assert_eq!(fleet.zones(), zones(&[(ZONE, true)]));
}

/// Guards against followers that rely on readers and watchers of an earlier version, which do not read evacuations.
#[test]
fn balancers_whose_zone_is_read_by_earlier_versions_follow_evacuations() {
    for (count, zone_count, older) in [(8, 1, 5), (60, 4, 30), (60, 4, 58), (300, 5, 150)] {
        let mut fleet = Fleet::start(count, zone_count, Store::default(), false);
        fleet.run(ms(12_000));
        fleet.follows_evacuations = true;
        (older..count).for_each(|index| fleet.restart(index));
        fleet.run(ms(12_000));
        fleet.store.evacuate(ZONE);
        fleet.run(BOUND);
        assert_eq!(fleet.count_placing_in(ZONE), older, "{count} balancers");
    }
}

/// Guards against a balancer that waits longer than the bound for its first watch after the tables of a peer, while all
/// peers end.
#[test]
fn a_balancer_whose_peers_end_after_its_start_learns_of_an_evacuation_in_time() {
    let mut fleet = Fleet::settled(8, 1);
    fleet.restart(3);
    while fleet.node(3).evacuations.known_up_to().is_none() {
        fleet.run(ms(100));
    }
    // It is one of the watchers of its zone, which do not wait for the zone to lack a reader.
    let peers = (0..8).filter(|index| *index != 3);
    peers.for_each(|index| fleet.node(index).is_up = false);
    fleet.store.evacuate(ZONE);
    // The fleet has no network, so that the call and the transfer of the tables need some of the bound.
    fleet.run(BOUND - ms(300));
    assert_eq!(fleet.count_placing_in(ZONE), 0);
}

/// Guards against peers of the own zone that are ahead with upstreams all the time, but do not know the evacuation.
#[test]
fn tables_are_fetched_from_a_peer_that_knows_newer_evacuations() {
    let settings = Settings {
        follows_evacuations: true,
        ..Settings::default()
    };
    let mut gossip = Gossip::new(settings, peer_info(0, 2), 1);
    let state = |revision, evacuations| Freshness {
        version: 1,
        position: at(revision),
        evacuations: Some(at(evacuations)),
    };
    gossip.set_freshness(state(10, 5));
    let near = peer_info(2, 2);
    let far = peer_info(1, 2);
    for (from, freshness) in [(near, state(30, 5)), (far.clone(), state(20, 18))] {
        let report = Report {
            from,
            freshness,
            readers: Vec::new(),
            ended: Vec::new(),
            slow: Vec::new(),
        };
        gossip.handle_report(ms(10), report);
    }
    gossip.tick(ms(20));
    gossip.tick(ms(1_000));
    let fetched: Vec<_> = gossip
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::FetchTables { address, .. } => Some(address),
            _ => None,
        })
        .collect();
    assert_eq!(fetched, [far.address]);
}

/// Guards against watches of a lagging copy that end an evacuation, or hide it from balancers which the current store has
/// told through their peers.
#[test]
fn a_lagging_copy_does_not_undo_an_evacuation() {
    let mut fleet = Fleet::settled(60, 4);
    fleet.store.lagging = Some(fleet.store.current.clone());
    fleet.store.evacuate(ZONE);
    fleet.run(BOUND);
    for _ in 0..200 {
        fleet.run(ms(100));
        assert_eq!(fleet.count_placing_in(ZONE), 0);
    }
}

#[test]
fn an_outage_of_the_store_changes_nothing() {
    let mut fleet = Fleet::settled(60, 4);
    fleet.store.evacuate(ZONE);
    fleet.run(BOUND);
    fleet.store.is_up = false;
    for _ in 0..300 {
        fleet.run(ms(100));
        assert_eq!(fleet.count_placing_in(ZONE), 0);
    }
    fleet.restart(7);
    fleet.run(BOUND);
    assert_eq!(fleet.zones(), zones(&[(ZONE, true)]));
    assert!(fleet.node(7).ready_after.is_some());
    fleet.store.is_up = true;
    fleet.store.compact();
    fleet.run(BOUND);
    assert_eq!(fleet.zones(), zones(&[(ZONE, true)]));
}

/// Guards against a side of a partition that brings back an evacuation which has ended on the other one, or ends one that
/// has begun there.
#[test]
fn after_a_partition_the_newer_state_holds_on_both_sides() {
    for restarts in [false, true] {
        let mut fleet = Fleet::settled(60, 4);
        fleet.store.evacuate("z2");
        fleet.run(BOUND);
        for (index, node) in fleet.nodes.values_mut().enumerate() {
            // The last zone is cut off from the store and the other zones.
            node.side = usize::from(index % 4 == 3);
            node.reaches_store = node.side == 0;
        }
        fleet.store.remove("z2");
        fleet.store.evacuate(ZONE);
        fleet.run(Duration::from_secs(20));
        assert!(fleet.node(3).evacuations.zones().contains_key("z2"));
        if restarts {
            // No balancer remembers that the evacuation has ended; only their lists show it.
            for index in (0..60).filter(|index| index % 4 != 3) {
                fleet.restart(index);
            }
            fleet.run(BOUND);
        }
        for node in fleet.nodes.values_mut() {
            node.side = 0;
            node.reaches_store = true;
        }
        fleet.run(BOUND);
        assert_eq!(
            fleet.zones(),
            zones(&[(ZONE, true)]),
            "restarts: {restarts}"
        );
    }
}

/// Guards against an evacuation that stays in force because a watch missed its removal in dropped history.
#[test]
fn a_removal_in_dropped_history_is_found_by_a_list() {
    let mut fleet = Fleet::settled(60, 4);
    fleet.store.evacuate(ZONE);
    fleet.run(BOUND);
    for node in fleet.nodes.values_mut() {
        node.reaches_store = false;
    }
    fleet.store.remove(ZONE);
    fleet.store.compact();
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.zones(), zones(&[(ZONE, true)]));
    for node in fleet.nodes.values_mut() {
        node.reaches_store = true;
    }
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.zones(), zones(&[]));
}

#[test]
fn an_evacuation_that_a_restored_store_has_stays_confirmed() {
    let mut fleet = Fleet::settled(60, 4);
    fleet.store.evacuate(ZONE);
    let copy = fleet.store.current.clone();
    fleet.run(BOUND);
    fleet.store.restore(copy);
    for _ in 0..50 {
        fleet.run(ms(100));
        assert_eq!(fleet.count_placing_in(ZONE), 0);
    }
    assert_eq!(fleet.zones(), zones(&[(ZONE, true)]));
    fleet.store.remove(ZONE);
    fleet.run(BOUND);
    assert_eq!(fleet.zones(), zones(&[]));
}

#[test]
fn an_evacuation_that_a_restored_store_lacks_is_kept_until_the_entry_is_written_and_removed() {
    for (count, zone_count, other_writes) in cases() {
        check_restore_without_the_entry(count, zone_count, other_writes);
    }
}

fn check_restore_without_the_entry(count: usize, zone_count: usize, other_writes: u64) {
    let mut fleet = Fleet::settled(count, zone_count);
    fleet.other_writes = other_writes;
    let copy = fleet.store.current.clone();
    fleet.store.evacuate(ZONE);
    fleet.run(BOUND);
    fleet.store.restore(copy);
    fleet.run(BOUND);
    assert_eq!(fleet.zones(), zones(&[(ZONE, false)]));
    if count == 1 {
        return;
    }
    // A list of the same epoch, and the start of a balancer, prove nothing either.
    fleet.store.compact();
    fleet.restart(0);
    fleet.restart(count - 1);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.zones(), zones(&[(ZONE, false)]));
    fleet.store.evacuate(ZONE);
    fleet.run(BOUND);
    assert_eq!(fleet.zones(), zones(&[(ZONE, true)]));
    fleet.store.remove(ZONE);
    fleet.run(BOUND);
    assert_eq!(fleet.zones(), zones(&[]));
}

/// Guards against a balancer that is ready before it knows the evacuations, which places flows in an evacuated zone.
#[test]
fn balancers_that_start_all_at_once_place_no_flows_in_an_evacuated_zone() {
    for (count, zone_count) in FLEETS {
        let mut store = Store::default();
        store.evacuate(ZONE);
        let mut fleet = Fleet::start(count, zone_count, store, true);
        let mut ready_after = Duration::ZERO;
        for _ in 0..50 {
            fleet.run(ms(100));
            for node in fleet
                .nodes
                .values()
                .filter(|node| node.ready_after.is_some())
            {
                assert!(node.evacuations.zones().contains_key(ZONE));
            }
            let all: Option<Vec<Duration>> =
                fleet.nodes.values().map(|node| node.ready_after).collect();
            ready_after = all
                .and_then(|all| all.into_iter().max())
                .unwrap_or(fleet.now);
        }
        println!("{count} balancers: all ready after {ready_after:?}");
        let timeout = list_watch::Settings::default().peer_tables_timeout;
        assert!(
            ready_after <= timeout + ms(100),
            "{count} balancers: {ready_after:?}"
        );
    }
}

/// Guards against a start of one balancer that all others answer with fetches, since its list is the newest.
#[test]
fn the_start_of_one_balancer_causes_no_fetches_of_others_for_evacuations() {
    let mut fleet = Fleet::settled(60, 4);
    fleet.store.evacuate(ZONE);
    fleet.run(BOUND);
    let changed_at = fleet.node(20).evacuations.changed_at();
    for index in [0, 5, 30] {
        fleet.restart(index);
        fleet.run(BOUND);
        let node = fleet.node(index);
        assert!(node.ready_after.is_some_and(|after| after <= ms(1_600)));
        assert!(node.evacuations.zones().contains_key(ZONE));
    }
    let nodes = fleet.nodes.values();
    let unchanged = nodes.filter(|node| node.evacuations.changed_at() == changed_at);
    assert_eq!(unchanged.count(), 60);
}

/// Guards against entries of another writer that begin or end an evacuation.
#[test]
fn odd_entries_neither_begin_nor_end_an_evacuation() {
    let mut fleet = Fleet::settled(60, 4);
    fleet.store.write_odd("z0");
    fleet.store.evacuate(ZONE);
    fleet.run(BOUND);
    assert_eq!(fleet.zones(), zones(&[(ZONE, true)]));
    fleet.store.write_odd(ZONE);
    fleet.run(BOUND);
    // Watchers list the current store, and a balancer starts that sees only the odd entry.
    fleet.store.compact();
    fleet.restart(0);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.zones(), zones(&[(ZONE, true)]));
    fleet.store.remove(ZONE);
    fleet.run(BOUND);
    assert_eq!(fleet.zones(), zones(&[]));
}

/// Returns the calls of the store per balancer at a start and in the minute after the roles are settled.
fn calls_per_balancer(count: usize, zone_count: usize, follows_evacuations: bool) -> (f64, f64) {
    let mut fleet = Fleet::start(count, zone_count, Store::default(), follows_evacuations);
    fleet.run(Duration::from_secs(12));
    let at_start = fleet.calls();
    fleet.run(Duration::from_secs(60));
    let later = fleet.calls() - at_start;
    (at_start as f64 / count as f64, later as f64 / count as f64)
}

/// Guards against calls of the store that grow with the number of balancers: only those of the two of each zone that
/// list, and of the four that watch, may be added.
#[test]
fn evacuations_add_no_call_of_the_store_per_balancer() {
    for (count, zone_count) in [(60, 4), (300, 5)] {
        let before = calls_per_balancer(count, zone_count, false);
        let after = calls_per_balancer(count, zone_count, true);
        println!(
            "{count} balancers: at the start {:.2} -> {:.2}, then per minute {:.2} -> {:.2}",
            before.0, after.0, before.1, after.1
        );
        let added_at_start = (after.0 - before.0) * count as f64;
        let added_later = (after.1 - before.1) * count as f64;
        // At the start, two balancers of each zone list, four watch, each anew when its role changes, and the reader
        // watches for 1.5 s at a time in the last 6 s. Later, the three others watch for 30 s at a time.
        let zone_count = zone_count as f64;
        assert!(
            added_at_start <= zone_count * 14.0,
            "{count}: {added_at_start}"
        );
        assert!(added_later <= zone_count * 46.0, "{count}: {added_later}");
    }
}

fn freshness(evacuations: Option<Position>) -> Freshness {
    Freshness {
        version: 1,
        position: at(50),
        evacuations,
    }
}

/// Returns how many reports a balancer that knows the evacuations sends at once when it gets one from a peer.
fn responses(gossip: &mut Gossip, now: Duration, evacuations: Option<Position>) -> usize {
    let report = Report {
        from: peer_info(1, 1),
        freshness: freshness(evacuations),
        readers: Vec::new(),
        ended: Vec::new(),
        slow: Vec::new(),
    };
    gossip.handle_report(now, report);
    let sent = gossip.take_actions().into_iter();
    sent.filter(|action| matches!(action, Action::SendReport(..)))
        .count()
}

/// Guards against a balancer that is not ready for the time of a report interval after its start, in which all callers
/// wait if all balancers have lost power, and against a response to each report of one that does not follow evacuations.
#[test]
fn a_peer_that_starts_gets_a_report_at_once() {
    let settings = Settings {
        follows_evacuations: true,
        ..Settings::default()
    };
    let mut gossip = Gossip::new(settings, peer_info(0, 1), 1);
    gossip.set_freshness(freshness(Some(at(9))));
    assert_eq!(responses(&mut gossip, ms(0), None), 1);
    assert_eq!(responses(&mut gossip, ms(500), None), 0);
    assert_eq!(responses(&mut gossip, ms(1_000), Some(at(9))), 0);
    assert_eq!(responses(&mut gossip, ms(1_500), None), 1);
    let mut other = Gossip::new(Settings::default(), peer_info(0, 1), 1);
    other.set_freshness(freshness(None));
    assert_eq!(responses(&mut other, ms(0), None), 0);
}

/// Guards against the same delay when the balancer that lists for the others reports only at its next interval.
#[test]
fn a_balancer_reports_at_once_that_it_knows_the_evacuations() {
    let settings = Settings {
        follows_evacuations: true,
        ..Settings::default()
    };
    let mut gossip = Gossip::new(settings, peer_info(0, 1), 1);
    let reports = |gossip: &mut Gossip, now| {
        gossip.tick(now);
        let actions = gossip.take_actions().into_iter();
        actions
            .filter(|action| matches!(action, Action::SendReport(..)))
            .count()
    };
    gossip.set_registered_peers(ms(2), vec![peer_info(1, 1)]);
    assert_eq!(reports(&mut gossip, ms(3)), 1);
    assert_eq!(reports(&mut gossip, ms(4)), 0);
    gossip.set_freshness(freshness(Some(at(9))));
    assert_eq!(reports(&mut gossip, ms(5)), 1);
    assert_eq!(reports(&mut gossip, ms(6)), 0);
}

/// Guards against followers that watch all objects, or read them often, while a part of the fleet is of an earlier version.
#[test]
fn earlier_versions_add_few_calls_of_the_store() {
    let calls = |older: usize| {
        let count = 300;
        let mut fleet = Fleet::start(count, 5, Store::default(), false);
        fleet.run(ms(12_000));
        fleet.follows_evacuations = true;
        (older..count).for_each(|index| fleet.restart(index));
        fleet.run(ms(12_000));
        let before = fleet.calls();
        fleet.run(ms(60_000));
        (fleet.calls() - before) as f64 / count as f64
    };
    let (without, mixed) = (calls(300), calls(150));
    println!("300 balancers, per minute: {without:.2}, half of an earlier version {mixed:.2}");
    // A watch without changes takes 30 s.
    assert!(mixed <= without + 2.5, "{without} and {mixed}");
}
