//! A single balancer: as the acting owner of flows whose home zone is unreachable, and as the last balancer to drain.

use {
    skylarkflow_policy::{
        balancer::{Action, Core, Event},
        config::{Pool, Route, Snapshot, Upstream},
        dedupe::QUARANTINE,
        dispatch::FifoDispatcher,
        exchange::{Body, Effect, Kind, Request, Token},
        flow::Key,
        owner::{Decision, Member, View},
    },
    std::{sync::Arc, time::Duration},
};

const OWN_ID: u64 = 7;

fn tables() -> Arc<Snapshot> {
    let route = Route {
        name: "dispatch".to_owned(),
        generation: 1,
        address: "10.8.0.1:5683".parse().unwrap(),
        pool: "dispatch".to_owned(),
        deadline: Duration::from_secs(10),
    };
    let upstream = Upstream {
        name: "u0".to_owned(),
        address: "10.7.0.1:5683".parse().unwrap(),
        zone: "z1".to_owned(),
        weight: 1,
        drain: false,
    };
    let pool = Pool {
        name: "dispatch".to_owned(),
        generation: 1,
        slots: 2,
        connections: 100,
        upstreams: vec![upstream],
    };
    Arc::new(Snapshot::new(vec![route], vec![pool]))
}

fn view(zones: &[&'static str]) -> View {
    let member = Member {
        id: OWN_ID,
        zone: "z1".to_owned(),
        address: "10.6.0.1:7400".parse().unwrap(),
    };
    View::new(zones.iter().copied(), &[member])
}

/// Returns a flow whose home zone is `z0`, so that the balancer in `z1` is only its acting owner.
fn flow_of_other_zone(view: &View) -> Key {
    let flows = (1_024..2_048).map(|port| Key {
        caller: format!("10.1.0.1:{port}").parse().unwrap(),
        service: "10.8.0.1:5683".parse().unwrap(),
    });
    let mut flows = flows.filter(|key| view.decide(key.hash()) == Decision::Acting(OWN_ID));
    flows.next().unwrap()
}

/// Sends a request and returns whether it is dispatched. Checks that otherwise the reply says that its outcome is
/// unknown.
fn is_dispatched(core: &Core, now: Duration, key: Key, message_id: u16, effect: Effect) -> bool {
    let request = Request {
        kind: Kind::Confirmable,
        message_id,
        token: Token::from(u64::from(message_id)),
        effect,
        class: 0,
        bytes: Vec::new(),
    };
    let fabric = "10.9.0.1:7000".parse().unwrap();
    let event = Event::Request {
        fabric,
        key,
        request,
    };
    let mut actions = Vec::new();
    core.handle(now, event, &mut actions);
    let is_unknown =
        |one: &Action| matches!(one, Action::Reply { reply, .. } if reply.body == Body::Unknown);
    let is_dispatch = |one: &Action| matches!(one, Action::Dispatch { .. });
    let dispatched = actions.iter().any(is_dispatch);
    assert_ne!(dispatched, actions.iter().any(is_unknown), "{actions:?}");
    dispatched
}

/// Guards against a second run of a non-idempotent request on the other side of a partition between zones. The home
/// zone may have run the request, so the acting owner does not dispatch it until the quarantine after the removal of
/// that zone ends.
#[test]
fn acting_owner_serves_only_idempotent_requests() {
    let core = Core::new(OWN_ID, 1, FifoDispatcher::factory());
    let start = Duration::from_secs(1_000);
    core.set_tables(start, tables());
    // The fence is held for the whole test, so only the acting ownership and the quarantine of the flow matter.
    core.set_fence(start, start + 10 * QUARANTINE);
    let partitioned = view(&["z0", "z1"]);
    let key = flow_of_other_zone(&partitioned);
    core.set_view(start, partitioned);
    let is_post_dispatched = |now, id| is_dispatched(&core, now, key, id, Effect::NonIdempotent);
    assert!(is_dispatched(&core, start, key, 1, Effect::Idempotent));
    assert!(!is_post_dispatched(start, 2));
    assert!(!is_post_dispatched(start + 2 * QUARANTINE, 3));

    let removed_at = start + 3 * QUARANTINE;
    core.set_view(removed_at, view(&["z1"]));
    assert!(
        !is_post_dispatched(removed_at, 4),
        "the home zone may have served the flow until now"
    );
    assert!(!is_post_dispatched(
        removed_at + QUARANTINE - Duration::from_millis(1),
        5
    ));
    assert!(is_post_dispatched(removed_at + QUARANTINE, 6));
}

/// Guards against a drain of a whole deployment in which the last balancer waits until its time limit, because no other
/// balancer can take over its flows.
#[test]
fn last_balancer_leaves_once_its_requests_have_finished() {
    let core = Core::new(OWN_ID, 1, FifoDispatcher::factory());
    let start = Duration::from_secs(1_000);
    core.set_tables(start, tables());
    core.set_fence(start, start + 10 * QUARANTINE);
    core.set_view(start, view(&["z1"]));
    let key = Key {
        caller: "10.1.0.1:1024".parse().unwrap(),
        service: "10.8.0.1:5683".parse().unwrap(),
    };
    assert!(is_dispatched(&core, start, key, 1, Effect::Idempotent));
    core.leave(start);
    core.set_view(start, View::new(["z1"], &[]));
    assert!(!core.is_drained(), "a request is in flight");
    let late = start + Duration::from_secs(11);
    core.handle(late, Event::Tick, &mut Vec::new());
    assert!(core.is_drained());
    assert_eq!(core.flow_count(), 1);
}
