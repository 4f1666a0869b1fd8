//! Guards against changes that are missed, and against old entries that are used again, after the store was restored from
//! an older copy: revisions of different epochs say nothing about which of two is newer.

mod support;

use {
    skylarkflow_steering::{
        directory::{Directory, EntryRevision, Settings},
        gossip::{self, Action, Freshness, Gossip, PeerInfo, Report, Role},
        list_watch::{self, Call, CallOutcome, ContentAction, ListWatch},
        position::{Epoch, Position, Revision},
        upstream::{Record, State, UpstreamId},
    },
    std::{net::SocketAddr, time::Duration},
    support::{at, ms, record},
};

const CURRENT_LIST: Call = Call::List {
    after: None,
    is_current: true,
};

fn restored(revision: Revision) -> Position {
    Position { epoch: 2, revision }
}

fn watching(revision: Revision) -> ListWatch {
    let mut list_watch = ListWatch::new(list_watch::Settings::default(), 3);
    list_watch.handle_outcome(ms(0), page(at(revision), None));
    list_watch
}

fn page(position: Position, next: Option<&str>) -> CallOutcome {
    CallOutcome::Page {
        position,
        next: next.map(str::to_owned),
    }
}

#[test]
fn a_list_with_a_lower_revision_of_a_later_epoch_replaces_the_objects() {
    let mut list_watch = watching(60);
    list_watch.handle_outcome(ms(100), CallOutcome::Gone);
    let action = list_watch.handle_outcome(ms(200), page(restored(40), None));
    assert_eq!(action, ContentAction::Replace);
    let (_, call) = list_watch.next_call();
    assert!(matches!(call, Call::Watch { revision: 40, .. }), "{call:?}");
}

#[test]
fn a_watch_that_spans_a_restore_is_followed_by_a_list() {
    let mut list_watch = watching(60);
    let changes = CallOutcome::Changes {
        position: restored(70),
    };
    let action = list_watch.handle_outcome(ms(100), changes);
    assert_eq!(action, ContentAction::Ignore);
    assert_eq!(list_watch.next_call(), (ms(100), CURRENT_LIST));
}

#[test]
fn a_list_that_spans_a_restore_starts_again() {
    let mut list_watch = ListWatch::new(list_watch::Settings::default(), 3);
    list_watch.handle_outcome(ms(0), page(at(60), Some("m")));
    let action = list_watch.handle_outcome(ms(100), page(restored(40), None));
    assert_eq!(action, ContentAction::Ignore);
    assert_eq!(list_watch.next_call(), (ms(100), CURRENT_LIST));
}

#[test]
fn responses_of_an_earlier_epoch_are_ignored() {
    let mut list_watch = watching(60);
    list_watch.handle_outcome(ms(100), page(restored(40), None));
    let action = list_watch.handle_outcome(ms(200), page(at(61), None));
    assert_eq!(action, ContentAction::Ignore);
}

/// A watch of a replica may otherwise wait for 30 s until its response shows the new epoch.
#[test]
fn an_epoch_that_is_known_from_elsewhere_leads_to_a_list() {
    let mut list_watch = watching(60);
    list_watch.observe_epoch(ms(100), 2);
    assert_eq!(list_watch.next_call(), (ms(100), CURRENT_LIST));
}

/// Guards against lists of the store that grow with the number of balancers when it was restored.
#[test]
fn a_follower_lists_a_restored_store_only_when_it_watches_again() {
    let mut list_watch = watching(60);
    list_watch.set_role(ms(100), Role::Follower);
    list_watch.observe_epoch(ms(200), 2);
    assert!(list_watch.is_paused());
    let mut provided_by_peers = watching(60);
    provided_by_peers.set_role(ms(100), Role::Follower);
    provided_by_peers.observe_epoch(ms(200), 2);
    provided_by_peers.advance(restored(40));
    list_watch.set_role(ms(300), Role::Watcher);
    assert_eq!(list_watch.next_call(), (ms(300), CURRENT_LIST));
    provided_by_peers.set_role(ms(300), Role::Watcher);
    let (_, call) = provided_by_peers.next_call();
    assert!(matches!(call, Call::Watch { revision: 40, .. }), "{call:?}");
}

fn peer_info(name: &str) -> PeerInfo {
    PeerInfo {
        name: name.to_owned(),
        zone: "a".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 7200)),
    }
}

fn fetches(own: Position, reported: Position) -> bool {
    let mut gossip = Gossip::new(gossip::Settings::default(), peer_info("own"), 1);
    gossip.set_freshness(Freshness {
        version: 5,
        position: own,
        evacuations: None,
    });
    let report = Report {
        from: peer_info("peer"),
        freshness: Freshness {
            version: 5,
            position: reported,
            evacuations: None,
        },
        readers: Vec::new(),
        ended: Vec::new(),
        slow: Vec::new(),
    };
    (0..20).any(|tick| {
        let now = ms(100 * tick);
        gossip.handle_report(now, report.clone());
        gossip.tick(now);
        let actions = gossip.take_actions().into_iter();
        actions
            .into_iter()
            .any(|action| matches!(action, Action::FetchTables { .. }))
    })
}

#[test]
fn tables_of_a_peer_in_a_later_epoch_are_newer_whatever_their_revision() {
    assert!(fetches(at(60), restored(40)));
    assert!(!fetches(restored(40), at(60)));
}

const UPSTREAM: UpstreamId = 1;
const OTHER: UpstreamId = 2;

fn directory_at(position: Position, entries: &[(Revision, Record)]) -> Directory {
    let mut directory = Directory::new(Settings::default());
    directory.replace(ms(0), position, entries.to_vec());
    directory
}

fn entry(id: UpstreamId) -> Record {
    record(id, "a")
}

fn draining(id: UpstreamId) -> Record {
    Record {
        state: State::Draining,
        ..entry(id)
    }
}

fn entry_revision(epoch: Epoch, revision: Revision) -> EntryRevision {
    EntryRevision {
        revision,
        store_position: Position { epoch, revision },
    }
}

fn registered(directory: &Directory) -> Vec<(UpstreamId, State)> {
    let mut registered: Vec<_> = directory
        .registered()
        .map(|record| (record.id, record.state))
        .collect();
    registered.sort_unstable_by_key(|(id, _)| *id);
    registered
}

#[test]
fn a_change_of_an_upstream_with_a_lower_revision_of_a_later_epoch_applies() {
    let mut directory = directory_at(at(60), &[(55, entry(UPSTREAM)), (56, entry(OTHER))]);
    directory.replace(
        ms(1_000),
        restored(40),
        vec![(10, entry(UPSTREAM)), (11, entry(OTHER))],
    );
    directory.insert(ms(2_000), entry_revision(2, 41), draining(UPSTREAM));
    directory.remove(ms(2_000), entry_revision(2, 42), OTHER);
    assert_eq!(registered(&directory), vec![(UPSTREAM, State::Draining)]);
}

#[test]
fn a_peer_in_an_earlier_epoch_gets_all_entries() {
    let mut peer = directory_at(at(60), &[(55, entry(UPSTREAM)), (56, entry(OTHER))]);
    let mut directory = directory_at(restored(40), &[(10, entry(UPSTREAM)), (11, entry(OTHER))]);
    directory.insert(ms(1_000), entry_revision(2, 41), draining(UPSTREAM));
    let update = directory.update_after(at(60));
    assert!(update.is_complete);
    peer.apply(ms(2_000), restored(41), update);
    assert_eq!(
        registered(&peer),
        vec![(UPSTREAM, State::Draining), (OTHER, State::Ready)]
    );
}

/// Returns the pool of new flows, as identifiers.
fn pool(directory: &Directory, now: Duration) -> Vec<UpstreamId> {
    let view = support::view(directory, now);
    let pool = view.pools.get("dispatch").into_iter().flatten();
    let mut ids: Vec<UpstreamId> = pool.map(|upstream| upstream.record.id).collect();
    ids.sort_unstable();
    ids
}

const RESTORED_AT: Duration = Duration::from_secs(10);

/// Returns a directory whose last three changes a restore has undone: one upstream drains, one has left and one was
/// added.
fn directory_after_restore() -> Directory {
    let mut directory = directory_at(at(40), &[(30, entry(DRAINS)), (31, entry(LEFT))]);
    directory.insert(ms(1_000), entry_revision(1, 41), later(draining(DRAINS)));
    directory.remove(ms(2_000), entry_revision(1, 42), LEFT);
    directory.insert(ms(3_000), entry_revision(1, 43), entry(ADDED));
    let copy = vec![(30, entry(DRAINS)), (31, entry(LEFT))];
    directory.replace(RESTORED_AT, restored(40), copy);
    directory
}

const DRAINS: UpstreamId = 1;
const LEFT: UpstreamId = 2;
const ADDED: UpstreamId = 3;

/// Returns the entry as a later heartbeat writes it.
fn later(record: Record) -> Record {
    Record {
        heartbeat: record.heartbeat + 1,
        ..record
    }
}

#[test]
fn a_restored_store_does_not_undo_what_upstreams_wrote_later() {
    let directory = directory_after_restore();
    assert_eq!(pool(&directory, RESTORED_AT), vec![ADDED]);
    assert_eq!(
        registered(&directory),
        vec![(DRAINS, State::Draining), (ADDED, State::Ready)]
    );
}

#[test]
fn upstreams_that_register_again_after_a_restore_are_used() {
    let mut directory = directory_after_restore();
    directory.insert(RESTORED_AT, entry_revision(2, 41), later(entry(LEFT)));
    directory.insert(RESTORED_AT, entry_revision(2, 42), later(entry(ADDED)));
    for after in [0, 2_200, 4_000, 60_000] {
        let now = RESTORED_AT + ms(after);
        directory.expire(now);
        assert_eq!(pool(&directory, now), vec![LEFT, ADDED], "{after} ms");
    }
}

/// Guards against an upstream that has ended and is used for ever because nothing removes it again.
#[test]
fn an_entry_that_a_restore_has_lost_is_dropped_if_its_upstream_does_not_register_again() {
    let mut directory = directory_after_restore();
    let end = RESTORED_AT + Settings::default().reregistration_window;
    directory.insert(RESTORED_AT, entry_revision(2, 41), later(entry(LEFT)));
    assert!(!directory.expire(end - ms(1)));
    assert_eq!(pool(&directory, end - ms(1)), vec![LEFT, ADDED]);
    assert!(directory.expire(end));
    assert_eq!(pool(&directory, end), vec![LEFT]);
}

/// Guards against an upstream that is alive and stays unused because its entry is unchanged, which causes no event.
#[test]
fn an_entry_that_the_restored_store_keeps_is_used_in_the_end() {
    let mut directory = directory_after_restore();
    directory.insert(RESTORED_AT, entry_revision(2, 41), later(entry(ADDED)));
    let end = RESTORED_AT + Settings::default().cleanup_window;
    directory.expire(end - ms(1));
    assert_eq!(pool(&directory, end - ms(1)), vec![ADDED]);
    assert!(directory.expire(end));
    assert_eq!(pool(&directory, end), vec![LEFT, ADDED]);
}

#[test]
fn an_upstream_that_left_before_a_restore_stays_removed_when_the_store_removes_it_again() {
    let mut directory = directory_after_restore();
    directory.insert(RESTORED_AT, entry_revision(2, 41), later(entry(ADDED)));
    directory.remove(RESTORED_AT + ms(3_000), entry_revision(2, 42), LEFT);
    let now = RESTORED_AT + ms(10_000);
    directory.expire(now);
    assert_eq!(pool(&directory, now), vec![ADDED]);
}

/// Guards against a second list in the same epoch that ends the time which upstreams have to register again.
#[test]
fn a_second_list_of_the_restored_store_changes_nothing() {
    let mut directory = directory_after_restore();
    let copy = vec![(30, entry(DRAINS)), (31, entry(LEFT))];
    directory.replace(RESTORED_AT + ms(500), restored(40), copy);
    assert_eq!(pool(&directory, RESTORED_AT + ms(500)), vec![ADDED]);
}

/// Guards against a guess of one balancer that others take for the state of the store: nothing would correct it there.
#[test]
fn peers_get_the_entries_that_the_restored_store_has() {
    let update = directory_after_restore().update_after(at(43));
    assert!(update.is_complete);
    let mut ids: Vec<UpstreamId> = update.changes.iter().map(|change| change.id).collect();
    ids.sort_unstable();
    assert_eq!(ids, vec![DRAINS, LEFT]);
}

/// Guards against a pool without upstreams when nearly all entries had lapsed before the restore.
#[test]
fn a_pool_that_lost_most_of_its_entries_before_a_restore_is_used_as_stored() {
    let entries: Vec<(Revision, Record)> = (1..=4).map(|id| (id, entry(id))).collect();
    let mut directory = directory_at(at(40), &entries);
    for id in 1..=3 {
        directory.remove(ms(1_000), entry_revision(1, 40 + id), id);
    }
    directory.replace(RESTORED_AT, restored(40), entries);
    assert_eq!(pool(&directory, RESTORED_AT), vec![1, 2, 3, 4]);
}
