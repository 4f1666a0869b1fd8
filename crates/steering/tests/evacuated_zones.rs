//! Placement while zones are evacuated: guards against new flows to an evacuated zone, also by lapsed entries and by
//! repeated or duplicated opening packets, and against open flows that an evacuation breaks.

mod support;

use {
    skylarkflow_policy::id::Set,
    skylarkflow_steering::{
        balancer::{DropReason, ResetReason, Verdict},
        directory::{Directory, EntryRevision},
        list_watch::{Call, CallOutcome, ContentAction, ListWatch, PeerTables, Settings},
        table::Table,
        upstream::UpstreamId,
    },
    std::time::Duration,
    support::{at, balancer, data, directory, ms, open, record, table, target},
};

const HERE: UpstreamId = 1;
const THERE: UpstreamId = 2;

fn evacuate(directory: &mut Directory, zones: &[&str]) -> Table {
    let zones: Set<String> = zones.iter().map(|zone| (*zone).to_owned()).collect();
    directory.set_evacuated_zones(zones);
    table(directory)
}

fn two_zones() -> Directory {
    directory(&[record(HERE, "a"), record(THERE, "b")])
}

#[test]
fn new_flows_go_to_other_zones_and_open_flows_stay() {
    let mut directory = two_zones();
    let mut balancer = balancer("a");
    let before = table(&directory);
    let verdict = balancer.handle(ms(0), Some(&before), &open(1, 0));
    let Verdict::Forward {
        upstream, cookie, ..
    } = verdict
    else {
        panic!("{verdict:?}");
    };
    assert_eq!(upstream.record.id, HERE);
    let cookie = cookie.expect("a cookie");
    let after = evacuate(&mut directory, &["a"]);
    balancer.update_table(ms(10), Some(&before), &after);
    let packet = data(1, cookie, 1_000, 1);
    assert_eq!(
        target(balancer.handle(ms(20), Some(&after), &packet))
            .record
            .id,
        HERE
    );
    for port in 2..200 {
        let placed = target(balancer.handle(ms(30), Some(&after), &open(port, 0)));
        assert_eq!(placed.record.id, THERE);
    }
    assert!(balancer.take_actions().is_empty());
    let ended = evacuate(&mut directory, &[]);
    assert_eq!(
        target(balancer.handle(ms(40), Some(&ended), &open(300, 0)))
            .record
            .id,
        HERE
    );
}

#[test]
fn repeated_and_duplicate_openings_of_a_flow_in_an_evacuated_zone_go_elsewhere() {
    for retransmission in [0, 1] {
        let mut directory = two_zones();
        let mut balancer = balancer("a");
        let before = table(&directory);
        let first = target(balancer.handle(ms(0), Some(&before), &open(1, 0)));
        assert_eq!(first.record.id, HERE);
        let after = evacuate(&mut directory, &["a"]);
        for at in [1, 2] {
            let next = balancer.handle(ms(at), Some(&after), &open(1, retransmission));
            assert_eq!(target(next).record.id, THERE, "{retransmission}");
        }
        // The earlier choice holds no load any more.
        assert_eq!(first.load_counters.load().flows, 0);
    }
}

/// Guards against a duplicate that counts as a sign that the upstream of the first packet is down.
#[test]
fn a_duplicate_opening_is_no_evidence_against_its_upstream() {
    let mut directory = two_zones();
    let mut balancer = balancer("a");
    let before = table(&directory);
    balancer.handle(ms(0), Some(&before), &open(1, 0));
    let after = evacuate(&mut directory, &["a"]);
    balancer.handle(ms(1), Some(&after), &open(1, 0));
    assert!(!balancer.looks_down(HERE));
    assert!(balancer.take_actions().is_empty());
}

#[test]
fn callers_are_reset_at_once_if_all_zones_are_evacuated() {
    let mut directory = two_zones();
    let mut balancer = balancer("a");
    let before = table(&directory);
    balancer.handle(ms(0), Some(&before), &open(1, 0));
    let after = evacuate(&mut directory, &["a", "b", "zone without upstreams"]);
    for opening in [open(2, 0), open(2, 1), open(1, 1)] {
        let verdict = balancer.handle(ms(1), Some(&after), &opening);
        let is_reset = matches!(verdict, Verdict::Reset(ResetReason::NoUpstream));
        assert!(is_reset, "{verdict:?}");
    }
}

/// Guards against a reset of a flow that is open: the first packet has reached its upstream, and its duplicate is late.
#[test]
fn a_duplicate_opening_is_dropped_if_no_upstream_is_left() {
    let mut directory = two_zones();
    let mut balancer = balancer("a");
    let before = table(&directory);
    balancer.handle(ms(0), Some(&before), &open(1, 0));
    let after = evacuate(&mut directory, &["a", "b"]);
    let verdict = balancer.handle(ms(1), Some(&after), &open(1, 0));
    assert!(
        matches!(verdict, Verdict::Drop(DropReason::DuplicateOpening)),
        "{verdict:?}"
    );
}

/// Guards against entries that are used for a short time after they lapsed, in a zone that is evacuated.
#[test]
fn lapsed_entries_of_an_evacuated_zone_are_left_out() {
    let mut directory = directory(&[record(1, "a"), record(2, "a"), record(3, "b")]);
    for (id, revision) in [(1, 2), (2, 3), (3, 4)] {
        let entry_revision = EntryRevision {
            revision,
            store_position: at(revision),
        };
        directory.remove(ms(100), entry_revision, id);
    }
    let pool = |table: &Table| -> Vec<UpstreamId> {
        let pool = table.pools.get("dispatch").into_iter().flatten();
        let mut ids: Vec<UpstreamId> = pool.map(|upstream| upstream.record.id).collect();
        ids.sort_unstable();
        ids
    };
    assert_eq!(pool(&table(&directory)), [1, 2, 3]);
    let after = evacuate(&mut directory, &["a"]);
    assert_eq!(pool(&after), [3]);
    assert_eq!(after.cookies.len(), 3);
}

/// Guards against a new flow in an evacuated zone right after a start, and against open flows that wait for the
/// evacuations.
#[test]
fn no_flow_is_placed_before_the_evacuations_are_known() {
    let directory = two_zones();
    let mut balancer = balancer("a");
    let known = table(&directory);
    let cookie = known
        .cookies
        .iter()
        .find(|(_, upstream)| upstream.record.id == HERE);
    let cookie = *cookie.expect("a cookie").0;
    let unknown = Table {
        accepts_flows: false,
        ..known
    };
    let verdict = balancer.handle(ms(0), Some(&unknown), &open(1, 0));
    assert!(
        matches!(verdict, Verdict::Drop(DropReason::NoTable)),
        "{verdict:?}"
    );
    let packet = data(2, cookie, 1_000, 1);
    assert_eq!(
        target(balancer.handle(ms(1), Some(&unknown), &packet))
            .record
            .id,
        HERE
    );
}

fn list_watch() -> ListWatch {
    let settings = Settings {
        prefers_peers: true,
        ..Settings::default()
    };
    ListWatch::new(settings, 3)
}

const CURRENT_LIST: Call = Call::List {
    after: None,
    is_current: true,
};

/// Guards against a list per balancer when a fleet starts, against one that waits for ever, and against one of a copy.
#[test]
fn the_first_list_waits_for_peers_and_is_current() {
    let timeout = Settings::default().peer_tables_timeout;
    assert_eq!(list_watch().next_call(), (timeout, CURRENT_LIST));
    let mut lister = list_watch();
    lister.set_peer_tables(ms(30), PeerTables::Unavailable);
    assert_eq!(lister.next_call(), (ms(30), CURRENT_LIST));
    let mut follower = list_watch();
    follower.set_peer_tables(ms(40), PeerTables::Received(at(9)));
    let (due, call) = follower.next_call();
    assert!(matches!(call, Call::Watch { revision: 9, .. }), "{call:?}");
    assert_eq!(due, ms(40) + Settings::default().first_watch_delay);
}

/// Guards against a balancer that waits for peers before the list and once more before its second page.
#[test]
fn the_pages_of_a_list_that_has_waited_for_peers_follow_at_once() {
    let mut list_watch = list_watch();
    let timeout = Settings::default().peer_tables_timeout;
    let page = CallOutcome::Page {
        position: at(9),
        next: Some("zone".to_owned()),
    };
    let action = list_watch.handle_outcome(timeout, page);
    assert_eq!(action, ContentAction::Collect);
    assert_eq!(list_watch.next_call().0, timeout);
}

/// Guards against calls in quick succession while the store fails or answers from before a restore.
#[test]
fn a_lister_keeps_the_pause_after_a_call() {
    let mut failing = list_watch();
    failing.set_peer_tables(ms(0), PeerTables::Unavailable);
    failing.handle_outcome(ms(10), CallOutcome::Failed);
    failing.set_peer_tables(ms(10), PeerTables::Unavailable);
    assert!(failing.next_call().0 > ms(10));
    let mut earlier = list_watch();
    earlier.observe_epoch(ms(0), 2);
    earlier.set_peer_tables(ms(0), PeerTables::Unavailable);
    let page = CallOutcome::Page {
        position: at(5),
        next: None,
    };
    assert_eq!(earlier.handle_outcome(ms(10), page), ContentAction::Ignore);
    earlier.set_peer_tables(ms(10), PeerTables::Unavailable);
    assert!(earlier.next_call().0 > ms(10));
}

/// Guards against a balancer that waits for the store although a peer can tell it the evacuations.
#[test]
fn the_tables_of_a_peer_replace_a_list_that_fails() {
    let mut lister = list_watch();
    lister.set_peer_tables(ms(0), PeerTables::Unavailable);
    lister.handle_outcome(ms(10), CallOutcome::Failed);
    lister.set_peer_tables(ms(50), PeerTables::Received(at(9)));
    assert_eq!(lister.position(), Some(at(9)));
    assert!(lister.next_call().0 < Duration::MAX);
}
