//! Keeps the objects of a steering balancer in sync with the store, by a list and then watches.

use {
    crate::{
        event,
        metrics::Counter,
        steer_sources::{ObjectKind, TableSources},
        steer_state::State,
    },
    skylarkflow_adapter::{
        client::{self, Response, Store},
        object::{self, Object},
    },
    skylarkflow_steering::{
        evacuation::Observation,
        gossip::Role,
        list_watch::{Call, CallOutcome, ContentAction, ListWatch, PeerTables},
        position::{Epoch, Position, Revision},
        upstream::Record,
    },
    skylarkflow_store::Result,
    std::{mem, sync::Arc},
    tokio::{sync::watch, time},
};

/// Objects or changes in a response of the store.
enum ResponseContent {
    Page(Vec<Object>),
    Changes(Vec<object::Change>),
    None,
}

/// Objects on the pages of a list that is not complete yet.
#[derive(Default)]
struct Listed {
    upstreams: Vec<(Revision, Record)>,
    evacuations: Vec<Observation>,
}

/// What an [`ObjectSync`] works with.
pub struct Inputs {
    /// Tables to which the objects are applied.
    pub sources: Arc<TableSources>,
    /// The store.
    pub store: Store,
    /// Kind of the objects.
    pub kind: ObjectKind,
    /// Schedule of the calls.
    pub list_watch: ListWatch,
    /// Role of this balancer.
    pub role: watch::Receiver<Role>,
    /// Whether a peer provides its tables instead of the first list.
    pub peer_tables: watch::Receiver<PeerTables>,
    /// Number of requests to read the current state of the store.
    pub store_reads: watch::Receiver<u64>,
}

/// Lists and watches one kind of object and applies the results to the tables.
///
/// Watches may be served by a lagging replica of the store, unless this balancer is a reader. A follower makes none.
pub struct ObjectSync {
    inputs: Inputs,
    state: Arc<State>,
    /// Highest known epoch of the store.
    epoch: watch::Receiver<Epoch>,
    listed: Listed,
    /// Number of requests to read the current state of the store that were handled.
    requested_reads: u64,
}

impl ObjectSync {
    /// Creates the task of one kind of object.
    pub fn new(inputs: Inputs) -> ObjectSync {
        let requested_reads = *inputs.store_reads.borrow();
        ObjectSync {
            state: Arc::clone(inputs.sources.state()),
            epoch: inputs.sources.subscribe_epoch(),
            listed: Listed::default(),
            requested_reads,
            inputs,
        }
    }

    /// Runs until the task is aborted.
    pub async fn run(mut self) {
        loop {
            self.update_list_watch();
            if !self.wait_until_due().await {
                continue;
            }
            self.state.metrics.count(Counter::StoreCalls);
            let (_, call) = self.inputs.list_watch.next_call();
            if let Some(result) = self.call(&call).await {
                self.handle_result(&call, result);
            }
        }
    }

    /// Passes on what has changed outside since the last call.
    fn update_list_watch(&mut self) {
        let Inputs {
            sources,
            kind,
            list_watch,
            role,
            peer_tables,
            store_reads,
            ..
        } = &mut self.inputs;
        let now = self.state.clock.now();
        if list_watch.set_peer_tables(now, *peer_tables.borrow_and_update()) {
            self.listed = Listed::default();
        }
        if list_watch.is_paused() {
            match kind {
                // The configuration has no revision of its own in the tables of peers, so its watch is not moved.
                ObjectKind::Config => {}
                ObjectKind::Upstreams => list_watch.advance(sources.freshness().position),
                ObjectKind::Evacuations => {
                    list_watch.advance(sources.evacuations_known_up_to().unwrap_or_default());
                }
            }
        }
        list_watch.observe_epoch(now, *self.epoch.borrow_and_update());
        list_watch.set_role(now, *role.borrow_and_update());
        let requested_reads = *store_reads.borrow_and_update();
        if mem::replace(&mut self.requested_reads, requested_reads) != requested_reads {
            list_watch.request_current_list(now);
        }
        if list_watch.is_paused() {
            self.state.set_store_unreachable(*kind, false);
        }
    }

    /// Waits for the next call; returns `false` if something has changed on which it depends.
    async fn wait_until_due(&mut self) -> bool {
        let (due, _) = self.inputs.list_watch.next_call();
        let delay = due.saturating_sub(self.state.clock.now());
        tokio::select! {
            () = time::sleep(delay) => true,
            Ok(()) = self.inputs.peer_tables.changed() => false,
            Ok(()) = self.inputs.role.changed() => false,
            Ok(()) = self.inputs.store_reads.changed() => false,
            Ok(()) = self.epoch.changed() => false,
        }
    }

    /// Makes a call; `None` if another one has to replace it.
    ///
    /// A pending watch is replaced when the role changes, the store was restored or its current state is needed. A list is
    /// not, as its response names the epoch that it belongs to.
    async fn call(&mut self, call: &Call) -> Option<Result<(CallOutcome, ResponseContent)>> {
        let Inputs {
            store,
            kind,
            role,
            store_reads,
            ..
        } = &mut self.inputs;
        let requires_latest = *role.borrow() == Role::Reader;
        let known_epoch = *self.epoch.borrow();
        let is_watch = matches!(call, Call::Watch { .. });
        let response = call_store(store, *kind, call, requires_latest, known_epoch);
        tokio::select! {
            result = response => Some(result),
            Ok(()) = role.changed() => None,
            Ok(()) = self.epoch.changed(), if is_watch => None,
            Ok(()) = store_reads.changed(), if is_watch => None,
        }
    }

    fn handle_result(&mut self, call: &Call, result: Result<(CallOutcome, ResponseContent)>) {
        let Inputs {
            sources,
            kind,
            list_watch,
            ..
        } = &mut self.inputs;
        let failures_before = list_watch.failures();
        let (outcome, content) = classify_result(&self.state, *kind, result);
        let store_position = outcome.position();
        if let Some(position) = store_position {
            record_response(sources, *kind, call, position);
        }
        let known_position = list_watch.position();
        let action = list_watch.handle_outcome(self.state.clock.now(), outcome);
        if action == ContentAction::Ignore && store_position.is_some() {
            record_outdated_response(&self.state, *kind, store_position, known_position);
        }
        record_store_health(&self.state, *kind, failures_before, list_watch);
        self.apply(call, action, store_position.unwrap_or_default(), content);
    }

    fn apply(
        &mut self,
        call: &Call,
        action: ContentAction,
        position: Position,
        content: ResponseContent,
    ) {
        let Inputs {
            sources,
            kind,
            list_watch,
            ..
        } = &self.inputs;
        match (action, content) {
            (ContentAction::Collect, ResponseContent::Page(items)) => self.collect(&items),
            (ContentAction::Replace, ResponseContent::Page(items)) => {
                let list_position = list_watch.position().unwrap_or_default();
                self.collect(&items);
                let listed = mem::take(&mut self.listed);
                let sources = &self.inputs.sources;
                match self.inputs.kind {
                    ObjectKind::Config => {}
                    ObjectKind::Upstreams => {
                        sources.replace_upstreams(list_position, listed.upstreams);
                    }
                    ObjectKind::Evacuations => sources.replace_evacuations(
                        list_position,
                        is_current_list(call),
                        &listed.evacuations,
                    ),
                }
            }
            (ContentAction::Apply, ResponseContent::Changes(changes)) => {
                sources.apply_changes(*kind, position, &changes)
            }
            _ => self.listed = Listed::default(),
        }
    }

    /// Takes what is needed from a page of a list. The objects, of which those of other writers may be large, are not
    /// kept.
    fn collect(&mut self, items: &[Object]) {
        let Inputs { sources, kind, .. } = &self.inputs;
        match kind {
            ObjectKind::Config => sources.adopt_objects(items),
            ObjectKind::Upstreams => {
                let upstreams = sources.decode_upstreams(items);
                self.listed.upstreams.extend(upstreams);
            }
            ObjectKind::Evacuations => {
                let evacuations = sources.decode_evacuations(items);
                self.listed.evacuations.extend(evacuations);
            }
        }
    }
}

/// Returns whether a call reads a list of the current store instead of a copy.
fn is_current_list(call: &Call) -> bool {
    matches!(
        call,
        Call::List {
            is_current: true,
            ..
        }
    )
}

async fn call_store(
    store: &Store,
    kind: ObjectKind,
    call: &Call,
    requires_latest: bool,
    known_epoch: Epoch,
) -> Result<(CallOutcome, ResponseContent)> {
    let name = match kind {
        ObjectKind::Config => object::CONFIG,
        ObjectKind::Upstreams => object::UPSTREAMS,
        ObjectKind::Evacuations => object::EVACUATIONS,
    };
    match call {
        Call::List { after, is_current } => {
            let Response { epoch, body: page } =
                store.list(name, after.as_deref(), *is_current).await?;
            let position = Position {
                epoch: epoch.unwrap_or(known_epoch),
                revision: page.revision,
            };
            let outcome = CallOutcome::Page {
                position,
                next: page.next,
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
    result: Result<(CallOutcome, ResponseContent)>,
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
