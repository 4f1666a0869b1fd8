//! Guards against an upstream that counts as replaced, so that its flows are reset, because the entry of the former
//! upstream at its address has not been removed yet.

mod support;

use {
    skylarkflow_steering::{balancer::Verdict, upstream::Record},
    support::{balancer, data, directory, ms, open, record, table, target},
};

#[test]
fn the_upstream_that_started_last_holds_an_address_that_two_have_registered() {
    for (former_id, next_id) in [(1, 2), (2, 1)] {
        let former = record(former_id, "a");
        let next = Record {
            id: next_id,
            started_unix_ms: former.started_unix_ms + 1,
            ..former.clone()
        };
        let table = table(&directory(&[former, next]));
        let mut balancer = balancer("a");
        balancer.update_table(ms(0), None, &table);
        let upstream = target(balancer.handle(ms(0), Some(&table), &open(2_000, 0)));
        assert_eq!(upstream.record.id, next_id, "a new flow");
        let cookie = upstream.cookie.expect("a cookie");
        let verdict = balancer.handle(ms(1), Some(&table), &data(2_000, cookie, 1_001, 1));
        assert!(
            matches!(verdict, Verdict::Forward { .. }),
            "a packet of the flow: {verdict:?}"
        );
    }
}
