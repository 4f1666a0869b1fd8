//! Directory of the registered upstreams and of those whose entries were removed recently.
//!
//! The removal of an entry is no proof that the upstream has ended: the platform also removes an entry if it has not
//! heard from the upstream for a while. Packets of open flows are therefore forwarded to the upstream until none of its
//! flows can be left, while new flows go to others at once.

use {
    crate::{
        cookie::{self, Claim, Cookie},
        directory_entry::Entry,
        position::{Position, Revision},
        table,
        upstream::{PoolName, Record, Upstream, UpstreamId, ZoneName},
    },
    skylarkflow_policy::id::{Map, Set},
    std::{mem, net::SocketAddr, sync::Arc, time::Duration},
};

pub use crate::directory_entry::EntryRevision;

/// Settings of a [`Directory`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time for which packets of open flows are forwarded to an upstream whose entry was removed.
    pub retention: Duration,
    /// Time for which a pool that has lost more than half of its entries is used as before: entries that lapsed while
    /// the store was unavailable are registered again within about two seconds of its recovery.
    pub reregistration_window: Duration,
    /// Time after a restore of the store within which it removes entries of upstreams that have left, which is three
    /// heartbeats.
    pub cleanup_window: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            // Age at which a flow may be discarded.
            retention: Duration::from_secs(60),
            reregistration_window: Duration::from_millis(2_200),
            cleanup_window: Duration::from_secs(4),
        }
    }
}

/// Change of the entry of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The upstream.
    pub id: UpstreamId,
    /// Revision of the entry.
    pub revision: Revision,
    /// The new entry; `None` if it was removed.
    pub record: Option<Record>,
}

/// What a balancer sends to one with older entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// Changes of entries.
    pub changes: Vec<Change>,
    /// Whether the changes are all registered entries, so that others no longer exist.
    pub is_complete: bool,
}

/// Registered upstreams, and removed ones until their retention time is over.
#[derive(Debug, Default)]
pub struct Directory {
    settings: Settings,
    entries: Map<UpstreamId, Entry>,
    /// Position up to which all changes were known at some time, so that an unknown entry from before it was removed.
    changes_complete_up_to: Position,
    /// Position of the store up to which removals may be missing: those before the last full list, those of entries that
    /// were not known, and those that were dropped after their retention.
    removals_complete_after: Position,
    /// Time of the last call of [`Directory::expire`].
    last_expiry: Duration,
    /// Zones whose upstreams get no new flows.
    evacuated: Arc<Set<ZoneName>>,
}

/// Upstreams as a [`table::Table`] holds them.
#[derive(Clone, Debug)]
pub struct View {
    /// Upstreams that accept new flows, by pool.
    pub pools: Arc<Map<PoolName, Vec<Arc<Upstream>>>>,
    /// All upstreams to which open flows may belong, by cookie.
    pub cookies: Arc<Map<Cookie, Arc<Upstream>>>,
    /// Holders of the addresses of the registered upstreams.
    pub addresses: Arc<Map<SocketAddr, Claim>>,
    /// Zones whose upstreams are left out of the pools.
    pub evacuated: Arc<Set<ZoneName>>,
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

    /// Sets the zones whose upstreams get no new flows.
    pub fn set_evacuated_zones(&mut self, zones: Set<ZoneName>) {
        self.evacuated = Arc::new(zones);
    }

    /// Replaces the registered upstreams by a full list, which was read at `store_position`.
    pub fn replace(
        &mut self,
        now: Duration,
        store_position: Position,
        records: Vec<(Revision, Record)>,
    ) {
        let listed: Set<UpstreamId> = records.iter().map(|(_, record)| record.id).collect();
        let entry_revision = |revision| EntryRevision {
            revision,
            store_position,
        };
        for (revision, record) in records {
            self.insert(now, entry_revision(revision), record);
        }
        let unlisted = self.entries.iter_mut();
        for (_, entry) in unlisted.filter(|(id, _)| !listed.contains(id)) {
            entry.handle_absence(now, entry_revision(store_position.revision));
        }
        self.changes_complete_up_to = self.changes_complete_up_to.max(store_position);
        self.removals_complete_after = self.removals_complete_after.max(store_position);
        self.expire(now);
    }

    /// Adds or changes the entry of an upstream, unless a later change is known.
    pub fn insert(&mut self, now: Duration, entry_revision: EntryRevision, record: Record) {
        match self.entries.get_mut(&record.id) {
            Some(entry) => entry.update(now, entry_revision, record),
            // A full list after this change did not have the entry, so it was removed, which may not be known any more.
            None if entry_revision.position() < self.changes_complete_up_to => {}
            None => {
                let id = record.id;
                self.entries
                    .insert(id, Entry::new(now, entry_revision, record));
            }
        }
    }

    /// Removes the entry of an upstream, unless a later change is known.
    ///
    /// If the entry is not known, a page of a list that was newer than the position of the list has lacked it already. A
    /// peer may still have it.
    pub fn remove(&mut self, now: Duration, entry_revision: EntryRevision, id: UpstreamId) {
        match self.entries.get_mut(&id) {
            Some(entry) => entry.remove(now, entry_revision),
            None => {
                let removed_before = entry_revision.store_position;
                self.removals_complete_after = self.removals_complete_after.max(removed_before);
            }
        }
    }

    /// Returns whether the upstream has an entry, or had one until a short time ago.
    pub fn contains(&self, id: UpstreamId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Drops upstreams whose entries were removed longer ago than the retention time.
    ///
    /// Returns whether the view has changed by the passage of time since the last call.
    pub fn expire(&mut self, now: Duration) -> bool {
        let settings = self.settings;
        let last_expiry = mem::replace(&mut self.last_expiry, now);
        let count_before = self.entries.len();
        let mut has_window_ended = false;
        let mut dropped_removal = Position::default();
        self.entries.retain(|_, entry| {
            has_window_ended |= entry.resolve_contradiction(now, &settings);
            let Some(removed) = entry.settled_removal() else {
                return true;
            };
            let window_end = removed + settings.reregistration_window;
            has_window_ended |= (last_expiry..now).contains(&window_end);
            let is_retained = now < removed + settings.retention;
            if !is_retained {
                dropped_removal = dropped_removal.max(entry.entry_revision.store_position);
            }
            is_retained
        });
        self.changes_complete_up_to = self.changes_complete_up_to.max(dropped_removal);
        self.removals_complete_after = self.removals_complete_after.max(dropped_removal);
        has_window_ended || self.entries.len() != count_before
    }

    /// Returns what a balancer that knows the entries up to a position of the store lacks.
    ///
    /// If a removal after that position may be missing here, the update has all registered entries instead: otherwise
    /// an upstream that has left would be used again.
    pub fn update_after(&self, after: Position) -> Update {
        let is_complete = after < self.removals_complete_after;
        let entries = self.entries.iter().filter(|(_, entry)| {
            if is_complete {
                entry.is_stored()
            } else {
                entry.entry_revision.latest_position() > after
            }
        });
        let change = |(&id, entry): (&UpstreamId, &Entry)| Change {
            id,
            revision: entry.entry_revision.revision,
            record: entry.is_stored().then(|| entry.record.clone()),
        };
        Update {
            changes: entries.map(change).collect(),
            is_complete,
        }
    }

    /// Applies the update of another balancer, which has read the store up to `store_position`.
    pub fn apply(&mut self, now: Duration, store_position: Position, update: Update) {
        if update.is_complete {
            let records = update.changes.into_iter();
            let records = records.filter_map(|change| Some((change.revision, change.record?)));
            return self.replace(now, store_position, records.collect());
        }
        for change in update.changes {
            let entry_revision = EntryRevision {
                revision: change.revision,
                store_position,
            };
            match change.record {
                Some(record) => self.insert(now, entry_revision, record),
                None => self.remove(now, entry_revision, change.id),
            }
        }
    }

    /// Returns the number of entries in which the store, restored from an older copy, contradicts what is known.
    pub fn contradicted_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.is_contradicted()).count()
    }

    /// Returns the entries of the registered upstreams.
    pub fn registered(&self) -> impl Iterator<Item = &Record> {
        let registered = self
            .entries
            .values()
            .filter(|entry| entry.removed_at.is_none());
        registered.map(|entry| &entry.record)
    }

    /// Returns the upstreams for a new table, given the pools that the configuration names.
    ///
    /// An entry of any other pool may belong to another writer, or to an upstream whose open flows have outlived their
    /// pool. It keeps its cookie, but holds no address: it proves nothing about other upstreams.
    pub fn view(&self, now: Duration, pool_names: &Set<PoolName>) -> View {
        let claims = self.entries.values().map(|entry| entry.record.claim());
        let claims: Vec<Claim> = claims.collect();
        let assigned = cookie::assign(&claims);
        let mut registered = Vec::new();
        let mut lapsed = Vec::new();
        let mut cookies: Map<Cookie, Arc<Upstream>> = Map::default();
        for entry in self.entries.values() {
            let cookie = assigned.get(&entry.record.id).copied();
            let upstream = Arc::new(Upstream {
                record: entry.record.clone(),
                cookie,
                warmup_end: entry.warmup_end,
                load_counters: Arc::clone(&entry.load_counters),
            });
            if let Some(cookie) = cookie {
                cookies.insert(cookie, Arc::clone(&upstream));
            }
            if entry.removed_at.is_none() {
                registered.push(upstream);
            } else if entry.may_return(now, &self.settings) {
                lapsed.push(upstream);
            }
        }
        // The entry of the former upstream at an address may outlast the registration of the next one, which then holds
        // the address.
        registered.sort_unstable_by_key(|upstream| upstream.record.claim());
        let named = registered
            .iter()
            .filter(|upstream| pool_names.contains(&upstream.record.pool));
        let address = |upstream: &Arc<Upstream>| (upstream.record.address, upstream.record.claim());
        let addresses: Map<SocketAddr, Claim> = named.map(address).collect();
        lapsed.retain(|upstream| !addresses.contains_key(&upstream.record.address));
        for upstreams in [&mut registered, &mut lapsed] {
            upstreams.retain(|upstream| !self.evacuated.contains(&upstream.record.zone));
        }
        View {
            addresses: Arc::new(addresses),
            pools: Arc::new(pools_with_lapsed(&registered, &lapsed)),
            cookies: Arc::new(cookies),
            evacuated: Arc::clone(&self.evacuated),
        }
    }
}

/// Groups the upstreams that accept new flows by pool; pools that have lost more than half keep the lapsed ones.
fn pools_with_lapsed(
    registered: &[Arc<Upstream>],
    lapsed: &[Arc<Upstream>],
) -> Map<PoolName, Vec<Arc<Upstream>>> {
    let mut pools = table::group_by_pool(registered.iter());
    for (name, lapsed) in table::group_by_pool(lapsed.iter()) {
        let pool = pools.entry(name).or_default();
        if pool.len() < lapsed.len() {
            pool.extend(lapsed);
        }
    }
    pools
}
