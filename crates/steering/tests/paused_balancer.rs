//! Regression tests for a balancer whose process was paused, and which reads old packets and probe outcomes afterwards.

mod support;

use {
    skylarkflow_steering::{balancer::Action, liveness::ProbeOutcome},
    support::{balancer, data, directory, ms, open, record, table, target},
};

/// Guards against a reset of an open flow by a balancer that read an opening packet late and chose an upstream for it,
/// which then ended. A retransmission of the packet had already opened the flow at a different upstream, which the
/// cookie shows.
#[test]
fn the_cookie_overrides_the_upstream_chosen_for_a_late_opening_packet() {
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
    // Another opening packet is not answered, so upstream 1 is probed and found dead.
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
    // The flow from port 4002 may have been opened through another balancer, by a retransmission of its opening packet.
    assert_eq!(flows, [4_001]);
}

/// Guards against resets by a balancer that was paused while a probe was in progress: the probe timed out because of
/// the pause and not because of the upstream.
#[test]
fn a_probe_that_timed_out_during_a_pause_is_ignored() {
    let directory = directory(&[record(1, "a")]);
    let table = table(&directory);
    let mut balancer = balancer("a");
    balancer.handle(ms(0), Some(&table), &open(4_000, 0));
    balancer.check_openings(ms(40), Some(&table));
    balancer.handle_probe(ms(5_040), Some(&table), ms(40), 1, ProbeOutcome::TimedOut);
    assert!(!balancer.looks_down(1));
}
