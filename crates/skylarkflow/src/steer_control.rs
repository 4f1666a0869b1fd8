//! Keeps the table of a steering balancer up to date with the store.

use {
    crate::{
        event,
        metrics::{Counter, Gauge},
        steer_state::State,
    },
    serde_json::Value,
    skylarkflow_adapter::{
        client::{self, Store},
        object,
    },
    skylarkflow_steering::{
        directory::Directory,
        feed::{Answer, Call, Feed, Use},
        lifecycle::Phase,
        table::{Adoption, Config, Routes},
        upstream::Record,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time,
};

/// Routes and upstreams, from which tables are made.
pub struct Sources {
    state: Arc<State>,
    contents: Mutex<Contents>,
}

struct Contents {
    routes: Routes,
    directory: Directory,
    has_listed: bool,
}

/// Kind of object that a feed reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The configuration.
    Config,
    /// Entries of upstreams.
    Upstreams,
}

enum Content {
    Page(Vec<Value>),
    Changes(Vec<object::Change>),
    None,
}

impl Sources {
    /// Creates sources that know nothing.
    pub fn new(state: Arc<State>, directory: Directory) -> Sources {
        Sources {
            state,
            contents: Mutex::new(Contents {
                routes: Routes::default(),
                directory,
                has_listed: false,
            }),
        }
    }

    /// Forgets upstreams whose entries have been gone for long.
    pub fn expire(&self) {
        let now = self.state.clock.now();
        let has_changed = self.contents().directory.expire(now);
        if has_changed {
            self.publish();
        }
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self) {
        let contents = self.contents();
        let Some(table) = contents.routes.table(contents.directory.view()) else {
            return;
        };
        let metrics = &self.state.metrics;
        metrics.set(Gauge::TableVersion, table.version);
        let known = contents.directory.registered().count() as u64;
        metrics.set(Gauge::UpstreamsKnown, known);
        self.state.publish(table);
        if let Phase::Starting(starting) = self.state.phase()
            && contents.has_listed
        {
            self.state.set_phase(Phase::Serving(starting.serve()));
            self.state.journal.record(
                &event::STEERING_READY,
                format_args!("{known} upstreams, after {:?}", self.state.clock.now()),
            );
        }
    }

    fn replace(&self, kind: Kind, items: &[Value]) {
        match kind {
            Kind::Config => items.iter().for_each(|item| self.offer(item)),
            Kind::Upstreams => {
                let records = items.iter().filter_map(|item| self.record(item)).collect();
                let now = self.state.clock.now();
                let mut contents = self.contents();
                contents.directory.replace(now, records);
                contents.has_listed = true;
            }
        }
        self.publish();
    }

    fn apply(&self, kind: Kind, changes: &[object::Change]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match kind {
                Kind::Config if change.removed => {}
                Kind::Config => self.offer(&change.object),
                Kind::Upstreams => self.change(change),
            }
        }
        self.publish();
    }

    fn change(&self, change: &object::Change) {
        let now = self.state.clock.now();
        let name = object::name(&change.object);
        let record = if change.removed {
            None
        } else {
            self.record(&change.object)
        };
        if let Some(record) = record {
            self.state
                .journal
                .record(&event::UPSTREAM_REGISTERED, format_args!("{record:?}"));
            self.contents().directory.insert(now, record);
        } else if let Some(id) = object::upstream_id(name) {
            self.state
                .journal
                .record(&event::UPSTREAM_REMOVED, format_args!("upstream {id:x}"));
            self.contents().directory.remove(now, id);
        }
    }

    fn record(&self, object: &Value) -> Option<Record> {
        object::upstream(object)
            .inspect_err(|malformed| self.malformed(malformed))
            .ok()
    }

    fn offer(&self, object: &Value) {
        if object::name(object) != object::CONFIG_NAME {
            return;
        }
        match object::config(object) {
            Ok(config) => self.adopt(config),
            Err(malformed) => self.malformed(&malformed),
        }
    }

    fn adopt(&self, config: Config) {
        let (version, count) = (config.version, config.routes.len());
        let journal = &self.state.journal;
        match self.contents().routes.offer(config) {
            Adoption::Adopted => journal.record(
                &event::TABLE_ADOPTED,
                format_args!("version {version} with {count} routes"),
            ),
            Adoption::Known => {}
            Adoption::Older { in_force } => journal.record_limited(
                self.state.clock.now(),
                &event::TABLE_OLDER,
                format_args!("version {version}, {in_force} is in force"),
            ),
        }
    }

    fn malformed(&self, malformed: &object::Malformed) {
        self.state.metrics.count(Counter::ObjectsMalformed);
        self.state.journal.record_limited(
            self.state.clock.now(),
            &event::ENTRY_MALFORMED,
            format_args!("{malformed}"),
        );
    }
}

/// Reads one kind of object until the task is dropped.
pub async fn follow(sources: Arc<Sources>, store: Store, kind: Kind, mut feed: Feed) {
    let clock = sources.state.clock;
    let mut collected: Vec<Value> = Vec::new();
    loop {
        let (due, call) = feed.next();
        time::sleep(due.saturating_sub(clock.now())).await;
        sources.state.metrics.count(Counter::StoreCalls);
        let before = feed.failures();
        let (answer, content) = answer(&sources, kind, perform(&store, kind, &call).await);
        let verdict = feed.answer(clock.now(), answer);
        report(&sources.state, kind, before, &feed);
        match (verdict, content) {
            (Use::Collect, Content::Page(items)) => collected.extend(items),
            (Use::Replace, Content::Page(items)) => {
                collected.extend(items);
                sources.replace(kind, &collected);
                collected.clear();
            }
            (Use::Apply, Content::Changes(changes)) => sources.apply(kind, &changes),
            _ => collected.clear(),
        }
    }
}

async fn perform(
    store: &Store,
    kind: Kind,
    call: &Call,
) -> Result<(Answer, Content), client::Error> {
    let name = match kind {
        Kind::Config => object::CONFIG,
        Kind::Upstreams => object::UPSTREAMS,
    };
    match call {
        Call::List { after } => {
            let page = store.list(name, after.as_deref()).await?;
            let last = page.items.last().map(|item| object::name(item).to_owned());
            let answer = Answer::Page {
                revision: page.revision,
                next: last.filter(|_| page.more),
            };
            Ok((answer, Content::Page(page.items)))
        }
        Call::Watch { revision, wait } => {
            let changes = store.watch(name, *revision, *wait).await?;
            let answer = Answer::Changes {
                revision: changes.revision,
            };
            Ok((answer, Content::Changes(changes.events)))
        }
    }
}

fn answer(
    sources: &Sources,
    kind: Kind,
    result: Result<(Answer, Content), client::Error>,
) -> (Answer, Content) {
    match result {
        Ok(answered) => answered,
        Err(client::Error::Gone) => (Answer::Gone, Content::None),
        Err(error) => {
            let state = &sources.state;
            state.metrics.count(Counter::StoreFailures);
            let text = format_args!("{kind:?}: {error}");
            state
                .journal
                .record_limited(state.clock.now(), &event::STORE_LOST, text);
            (Answer::Failed, Content::None)
        }
    }
}

fn report(state: &State, kind: Kind, failures: u32, feed: &Feed) {
    if failures > 0 && feed.failures() == 0 {
        state.journal.record(
            &event::STORE_REGAINED,
            format_args!("{kind:?}: after {failures} failures"),
        );
    }
}

/// Time between two looks for upstreams whose retention has ended.
pub const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);
