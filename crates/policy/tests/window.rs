//! The deduplication window of a flow.

use {
    skylarkflow_policy::{
        dedupe::{CacheLimit, EXCHANGE_LIFETIME, LookupResult, QUARANTINE, State, Window},
        exchange::{Body, Effect, Token},
    },
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(1_000);

fn post(window: &mut Window, message_id: u16, bytes: usize, limit: &CacheLimit) {
    let token = Token::from(u64::from(message_id));
    window.insert(NOW, message_id, token, Effect::NonIdempotent);
    window.record_answer(message_id, &Body::Answer(vec![0; bytes]), limit);
}

/// Guards against a second run of a request whose response does not fit into the shared cache. The window keeps the
/// request without its response.
#[test]
fn full_cache_evicts_the_response_but_not_the_request() {
    let limit = CacheLimit::new(100);
    let mut window = Window::default();
    post(&mut window, 1, 80, &limit);
    post(&mut window, 2, 80, &limit);
    let found = window.lookup(2, Token::from(2));
    assert_eq!(found, LookupResult::Evicted);
    assert!(matches!(
        window.lookup(1, Token::from(1)),
        LookupResult::Answered(_)
    ));
}

/// Guards against a cache limit that fills up for good because expired responses still count towards it.
#[test]
fn expired_responses_release_their_bytes() {
    let limit = CacheLimit::new(1_000);
    let mut window = Window::default();
    (1..=20).for_each(|id| post(&mut window, id, 10, &limit));
    assert_eq!(limit.used(), 160, "16 responses of one flow");
    window.expire(NOW + EXCHANGE_LIFETIME, &limit);
    assert_eq!(limit.used(), 0);
    assert!(window.is_empty());
}

/// Guards against the response of an earlier request when a caller reuses a Message ID too early.
#[test]
fn reused_message_id_with_another_token_is_a_conflict() {
    let limit = CacheLimit::new(1_000);
    let mut window = Window::default();
    post(&mut window, 1, 10, &limit);
    assert_eq!(window.lookup(1, Token::from(9)), LookupResult::Conflict);
}

/// Guards against a run of a request that was reported as not run, and against a second run, after a flow has moved to
/// another balancer. Marks of such requests move with the flow as long as a retransmission may arrive.
#[test]
fn marks_move_while_a_retransmission_may_arrive() {
    let limit = CacheLimit::new(1_000);
    let mut window = Window::default();
    window.insert(NOW, 1, Token::from(1), Effect::Idempotent);
    window.record_answer(1, &Body::NotRun { max_age: 1 }, &limit);
    post(&mut window, 2, 10, &limit);
    window.insert(NOW, 3, Token::from(3), Effect::Idempotent);
    window.record_answer(3, &Body::Answer(Vec::new()), &limit);
    let moved: Vec<u16> = window
        .marks(NOW)
        .iter()
        .map(|mark| mark.message_id)
        .collect();
    assert_eq!(moved, [1, 2]);
    assert!(window.marks(NOW + QUARANTINE).is_empty());
}

/// Guards against an older record of a request that overwrites its answer.
#[test]
fn merge_keeps_the_answer() {
    let limit = CacheLimit::new(1_000);
    let mut window = Window::default();
    post(&mut window, 1, 10, &limit);
    let mut marks = window.marks(NOW);
    marks[0].state = State::InFlight;
    window.merge(NOW, marks, &limit);
    assert!(matches!(
        window.lookup(1, Token::from(1)),
        LookupResult::Answered(_)
    ));
}
