//! Planned stop and crash of a balancer under load.

mod support;

use {
    coap_lite::RequestType,
    skylarkflow_emulator::{
        caller::Caller,
        load_generator::{LoadGenerator, Report, RequestKind, Settings},
        upstream::Behaviour,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::site::{Options, Site, wait_until},
};

/// Longest time after a crash during which a part of the flows may go without service: the bound on the convergence of
/// the owner tables.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

/// Consecutive probes that must succeed for the service to count as recovered; each opens a new flow.
const REQUIRED_PROBES: usize = 60;

/// Timeout of a probe. It is above the time that a short request may wait behind a long one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

fn request_mix() -> Vec<RequestKind> {
    let kind = |name, method, path: &str, weight| RequestKind {
        name,
        method,
        path: path.to_owned(),
        weight,
    };
    vec![
        kind("read", RequestType::Get, "stops", 6),
        kind("post", RequestType::Post, "weights", 5),
        kind("long", RequestType::Get, "long", 1),
    ]
}

fn start_site() -> Site {
    Site::start(&Options {
        behaviour: Behaviour {
            service_time: Duration::from_millis(5),
            long_time: Duration::from_millis(600),
            ..Behaviour::default()
        },
        upstreams: 6,
        settings: "drain: {limit: 20s}\n".to_owned(),
        ..Options::default()
    })
}

fn start_load(service: SocketAddr) -> LoadGenerator {
    let settings = Settings {
        service,
        flows: 60,
        rate: 80.0,
        mix: request_mix(),
        ..Settings::default()
    };
    LoadGenerator::start(settings).expect("a load generator")
}

/// Waits until the load generator has received this many additional responses.
fn wait_for_responses(load: &LoadGenerator, additional: u64) {
    let before = load.report().total().answered;
    wait_until("requests are answered under load", || {
        load.report().total().answered >= before + additional
    });
}

/// Asserts that every non-idempotent request ran at most once, exactly once if it was answered, and not at all if it
/// was refused with 5.03.
fn assert_at_most_once(site: &Site, report: &Report) {
    let executed = site.executed();
    let repeated: Vec<_> = executed.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "ran more than once: {repeated:?}");
    for query in &report.answered {
        assert_eq!(executed.get(query), Some(&1), "answered: {query}");
    }
    for query in &report.refused {
        assert_eq!(executed.get(query), None, "refused: {query}");
    }
}

/// Guards against a planned stop that moves flows to other upstreams, cuts requests in flight or makes a request run
/// twice.
#[test]
fn a_planned_stop_under_load_breaks_no_flow_or_request() {
    let mut site = start_site();
    let load = start_load(site.service);
    wait_for_responses(&load, 200);
    site.balancers[0].signal("TERM");
    assert_eq!(site.balancers[0].wait(), Some(0));
    wait_for_responses(&load, 200);
    let report = load.finish();
    let total = report.total();
    assert_eq!(
        (total.timed_out, total.unknown, total.mismatched),
        (0, 0, 0)
    );
    assert_eq!(report.upstream_changes, 0);
    assert_eq!(total.answered + total.refused, total.arrived);
    assert_at_most_once(&site, &report);
}

/// Guards against a crash after which the service stays down for a part of the flows, or that makes a request run
/// twice.
#[test]
fn service_recovers_within_the_limit_after_a_crash_under_load() {
    let mut site = start_site();
    let load = start_load(site.service);
    wait_for_responses(&load, 200);
    site.balancers[0].signal("KILL");
    let crash = Instant::now();
    assert_eq!(site.balancers[0].wait(), None);
    let mut last_failure = crash;
    let mut successes = 0;
    wait_until("new flows are answered again", || {
        let start = Instant::now();
        let mut caller = Caller::new(site.service).expect("a socket");
        let response = caller.request(RequestType::Get, "stops", PROBE_TIMEOUT);
        if response.is_ok() {
            successes += 1;
        } else {
            last_failure = start;
            successes = 0;
        }
        successes >= REQUIRED_PROBES
    });
    let recovery = last_failure.duration_since(crash);
    assert!(recovery < RECOVERY_LIMIT, "{recovery:?}");
    wait_for_responses(&load, 200);
    let report = load.finish();
    assert_eq!(report.total().mismatched, 0);
    assert_at_most_once(&site, &report);
}
