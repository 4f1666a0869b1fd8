//! Regression tests for upstreams that end without a notice, in virtual time.

mod support;

use {
    skylarkflow_steering::{
        balancer::{Action, Balancer, Verdict},
        liveness::ProbeOutcome,
        table::{Routes, Table},
    },
    support::{at, balancer, config_with_pools, data, directory, ms, open, record, table, target},
};

fn probes(balancer: &mut Balancer) -> Vec<u64> {
    let actions = balancer.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            Action::Probe(upstream) => Some(upstream.record.id),
            _ => None,
        })
        .collect()
}

fn cookie(table: &Table, id: u64) -> u32 {
    let found = table
        .cookies
        .iter()
        .find(|(_, upstream)| upstream.record.id == id);
    *found.expect("the upstream has a cookie").0
}

/// Guards against an upstream that attracts every new flow because it refuses flows at once and therefore looks idle.
/// Only its callers see the refusals.
#[test]
fn an_upstream_that_never_answers_gets_a_single_flow() {
    let directory = directory(&[record(1, "a"), record(2, "a")]);
    let table = table(&directory);
    let mut balancer = balancer("a");
    let mut to_dead = 0;
    for step in 0..200_u16 {
        let now = ms(u64::from(step) * 20);
        balancer.check_openings(now, Some(&table));
        for id in probes(&mut balancer) {
            let outcome = if id == 1 {
                ProbeOutcome::Refused
            } else {
                ProbeOutcome::Answered
            };
            balancer.handle_probe(now, Some(&table), now, id, outcome);
        }
        let upstream = target(balancer.handle(now, Some(&table), &open(step, 0)));
        if upstream.record.id == 1 {
            to_dead += 1;
        } else {
            let answered = data(step, cookie(&table, 2), 1, 1);
            balancer.handle(now + ms(9), Some(&table), &answered);
        }
    }
    assert_eq!(to_dead, 1);
}

/// Guards against callers that wait until their deadlines because their upstream has ended. All of its flows are reset,
/// idle ones included, and each later packet is reset.
#[test]
fn flows_of_an_upstream_that_has_ended_are_reset() {
    let directory = directory(&[record(1, "a")]);
    let table = table(&directory);
    let cookie = cookie(&table, 1);
    let mut balancer = balancer("a");
    for port in 0..3 {
        balancer.handle(ms(0), Some(&table), &open(port, 0));
        balancer.handle(ms(9), Some(&table), &data(port, cookie, 1, 1));
        balancer.handle(ms(40), Some(&table), &data(port, cookie, 201, 900));
    }
    // The caller of one flow retransmits its request, as the upstream does not answer.
    balancer.handle(ms(240), Some(&table), &data(0, cookie, 201, 900));
    assert_eq!(probes(&mut balancer), [1]);
    balancer.handle_probe(ms(490), Some(&table), ms(240), 1, ProbeOutcome::TimedOut);
    let resets = balancer.take_actions().into_iter();
    let resets = resets.filter(|action| matches!(action, Action::Reset { .. }));
    assert_eq!(resets.count(), 3);
    let late = balancer.handle(ms(500), Some(&table), &data(7, cookie, 5, 5));
    assert!(matches!(late, Verdict::Reset(_)), "{late:?}");
}

/// Guards against a reset of flows whose upstream is only slow: an answer on any of its flows after the probe was sent
/// overrides the timeout of the probe.
#[test]
fn an_answer_on_a_flow_overrides_a_probe_that_timed_out() {
    let directory = directory(&[record(1, "a")]);
    let table = table(&directory);
    let cookie = cookie(&table, 1);
    let mut balancer = balancer("a");
    balancer.handle(ms(0), Some(&table), &data(1, cookie, 1, 1));
    balancer.handle(ms(0), Some(&table), &data(2, cookie, 1, 1));
    balancer.handle(ms(200), Some(&table), &data(1, cookie, 1, 1));
    assert_eq!(probes(&mut balancer), [1]);
    balancer.handle(ms(300), Some(&table), &data(2, cookie, 201, 700));
    balancer.handle_probe(ms(450), Some(&table), ms(200), 1, ProbeOutcome::TimedOut);
    assert!(!balancer.looks_down(1));
}

/// Guards against packets of open flows that reach another upstream, which has registered itself at the address of the
/// first one.
#[test]
fn flows_are_reset_when_another_upstream_registers_at_the_same_address() {
    let mut directory = directory(&[record(1, "a")]);
    let mut routes = Routes::default();
    routes.adopt(config_with_pools(1, &["dispatch", "manifests"]));
    let before = routes.table(ms(0), &directory).expect("a configuration");
    let cookie = cookie(&before, 1);
    let mut balancer = balancer("a");
    balancer.update_table(ms(0), None, &before);
    balancer.handle(ms(0), Some(&before), &data(1, cookie, 1, 1));
    let mut next = record(2, "a");
    next.address = record(1, "a").address;
    next.pool = "manifests".to_owned();
    directory.replace(ms(3_000), at(9), vec![(8, next)]);
    let after = routes
        .table(ms(3_000), &directory)
        .expect("a configuration");
    balancer.update_table(ms(3_000), Some(&before), &after);
    let resets = balancer.take_actions().into_iter();
    assert_eq!(
        resets
            .filter(|action| matches!(action, Action::Reset { .. }))
            .count(),
        1
    );
}

/// Guards against an upstream that gets no flows although it is reachable again after a network partition.
#[test]
fn an_upstream_that_answers_again_is_used_again() {
    let directory = directory(&[record(1, "a")]);
    let table = table(&directory);
    let mut balancer = balancer("a");
    balancer.handle(ms(0), Some(&table), &open(1, 0));
    balancer.check_openings(ms(40), Some(&table));
    assert_eq!(probes(&mut balancer), [1]);
    balancer.handle_probe(ms(300), Some(&table), ms(40), 1, ProbeOutcome::TimedOut);
    assert!(balancer.looks_down(1));
    balancer.tick(ms(1_100), Some(&table));
    assert_eq!(probes(&mut balancer), [1]);
    balancer.handle_probe(
        ms(1_110),
        Some(&table),
        ms(1_100),
        1,
        ProbeOutcome::Answered,
    );
    assert!(!balancer.looks_down(1));
}
