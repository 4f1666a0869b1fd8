//! Guards against balancers that stop following upstreams, and are never ready again after a restart, because another
//! writer has left one entry that cannot be decoded.

mod support;

use {
    support::steering::{
        add_upstream, draining_entry, new_caller, start_balancer, start_site, wait_for_answer,
        wait_for_event, wait_until_only,
    },
    tokio::runtime::Runtime,
};

#[test]
fn odd_entries_affect_neither_a_running_balancer_nor_one_that_starts() {
    Runtime::new().expect("a runtime").block_on(async {
        let mut site = start_site(61).await;
        let caller = new_caller(&site, 61).await;
        assert_eq!(wait_for_answer(&site, &caller, 2_000).await, 7);
        site.store.write_odd_entries();
        let _added = add_upstream(&site, 61).await;
        let draining = draining_entry(site.upstream.address);
        site.store.register(7, &draining);
        wait_until_only(&site, &caller, 2_100..4_000, 8).await;
        wait_for_event(&site, "E5105").await;
        site.balancer.kill().expect("it runs");
        site.balancer.wait().expect("it has ended");
        site.balancer = start_balancer(&site.settings);
        wait_until_only(&site, &caller, 4_100..6_000, 8).await;
    });
}
