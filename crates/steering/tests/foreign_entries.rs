//! Guards against open flows that are reset, and upstreams that lose their new flows, because another writer has left an
//! entry at the address of a running upstream. The configuration names no pool of that entry, so it is no upstream.

mod support;

use {
    assert_matches::assert_matches,
    skylarkflow_steering::{
        balancer::{Action, Balancer, Verdict},
        directory::{Directory, EntryRevision},
        table::{Routes, Table},
        upstream::{Record, State},
    },
    std::time::Duration,
    support::{
        at, balancer, config, config_with_pools, data, directory, ms, open, record, service,
        target, view,
    },
};

const STARTED_UNIX_MS: u64 = 1_000;

fn upstream() -> Record {
    Record {
        started_unix_ms: STARTED_UNIX_MS,
        ..record(5, "a")
    }
}

/// Returns the entry of another writer at the address of [`upstream`].
fn foreign(id: u64, started_unix_ms: u64, state: State) -> Record {
    Record {
        id,
        pool: "host-metrics".to_owned(),
        started_unix_ms,
        state,
        ..upstream()
    }
}

fn foreign_entries() -> Vec<Record> {
    let states = [State::Ready, State::Draining];
    let starts = [0, STARTED_UNIX_MS - 1, STARTED_UNIX_MS, STARTED_UNIX_MS + 1];
    let starts = states
        .into_iter()
        .flat_map(|state| starts.map(|start| (state, start)));
    starts
        .flat_map(|(state, start)| [1, 9].map(|id| foreign(id, start, state)))
        .collect()
}

fn entry_revision(revision: u64) -> EntryRevision {
    EntryRevision {
        revision,
        store_position: at(revision),
    }
}

fn routes() -> Routes {
    let mut routes = Routes::default();
    routes.adopt(config(1, &[service()]));
    routes
}

fn table_at(now: Duration, directory: &Directory) -> Table {
    routes().table(now, directory).expect("a configuration")
}

/// Opens a flow at [`upstream`] and returns its cookie.
fn open_flow(balancer: &mut Balancer, table: &Table) -> u32 {
    let chosen = target(balancer.handle(ms(0), Some(table), &open(2_000, 0)));
    let cookie = chosen.cookie.expect("a cookie");
    let verdict = balancer.handle(ms(1), Some(table), &data(2_000, cookie, 1_001, 1));
    assert_matches!(verdict, Verdict::Forward { .. });
    cookie
}

fn assert_flow_is_kept(balancer: &mut Balancer, table: &Table, cookie: u32, case: &str) {
    let resets = balancer.take_actions().into_iter();
    let resets = resets.filter(|action| matches!(action, Action::Reset { .. }));
    assert_eq!(resets.count(), 0, "{case}");
    let packet = data(2_000, cookie, 1_201, 1);
    let verdict = balancer.handle(ms(5), Some(table), &packet);
    let kept = target(verdict);
    assert_eq!(kept.record.id, upstream().id, "{case}");
}

#[test]
fn an_entry_of_an_unknown_pool_takes_no_address_from_a_running_upstream() {
    for foreign in foreign_entries() {
        let case = format!("{foreign:?}");
        let mut directory = directory(&[upstream()]);
        let mut balancer = balancer("a");
        let before = table_at(ms(0), &directory);
        balancer.update_table(ms(0), None, &before);
        let cookie = open_flow(&mut balancer, &before);
        directory.insert(ms(2), entry_revision(2), foreign.clone());
        let during = table_at(ms(2), &directory);
        balancer.update_table(ms(2), Some(&before), &during);
        assert_flow_is_kept(&mut balancer, &during, cookie, &case);
        let chosen = target(balancer.handle(ms(6), Some(&during), &open(2_001, 0)));
        assert_eq!(chosen.record.id, upstream().id, "{case}");
        directory.remove(ms(7), entry_revision(3), foreign.id);
        let after = table_at(ms(7), &directory);
        balancer.update_table(ms(7), Some(&during), &after);
        assert_flow_is_kept(&mut balancer, &after, cookie, &case);
    }
}

#[test]
fn an_entry_of_an_unknown_pool_that_was_there_first_holds_no_address() {
    for foreign in foreign_entries() {
        let case = format!("{foreign:?}");
        let directory = directory(&[foreign, upstream()]);
        let mut balancer = balancer("a");
        let table = table_at(ms(0), &directory);
        balancer.update_table(ms(0), None, &table);
        let cookie = open_flow(&mut balancer, &table);
        assert_flow_is_kept(&mut balancer, &table, cookie, &case);
    }
}

/// The store removes the entry of a living upstream that it has not heard from for a while, so the removal alone proves
/// nothing either, whoever else has an entry at the address.
#[test]
fn an_upstream_whose_entry_lapses_beside_one_of_an_unknown_pool_is_probed_before_its_flows_are_reset()
 {
    for foreign in foreign_entries() {
        let case = format!("{foreign:?}");
        let mut directory = directory(&[upstream(), foreign]);
        let mut balancer = balancer("a");
        let before = table_at(ms(0), &directory);
        balancer.update_table(ms(0), None, &before);
        let cookie = open_flow(&mut balancer, &before);
        directory.remove(ms(2), entry_revision(2), upstream().id);
        let after = table_at(ms(2), &directory);
        balancer.update_table(ms(2), Some(&before), &after);
        let actions = balancer.take_actions();
        assert_matches!(&actions[..], [Action::Probe(probed)] if probed.record.id == upstream().id, "{case}");
        assert_flow_is_kept(&mut balancer, &after, cookie, &case);
        let usable = view(&directory, ms(2)).pools;
        assert_eq!(usable["dispatch"].len(), 1, "{case}");
    }
}

/// Guards against a fix that forgets the flows of upstreams whose pool the configuration has dropped: a route may use
/// another pool now, while its open flows stay where they are.
#[test]
fn an_upstream_keeps_its_flows_when_the_configuration_drops_its_pool() {
    let directory = directory(&[upstream()]);
    let mut balancer = balancer("a");
    let before = table_at(ms(0), &directory);
    balancer.update_table(ms(0), None, &before);
    let cookie = open_flow(&mut balancer, &before);
    let mut routes = routes();
    let mut next = config(2, &[service()]);
    next.routes[0].targets[0].pool = "manifests".to_owned();
    routes.adopt(next);
    let after = routes.table(ms(2), &directory).expect("a configuration");
    balancer.update_table(ms(2), Some(&before), &after);
    assert_flow_is_kept(&mut balancer, &after, cookie, "dropped pool");
}

/// Guards against flows that wait for their callers' deadlines: an address that passes to an upstream of another pool in
/// the configuration proves the end of the former upstream.
#[test]
fn flows_are_reset_when_their_address_passes_to_an_upstream_of_another_pool() {
    let mut directory = directory(&[upstream()]);
    let mut balancer = balancer("a");
    let mut routes = Routes::default();
    routes.adopt(config_with_pools(1, &["dispatch", "manifests"]));
    let before = routes.table(ms(0), &directory).expect("a configuration");
    balancer.update_table(ms(0), None, &before);
    let cookie = open_flow(&mut balancer, &before);
    let next = Record {
        pool: "manifests".to_owned(),
        ..foreign(1, STARTED_UNIX_MS + 1, State::Ready)
    };
    directory.insert(ms(2), entry_revision(2), next);
    let after = routes.table(ms(2), &directory).expect("a configuration");
    balancer.update_table(ms(2), Some(&before), &after);
    let actions = balancer.take_actions();
    let is_reset = |action: &Action| matches!(action, Action::Reset { .. });
    assert!(actions.iter().any(is_reset), "{actions:?}");
    let packet = data(2_000, cookie, 1_201, 1);
    let verdict = balancer.handle(ms(5), Some(&after), &packet);
    assert_matches!(verdict, Verdict::Reset(_));
}
