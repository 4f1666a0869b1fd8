//! Guards against balancers that miss changes after the store was restored from an older copy of itself: its revisions
//! are lower then, and each may stand for another change than before.

mod support;

use {
    skylarkflow_adapter_emulator::{
        caller::{Caller, Outcome},
        objects::UpstreamEntry,
        store::{Fault, Snapshot},
    },
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        ops::Range,
        time::{Duration, Instant},
    },
    support::steering::{
        POOL, SERVICE, Site, TIMEOUT, add_upstream, draining_entry, new_caller, ready_entry,
        start_site, wait_for_answer, wait_for_answer_of, wait_for_event, wait_until_only,
    },
    tokio::{runtime::Runtime, time},
};

/// Service whose route is added before the store is restored.
const EARLIER_SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// Service whose route is added after the store was restored.
const LATER_SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 443);

/// Number of changes that are lost, so that revisions of the restored store stay lower for long.
const LOST_CHANGES: u64 = 40;

/// Time within which live upstreams have registered again after a restore, as the platform states it.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn configure(site: &Site, version: u64, services: &[SocketAddrV4]) {
    let routes: Vec<_> = services.iter().map(|&service| (service, POOL)).collect();
    site.store.configure(version, &routes);
}

/// Raises the revision of the store by entries that no route uses.
fn write_other_entries(site: &Site, count: u64) {
    for id in 0..count {
        let entry = UpstreamEntry {
            pool: "other".to_owned(),
            ..ready_entry(SocketAddr::from((Ipv4Addr::new(127, 9, 0, 1), 9)))
        };
        site.store.register(1_000 + id, &entry);
    }
}

/// Makes changes that the balancer applies and that the returned copy of the store lacks.
async fn make_changes_after_a_copy(site: &Site, net: u8) -> Snapshot {
    let caller = new_caller(site, net).await;
    assert_eq!(wait_for_answer(site, &caller, 2_000).await, 7);
    let copy = site.store.snapshot();
    write_other_entries(site, LOST_CHANGES);
    configure(site, 2, &[SERVICE, EARLIER_SERVICE]);
    assert_eq!(
        wait_for_answer_of(site, &caller, 2_001, EARLIER_SERVICE).await,
        7
    );
    copy
}

async fn assert_later_service_is_reached(site: &Site, net: u8) {
    let caller = new_caller(site, net).await;
    assert_eq!(
        wait_for_answer_of(site, &caller, 2_002, LATER_SERVICE).await,
        7
    );
}

#[test]
fn a_change_after_a_restore_becomes_active() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site(54).await;
        let copy = make_changes_after_a_copy(&site, 54).await;
        site.store.restore(copy);
        configure(&site, 2, &[SERVICE, EARLIER_SERVICE]);
        configure(&site, 3, &[SERVICE, EARLIER_SERVICE, LATER_SERVICE]);
        assert_later_service_is_reached(&site, 54).await;
    });
}

#[test]
fn a_change_with_a_reused_revision_is_not_skipped() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site(55).await;
        let copy = make_changes_after_a_copy(&site, 55).await;
        site.store.set_fault(Fault::Refuse);
        site.store.restore(copy);
        configure(&site, 3, &[SERVICE, EARLIER_SERVICE, LATER_SERVICE]);
        // The store counts beyond the revision that the balancer knows before it can be read.
        write_other_entries(&site, 2 * LOST_CHANGES);
        site.store.set_fault(Fault::None);
        assert_later_service_is_reached(&site, 55).await;
    });
}

#[test]
fn an_upstream_that_drains_after_a_restore_gets_no_new_flows() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site(56).await;
        let copy = make_changes_after_a_copy(&site, 56).await;
        let caller = new_caller(&site, 56).await;
        // The entry is known with a revision that the restored store reuses for another change.
        site.store.register(7, &ready_entry(site.upstream.address));
        site.store.restore(copy);
        site.store
            .register(7, &draining_entry(site.upstream.address));
        let _other = add_upstream(&site, 56).await;
        write_other_entries(&site, 2 * LOST_CHANGES);
        wait_until_only(&site, &caller, 2_100..4_000, 8).await;
    });
}

/// Restores the store and checks that all flows which are opened before upstreams have to be registered again are
/// answered by `upstream`.
async fn assert_only_after_restore(
    site: &Site,
    caller: &Caller,
    ports: Range<u16>,
    copy: Snapshot,
    upstream: u64,
) {
    let restored_at = Instant::now();
    site.store.restore(copy);
    wait_for_event(site, "E5117").await;
    for port in ports {
        let flow = caller.open(port, SERVICE, || site.address).await;
        // Later, the entries of the restored store are used whatever was known before.
        if restored_at.elapsed() > REREGISTRATION_TIME {
            break;
        }
        let outcome = match flow {
            Ok(mut flow) => caller.request(&mut flow, b"hello", || site.address).await,
            Err(outcome) => outcome,
        };
        assert_eq!(outcome, Outcome::Answered(upstream), "port {port}");
    }
}

#[test]
fn an_upstream_that_left_before_a_restore_gets_no_new_flows() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site(58).await;
        let caller = new_caller(&site, 58).await;
        let _left = add_upstream(&site, 58).await;
        while wait_for_answer(&site, &caller, 2_000).await != 8 {}
        let copy = site.store.snapshot();
        site.store.unregister(8);
        wait_until_only(&site, &caller, 2_100..3_000, 7).await;
        assert_only_after_restore(&site, &caller, 3_000..3_040, copy, 7).await;
    });
}

#[test]
fn an_upstream_whose_entry_a_restore_has_lost_keeps_getting_new_flows() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site(59).await;
        let caller = new_caller(&site, 59).await;
        assert_eq!(wait_for_answer(&site, &caller, 2_000).await, 7);
        let copy = site.store.snapshot();
        let _added = add_upstream(&site, 59).await;
        site.store
            .register(7, &draining_entry(site.upstream.address));
        wait_until_only(&site, &caller, 2_100..3_000, 8).await;
        // The copy has no entry of the added upstream, and an old one of the upstream that drains.
        assert_only_after_restore(&site, &caller, 3_000..3_040, copy, 8).await;
    });
}

#[test]
fn a_registration_that_a_restore_has_lost_is_written_again() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site(57).await;
        let start = Instant::now();
        let mut is_restored = false;
        loop {
            let is_registered = site.store.contains("balancers", "b");
            if is_registered && is_restored {
                break;
            }
            if is_registered {
                site.store.restore(site.initial_objects.clone());
                is_restored = true;
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "no registration within {TIMEOUT:?}; restored: {is_restored}"
            );
            time::sleep(POLL_INTERVAL).await;
        }
    });
}
