//! Guards against open flows of a route that are reset by a balancer which still has the version of the configuration
//! that lacked the route, although a later version has it again.

mod support;

use {
    assert_matches::assert_matches,
    skylarkflow_steering::{
        balancer::{Balancer, ResetReason, Settings, Verdict},
        directory::Directory,
        table::{Routes, Table},
    },
    std::{net::SocketAddr, time::Duration},
    support::{balancer, config, data, directory, ms, record, run, service},
};

/// Time of the removal of the route at the balancer.
const REMOVED_AT: Duration = Duration::from_secs(10);

const PORT: u16 = 2_000;

fn upstreams() -> Directory {
    directory(&[record(1, "a")])
}

fn cookie(table: &Table) -> u32 {
    table.cookies.keys().copied().next().expect("an upstream")
}

fn max_lag() -> Duration {
    Settings::default().max_config_lag
}

/// Returns the tables before and after the removal of the route.
fn tables() -> (Table, Table) {
    let upstreams = upstreams();
    let other = SocketAddr::from(([198, 18, 0, 9], 1));
    let mut routes = Routes::default();
    routes.adopt(config(1, &[service(), other]));
    let with = routes.table(ms(0), &upstreams).expect("a configuration");
    routes.adopt(config(2, &[other]));
    let without = routes.table(ms(0), &upstreams).expect("a configuration");
    (with, without)
}

/// Sends a packet of the flow every 100 ms, and returns the time of the first reset.
fn first_reset(
    balancer: &mut Balancer,
    table: &Table,
    from: Duration,
    to: Duration,
) -> Option<Duration> {
    let mut now = from;
    while now < to {
        let packet = data(PORT, cookie(table), 1_001, 1);
        match balancer.handle(now, Some(table), &packet) {
            Verdict::Forward { .. } => {}
            Verdict::Reset(ResetReason::RouteRemoved) => return Some(now),
            other => panic!("{other:?}"),
        }
        run(balancer, table, now..now + ms(100));
        now += ms(100);
    }
    None
}

/// A lagging balancer may be at the version without the route for as long as the platform allows. A flow that reaches
/// it in this time may have been opened by a later version.
#[test]
fn flows_from_other_balancers_are_kept_while_a_later_version_may_have_the_route() {
    let (with, without) = tables();
    for seen_before_removal in [0, 100, 400, 1_000, 3_000, 5_000] {
        let first_packet = REMOVED_AT - ms(seen_before_removal);
        let mut balancer = balancer("a");
        run(&mut balancer, &with, ms(0)..first_packet);
        let kept = first_reset(&mut balancer, &with, first_packet, REMOVED_AT);
        assert_eq!(kept, None);
        let end = first_packet + max_lag();
        let case = format!("first seen {seen_before_removal} ms before the removal");
        let kept = first_reset(&mut balancer, &without, REMOVED_AT, end);
        assert_eq!(kept, None, "{case}");
        let reset = first_reset(&mut balancer, &without, end, end + ms(1_000));
        assert_eq!(reset, Some(end), "{case}");
    }
}

/// A balancer that was paused may have missed any number of versions, however long it has known the flow.
#[test]
fn a_balancer_that_was_paused_keeps_flows_until_it_has_caught_up() {
    let (with, without) = tables();
    let mut balancer = balancer("a");
    let first_packet = REMOVED_AT - ms(1_000);
    run(&mut balancer, &with, ms(0)..first_packet);
    let kept = first_reset(&mut balancer, &with, first_packet, REMOVED_AT + ms(200));
    assert_eq!(kept, None);
    let resumed = REMOVED_AT + 2 * max_lag();
    let kept = first_reset(&mut balancer, &without, resumed, resumed + max_lag());
    assert_eq!(kept, None);
}

/// Guards against a fix that forgets routes that are really gone: flows that are older are reset at once, and again if
/// the reset is lost.
#[test]
fn flows_of_a_removed_route_are_reset() {
    let (with, without) = tables();
    let mut balancer = balancer("a");
    run(&mut balancer, &with, ms(0)..ms(1_000));
    let kept = first_reset(&mut balancer, &with, ms(1_000), REMOVED_AT);
    assert_eq!(kept, None);
    for repetition in 0..3 {
        let now = REMOVED_AT + ms(200 * repetition);
        run(&mut balancer, &without, now - ms(25)..now);
        let packet = data(PORT, cookie(&without), 1_001, 1);
        let verdict = balancer.handle(now, Some(&without), &packet);
        assert_matches!(verdict, Verdict::Reset(ResetReason::RouteRemoved));
        run(&mut balancer, &without, now..now + ms(150));
    }
}

/// Guards against a route that is added again and whose former removal still ends flows.
#[test]
fn flows_of_a_route_that_is_there_again_are_kept() {
    let upstreams = upstreams();
    let mut routes = Routes::default();
    routes.adopt(config(1, &[service()]));
    routes.adopt(config(2, &[]));
    routes.adopt(config(3, &[service()]));
    let table = routes.table(ms(0), &upstreams).expect("a configuration");
    let mut balancer = balancer("a");
    let kept = first_reset(&mut balancer, &table, ms(0), 3 * max_lag());
    assert_eq!(kept, None);
}
