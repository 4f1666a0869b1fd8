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
        client::{self, Store},
        object,
    },
    skylarkflow_steering::list_watch::{Answer, Call, ContentAction, ListWatch, PeerTables},
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
/// Watches may be answered by a replica of the store that lags behind, unless this balancer is a reader.
pub async fn sync_objects(
    sources: Arc<TableSources>,
    store: Store,
    kind: ObjectKind,
    mut feed: ListWatch,
    mut is_reader: watch::Receiver<bool>,
    mut peer_tables: watch::Receiver<PeerTables>,
) {
    let state = Arc::clone(sources.state());
    let clock = state.clock;
    let mut listed_items: Vec<Value> = Vec::new();
    loop {
        if feed.set_peer_tables(clock.now(), *peer_tables.borrow_and_update()) {
            listed_items.clear();
        }
        let (due, _) = feed.next_call();
        tokio::select! {
            () = time::sleep(due.saturating_sub(clock.now())) => {}
            Ok(()) = peer_tables.changed() => continue,
        }
        state.metrics.count(Counter::StoreCalls);
        let requires_latest = *is_reader.borrow_and_update();
        feed.set_reader(requires_latest);
        let (_, call) = feed.next_call();
        let result = tokio::select! {
            result = call_store(&store, kind, &call, requires_latest) => result,
            // The pending watch is replaced by one that does or does not require the latest state.
            Ok(()) = is_reader.changed() => continue,
        };
        let failures_before = feed.failures();
        let (answer, content) = classify_result(&state, kind, result);
        let store_revision = answer.revision();
        let action = feed.handle_answer(clock.now(), answer);
        record_store_health(&state, kind, failures_before, &feed);
        match (action, content) {
            (ContentAction::Collect, ResponseContent::Page(items)) => listed_items.extend(items),
            (ContentAction::Replace, ResponseContent::Page(items)) => {
                listed_items.extend(items);
                sources.replace_all(kind, feed.revision().unwrap_or_default(), &listed_items);
                listed_items.clear();
            }
            (ContentAction::Apply, ResponseContent::Changes(changes)) => {
                sources.apply_changes(kind, store_revision, &changes)
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
) -> Result<(Answer, ResponseContent), skylarkflow_store::Error> {
    let name = match kind {
        ObjectKind::Config => object::CONFIG,
        ObjectKind::Upstreams => object::UPSTREAMS,
    };
    match call {
        Call::List { after, is_current } => {
            let page = store.list(name, after.as_deref(), *is_current).await?;
            let last = page.items.last().map(|item| object::name(item).to_owned());
            let answer = Answer::Page {
                revision: page.revision,
                next: last.filter(|_| page.more),
            };
            Ok((answer, ResponseContent::Page(page.items)))
        }
        Call::Watch { revision, timeout } => {
            let changes = store
                .watch(name, *revision, *timeout, requires_latest)
                .await?;
            let answer = Answer::Changes {
                revision: changes.revision,
            };
            Ok((answer, ResponseContent::Changes(changes.events)))
        }
    }
}

fn classify_result(
    state: &State,
    kind: ObjectKind,
    result: Result<(Answer, ResponseContent), skylarkflow_store::Error>,
) -> (Answer, ResponseContent) {
    match result {
        Ok(answered) => answered,
        Err(error) if client::is_compacted(&error) => (Answer::Gone, ResponseContent::None),
        Err(error) => {
            state.metrics.count(Counter::StoreFailures);
            let text = format_args!("{kind:?}: {error}");
            state
                .journal
                .record_limited(state.clock.now(), &event::STORE_LOST, text);
            (Answer::Failed, ResponseContent::None)
        }
    }
}

fn record_store_health(state: &State, kind: ObjectKind, failures_before: u32, feed: &ListWatch) {
    state.set_store_unreachable(kind, feed.failures() > 0);
    if failures_before > 0 && feed.failures() == 0 {
        state.journal.record(
            &event::STORE_RECOVERED,
            format_args!("{kind:?}: after {failures_before} failures"),
        );
    }
}
