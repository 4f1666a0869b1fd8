//! Upstreams that are leaving and VMs that come and go, as one balancer observes them.
//!
//! Each change becomes a versioned object that the relay spreads. See
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

/// Time for which a source has to deny a known state before it is withdrawn, because reports and lists lag.
const WITHDRAW_AFTER: Duration = Duration::from_secs(10);

/// Time for which the VM list has to differ from what is known about an entry VM, because the lists of two readers lag
/// differently.
const LIST_AFTER: Duration = Duration::from_secs(5);

/// Turns observations into objects.
#[derive(Clone, Debug, Default)]
pub struct Register {
    differs_since: Map<KeyId, Duration>,
}

impl Register {
    /// Records what a source says about an upstream and returns the mark to spread, if it is news.
    ///
    /// A drain takes effect at once; its end only after the source has said so for 10 s.
    pub fn observe(
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
        let wait = if draining {
            Duration::ZERO
        } else {
            WITHDRAW_AFTER
        };
        self.settle(now, mark, marked == draining, known, wait)
    }

    /// Records a VM list and returns what is news about upstreams and entry VMs.
    pub fn list(&mut self, now: Duration, store: &Store, records: &[vm::Record]) -> Vec<Object> {
        let mut news = Vec::new();
        let upstreams = store.upstreams_by_address();
        for record in records {
            if record.role == vm::Role::Entry {
                news.extend(self.entry(now, store, record, true));
                continue;
            }
            let draining = record.state == vm::State::Leaving;
            for &upstream in upstreams.get(&record.address).into_iter().flatten() {
                news.extend(self.observe(now, store, upstream, Source::Platform, draining));
            }
        }
        let named: Set<&str> = records.iter().map(|record| &*record.name).collect();
        for record in store.listed_vms() {
            if !named.contains(&*record.name) {
                news.extend(self.entry(now, store, &record, false));
            }
        }
        news
    }

    fn entry(
        &mut self,
        now: Duration,
        store: &Store,
        record: &vm::Record,
        listed: bool,
    ) -> Option<Object> {
        let object = Object::from_vm(record.clone(), listed, 0);
        let known = store.get(object.id());
        let same = known.is_some_and(|known| known.value == object.value);
        let wait = known.map_or(Duration::ZERO, |_| LIST_AFTER);
        self.settle(now, object, same, known, wait)
    }

    /// Returns the object with the next generation once it has differed from what is known for long enough.
    fn settle(
        &mut self,
        now: Duration,
        object: Object,
        same: bool,
        known: Option<&Object>,
        wait: Duration,
    ) -> Option<Object> {
        let key = object.id();
        if same {
            self.differs_since.remove(&key);
            return None;
        }
        let since = *self.differs_since.entry(key).or_insert(now);
        if now.saturating_sub(since) < wait {
            return None;
        }
        self.differs_since.remove(&key);
        Some(Object {
            generation: known.map_or(0, |known| known.generation) + 1,
            ..object
        })
    }
}
