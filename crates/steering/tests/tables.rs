//! Updates of the configuration and of the entries of upstreams.

mod support;

use {
    assert_matches::assert_matches,
    skylarkflow_steering::{
        balancer::{DropReason, ResetReason, Settings, Verdict},
        directory::EntryRevision,
        table::{Adoption, Routes},
        upstream::{Record, State},
    },
    std::{net::SocketAddr, time::Duration},
    support::{at, balancer, config, data, directory, ms, open, record, service, table, view},
};

fn entry_revision(revision: u64) -> EntryRevision {
    EntryRevision {
        revision,
        store_position: at(revision),
    }
}

/// Guards against a return to an older configuration because the store or a peer has returned old data.
#[test]
fn an_older_configuration_is_rejected() {
    let mut routes = Routes::default();
    assert_eq!(routes.adopt(config(7, &[service()])), Adoption::Adopted);
    assert_eq!(routes.adopt(config(7, &[])), Adoption::Unchanged);
    assert_eq!(
        routes.adopt(config(6, &[])),
        Adoption::Older { active_version: 7 }
    );
    assert_eq!(routes.version(), Some(7));
}

/// Guards against resets by a balancer that has no configuration yet, as the flow may have a route.
#[test]
fn nothing_is_reset_before_a_table_is_active() {
    let mut balancer = balancer("a");
    assert_matches!(
        balancer.handle(ms(0), None, &open(1, 0)),
        Verdict::Drop(DropReason::NoTable)
    );
    assert_matches!(
        balancer.handle(ms(0), None, &data(1, 5, 0, 0)),
        Verdict::Drop(DropReason::NoTable)
    );
}

/// Guards against a reset of an open flow by a balancer that does not know its route yet. Flows are reset only if the
/// balancer knew the route and it was removed.
#[test]
fn open_flows_are_reset_only_if_their_route_was_removed() {
    let directory = directory(&[record(1, "a")]);
    let other = SocketAddr::from(([198, 18, 0, 9], 1));
    let mut routes = Routes::default();
    routes.adopt(config(1, &[other]));
    let table = routes
        .table(ms(0), &directory)
        .expect("a configuration was adopted");
    let cookie = table.cookies.keys().copied().next().expect("one upstream");
    let mut balancer = balancer("a");
    let flow = data(1, cookie, 10, 10);
    assert_matches!(
        balancer.handle(ms(0), Some(&table), &flow),
        Verdict::Forward { .. }
    );
    assert_matches!(
        balancer.handle(ms(0), Some(&table), &open(2, 0)),
        Verdict::Reset(ResetReason::NoRoute)
    );
    routes.adopt(config(2, &[service()]));
    routes.adopt(config(3, &[other]));
    let table = routes
        .table(ms(0), &directory)
        .expect("a configuration was adopted");
    let max_lag = Settings::default().max_config_lag;
    support::run(&mut balancer, &table, ms(0)..max_lag);
    assert_matches!(
        balancer.handle(max_lag, Some(&table), &flow),
        Verdict::Reset(ResetReason::RouteRemoved)
    );
}

/// Guards against new flows to a draining upstream, and against the loss of its open flows.
#[test]
fn a_draining_upstream_keeps_its_flows_and_gets_no_new_ones() {
    let mut directory = directory(&[record(1, "a"), record(2, "a")]);
    let cookie = table(&directory)
        .cookies
        .iter()
        .find(|(_, upstream)| upstream.record.id == 1)
        .map(|(cookie, _)| *cookie)
        .expect("upstream 1 has a cookie");
    let draining = Record {
        state: State::Draining,
        ..record(1, "a")
    };
    directory.insert(ms(0), entry_revision(2), draining);
    let table = table(&directory);
    let mut balancer = balancer("a");
    for port in 0..50 {
        let upstream = support::target(balancer.handle(ms(0), Some(&table), &open(port, 0)));
        assert_eq!(upstream.record.id, 2);
    }
    let kept = support::target(balancer.handle(ms(1), Some(&table), &data(99, cookie, 1, 1)));
    assert_eq!(kept.record.id, 1);
}

/// Guards against an upstream that leaves the draining state because a lagging replica of the store delivers an older
/// change.
#[test]
fn older_changes_of_an_entry_are_ignored() {
    let mut directory = directory(&[]);
    let draining = Record {
        state: State::Draining,
        ..record(1, "a")
    };
    directory.insert(ms(0), entry_revision(9), draining);
    directory.insert(ms(1), entry_revision(5), record(1, "a"));
    directory.remove(ms(2), entry_revision(7), 1);
    let states: Vec<State> = directory.registered().map(|record| record.state).collect();
    assert_eq!(states, [State::Draining]);
}

/// Guards against resets of all new flows when the entries of a whole pool lapse because the store is unavailable, and
/// against use of upstreams that have not registered again in the time that this takes.
#[test]
fn a_pool_whose_entries_lapse_at_once_is_used_until_they_should_be_registered_again() {
    let records: Vec<Record> = (1..=4).map(|id| record(id, "a")).collect();
    let mut directory = directory(&records);
    directory.replace(ms(1_000), at(5), Vec::new());
    let usable = |now: Duration| {
        view(&directory, now)
            .pools
            .get("dispatch")
            .map_or(0, Vec::len)
    };
    assert_eq!(usable(ms(1_100)), 4);
    assert_eq!(usable(ms(3_300)), 0);
}

/// Guards against new flows to a single upstream whose entry was removed while the rest of its pool is registered.
#[test]
fn an_upstream_whose_entry_was_removed_gets_no_new_flows() {
    let records: Vec<Record> = (1..=4).map(|id| record(id, "a")).collect();
    let mut directory = directory(&records);
    directory.remove(ms(1_000), entry_revision(5), 2);
    assert_eq!(view(&directory, ms(1_001)).pools["dispatch"].len(), 3);
    assert_eq!(view(&directory, ms(1_001)).cookies.len(), 4);
}

/// Guards against a balancer that applies only some of the changes that it fetched from a peer.
#[test]
fn directories_agree_after_changes_are_applied() {
    let mut first = directory(&[record(1, "a"), record(2, "a")]);
    let mut second = directory(&[record(1, "a"), record(2, "a")]);
    first.insert(ms(1), entry_revision(4), record(3, "b"));
    first.remove(ms(2), entry_revision(6), 1);
    second.apply(ms(3), at(6), first.update_after(at(1)));
    let ids = |directory: &skylarkflow_steering::directory::Directory| {
        let mut ids: Vec<u64> = directory.registered().map(|record| record.id).collect();
        ids.sort_unstable();
        ids
    };
    assert_eq!(ids(&second), [2, 3]);
    assert_eq!(ids(&first), ids(&second));
}

/// Guards against a process that ends because of one entry of another writer: an entry may carry a warm-up of up to
/// 2^64 - 2,048 s, which added to the clock of a process that has run for longer exceeds the range of a duration.
#[test]
fn an_entry_with_an_extreme_warm_up_is_cold_forever() {
    let extreme = Record {
        warmup: Duration::from_secs(u64::MAX - 2_047),
        ..record(1, "a")
    };
    let mut directory = directory(&[]);
    let hour = Duration::from_secs(3_600);
    directory.insert(hour, entry_revision(5), extreme);
    let view = view(&directory, hour);
    let upstream = view.cookies.values().next().expect("the upstream");
    assert_eq!(upstream.warmup_end, Duration::MAX);
}
