//! What a steering balancer knows of routes and upstreams, from which its tables are made.

use {
    crate::{
        event,
        metrics::{Counter, Gauge},
        steer_state::State,
    },
    serde_json::Value,
    skylarkflow_adapter::object,
    skylarkflow_peer::tables::Tables,
    skylarkflow_steering::{
        directory::{self, Directory, EntryRevision},
        gossip::Freshness,
        lifecycle::Phase,
        list_watch::Revision,
        table::{Adoption, Config, Routes},
        upstream::Record,
    },
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Routes and upstreams, from which tables are made.
pub struct Sources {
    state: Arc<State>,
    contents: Mutex<Contents>,
}

struct Contents {
    routes: Routes,
    directory: Directory,
    /// Revision of the store up to which entries of upstreams are known; `None` before the first list.
    revision: Option<Revision>,
}

/// Kind of object that a feed reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The configuration.
    Config,
    /// Entries of upstreams.
    Upstreams,
}

impl Kind {
    /// Number of kinds.
    pub const COUNT: usize = 2;
}

impl Sources {
    /// Creates sources that know nothing.
    pub fn new(state: Arc<State>, directory: Directory) -> Sources {
        Sources {
            state,
            contents: Mutex::new(Contents {
                routes: Routes::default(),
                directory,
                revision: None,
            }),
        }
    }

    /// Returns the state of the balancer.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Changes the settings of the directory of upstreams.
    pub fn set_directory(&self, settings: directory::Settings) {
        self.contents().directory.set_settings(settings);
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
        let Some(table) = contents
            .routes
            .table(contents.directory.view(self.state.clock.now()))
        else {
            return;
        };
        let metrics = &self.state.metrics;
        metrics.set(Gauge::TableVersion, table.version);
        let known = contents.directory.registered().count() as u64;
        metrics.set(Gauge::UpstreamsKnown, known);
        self.state.publish(table);
        if let Phase::Starting(starting) = self.state.phase()
            && contents.revision.is_some()
        {
            self.state.set_phase(Phase::Serving(starting.serve()));
            self.state.journal.record(
                &event::STEERING_READY,
                format_args!("{known} upstreams, after {:?}", self.state.clock.now()),
            );
        }
    }

    /// Returns how new the contents are.
    pub fn age(&self) -> Freshness {
        let contents = self.contents();
        Freshness {
            version: contents.routes.version().unwrap_or_default(),
            revision: contents.revision.unwrap_or_default(),
        }
    }

    /// Returns what a balancer whose contents have this age does not know.
    pub fn after(&self, age: Freshness) -> Tables {
        let contents = self.contents();
        let config = contents.routes.config();
        Tables {
            config: config.filter(|it| it.version > age.version).cloned(),
            revision: contents.revision.unwrap_or_default(),
            changes: contents.directory.changes_after(age.revision),
        }
    }

    /// Takes what another balancer knows; returns the revision of its tables if no upstreams were known before.
    pub fn merge(&self, tables: Tables) -> Option<Revision> {
        if let Some(config) = tables.config {
            self.adopt(config);
        }
        let now = self.state.clock.now();
        let mut contents = self.contents();
        let before = contents.revision;
        if tables.revision > before.unwrap_or_default() {
            contents
                .directory
                .apply(now, tables.revision, tables.changes);
            contents.revision = Some(tables.revision);
        }
        let given = contents.revision.filter(|_| before.is_none());
        drop(contents);
        self.publish();
        given
    }

    /// Takes a full list that shows the store at a revision.
    pub fn replace(&self, kind: Kind, store_revision: Revision, items: &[Value]) {
        match kind {
            Kind::Config => items.iter().for_each(|item| self.offer(item)),
            Kind::Upstreams => {
                let records = items
                    .iter()
                    .filter_map(|item| Some((object::revision(item), self.record(item)?)));
                let records = records.collect();
                let now = self.state.clock.now();
                let mut contents = self.contents();
                contents.directory.replace(now, store_revision, records);
                contents.reach(store_revision);
            }
        }
        self.publish();
    }

    /// Takes changes that lead to a revision of the store.
    pub fn apply(&self, kind: Kind, store_revision: Revision, changes: &[object::Change]) {
        for change in changes {
            match kind {
                Kind::Config if change.removed => {}
                Kind::Config => self.offer(&change.object),
                Kind::Upstreams => self.change(store_revision, change),
            }
        }
        if kind == Kind::Upstreams {
            self.contents().reach(store_revision);
        }
        if !changes.is_empty() {
            self.publish();
        }
    }

    fn change(&self, store_revision: Revision, change: &object::Change) {
        let now = self.state.clock.now();
        let entry_revision = EntryRevision {
            revision: object::revision(&change.object),
            store_revision,
        };
        let record = if change.removed {
            None
        } else {
            self.record(&change.object)
        };
        if let Some(record) = record {
            self.state
                .journal
                .record(&event::UPSTREAM_REGISTERED, format_args!("{record:?}"));
            self.contents()
                .directory
                .insert(now, entry_revision, record);
        } else if let Some(id) = object::upstream_id(object::name(&change.object)) {
            self.state
                .journal
                .record(&event::UPSTREAM_REMOVED, format_args!("upstream {id:x}"));
            self.contents().directory.remove(now, entry_revision, id);
        }
    }

    fn record(&self, object: &Value) -> Option<Record> {
        object::decode_upstream(object)
            .inspect_err(|malformed| self.malformed(malformed))
            .ok()
    }

    fn offer(&self, object: &Value) {
        if object::name(object) != object::CONFIG_NAME {
            return;
        }
        match object::decode_config(object) {
            Ok(config) => self.adopt(config),
            Err(malformed) => self.malformed(&malformed),
        }
    }

    fn adopt(&self, config: Config) {
        let (version, count) = (config.version, config.routes.len());
        let journal = &self.state.journal;
        match self.contents().routes.adopt(config) {
            Adoption::Adopted => journal.record(
                &event::TABLE_ADOPTED,
                format_args!("version {version} with {count} routes"),
            ),
            Adoption::Unchanged => {}
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

impl Contents {
    fn reach(&mut self, store_revision: Revision) {
        self.revision = Some(self.revision.unwrap_or_default().max(store_revision));
    }
}
