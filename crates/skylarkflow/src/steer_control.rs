//! Keeps the objects of a steering balancer in sync with the store, by a list and then watches.

use {
    crate::{
        event,
        metrics::Counter,
        steer_sources::{ObjectKind, TableSources},
        steer_state::State,
    },
    serde_json::Value,
    skylarkflow_adapter::{
        client::{self, Response, Store},
        object,
    },
    skylarkflow_steering::{
        gossip::Role,
        list_watch::{Call, CallOutcome, ContentAction, ListWatch, PeerTables},
        position::{Epoch, Position},
    },
    std::sync::Arc,
    tokio::{sync::watch, time},
};

/// Objects or changes in a response of the store.
enum ResponseContent {
    Page(Vec<Value>),
    Changes(Vec<object::Change>),
    None,
}

/// Lists and watches one kind of object and applies the results to `sources` until the task is aborted.
///
/// Watches may be served by a lagging replica of the store, unless this balancer is a reader. A follower makes none.
pub async fn sync_objects(
    sources: Arc<TableSources>,
    store: Store,
    kind: ObjectKind,
    mut list_watch: ListWatch,
    mut role: watch::Receiver<Role>,
    mut peer_tables: watch::Receiver<PeerTables>,
) {
    let state = Arc::clone(sources.state());
    let clock = state.clock;
    let mut epoch = sources.subscribe_epoch();
    let mut listed_items: Vec<Value> = Vec::new();
    loop {
        if list_watch.set_peer_tables(clock.now(), *peer_tables.borrow_and_update()) {
            listed_items.clear();
        }
        let current_role = *role.borrow_and_update();
        if list_watch.is_paused() && kind == ObjectKind::Upstreams {
            // The configuration has no revision of its own in the tables of peers, so its watch is not moved.
            list_watch.advance(sources.freshness().position);
        }
        let known_epoch = *epoch.borrow_and_update();
        list_watch.observe_epoch(clock.now(), known_epoch);
        list_watch.set_role(clock.now(), current_role);
        if list_watch.is_paused() {
            state.set_store_unreachable(kind, false);
        }
        let (due, _) = list_watch.next_call();
        tokio::select! {
            () = time::sleep(due.saturating_sub(clock.now())) => {}
            Ok(()) = peer_tables.changed() => continue,
            Ok(()) = role.changed() => continue,
            Ok(()) = epoch.changed() => continue,
        }
        state.metrics.count(Counter::StoreCalls);
        let requires_latest = current_role == Role::Reader;
        let (_, call) = list_watch.next_call();
        let result = tokio::select! {
            result = call_store(&store, kind, &call, requires_latest, known_epoch) => result,
            // The pending watch is replaced by one that suits the new role, or by a list of the restored store.
            Ok(()) = role.changed() => continue,
            Ok(()) = epoch.changed() => continue,
        };
        let failures_before = list_watch.failures();
        let (outcome, content) = classify_result(&state, kind, result);
        let store_position = outcome.position();
        if let Some(position) = store_position {
            record_response(&sources, kind, &call, position);
        }
        let known_position = list_watch.position();
        let action = list_watch.handle_outcome(clock.now(), outcome);
        if action == ContentAction::Ignore && store_position.is_some() {
            record_outdated_response(&state, kind, store_position, known_position);
        }
        record_store_health(&state, kind, failures_before, &list_watch);
        match (action, content) {
            (ContentAction::Collect, ResponseContent::Page(items)) => listed_items.extend(items),
            (ContentAction::Replace, ResponseContent::Page(items)) => {
                listed_items.extend(items);
                sources.replace_all(
                    kind,
                    list_watch.position().unwrap_or_default(),
                    &listed_items,
                );
                listed_items.clear();
            }
            (ContentAction::Apply, ResponseContent::Changes(changes)) => {
                sources.apply_changes(kind, store_position.unwrap_or_default(), &changes)
            }
            _ => listed_items.clear(),
        }
    }
}

async fn call_store(
    store: &Store,
    kind: ObjectKind,
    call: &Call,
    requires_latest: bool,
    known_epoch: Epoch,
) -> Result<(CallOutcome, ResponseContent), skylarkflow_store::Error> {
    let name = match kind {
        ObjectKind::Config => object::CONFIG,
        ObjectKind::Upstreams => object::UPSTREAMS,
    };
    match call {
        Call::List { after, is_current } => {
            let Response { epoch, body: page } =
                store.list(name, after.as_deref(), *is_current).await?;
            let last = page.items.last().map(|item| object::name(item).to_owned());
            let position = Position {
                epoch: epoch.unwrap_or(known_epoch),
                revision: page.revision,
            };
            let outcome = CallOutcome::Page {
                position,
                next: last.filter(|_| page.more),
            };
            Ok((outcome, ResponseContent::Page(page.items)))
        }
        Call::Watch { revision, timeout } => {
            let Response {
                epoch,
                body: changes,
            } = store
                .watch(name, *revision, *timeout, requires_latest)
                .await?;
            let position = Position {
                epoch: epoch.unwrap_or(known_epoch),
                revision: changes.revision,
            };
            let outcome = CallOutcome::Changes { position };
            Ok((outcome, ResponseContent::Changes(changes.events)))
        }
    }
}

fn classify_result(
    state: &State,
    kind: ObjectKind,
    result: Result<(CallOutcome, ResponseContent), skylarkflow_store::Error>,
) -> (CallOutcome, ResponseContent) {
    match result {
        Ok(outcome) => outcome,
        Err(error) if client::is_compacted(&error) => (CallOutcome::Gone, ResponseContent::None),
        Err(error) => {
            state.metrics.count(Counter::StoreFailures);
            let text = format_args!("{kind:?}: {error}");
            state
                .event_log
                .record_limited(state.clock.now(), &event::STORE_LOST, text);
            (CallOutcome::Failed, ResponseContent::None)
        }
    }
}

fn record_response(sources: &TableSources, kind: ObjectKind, call: &Call, position: Position) {
    sources.observe_epoch(position.epoch);
    let text = format_args!("{kind:?}: {position:?} after {call:?}");
    sources
        .state()
        .event_log
        .record(&event::STORE_RESPONSE, text);
}

fn record_outdated_response(
    state: &State,
    kind: ObjectKind,
    store_position: Option<Position>,
    known_position: Option<Position>,
) {
    state.metrics.count(Counter::StoreResponsesOutdated);
    let text = format_args!("{kind:?}: {store_position:?}, known is {known_position:?}");
    state
        .event_log
        .record_limited(state.clock.now(), &event::STORE_RESPONSE_OUTDATED, text);
}

fn record_store_health(
    state: &State,
    kind: ObjectKind,
    failures_before: u32,
    list_watch: &ListWatch,
) {
    state.set_store_unreachable(kind, list_watch.failures() > 0);
    if failures_before > 0 && list_watch.failures() == 0 {
        state.event_log.record(
            &event::STORE_RECOVERED,
            format_args!("{kind:?}: after {failures_before} failures"),
        );
    }
}
