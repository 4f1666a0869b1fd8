//! Comparison of the states of several balancers.

use {
    skylarkflow_operator::{
        status::Report,
        wire::{Drain, Member, Phase, Pool, Route, State, Upstream},
    },
    std::net::SocketAddr,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn state(name: &str) -> State {
    let member = |name: &str| Member {
        name: name.to_owned(),
        zone: "a".to_owned(),
        address: address(1),
        state: "alive".to_owned(),
    };
    State {
        name: name.to_owned(),
        zone: "a".to_owned(),
        fence_held: true,
        drain: Drain {
            phase: Phase::Serving,
            ..Drain::default()
        },
        members: ["entry-1", "entry-2", "entry-3"].map(member).to_vec(),
        routes: vec![Route {
            name: "dispatch".to_owned(),
            generation: 2,
            address: address(7001),
            pool: "dispatch".to_owned(),
            deadline_ms: 30_000,
        }],
        pools: vec![Pool {
            name: "dispatch".to_owned(),
            generation: 3,
            slots: 2,
            connections: 2_000,
            upstreams: vec![upstream("one"), upstream("two")],
        }],
        flows: 10,
        ..State::default()
    }
}

fn upstream(name: &str) -> Upstream {
    Upstream {
        name: name.to_owned(),
        address: address(5683),
        zone: "a".to_owned(),
        weight: 1,
        draining: false,
        up: true,
        flows: 5,
        in_flight: 0,
        queued: 0,
    }
}

fn report(states: [State; 3]) -> Report {
    let responses = states.into_iter().enumerate();
    let responses = responses.map(|(index, state)| (address(9000 + index as u16), state));
    Report::new(responses.collect(), Vec::new())
}

fn states() -> [State; 3] {
    ["entry-1", "entry-2", "entry-3"].map(state)
}

fn remarks(report: &Report) -> Vec<(&str, &str)> {
    let balancers = report.balancers.iter();
    balancers
        .flat_map(|balancer| {
            let remarks = balancer.remarks.iter();
            remarks.map(|remark| (&*balancer.name, &**remark))
        })
        .collect()
}

/// Guards against remarks on balancers that differ only in flow counts, health or drain state, which are never in sync.
#[test]
fn health_drain_state_and_flow_counts_are_not_reported_as_differences() {
    let mut states = states();
    states[0].flows = 0;
    states[1].pools[0].upstreams[0].up = false;
    states[2].pools[0].upstreams[0].draining = true;
    let report = report(states);
    assert!(report.is_consistent(), "{report}");
    let digest = &report.balancers[0].digest;
    assert!(
        report
            .balancers
            .iter()
            .all(|balancer| &balancer.digest == digest)
    );
    let [upstream] = &report.upstreams[..] else {
        panic!("{report}");
    };
    assert_eq!(
        upstream.to_string(),
        "upstream dispatch/one with 15 flows: draining at entry-3 down at entry-2"
    );
}

/// Guards against a balancer that lacks a newer generation and gets no remark.
#[test]
fn a_balancer_with_an_older_generation_gets_a_remark() {
    let mut states = states();
    states[1].pools[0].generation = 2;
    states[2].routes.clear();
    let report = report(states);
    assert_eq!(
        remarks(&report),
        [
            ("entry-2", "pools/dispatch has generation 2, others have 3"),
            (
                "entry-3",
                "routes/dispatch is missing, others have generation 2"
            ),
        ]
    );
    assert_eq!(report.generations()["pools/dispatch"], 3);
}

/// Guards against missing two values that were written with the same generation. Gossip never corrects this, because
/// neither value is newer.
#[test]
fn equal_generations_with_different_contents_get_a_remark() {
    let mut states = states();
    states[1].pools[0].upstreams[0].weight = 2;
    assert_eq!(remarks(&report(states)).len(), 3);
}

/// Guards against a network partition between balancers that no remark shows.
#[test]
fn a_balancer_that_does_not_see_a_member_gets_a_remark() {
    let mut states = states();
    states[0].members[2].state = "suspect".to_owned();
    states[1].members.remove(1);
    let report = report(states);
    assert_eq!(
        remarks(&report),
        [("entry-1", "does not see alive: entry-3")]
    );
}

/// Guards against a balancer that is left out of the report because its query failed.
#[test]
fn a_balancer_that_does_not_respond_is_in_the_report() {
    let responses = vec![(address(9000), state("entry-1"))];
    let failed = vec![(address(9001), "timeout".to_owned())];
    let report = Report::new(responses, failed);
    assert!(!report.is_consistent());
    let text = report.to_string();
    assert!(text.contains("! 10.0.0.1:9001"), "{text}");
    assert!(text.contains("timeout"), "{text}");
}
