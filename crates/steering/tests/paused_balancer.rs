//! Regression: a balancer that was paused reads old opening packets and must not judge their flows by its own choice.

mod support;

use {
    skylarkflow_steering::{balancer::Action, liveness::ProbeOutcome},
    support::{balancer, data, directory, ms, open, record, table, target},
};

/// Guards against a reset of an open flow because the upstream that this balancer chose for a late copy of its opening
/// packet has ended, while the flow was opened at another upstream.
#[test]
fn the_cookie_decides_which_upstream_a_flow_has() {
    let directory = directory(&[record(1, "a"), record(2, "b")]);
    let table = table(&directory);
    let mut balancer = balancer("a");
    let chosen = target(balancer.handle(ms(0), Some(&table), &open(4_000, 0)));
    assert_eq!(chosen.record.id, 1);
    let other = table
        .cookies
        .values()
        .find(|upstream| upstream.record.id == 2)
        .expect("upstream 2 is registered");
    let cookie = other.cookie.expect("upstream 2 has a cookie");
    let used = target(balancer.handle(ms(100), Some(&table), &data(4_000, cookie, 1_001, 1)));
    assert_eq!(used.record.id, 2);
    let first = chosen.cookie.expect("upstream 1 has a cookie");
    balancer.handle(ms(150), Some(&table), &data(4_001, first, 1_001, 1));
    // Another opening stays silent, so upstream 1 is probed and found dead.
    balancer.handle(ms(400), Some(&table), &open(4_002, 0));
    balancer.check_openings(ms(500), Some(&table));
    balancer.handle_probe(ms(510), Some(&table), ms(500), 1, ProbeOutcome::Refused);
    let resets = balancer.take_actions().into_iter();
    let flows: Vec<u16> = resets
        .filter_map(|action| match action {
            Action::Reset { key, .. } => Some(key.caller.port()),
            _ => None,
        })
        .collect();
    // The flow 4002 may have been opened by a copy of its opening packet through another balancer.
    assert_eq!(flows, [4_001]);
}

/// Guards against resets by a balancer that was paused while a probe was out: the time-out that it sees when it wakes
/// is its own.
#[test]
fn a_probe_that_a_pause_has_interrupted_decides_nothing() {
    let directory = directory(&[record(1, "a")]);
    let table = table(&directory);
    let mut balancer = balancer("a");
    balancer.handle(ms(0), Some(&table), &open(4_000, 0));
    balancer.check_openings(ms(40), Some(&table));
    balancer.handle_probe(ms(5_040), Some(&table), ms(40), 1, ProbeOutcome::TimedOut);
    assert!(!balancer.looks_down(1));
}
