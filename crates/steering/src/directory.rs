//! The upstreams that have registered themselves, and those that did until lately.
//!
//! An entry that disappears is no proof that the upstream has ended: the platform also removes entries of upstreams that
//! it did not hear for a while. Open flows therefore keep their upstream until no flow can be left, while new flows go
//! elsewhere at once.

use {
    crate::{
        cookie::{self, Claim, Cookie},
        table,
        upstream::{Meter, PoolName, Record, Upstream, UpstreamId},
    },
    skylarkflow_policy::id::Map,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Settings of a [`Directory`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time for which open flows still reach an upstream whose entry is gone.
    pub retention: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            // A flow may be discarded when it is this old.
            retention: Duration::from_secs(60),
        }
    }
}

/// Known upstreams.
#[derive(Debug, Default)]
pub struct Directory {
    settings: Settings,
    entries: Map<UpstreamId, Entry>,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    warm_at: Duration,
    removed: Option<Duration>,
    meter: Arc<Meter>,
}

/// Upstreams in the form in which tables hold them.
#[derive(Clone, Debug)]
pub struct View {
    /// Upstreams that take new flows, by pool.
    pub pools: Arc<Map<PoolName, Vec<Arc<Upstream>>>>,
    /// All upstreams that open flows may have, by cookie.
    pub cookies: Arc<Map<Cookie, Arc<Upstream>>>,
    /// Addresses of the registered upstreams.
    pub addresses: Arc<Map<SocketAddr, UpstreamId>>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(settings: Settings) -> Directory {
        Directory {
            settings,
            ..Directory::default()
        }
    }

    /// Changes the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Replaces the registered upstreams by a full list.
    pub fn replace(&mut self, now: Duration, records: Vec<Record>) {
        let mut listed: Vec<UpstreamId> = records.iter().map(|record| record.id).collect();
        listed.sort_unstable();
        for record in records {
            self.insert(now, record);
        }
        for (id, entry) in &mut self.entries {
            if listed.binary_search(id).is_err() {
                entry.removed.get_or_insert(now);
            }
        }
        self.expire(now);
    }

    /// Adds or changes an upstream.
    pub fn insert(&mut self, now: Duration, record: Record) {
        let warm_at = now + record.warmup;
        let meter = match self.entries.get(&record.id) {
            Some(entry) if entry.record.born == record.born => Arc::clone(&entry.meter),
            _ => Arc::default(),
        };
        let id = record.id;
        let entry = Entry {
            record,
            warm_at,
            removed: None,
            meter,
        };
        self.entries.insert(id, entry);
    }

    /// Removes the entry of an upstream.
    pub fn remove(&mut self, now: Duration, id: UpstreamId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.removed.get_or_insert(now);
        }
        self.expire(now);
    }

    /// Forgets upstreams whose entries have been gone for the retention time, and returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.entries.len();
        let retention = self.settings.retention;
        self.entries.retain(|_, entry| {
            entry
                .removed
                .is_none_or(|removed| now < removed + retention)
        });
        self.entries.len() != before
    }

    /// Returns the registered upstreams.
    pub fn registered(&self) -> impl Iterator<Item = &Record> {
        let registered = self
            .entries
            .values()
            .filter(|entry| entry.removed.is_none());
        registered.map(|entry| &entry.record)
    }

    /// Returns the upstreams as tables hold them.
    pub fn view(&self) -> View {
        let claim = |entry: &Entry| Claim {
            born: entry.record.born,
            id: entry.record.id,
        };
        let claims: Vec<Claim> = self.entries.values().map(claim).collect();
        let assigned = cookie::assign(&claims);
        let mut ready = Vec::new();
        let mut cookies: Map<Cookie, Arc<Upstream>> = Map::default();
        for entry in self.entries.values() {
            let cookie = assigned.get(&entry.record.id).copied();
            let upstream = Arc::new(Upstream {
                record: entry.record.clone(),
                cookie,
                warm_at: entry.warm_at,
                meter: Arc::clone(&entry.meter),
            });
            if let Some(cookie) = cookie {
                cookies.insert(cookie, Arc::clone(&upstream));
            }
            if entry.removed.is_none() {
                ready.push(upstream);
            }
        }
        ready.sort_unstable_by_key(|upstream| upstream.record.id);
        let address = |upstream: &Arc<Upstream>| (upstream.record.address, upstream.record.id);
        View {
            addresses: Arc::new(ready.iter().map(address).collect()),
            pools: Arc::new(table::group(ready.iter())),
            cookies: Arc::new(cookies),
        }
    }
}
