//! Tests of the administration API of a balancer process.

mod support;

use {
    coap_lite::RequestType,
    reqwest::{Method, StatusCode},
    skylarkflow_emulator::caller::Caller,
    skylarkflow_operator::wire::{Drain, Phase, Ready, State, Upstream},
    std::{thread, time::Duration},
    support::{
        CONDITION_TIMEOUT,
        site::{Options, SERVICE, Site, wait_until},
    },
};

const TOKEN: &str = "5f0c7a";

fn send_request(site: &Site, method: Method, path: &str, token: Option<&str>) -> reqwest::Response {
    let url = format!("http://{}{path}", site.balancers[0].address("admin"));
    let client = reqwest::Client::new();
    let mut request = client.request(method, url);
    if let Some(token) = token {
        request = request.bearer_auth(token);
    }
    let response = site.runtime.block_on(request.send());
    response.expect("the balancer answers")
}

fn start_single_balancer(settings: &str) -> Site {
    Site::start(&Options {
        zones: vec!["tacoma"],
        upstreams: 2,
        settings: settings.to_owned(),
        ..Options::default()
    })
}

/// Guards against a `/v1/state` response that lacks the members, routes or pools that are in force.
#[test]
fn the_state_shows_members_routes_and_pools() {
    let site = start_single_balancer("");
    let state: State = site.state(0).expect("a state");
    assert_eq!(state.name, "entry-0");
    assert_eq!(state.members.len(), 1);
    assert_eq!(state.members[0].state, "alive");
    assert_eq!(state.routes[0].name, SERVICE);
    assert_eq!(state.routes[0].generation, 1);
    assert_eq!(state.routes[0].deadline_ms, 10_000);
    assert_eq!(state.pools[0].upstreams.len(), 2);
    assert_eq!(state.drain.phase, Phase::Serving);
}

/// Guards against a state that shows an operator an upstream as idle although it has flows and requests in flight.
#[test]
fn the_state_shows_flows_and_requests_in_flight() {
    let site = start_single_balancer("");
    let total_over_upstreams = |count: fn(&Upstream) -> u64| {
        let state = site.state(0).expect("a state");
        state.pools[0].upstreams.iter().map(count).sum::<u64>()
    };
    assert!(
        site.state(0).expect("a state").pools[0]
            .upstreams
            .iter()
            .all(|upstream| upstream.up)
    );
    assert_eq!(total_over_upstreams(|upstream| upstream.flows), 0);
    for upstream in &site.upstreams {
        upstream.update_behaviour(|behaviour| behaviour.service_time = Duration::from_secs(3));
    }
    let mut caller = Caller::new(site.service).expect("a socket");
    let request =
        thread::spawn(move || caller.request(RequestType::Get, "stops", CONDITION_TIMEOUT));
    wait_until("the request is in flight", || {
        total_over_upstreams(|upstream| upstream.flows) == 1
            && total_over_upstreams(|upstream| upstream.in_flight) == 1
    });
    request
        .join()
        .expect("the caller ends")
        .expect("a response");
    wait_until("the request has ended", || {
        total_over_upstreams(|upstream| upstream.in_flight) == 0
    });
    assert_eq!(total_over_upstreams(|upstream| upstream.flows), 1);
}

/// Guards against a fabric that keeps delivering to a draining balancer because `/v1/ready` still reports it as ready.
#[test]
fn readiness_ends_with_the_start_of_a_drain() {
    let mut site = start_single_balancer("drain: {limit: 20s, quiet: 2s}\n");
    assert_eq!(
        send_request(&site, Method::GET, "/v1/ready", None).status(),
        StatusCode::OK
    );
    let response = send_request(&site, Method::POST, "/v1/drain", None);
    assert_eq!(response.status(), StatusCode::ACCEPTED);
    let drain: Drain = site.runtime.block_on(response.json()).expect("a drain");
    assert_eq!(drain.phase, Phase::Draining);
    let response = send_request(&site, Method::GET, "/v1/ready", None);
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let ready: Ready = site.runtime.block_on(response.json()).expect("readiness");
    assert!(!ready.ready);
    let ingress = site.balancers[0].address("ingress");
    wait_until("the fabric stops delivering", || {
        !site.fabric.ready().contains(&ingress)
    });
    assert_eq!(site.balancers[0].wait(), Some(0));
}

/// Guards against requests that are accepted without the configured token, and against a GET that starts a drain.
#[test]
fn calls_without_the_token_are_refused() {
    let site = Site::start_without_waiting(&Options {
        zones: vec!["tacoma"],
        settings: format!("admin: {{token: {TOKEN}}}\n"),
        ..Options::default()
    });
    for path in ["/v1/ready", "/v1/state", "/v1/drain"] {
        for token in [None, Some("5f0c7b"), Some("5f0c7a0"), Some("")] {
            let response = send_request(&site, Method::GET, path, token);
            assert_eq!(response.status(), StatusCode::UNAUTHORIZED, "{path}");
        }
    }
    let response = send_request(&site, Method::POST, "/v1/drain", None);
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    let response = send_request(&site, Method::GET, "/v1/drain", Some(TOKEN));
    assert_eq!(response.status(), StatusCode::METHOD_NOT_ALLOWED);
    let response = send_request(&site, Method::GET, "/v1/state", Some(TOKEN));
    assert_eq!(response.status(), StatusCode::OK);
}
