//! The routes and upstreams that a steering balancer knows, from which it builds its tables.

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

/// Routes and upstreams from the store and from peers, from which tables are built.
pub struct TableSources {
    state: Arc<State>,
    contents: Mutex<TableInputs>,
}

struct TableInputs {
    routes: Routes,
    directory: Directory,
    /// Revision of the store up to which entries of upstreams are known; `None` before the first list.
    revision: Option<Revision>,
}

/// Kind of object that is listed and watched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectKind {
    /// The configuration.
    Config,
    /// Entries of upstreams.
    Upstreams,
}

impl ObjectKind {
    /// Number of kinds.
    pub const COUNT: usize = 2;
}

impl TableSources {
    /// Creates sources without routes and upstreams, except those in `directory`.
    pub fn new(state: Arc<State>, directory: Directory) -> TableSources {
        TableSources {
            state,
            contents: Mutex::new(TableInputs {
                routes: Routes::default(),
                directory,
                revision: None,
            }),
        }
    }

    /// Returns the shared state of the balancer.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Changes the settings of the upstream directory.
    pub fn set_directory_settings(&self, settings: directory::Settings) {
        self.contents().directory.set_settings(settings);
    }

    /// Removes upstreams whose retention after the removal of their entries has ended.
    pub fn expire_upstreams(&self) {
        let now = self.state.clock.now();
        let has_changed = self.contents().directory.expire(now);
        if has_changed {
            self.publish_table();
        }
    }

    fn contents(&self) -> MutexGuard<'_, TableInputs> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish_table(&self) {
        let contents = self.contents();
        let Some(table) = contents
            .routes
            .table(contents.directory.view(self.state.clock.now()))
        else {
            return;
        };
        let metrics = &self.state.metrics;
        metrics.set(Gauge::TableVersion, table.version);
        let registered_count = contents.directory.registered().count() as u64;
        metrics.set(Gauge::UpstreamsKnown, registered_count);
        self.state.publish_table(table);
        if let Phase::Starting(starting) = self.state.phase()
            && contents.revision.is_some()
        {
            self.state.set_phase(Phase::Serving(starting.serve()));
            self.state.journal.record(
                &event::STEERING_READY,
                format_args!(
                    "{registered_count} upstreams, {:?} after the start",
                    self.state.clock.now()
                ),
            );
        }
    }

    /// Returns the configuration version and the store revision of the contents.
    pub fn freshness(&self) -> Freshness {
        let contents = self.contents();
        Freshness {
            version: contents.routes.version().unwrap_or_default(),
            revision: contents.revision.unwrap_or_default(),
        }
    }

    /// Returns the contents that are newer than a peer's configuration version and store revision.
    pub fn tables_after(&self, freshness: Freshness) -> Tables {
        let contents = self.contents();
        let config = contents.routes.config();
        Tables {
            config: config.filter(|it| it.version > freshness.version).cloned(),
            revision: contents.revision.unwrap_or_default(),
            changes: contents.directory.changes_after(freshness.revision),
        }
    }

    /// Merges the tables of another balancer; returns their revision if no upstreams were known before.
    pub fn merge(&self, tables: Tables) -> Option<Revision> {
        if let Some(config) = tables.config {
            self.adopt_config(config);
        }
        let now = self.state.clock.now();
        let mut contents = self.contents();
        let revision_before = contents.revision;
        if tables.revision > revision_before.unwrap_or_default() {
            contents
                .directory
                .apply(now, tables.revision, tables.changes);
            contents.revision = Some(tables.revision);
        }
        let taken_revision = contents.revision.filter(|_| revision_before.is_none());
        drop(contents);
        self.publish_table();
        taken_revision
    }

    /// Replaces the objects of a kind by a complete list of the store at a revision.
    pub fn replace_all(&self, kind: ObjectKind, store_revision: Revision, items: &[Value]) {
        match kind {
            ObjectKind::Config => items.iter().for_each(|item| self.adopt_object(item)),
            ObjectKind::Upstreams => {
                let records = items
                    .iter()
                    .filter_map(|item| Some((object::revision(item), self.decode_upstream(item)?)));
                let records = records.collect();
                let now = self.state.clock.now();
                let mut contents = self.contents();
                contents.directory.replace(now, store_revision, records);
                contents.advance_revision(store_revision);
            }
        }
        self.publish_table();
    }

    /// Applies the changes up to a revision of the store.
    pub fn apply_changes(
        &self,
        kind: ObjectKind,
        store_revision: Revision,
        changes: &[object::Change],
    ) {
        for change in changes {
            match kind {
                ObjectKind::Config if change.removed => {}
                ObjectKind::Config => self.adopt_object(&change.object),
                ObjectKind::Upstreams => self.apply_upstream_change(store_revision, change),
            }
        }
        if kind == ObjectKind::Upstreams {
            self.contents().advance_revision(store_revision);
        }
        if !changes.is_empty() {
            self.publish_table();
        }
    }

    fn apply_upstream_change(&self, store_revision: Revision, change: &object::Change) {
        let now = self.state.clock.now();
        let entry_revision = EntryRevision {
            revision: object::revision(&change.object),
            store_revision,
        };
        let record = if change.removed {
            None
        } else {
            self.decode_upstream(&change.object)
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

    fn decode_upstream(&self, object: &Value) -> Option<Record> {
        object::decode_upstream(object)
            .inspect_err(|malformed| self.record_malformed(malformed))
            .ok()
    }

    fn adopt_object(&self, object: &Value) {
        if object::name(object) != object::CONFIG_NAME {
            return;
        }
        match object::decode_config(object) {
            Ok(config) => self.adopt_config(config),
            Err(malformed) => self.record_malformed(&malformed),
        }
    }

    fn adopt_config(&self, config: Config) {
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
                format_args!("version {version} offered; version {in_force} is in force"),
            ),
        }
    }

    fn record_malformed(&self, malformed: &object::Malformed) {
        self.state.metrics.count(Counter::ObjectsMalformed);
        self.state.journal.record_limited(
            self.state.clock.now(),
            &event::ENTRY_MALFORMED,
            format_args!("{malformed}"),
        );
    }
}

impl TableInputs {
    /// Raises the known revision; an older one has no effect.
    fn advance_revision(&mut self, store_revision: Revision) {
        self.revision = Some(self.revision.unwrap_or_default().max(store_revision));
    }
}
