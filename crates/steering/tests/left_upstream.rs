//! Guards against an upstream that has left and is used again after a process was restarted, cut off or asleep.
//!
//! Each case has a balancer with old entries that learns from a source that no longer holds the removal itself: a peer
//! that has dropped it after its retention, a peer that has started since and read a list, or a list of the store.

mod support;

use {
    skylarkflow_steering::{
        directory::{Directory, EntryRevision, Settings, Update},
        upstream::{Record, UpstreamId},
    },
    std::time::Duration,
    support::{at, ms, record},
};

const STAYS: UpstreamId = 1;
const LEFT: UpstreamId = 2;
const ADDED: UpstreamId = 3;

/// Revision of the store up to which the old entries are known.
const OLD: u64 = 10;

/// Revision at which the upstream left.
const REMOVAL: u64 = 20;

/// Revision of the last change.
const LATEST: u64 = 30;

fn directory_at(revision: u64, ids: &[UpstreamId]) -> Directory {
    let mut directory = Directory::new(Settings::default());
    let entry_revision = |id| if id == ADDED { LATEST } else { id };
    let records = ids.iter().map(|&id| (entry_revision(id), record(id, "a")));
    let records: Vec<(u64, Record)> = records.collect();
    directory.replace(ms(0), at(revision), records);
    directory
}

/// Returns the directory of a balancer that was connected all the time.
fn connected() -> Directory {
    let mut directory = directory_at(OLD, &[STAYS, LEFT]);
    let entry_revision = |revision| EntryRevision {
        revision,
        store_position: at(revision),
    };
    directory.remove(ms(1_000), entry_revision(REMOVAL), LEFT);
    directory.insert(ms(2_000), entry_revision(LATEST), record(ADDED, "a"));
    directory
}

fn registered(directory: &Directory) -> Vec<UpstreamId> {
    let mut ids: Vec<UpstreamId> = directory.registered().map(|record| record.id).collect();
    ids.sort_unstable();
    ids
}

fn after_retention() -> Duration {
    ms(1_000) + Settings::default().retention + ms(1)
}

fn check(case: &str, update: Update) {
    let mut sleeper = directory_at(OLD, &[STAYS, LEFT]);
    sleeper.apply(ms(100_000), at(LATEST), update);
    assert_eq!(registered(&sleeper), vec![STAYS, ADDED], "{case}");
}

#[test]
fn an_upstream_that_has_left_is_not_used_again() {
    check(
        "peer that holds the removal",
        connected().update_after(at(OLD)),
    );

    let mut peer = connected();
    peer.expire(after_retention());
    check(
        "peer that has dropped the removal",
        peer.update_after(at(OLD)),
    );

    let peer = directory_at(LATEST, &[STAYS, ADDED]);
    check(
        "peer that has read a list since",
        peer.update_after(at(OLD)),
    );

    let mut peer = Directory::new(Settings::default());
    let mut source = connected();
    source.expire(after_retention());
    peer.apply(ms(0), at(LATEST), source.update_after(at(0)));
    check(
        "peer that has taken the tables of another",
        peer.update_after(at(OLD)),
    );
}

/// Guards against a peer whose own entries are older than those of the balancer that asks it.
#[test]
fn an_older_list_removes_nothing_that_was_registered_later() {
    let mut balancer = connected();
    let older = directory_at(OLD, &[STAYS, LEFT]).update_after(at(0));
    balancer.apply(ms(3_000), at(OLD), older);
    assert_eq!(registered(&balancer), vec![STAYS, ADDED]);
}

/// Guards against updates that grow with the pool although the balancer that asks is only a little behind.
#[test]
fn a_balancer_that_is_little_behind_gets_changes_only() {
    let update = connected().update_after(at(REMOVAL));
    assert!(!update.is_complete);
    let ids: Vec<UpstreamId> = update.changes.iter().map(|change| change.id).collect();
    assert_eq!(ids, vec![ADDED]);
}

/// Guards against the list of a lagging replica that arrives after the tables of a peer: they hold no removals, so
/// nothing would remove the upstream again.
#[test]
fn an_older_list_after_complete_tables_does_not_register_an_upstream_that_has_left() {
    let mut started = Directory::new(Settings::default());
    started.apply(ms(0), at(LATEST), connected().update_after(at(0)));
    let lagging = vec![(STAYS, record(STAYS, "a")), (LEFT, record(LEFT, "a"))];
    started.replace(ms(100), at(OLD), lagging);
    assert_eq!(registered(&started), vec![STAYS, ADDED]);
}

/// Guards against the same upstream in a change that a lagging replica reports.
#[test]
fn an_older_change_after_complete_tables_does_not_register_an_upstream_that_has_left() {
    let mut started = Directory::new(Settings::default());
    started.apply(ms(0), at(LATEST), connected().update_after(at(0)));
    let older = EntryRevision {
        revision: OLD,
        store_position: at(OLD),
    };
    started.insert(ms(100), older, record(LEFT, "a"));
    assert_eq!(registered(&started), vec![STAYS, ADDED]);
}
