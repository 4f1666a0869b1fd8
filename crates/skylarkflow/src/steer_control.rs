//! Follows the store for a steering balancer.

use {
    crate::{
        event,
        metrics::Counter,
        steer_sources::{Kind, Sources},
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

enum Content {
    Page(Vec<Value>),
    Changes(Vec<object::Change>),
    None,
}

/// Reads one kind of object until the task is dropped.
///
/// Watches are answered by a copy of the store unless this balancer is a reader.
pub async fn follow(
    sources: Arc<Sources>,
    store: Store,
    kind: Kind,
    mut feed: ListWatch,
    mut is_reader: watch::Receiver<bool>,
    mut help: watch::Receiver<PeerTables>,
) {
    let state = Arc::clone(sources.state());
    let clock = state.clock;
    let mut collected: Vec<Value> = Vec::new();
    loop {
        if feed.set_peer_tables(clock.now(), *help.borrow_and_update()) {
            collected.clear();
        }
        let (due, _) = feed.next_call();
        tokio::select! {
            () = time::sleep(due.saturating_sub(clock.now())) => {}
            Ok(()) = help.changed() => continue,
        }
        state.metrics.count(Counter::StoreCalls);
        let is_current = *is_reader.borrow_and_update();
        feed.set_reader(is_current);
        let (_, call) = feed.next_call();
        let result = tokio::select! {
            result = perform(&store, kind, &call, is_current) => result,
            // The wait for changes goes on with another kind of call.
            Ok(()) = is_reader.changed() => continue,
        };
        let before = feed.failures();
        let (answer, content) = answer(&state, kind, result);
        let shown = answer.revision();
        let verdict = feed.handle_answer(clock.now(), answer);
        report(&state, kind, before, &feed);
        match (verdict, content) {
            (ContentAction::Collect, Content::Page(items)) => collected.extend(items),
            (ContentAction::Replace, Content::Page(items)) => {
                collected.extend(items);
                sources.replace(kind, feed.revision().unwrap_or_default(), &collected);
                collected.clear();
            }
            (ContentAction::Apply, Content::Changes(changes)) => {
                sources.apply(kind, shown, &changes)
            }
            _ => collected.clear(),
        }
    }
}

async fn perform(
    store: &Store,
    kind: Kind,
    call: &Call,
    is_current: bool,
) -> Result<(Answer, Content), skylarkflow_store::Error> {
    let name = match kind {
        Kind::Config => object::CONFIG,
        Kind::Upstreams => object::UPSTREAMS,
    };
    match call {
        Call::List { after, is_current } => {
            let page = store.list(name, after.as_deref(), *is_current).await?;
            let last = page.items.last().map(|item| object::name(item).to_owned());
            let answer = Answer::Page {
                revision: page.revision,
                next: last.filter(|_| page.more),
            };
            Ok((answer, Content::Page(page.items)))
        }
        Call::Watch { revision, timeout } => {
            let changes = store.watch(name, *revision, *timeout, is_current).await?;
            let answer = Answer::Changes {
                revision: changes.revision,
            };
            Ok((answer, Content::Changes(changes.events)))
        }
    }
}

fn answer(
    state: &State,
    kind: Kind,
    result: Result<(Answer, Content), skylarkflow_store::Error>,
) -> (Answer, Content) {
    match result {
        Ok(answered) => answered,
        Err(error) if client::is_compacted(&error) => (Answer::Gone, Content::None),
        Err(error) => {
            state.metrics.count(Counter::StoreFailures);
            let text = format_args!("{kind:?}: {error}");
            state
                .journal
                .record_limited(state.clock.now(), &event::STORE_LOST, text);
            (Answer::Failed, Content::None)
        }
    }
}

fn report(state: &State, kind: Kind, failures: u32, feed: &ListWatch) {
    state.set_store_lost(kind, feed.failures() > 0);
    if failures > 0 && feed.failures() == 0 {
        state.journal.record(
            &event::STORE_RECOVERED,
            format_args!("{kind:?}: after {failures} failures"),
        );
    }
}
