//! Compares the tables with the store and plans the writes of an apply.

use {
    crate::{
        check::Tables,
        difference::{self, Field},
        wire::{EditId, Entry, Listing, Object, POOL_PREFIX, ROUTE_PREFIX, Removed, Tombstone},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    skylarkflow_policy::id::Generation,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

/// Generations by key.
pub type Generations = BTreeMap<String, Generation>;

/// Planned change of an object.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize)]
#[display(rename_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// The key is new.
    Create,
    /// The value changes.
    Update,
    /// The value becomes a tombstone.
    Delete,
    /// The store already has the value.
    Unchanged,
}

/// Planned change of one object.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Key in the store.
    pub key: String,
    /// Kind of the change.
    pub action: Action,
    /// Generation of the new value.
    pub generation: Generation,
    /// Version of the object when the plan was made; 0 if the object did not exist.
    pub version: u64,
    /// Fields that change.
    pub fields: Vec<Field>,
    /// The new value.
    #[serde(skip)]
    pub value: Value,
}

/// An object that another operator has changed since the state that this operator's tables are based on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Conflict {
    /// Key in the store.
    pub key: String,
    /// Generation in the store.
    pub generation: Generation,
    /// Fields that differ between the operator's table and the store.
    pub fields: Vec<Field>,
}

/// The writes of an apply, in order: pools before the routes that refer to them, and removals of routes before removals
/// of their pools, so that no active route ever refers to a missing pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Plan {
    /// Objects in the order of their writes.
    pub steps: Vec<Step>,
    /// Objects that are not written until the operator has resolved the conflict.
    pub conflicts: Vec<Conflict>,
}

/// Inputs of a plan besides the tables and the store.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Identifier of this edit.
    pub edit: EditId,
    /// Highest active generations on the balancers that were queried.
    pub active_generations: Generations,
    /// Generations that the operator's tables are based on; `None` if that is not known.
    pub base: Option<Generations>,
    /// Generations of other operators' edits that this edit replaces on purpose.
    pub replace: Generations,
}

/// Routes, pools and tombstones in the store.
#[derive(Clone, Debug, Default)]
pub struct StoredObjects {
    objects: BTreeMap<String, Object>,
}

/// Fields that the values of routes, pools and tombstones have in common.
#[derive(Default, Deserialize)]
struct Metadata {
    #[serde(default)]
    generation: Generation,
    #[serde(default)]
    edit: Option<EditId>,
    #[serde(default)]
    removed: bool,
}

impl StoredObjects {
    /// Collects the objects of several listings.
    pub fn new(listings: impl IntoIterator<Item = Listing>) -> StoredObjects {
        let objects = listings.into_iter().flat_map(|listing| listing.objects);
        StoredObjects {
            objects: objects.map(|object| (object.key.clone(), object)).collect(),
        }
    }

    /// Returns the objects under `prefix` that are well formed and not removed.
    pub fn present<T: DeserializeOwned>(&self, prefix: &str) -> Vec<T> {
        let objects = self.objects.values();
        let matching = objects.filter(|object| object.key.starts_with(prefix));
        matching
            .filter_map(|object| Entry::<T>::deserialize(&object.value).ok()?.present())
            .collect()
    }

    /// Returns the generation of each object.
    pub fn generations(&self) -> Generations {
        let objects = self.objects.iter();
        objects
            .map(|(key, object)| (key.clone(), generation(&object.value)))
            .collect()
    }
}

/// Returns the generation of a value; 0 if it has none.
pub fn generation(value: &Value) -> Generation {
    metadata(value).generation
}

/// Returns whether `edit` wrote the value.
pub fn is_written_by(value: &Value, edit: &str) -> bool {
    metadata(value).edit.as_deref() == Some(edit)
}

fn metadata(value: &Value) -> Metadata {
    Metadata::deserialize(value).unwrap_or_default()
}

/// Compares the tables with the store.
pub fn plan(tables: &Tables, stored: &StoredObjects, settings: &Settings) -> Plan {
    let mut planner = Planner {
        stored,
        settings,
        plan: Plan::default(),
    };
    let pools = tables.pools.iter();
    let pools: BTreeMap<String, Value> = pools
        .map(|pool| (format!("{POOL_PREFIX}{}", pool.name), to_json(pool)))
        .collect();
    let routes = tables.routes.iter();
    let routes: BTreeMap<String, Value> = routes
        .map(|route| (format!("{ROUTE_PREFIX}{}", route.name), to_json(route)))
        .collect();
    for (key, value) in pools.iter().chain(&routes) {
        planner.plan_write(key, value);
    }
    planner.plan_removals(ROUTE_PREFIX, &routes);
    planner.plan_removals(POOL_PREFIX, &pools);
    planner.plan
}

struct Planner<'a> {
    stored: &'a StoredObjects,
    settings: &'a Settings,
    plan: Plan,
}

impl Planner<'_> {
    fn plan_write(&mut self, key: &str, value: &Value) {
        let Some(object) = self.stored.objects.get(key) else {
            return self.push_write(key, Action::Create, value.clone());
        };
        if metadata(&object.value).removed {
            return self.push_write(key, Action::Create, value.clone());
        }
        let is_same = difference::is_same(value, &object.value);
        if is_same && self.active_generation(key) <= generation(&object.value) {
            self.push_unchanged(key, object);
        } else {
            self.push_write(key, Action::Update, value.clone());
        }
    }

    fn plan_removals(&mut self, prefix: &str, tables: &BTreeMap<String, Value>) {
        let stored = self.stored.objects.keys();
        let active_generations = self.settings.active_generations.keys();
        let keys: BTreeSet<&String> = stored
            .chain(active_generations)
            .filter(|key| key.starts_with(prefix) && !tables.contains_key(*key))
            .collect();
        for key in keys {
            self.plan_removal(key, &key[prefix.len()..]);
        }
    }

    fn plan_removal(&mut self, key: &str, name: &str) {
        let object = self.stored.objects.get(key);
        let removed = object.filter(|object| metadata(&object.value).removed);
        if let Some(object) = removed
            && self.active_generation(key) <= generation(&object.value)
        {
            return;
        }
        let tombstone = Tombstone {
            name: name.to_owned(),
            generation: 0,
            removed: Removed,
            edit: None,
        };
        self.push_write(key, Action::Delete, to_json(&tombstone));
    }

    fn active_generation(&self, key: &str) -> Generation {
        self.settings
            .active_generations
            .get(key)
            .copied()
            .unwrap_or(0)
    }

    /// Returns the highest generation that a balancer may have adopted. The base counts too: a store that was restored
    /// to an older state has lost generations that balancers may still have.
    fn highest_generation(&self, key: &str) -> Generation {
        let object = self.stored.objects.get(key);
        let stored = object.map_or(0, |object| generation(&object.value));
        let base = self.settings.base.as_ref();
        let base = base.and_then(|base| base.get(key)).copied().unwrap_or(0);
        stored.max(base).max(self.active_generation(key))
    }

    fn push_write(&mut self, key: &str, action: Action, mut value: Value) {
        let object = self.stored.objects.get(key);
        let before = object.map_or(&Value::Null, |object| &object.value);
        let fields = difference::differing_fields(&value, before);
        if let Some(conflict) = self.find_conflict(key, before, &fields) {
            self.plan.conflicts.push(conflict);
            return;
        }
        let generation = self.highest_generation(key).saturating_add(1);
        value["generation"] = generation.into();
        value["edit"] = self.settings.edit.clone().into();
        self.plan.steps.push(Step {
            key: key.to_owned(),
            action,
            generation,
            version: object.map_or(0, |object| object.version),
            fields,
            value,
        });
    }

    fn find_conflict(&self, key: &str, before: &Value, fields: &[Field]) -> Option<Conflict> {
        let generation = generation(before);
        let base = self.settings.base.as_ref()?;
        let base_generation = base.get(key).copied().unwrap_or(0);
        let is_replacement = self.settings.replace.get(key) == Some(&generation);
        (generation > base_generation && !is_replacement).then(|| Conflict {
            key: key.to_owned(),
            generation,
            fields: fields.to_vec(),
        })
    }

    fn push_unchanged(&mut self, key: &str, object: &Object) {
        self.plan.steps.push(Step {
            key: key.to_owned(),
            action: Action::Unchanged,
            generation: generation(&object.value),
            version: object.version,
            fields: Vec::new(),
            value: object.value.clone(),
        });
    }
}

fn to_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

impl Plan {
    /// Returns the steps that write something.
    pub fn writes(&self) -> impl Iterator<Item = &Step> {
        let steps = self.steps.iter();
        steps.filter(|step| step.action != Action::Unchanged)
    }
}

impl fmt::Display for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Step {
            key,
            action,
            generation,
            ..
        } = self;
        write!(formatter, "{action} {key} generation {generation}")
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Conflict {
            key, generation, ..
        } = self;
        write!(
            formatter,
            "{key} was changed by another operator (generation {generation})"
        )?;
        for field in &self.fields {
            write!(formatter, "\n  {field}")?;
        }
        write!(
            formatter,
            "\n  copy the store's values into the table, or replace them with --replace {key}@{generation}"
        )
    }
}
