//! Observed drains of upstreams and changes of the VM list.
//!
//! Each change becomes a versioned object that the configuration relay distributes to all balancers. See
//! [configuration](../../../docs/design.md#9-configuration).

use {
    crate::{
        config_object::{KeyId, Object, Source, Value},
        config_store::Store,
        id::{Map, Set, UpstreamId},
        vm,
    },
    std::time::Duration,
};

/// Time for which a source must report that an upstream is not draining before the drain is withdrawn.
///
/// Reports and VM lists may be outdated.
const DRAIN_WITHDRAWAL_DELAY: Duration = Duration::from_secs(10);

/// Time for which the VM list must differ from the stored state of an entry VM before the state changes.
///
/// The VM lists of two balancers may be outdated by different times.
const VM_LIST_CHANGE_DELAY: Duration = Duration::from_secs(5);

/// Converts observed changes into versioned objects.
#[derive(Clone, Debug, Default)]
pub struct ObservationTracker {
    differs_since: Map<KeyId, Duration>,
}

impl ObservationTracker {
    /// Records whether a source reports an upstream as draining, and returns the object to distribute on a change.
    ///
    /// A drain takes effect at once. It ends only after the source has reported for 10 s that the upstream is not
    /// draining.
    pub fn observe_drain(
        &mut self,
        now: Duration,
        store: &Store,
        upstream: UpstreamId,
        source: Source,
        draining: bool,
    ) -> Option<Object> {
        let mark = Object::from_drain(upstream, source, draining, 0);
        let known = store.get(mark.id());
        let marked = known.is_some_and(|it| matches!(it.value, Value::Drain(_, _, true)));
        let delay = if draining {
            Duration::ZERO
        } else {
            DRAIN_WITHDRAWAL_DELAY
        };
        self.stable_change(now, mark, marked == draining, known, delay)
    }

    /// Records a VM list, and returns the objects of upstreams and entry VMs that have changed.
    pub fn observe_vm_list(
        &mut self,
        now: Duration,
        store: &Store,
        records: &[vm::Record],
    ) -> Vec<Object> {
        let mut changes = Vec::new();
        let upstreams = store.upstreams_by_address();
        for record in records {
            if record.role == vm::Role::Entry {
                changes.extend(self.observe_entry_vm(now, store, record, true));
                continue;
            }
            let draining = record.state == vm::State::Leaving;
            for &upstream in upstreams.get(&record.address).into_iter().flatten() {
                changes.extend(self.observe_drain(
                    now,
                    store,
                    upstream,
                    Source::Platform,
                    draining,
                ));
            }
        }
        let listed_names: Set<&str> = records.iter().map(|record| &*record.name).collect();
        for record in store.listed_vms() {
            if !listed_names.contains(&*record.name) {
                changes.extend(self.observe_entry_vm(now, store, &record, false));
            }
        }
        changes
    }

    fn observe_entry_vm(
        &mut self,
        now: Duration,
        store: &Store,
        record: &vm::Record,
        listed: bool,
    ) -> Option<Object> {
        let object = Object::from_vm(record.clone(), listed, 0);
        let known = store.get(object.id());
        let is_unchanged = known.is_some_and(|known| known.value == object.value);
        let delay = known.map_or(Duration::ZERO, |_| VM_LIST_CHANGE_DELAY);
        self.stable_change(now, object, is_unchanged, known, delay)
    }

    /// Returns the object with the next generation once it has differed from the known one for `delay`.
    fn stable_change(
        &mut self,
        now: Duration,
        object: Object,
        is_unchanged: bool,
        known: Option<&Object>,
        delay: Duration,
    ) -> Option<Object> {
        let key = object.id();
        if is_unchanged {
            self.differs_since.remove(&key);
            return None;
        }
        let since = *self.differs_since.entry(key).or_insert(now);
        if now.saturating_sub(since) < delay {
            return None;
        }
        self.differs_since.remove(&key);
        Some(Object {
            generation: known.map_or(0, |known| known.generation) + 1,
            ..object
        })
    }
}
