//! Directory of the registered upstreams and of those whose entries were removed recently.
//!
//! The removal of an entry is no proof that the upstream has ended: the platform also removes an entry if it has not
//! heard from the upstream for a while. Packets of open flows are therefore forwarded to the upstream until none of its
//! flows can be left, while new flows go to others at once.

use {
    crate::{
        cookie::{self, Claim, Cookie},
        position::{Position, Revision},
        table,
        upstream::{LoadCounters, PoolName, Record, Upstream, UpstreamId},
    },
    skylarkflow_policy::id::Map,
    std::{mem, net::SocketAddr, sync::Arc, time::Duration},
};

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

/// Revisions by which a change of an entry is ordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryRevision {
    /// Revision of the entry; a change with a lower one in the same epoch is outdated.
    pub revision: Revision,
    /// Position of the store in the response that contained the change.
    pub store_position: Position,
}

impl EntryRevision {
    fn position(&self) -> Position {
        Position {
            epoch: self.store_position.epoch,
            revision: self.revision,
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
    /// Position of the store up to which removals may be missing: those before the last full list, and those that were
    /// dropped after their retention.
    removals_complete_after: Position,
    /// Time of the last call of [`Directory::expire`].
    last_expiry: Duration,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    entry_revision: EntryRevision,
    warmup_end: Duration,
    removed_at: Option<Duration>,
    /// Time since which the store, restored from an older copy, contradicts the state that is known from before: it
    /// lacks a registered entry, or has a removed one. The upstream has some time to confirm either.
    contradicted_since: Option<Duration>,
    load_counters: Arc<LoadCounters>,
}

impl Entry {
    /// Returns whether the store has the entry, as far as is known.
    fn is_stored(&self) -> bool {
        self.removed_at.is_none() != self.contradicted_since.is_some()
    }

    /// Adopts the state of the store if the upstream has not confirmed the one from before a restore in time; returns
    /// whether the time has passed.
    fn resolve_contradiction(&mut self, now: Duration, settings: &Settings) -> bool {
        let Some(since) = self.contradicted_since else {
            return false;
        };
        let window = match self.removed_at {
            None => settings.reregistration_window,
            Some(_) => settings.cleanup_window,
        };
        if now < since + window {
            return false;
        }
        self.contradicted_since = None;
        self.removed_at = match self.removed_at {
            None => Some(since),
            Some(_) => None,
        };
        true
    }
}

/// Upstreams as a [`table::Table`] holds them.
#[derive(Clone, Debug)]
pub struct View {
    /// Upstreams that accept new flows, by pool.
    pub pools: Arc<Map<PoolName, Vec<Arc<Upstream>>>>,
    /// All upstreams to which open flows may belong, by cookie.
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

    /// Replaces the registered upstreams by a full list, which was read at `store_position`.
    pub fn replace(
        &mut self,
        now: Duration,
        store_position: Position,
        records: Vec<(Revision, Record)>,
    ) {
        let mut listed: Vec<UpstreamId> = records.iter().map(|(_, record)| record.id).collect();
        listed.sort_unstable();
        for (revision, record) in records {
            self.insert(
                now,
                EntryRevision {
                    revision,
                    store_position,
                },
                record,
            );
        }
        let unlisted: Vec<UpstreamId> = self
            .entries
            .keys()
            .copied()
            .filter(|id| listed.binary_search(id).is_err())
            .collect();
        for id in unlisted {
            let entry_revision = EntryRevision {
                revision: store_position.revision,
                store_position,
            };
            if !self.keep_lost_entry(now, entry_revision, id) {
                self.remove(now, entry_revision, id);
            }
        }
        self.removals_complete_after = self.removals_complete_after.max(store_position);
        self.expire(now);
    }

    /// Keeps an entry that a restored store has lost, as its upstream registers itself again if it is alive; returns
    /// whether it is kept.
    fn keep_lost_entry(
        &mut self,
        now: Duration,
        entry_revision: EntryRevision,
        id: UpstreamId,
    ) -> bool {
        let Some(entry) = self
            .entries
            .get_mut(&id)
            .filter(|entry| entry.removed_at.is_none())
        else {
            return false;
        };
        if entry.entry_revision.store_position.epoch < entry_revision.store_position.epoch {
            entry.entry_revision = entry_revision;
            entry.contradicted_since = Some(now);
        }
        entry.contradicted_since.is_some()
    }

    /// Adds or changes the entry of an upstream, unless a later change is known.
    pub fn insert(&mut self, now: Duration, entry_revision: EntryRevision, record: Record) {
        if let Some(entry) = self.entries.get_mut(&record.id) {
            let (known, new) = (entry.entry_revision.position(), entry_revision.position());
            if known >= new {
                return;
            }
            if known.epoch < new.epoch && record.is_no_newer_than(&entry.record) {
                // A restored store has an entry that its upstream has replaced or removed since.
                entry.entry_revision = entry_revision;
                entry.contradicted_since = entry.removed_at.map(|_| now);
                return;
            }
            if entry.removed_at.is_none() && !record.has_changed_from(&entry.record) {
                // An unchanged entry that is read again does not restart the warm-up.
                entry.entry_revision = entry_revision;
                entry.record.heartbeat = record.heartbeat;
                entry.contradicted_since = None;
                return;
            }
        } else if entry_revision.position() < self.removals_complete_after {
            // A full list after this change did not have the entry, so it was removed, which may not be known any more.
            return;
        }
        let warmup_end = now.saturating_add(record.warmup);
        let load_counters = match self.entries.get(&record.id) {
            Some(entry) if entry.record.started_unix_ms == record.started_unix_ms => {
                Arc::clone(&entry.load_counters)
            }
            _ => Arc::default(),
        };
        let id = record.id;
        let entry = Entry {
            record,
            entry_revision,
            warmup_end,
            removed_at: None,
            contradicted_since: None,
            load_counters,
        };
        self.entries.insert(id, entry);
    }

    /// Removes the entry of an upstream, unless a later change is known.
    pub fn remove(&mut self, now: Duration, entry_revision: EntryRevision, id: UpstreamId) {
        let entry = self.entries.get_mut(&id);
        if let Some(entry) =
            entry.filter(|entry| entry.entry_revision.position() <= entry_revision.position())
        {
            entry.entry_revision = entry_revision;
            entry.contradicted_since = None;
            entry.removed_at.get_or_insert(now);
        }
    }

    /// Drops upstreams whose entries were removed longer ago than the retention time.
    ///
    /// Returns whether the view has changed by the passage of time since the last call.
    pub fn expire(&mut self, now: Duration) -> bool {
        let settings = self.settings;
        let Settings {
            retention,
            reregistration_window,
            ..
        } = settings;
        let last_expiry = mem::replace(&mut self.last_expiry, now);
        let count_before = self.entries.len();
        let mut has_window_ended = false;
        let mut dropped_removal = Position::default();
        self.entries.retain(|_, entry| {
            has_window_ended |= entry.resolve_contradiction(now, &settings);
            let Some(removed) = entry
                .removed_at
                .filter(|_| entry.contradicted_since.is_none())
            else {
                return true;
            };
            has_window_ended |= (last_expiry..now).contains(&(removed + reregistration_window));
            let is_retained = now < removed + retention;
            if !is_retained {
                let removal = entry.entry_revision.store_position;
                dropped_removal = dropped_removal.max(removal);
            }
            is_retained
        });
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
                entry.entry_revision.store_position > after
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
        entries
            .filter(|entry| entry.contradicted_since.is_some())
            .count()
    }

    /// Returns the entries of the registered upstreams.
    pub fn registered(&self) -> impl Iterator<Item = &Record> {
        let registered = self
            .entries
            .values()
            .filter(|entry| entry.removed_at.is_none());
        registered.map(|entry| &entry.record)
    }

    /// Returns the upstreams for a new table.
    pub fn view(&self, now: Duration) -> View {
        let claim = |entry: &Entry| Claim {
            started_unix_ms: entry.record.started_unix_ms,
            id: entry.record.id,
        };
        let claims: Vec<Claim> = self.entries.values().map(claim).collect();
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
            match entry.removed_at {
                None => registered.push(upstream),
                Some(removed)
                    if entry.contradicted_since.is_some()
                        || now < removed + self.settings.reregistration_window =>
                {
                    lapsed.push(upstream)
                }
                Some(_) => {}
            }
        }
        // The entry of the former upstream at an address may outlast the registration of the next one, which then holds
        // the address.
        registered
            .sort_unstable_by_key(|upstream| (upstream.record.started_unix_ms, upstream.record.id));
        let address = |upstream: &Arc<Upstream>| (upstream.record.address, upstream.record.id);
        let addresses: Map<SocketAddr, UpstreamId> = registered.iter().map(address).collect();
        lapsed.retain(|upstream| !addresses.contains_key(&upstream.record.address));
        View {
            addresses: Arc::new(addresses),
            pools: Arc::new(pools_with_lapsed(&registered, &lapsed)),
            cookies: Arc::new(cookies),
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
