//! The routes and upstreams that a steering balancer knows, from which it builds its tables.

use {
    crate::{
        event,
        metrics::{Counter, Gauge},
        steer_state::State,
    },
    skylarkflow_adapter::object::{self, Object},
    skylarkflow_peer::tables::Tables,
    skylarkflow_steering::{
        directory::{self, Directory, EntryRevision},
        evacuation::{self, Content, Evacuations, MAX_ZONES, Observation, Transition, Zones},
        gossip::Freshness,
        lifecycle::Phase,
        position::{Epoch, Position, Revision},
        table::{Adoption, Config, Routes, Version},
        upstream::{Record, ZoneName},
    },
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::watch,
};

/// Routes and upstreams from the store and from peers, from which tables are built.
pub struct TableSources {
    state: Arc<State>,
    inputs: Mutex<TableInputs>,
    /// Highest known epoch of the store.
    epoch: watch::Sender<Epoch>,
    evacuations_known: watch::Sender<bool>,
}

struct TableInputs {
    routes: Routes,
    directory: Directory,
    /// Position of the store up to which entries of upstreams are known; `None` before the first list.
    position: Option<Position>,
    /// Evacuations of zones; `None` if this balancer does not follow them.
    evacuations: Option<Evacuations>,
}

/// What operators see of the sources.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Version of the active configuration.
    pub version: Option<Version>,
    /// Position of the store up to which entries of upstreams are known.
    pub position: Option<Position>,
    /// Evacuated zones; `None` if they are not known or not followed.
    pub evacuated: Option<Zones>,
}

/// Kind of object that is listed and watched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectKind {
    /// The configuration.
    Config,
    /// Entries of upstreams.
    Upstreams,
    /// Entries that evacuate zones.
    Evacuations,
}

impl ObjectKind {
    /// Number of kinds.
    pub const COUNT: usize = 3;
}

impl TableSources {
    /// Creates sources without routes and upstreams, except those in `directory`.
    pub fn new(state: Arc<State>, directory: Directory, follows_evacuations: bool) -> TableSources {
        TableSources {
            state,
            inputs: Mutex::new(TableInputs {
                routes: Routes::default(),
                directory,
                position: None,
                evacuations: follows_evacuations.then(Evacuations::default),
            }),
            epoch: watch::Sender::new(0),
            evacuations_known: watch::Sender::new(false),
        }
    }

    /// Returns the shared state of the balancer.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Changes the settings of the upstream directory.
    pub fn set_directory_settings(&self, settings: directory::Settings) {
        self.inputs().directory.set_settings(settings);
    }

    /// Removes upstreams whose retention after the removal of their entries has ended.
    pub fn expire_upstreams(&self) {
        let now = self.state.clock.now();
        let has_changed = self.inputs().directory.expire(now);
        if has_changed {
            self.publish_table();
        }
    }

    fn inputs(&self) -> MutexGuard<'_, TableInputs> {
        self.inputs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish_table(&self) {
        let inputs = self.inputs();
        if inputs.position.is_none() {
            // Without any list of upstreams, callers would be told that there is none.
            return;
        }
        let Some(mut table) = inputs
            .routes
            .table(self.state.clock.now(), &inputs.directory)
        else {
            return;
        };
        table.accepts_flows = inputs.knows_evacuations();
        let metrics = &self.state.metrics;
        metrics.set(Gauge::TableVersion, table.version);
        let registered_count = inputs.directory.registered().count() as u64;
        metrics.set(Gauge::UpstreamsKnown, registered_count);
        let known_revision = inputs.position.unwrap_or_default().revision;
        metrics.set(Gauge::StoreRevision, known_revision);
        self.state.publish_table(table);
        if let Phase::Starting(starting) = self.state.phase()
            && inputs.knows_evacuations()
        {
            self.state.set_phase(Phase::Serving(starting.serve()));
            self.state.event_log.record(
                &event::STEERING_READY,
                format_args!(
                    "{registered_count} upstreams, {:?} after the start",
                    self.state.clock.now()
                ),
            );
        }
    }

    /// Records the epoch of the store in a response or in the tables of a peer.
    pub fn observe_epoch(&self, epoch: Epoch) {
        let mut known = 0;
        let has_risen = self.epoch.send_if_modified(|highest| {
            known = *highest;
            *highest = known.max(epoch);
            *highest > known
        });
        if !has_risen {
            return;
        }
        self.state.metrics.set(Gauge::StoreEpoch, epoch);
        if known != 0 {
            let text = format_args!("epoch {epoch} follows {known}");
            self.state.event_log.record(&event::STORE_RESTORED, text);
        }
    }

    /// Returns a receiver of the highest known epoch of the store.
    pub fn subscribe_epoch(&self) -> watch::Receiver<Epoch> {
        self.epoch.subscribe()
    }

    /// Returns the configuration version and the store position that are known.
    pub fn freshness(&self) -> Freshness {
        let inputs = self.inputs();
        Freshness {
            version: inputs.routes.version().unwrap_or_default(),
            position: inputs.position.unwrap_or_default(),
            evacuations: inputs
                .evacuations
                .as_ref()
                .and_then(Evacuations::changed_at),
        }
    }

    /// Returns whether this balancer follows the evacuations of zones.
    pub fn follows_evacuations(&self) -> bool {
        self.inputs().evacuations.is_some()
    }

    /// Returns whether new flows have to wait for the evacuations.
    pub fn lacks_evacuations(&self) -> bool {
        !self.inputs().knows_evacuations()
    }

    /// Returns a receiver that is notified when the evacuations become known.
    pub fn subscribe_evacuations_known(&self) -> watch::Receiver<bool> {
        self.evacuations_known.subscribe()
    }

    /// Returns the position of the store up to which evacuations are known.
    pub fn evacuations_known_up_to(&self) -> Option<Position> {
        let inputs = self.inputs();
        inputs.evacuations.as_ref()?.known_up_to()
    }

    /// Returns what operators see.
    pub fn summary(&self) -> Summary {
        let inputs = self.inputs();
        let evacuations = inputs.evacuations.as_ref();
        let known = evacuations.filter(|evacuations| evacuations.known_up_to().is_some());
        Summary {
            version: inputs.routes.version(),
            position: inputs.position,
            evacuated: known.map(Evacuations::zones),
        }
    }

    /// Returns the configuration and the changes of upstreams that are newer than a peer's configuration version and
    /// store position, and all evacuations.
    pub fn tables_after(&self, freshness: Freshness) -> Tables {
        let inputs = self.inputs();
        let config = inputs.routes.config();
        Tables {
            config: config
                .filter(|config| config.version > freshness.version)
                .cloned(),
            position: inputs.position.unwrap_or_default(),
            upstreams: inputs.directory.update_after(freshness.position),
            evacuations: inputs
                .evacuations
                .clone()
                .filter(|evacuations| evacuations.known_up_to().is_some()),
        }
    }

    /// Merges the tables of another balancer; returns their position if no upstreams were known before.
    pub fn merge(&self, tables: Tables) -> Option<Position> {
        self.observe_epoch(tables.position.epoch);
        if let Some(evacuations) = &tables.evacuations {
            self.update_evacuations(|known| known.merge(evacuations));
        }
        if let Some(config) = tables.config {
            self.adopt_config(config);
        }
        let now = self.state.clock.now();
        let mut inputs = self.inputs();
        let position_before = inputs.position;
        if tables.position > position_before.unwrap_or_default() {
            inputs
                .directory
                .apply(now, tables.position, tables.upstreams);
            inputs.position = Some(tables.position);
        }
        let taken_position = inputs.position.filter(|_| position_before.is_none());
        drop(inputs);
        self.publish_table();
        taken_position
    }

    /// Adopts the configuration among listed objects.
    pub fn adopt_objects(&self, items: &[Object]) {
        items.iter().for_each(|item| self.adopt_object(item));
        self.publish_table();
    }

    /// Decodes the entries of upstreams among listed objects, each with its revision.
    pub fn decode_upstreams(&self, items: &[Object]) -> Vec<(Revision, Record)> {
        let entry = |item: &Object| Some((item.revision, self.decode_upstream(item)?));
        items.iter().filter_map(entry).collect()
    }

    /// Replaces the upstreams by a complete list of the store at a position.
    pub fn replace_upstreams(&self, store_position: Position, records: Vec<(Revision, Record)>) {
        let now = self.state.clock.now();
        let mut inputs = self.inputs();
        inputs.directory.replace(now, store_position, records);
        inputs.advance_position(store_position);
        let contradicted = inputs.directory.contradicted_count();
        drop(inputs);
        self.record_contradictions(contradicted);
        self.publish_table();
    }

    /// Applies the changes up to a position of the store.
    pub fn apply_changes(
        &self,
        kind: ObjectKind,
        store_position: Position,
        changes: &[object::Change],
    ) {
        for change in changes {
            match kind {
                ObjectKind::Config if change.removed => {}
                ObjectKind::Config => self.adopt_object(&change.object),
                ObjectKind::Upstreams => self.apply_upstream_change(store_position, change),
                ObjectKind::Evacuations => {}
            }
        }
        if kind == ObjectKind::Evacuations {
            return self.apply_evacuation_changes(store_position, changes);
        }
        if kind == ObjectKind::Upstreams {
            self.inputs().advance_position(store_position);
        }
        if !changes.is_empty() {
            self.publish_table();
        }
    }

    fn apply_upstream_change(&self, store_position: Position, change: &object::Change) {
        let now = self.state.clock.now();
        let entry_revision = EntryRevision {
            revision: change.object.revision,
            store_position,
        };
        let record = if change.removed {
            None
        } else {
            self.decode_upstream(&change.object)
        };
        if let Some(record) = record {
            self.state
                .event_log
                .record(&event::UPSTREAM_REGISTERED, format_args!("{record:?}"));
            self.inputs().directory.insert(now, entry_revision, record);
        } else if let Some(id) = object::upstream_id(&change.object.name)
            && (change.removed || self.inputs().directory.contains(id))
        {
            self.state
                .event_log
                .record(&event::UPSTREAM_REMOVED, format_args!("upstream {id:x}"));
            self.inputs().directory.remove(now, entry_revision, id);
        }
    }

    /// Returns what listed entries say about the evacuation of zones.
    pub fn decode_evacuations(&self, items: &[Object]) -> Vec<Observation> {
        let named = items.iter().filter(|item| !item.name.is_empty());
        named.map(|item| self.decode_evacuation(item)).collect()
    }

    /// Applies a complete list of evacuations.
    pub fn replace_evacuations(
        &self,
        store_position: Position,
        is_current: bool,
        listed: &[Observation],
    ) {
        self.update_evacuations(|known| known.apply_list(store_position, is_current, listed));
    }

    fn apply_evacuation_changes(&self, store_position: Position, changes: &[object::Change]) {
        let named = changes
            .iter()
            .filter(|change| !change.object.name.is_empty());
        let observation = |change: &object::Change| {
            if change.removed {
                Observation {
                    zone: change.object.name.clone(),
                    revision: change.object.revision,
                    content: Content::Removed,
                }
            } else {
                self.decode_evacuation(&change.object)
            }
        };
        let changes: Vec<Observation> = named.map(observation).collect();
        self.update_evacuations(|known| known.apply_changes(store_position, &changes));
    }

    fn decode_evacuation(&self, object: &Object) -> Observation {
        if object.is_deleting {
            let text = format_args!("zone {:?}: removal has begun", object.name);
            let event = &event::EVACUATION_ENDING;
            self.state.event_log.record(event, text);
        }
        object::decode_evacuation(object).unwrap_or_else(|malformed| {
            self.record_malformed(&malformed);
            Observation {
                zone: object.name.clone(),
                revision: object.revision,
                content: Content::Unreadable,
            }
        })
    }

    /// Changes the evacuations, which returns the zones that are ignored, and puts the change into force.
    fn update_evacuations(&self, update: impl FnOnce(&mut Evacuations) -> Vec<ZoneName>) {
        let mut inputs = self.inputs();
        let Some(evacuations) = &mut inputs.evacuations else {
            return;
        };
        let was_known = evacuations.known_up_to().is_some();
        let before = evacuations.zones();
        let ignored = update(evacuations);
        let is_known = evacuations.known_up_to().is_some();
        let after = evacuations.zones();
        let zones = after.keys().cloned().collect();
        inputs.directory.set_evacuated_zones(zones);
        drop(inputs);
        self.record_evacuations(&before, &after);
        if !ignored.is_empty() {
            let text = format_args!("more than {MAX_ZONES} zones; ignored: {ignored:?}");
            let event_log = &self.state.event_log;
            event_log.record_limited(self.state.clock.now(), &event::EVACUATION_IGNORED, text);
        }
        if before != after || was_known != is_known {
            self.publish_table();
        }
        if was_known != is_known {
            self.evacuations_known.send_replace(true);
        }
    }

    fn record_evacuations(&self, before: &Zones, after: &Zones) {
        for (zone, transition) in evacuation::transitions(before, after) {
            let event = match transition {
                Transition::Confirmed => &event::EVACUATION_CONFIRMED,
                Transition::Ended => &event::EVACUATION_ENDED,
                Transition::Started => &event::EVACUATION_STARTED,
                Transition::Unconfirmed => &event::EVACUATION_UNCONFIRMED,
            };
            let text = format_args!("zone {zone:?}");
            self.state.event_log.record(event, text);
        }
        let unconfirmed = after.values().filter(|is_confirmed| !**is_confirmed);
        let metrics = &self.state.metrics;
        metrics.set(Gauge::ZonesEvacuated, after.len() as u64);
        metrics.set(Gauge::ZonesUnconfirmed, unconfirmed.count() as u64);
    }

    fn decode_upstream(&self, object: &Object) -> Option<Record> {
        object::decode_upstream(object)
            .inspect_err(|malformed| self.record_malformed(malformed))
            .ok()
    }

    fn adopt_object(&self, object: &Object) {
        if object.name != object::CONFIG_NAME {
            return;
        }
        match object::decode_config(object) {
            Ok(config) => self.adopt_config(config),
            Err(malformed) => self.record_malformed(&malformed),
        }
    }

    fn adopt_config(&self, config: Config) {
        let (version, count) = (config.version, config.routes.len());
        let event_log = &self.state.event_log;
        match self.inputs().routes.adopt(config) {
            Adoption::Adopted => event_log.record(
                &event::TABLE_ADOPTED,
                format_args!("version {version} with {count} routes"),
            ),
            Adoption::Unchanged => {}
            Adoption::Older { active_version } => event_log.record_limited(
                self.state.clock.now(),
                &event::TABLE_OLDER,
                format_args!("version {version} was ignored; version {active_version} is active"),
            ),
        }
    }

    fn record_contradictions(&self, count: usize) {
        if count > 0 {
            let text = format_args!("{count} entries");
            let event_log = &self.state.event_log;
            event_log.record(&event::UPSTREAMS_CONTRADICTED, text);
        }
    }

    fn record_malformed(&self, malformed: &object::Malformed) {
        self.state.metrics.count(Counter::ObjectsMalformed);
        self.state.event_log.record_limited(
            self.state.clock.now(),
            &event::STEERING_OBJECT_MALFORMED,
            format_args!("{malformed}"),
        );
    }
}

impl TableInputs {
    /// Returns whether new flows may be placed: the evacuations are known, or not followed.
    fn knows_evacuations(&self) -> bool {
        self.evacuations
            .as_ref()
            .is_none_or(|evacuations| evacuations.known_up_to().is_some())
    }

    /// Advances the known position; an older one has no effect.
    fn advance_position(&mut self, store_position: Position) {
        self.position = self.position.max(Some(store_position));
    }
}
