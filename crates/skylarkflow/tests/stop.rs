//! A balancer that stops under load, by plan or by a crash.

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

/// Longest time without service for a part of the flows after a crash: the bound on the convergence of the owner tables.
const RECOVERY: Duration = Duration::from_secs(5);

/// Probes in a row that must succeed for the service to count as recovered; each opens a flow of its own.
const PROBES: usize = 60;

/// Time for the answer to a probe; above the time that a short request may wait behind a long one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

fn mix() -> Vec<RequestKind> {
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

fn site() -> Site {
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

fn load(service: SocketAddr) -> LoadGenerator {
    let settings = Settings {
        service,
        flows: 60,
        rate: 80.0,
        mix: mix(),
        ..Settings::default()
    };
    LoadGenerator::start(settings).expect("a load generator")
}

fn wait_for_answers(load: &LoadGenerator, more: u64) {
    let before = load.report().total().answered;
    wait_until("requests are answered under load", || {
        load.report().total().answered >= before + more
    });
}

/// A request ran at most once, exactly once if it was answered, and never if the caller was told that it did not run.
fn assert_at_most_once(site: &Site, report: &Report) {
    let executed = site.executed();
    let twice: Vec<_> = executed.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
    for query in &report.answered {
        assert_eq!(executed.get(query), Some(&1), "answered: {query}");
    }
    for query in &report.refused {
        assert_eq!(executed.get(query), None, "refused: {query}");
    }
}

/// Guards against a planned stop that breaks flows or cuts requests in flight.
#[test]
fn a_planned_stop_under_load_is_not_noticed() {
    let mut site = site();
    let load = load(site.service);
    wait_for_answers(&load, 200);
    site.balancers[0].signal("TERM");
    assert_eq!(site.balancers[0].wait(), Some(0));
    wait_for_answers(&load, 200);
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

/// Guards against a crash that takes the service down for good, or that makes a request run twice.
#[test]
fn a_crash_under_load_is_survived_within_seconds() {
    let mut site = site();
    let load = load(site.service);
    wait_for_answers(&load, 200);
    site.balancers[0].signal("KILL");
    let crash = Instant::now();
    assert_eq!(site.balancers[0].wait(), None);
    let mut failed = crash;
    let mut successes = 0;
    wait_until("new flows are answered again", || {
        let start = Instant::now();
        let mut caller = Caller::new(site.service).expect("a socket");
        let answer = caller.request(RequestType::Get, "stops", PROBE_TIMEOUT);
        if answer.is_ok() {
            successes += 1;
        } else {
            failed = start;
            successes = 0;
        }
        successes >= PROBES
    });
    let recovery = failed.duration_since(crash);
    assert!(recovery < RECOVERY, "{recovery:?}");
    wait_for_answers(&load, 200);
    let report = load.finish();
    assert_eq!(report.total().mismatched, 0);
    assert_at_most_once(&site, &report);
}
