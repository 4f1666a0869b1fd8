//! Follows the platform: the VM list and the operators' tables.

use {
    crate::{context::Context, control::Input, event, metrics::Counter},
    serde_json::Value,
    skylarkflow_platform::{
        store::Store,
        wire::{self, Listing, Object},
    },
    skylarkflow_policy::config::{self, Snapshot},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time,
};

/// Time between two looks at the platform.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

struct Follower {
    context: Arc<Context>,
    store: Store,
    objects: BTreeMap<String, Object>,
    is_failing: bool,
}

/// Follows the platform until the balancer stops.
pub async fn run(context: Arc<Context>) {
    let mut follower = Follower {
        store: Store::new(&context.settings.platform),
        context,
        objects: BTreeMap::new(),
        is_failing: false,
    };
    while !follower.context.is_stopped() {
        follower.refresh().await;
        time::sleep(REFRESH_INTERVAL).await;
    }
}

impl Follower {
    async fn refresh(&mut self) {
        let vms = self.store.vms().await;
        if let Some(vms) = self.checked(vms) {
            self.context.enqueue(Input::Listed(vms));
        }
        let listing = self.store.list("").await;
        if let Some(listing) = self.checked(listing) {
            self.adopt_tables(listing);
        }
        self.context.check_serving();
    }

    fn checked<T>(&mut self, answer: skylarkflow_platform::Result<T>) -> Option<T> {
        let context = &self.context;
        context.metrics.count(Counter::PlatformCalls);
        match answer {
            Ok(value) => {
                if self.is_failing {
                    let text = format_args!("at {}", context.settings.platform);
                    context.journal.record(&event::PLATFORM_ANSWERS, text);
                }
                self.is_failing = false;
                Some(value)
            }
            Err(error) => {
                self.is_failing = true;
                let text = format_args!("{error}");
                context.drop_datagram(Counter::PlatformFailed, &event::PLATFORM_FAILED, text);
                None
            }
        }
    }

    fn adopt_tables(&mut self, listing: Listing) {
        let objects = listing.objects.into_iter();
        let objects: BTreeMap<String, Object> =
            objects.map(|object| (object.key.clone(), object)).collect();
        if objects == self.objects {
            return;
        }
        self.record_tables(&objects);
        let now = self.context.clock.now();
        let snapshot = snapshot(objects.values());
        self.context.core.set_tables(now, Arc::new(snapshot));
        self.objects = objects;
    }

    fn record_tables(&self, objects: &BTreeMap<String, Object>) {
        let journal = &self.context.journal;
        for (key, object) in objects {
            if self.objects.get(key) != Some(object) {
                self.context.metrics.count(Counter::ConfigAdopted);
                let generation = object.value.get("generation").and_then(Value::as_u64);
                let generation = generation.unwrap_or_default();
                let text = format_args!("{key} generation {generation}, from the store");
                journal.record(&event::CONFIGURATION_ADOPTED, text);
            }
        }
        let removed = self.objects.keys();
        for key in removed.filter(|&key| !objects.contains_key(key)) {
            let text = format_args!("{key}, from the store");
            journal.record(&event::CONFIGURATION_REMOVED, text);
        }
    }
}

fn snapshot<'a>(objects: impl Iterator<Item = &'a Object>) -> Snapshot {
    let mut routes: Vec<config::Route> = Vec::new();
    let mut pools: Vec<config::Pool> = Vec::new();
    for object in objects {
        let value = object.value.clone();
        if object.key.starts_with(wire::ROUTE_PREFIX) {
            routes.extend(serde_json::from_value::<wire::Route>(value).map(Into::into));
        } else if object.key.starts_with(wire::POOL_PREFIX) {
            pools.extend(serde_json::from_value::<wire::Pool>(value).map(Into::into));
        }
    }
    Snapshot::new(routes, pools)
}
