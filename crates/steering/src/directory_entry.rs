//! State of the entry of one upstream: what the upstream registered, and whether its registration was removed.
//!
//! A store that was restored from an older copy may contradict this state. What was known before the restore then holds
//! for as long as a live upstream needs to register itself again, or the store to remove the entry of one that has left.

use {
    crate::{
        directory::Settings,
        position::{Position, Revision},
        upstream::{LoadCounters, Record},
    },
    std::{sync::Arc, time::Duration},
};

/// Revisions by which a change of an entry is ordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryRevision {
    /// Revision of the entry; a change with a lower one in the same epoch is outdated.
    pub revision: Revision,
    /// Position of the store in the response that contained the change.
    pub store_position: Position,
}

impl EntryRevision {
    /// Returns the latest position of the store at which this state of the entry was read: a page of a list may be newer
    /// than the position from which the changes after the list are known.
    pub fn latest_position(&self) -> Position {
        self.store_position.max(self.position())
    }

    /// Returns the position at which the entry was changed.
    pub fn position(&self) -> Position {
        Position {
            epoch: self.store_position.epoch,
            revision: self.revision,
        }
    }
}

/// Entry of an upstream that is registered, or was until a short time ago.
#[derive(Debug)]
pub struct Entry {
    /// What the upstream registered last.
    pub record: Record,
    /// Revisions of the last change.
    pub entry_revision: EntryRevision,
    /// End of the warm-up.
    pub warmup_end: Duration,
    /// Time of the removal; `None` while the upstream is registered.
    pub removed_at: Option<Duration>,
    /// Load of the upstream, which outlives changes of the entry.
    pub load_counters: Arc<LoadCounters>,
    /// Time since which the restored store contradicts `removed_at`: it lacks the entry although the upstream was
    /// registered, or has it although it was removed.
    contradicted_since: Option<Duration>,
}

impl Entry {
    /// Creates the entry of an upstream that has registered itself.
    pub fn new(now: Duration, entry_revision: EntryRevision, record: Record) -> Entry {
        Entry {
            warmup_end: now.saturating_add(record.warmup),
            record,
            entry_revision,
            removed_at: None,
            load_counters: Arc::default(),
            contradicted_since: None,
        }
    }

    /// Returns whether the store has the entry, as far as is known.
    pub fn is_stored(&self) -> bool {
        self.removed_at.is_none() != self.is_contradicted()
    }

    /// Returns whether the restored store contradicts this state.
    pub fn is_contradicted(&self) -> bool {
        self.contradicted_since.is_some()
    }

    /// Returns the time of the removal, unless the restored store contradicts it.
    pub fn settled_removal(&self) -> Option<Duration> {
        self.removed_at.filter(|_| !self.is_contradicted())
    }

    /// Returns whether the upstream was removed so recently, or on such doubtful grounds, that it may be alive.
    pub fn may_return(&self, now: Duration, settings: &Settings) -> bool {
        let is_recent = |removed| now < removed + settings.reregistration_window;
        self.is_contradicted() || self.removed_at.is_some_and(is_recent)
    }

    /// Applies what the upstream registered, unless a later change is known.
    pub fn update(&mut self, now: Duration, entry_revision: EntryRevision, record: Record) {
        let (known, new) = (self.entry_revision.position(), entry_revision.position());
        if known >= new {
            return;
        }
        if known.epoch < new.epoch && record.is_no_newer_than(&self.record) {
            // The restored store has an entry that its upstream has replaced or removed since.
            self.contradicted_since = self.removed_at.map(|_| now);
        } else if self.removed_at.is_none() && !record.has_changed_from(&self.record) {
            // An unchanged entry that is read again does not restart the warm-up.
            self.record.heartbeat = record.heartbeat;
            self.contradicted_since = None;
        } else {
            let is_same_process = record.started_unix_ms == self.record.started_unix_ms;
            let load_counters = is_same_process.then(|| Arc::clone(&self.load_counters));
            *self = Entry {
                load_counters: load_counters.unwrap_or_default(),
                ..Entry::new(now, entry_revision, record)
            };
        }
        self.entry_revision = entry_revision;
    }

    /// Applies the removal of the entry, unless a later change is known.
    pub fn remove(&mut self, now: Duration, entry_revision: EntryRevision) {
        if self.entry_revision.position() <= entry_revision.position() {
            self.entry_revision = entry_revision;
            self.contradicted_since = None;
            self.removed_at.get_or_insert(now);
        }
    }

    /// Applies that a full list does not have the entry.
    ///
    /// The first list after a restore does not remove a registered entry at once, since a live upstream registers itself
    /// again.
    pub fn handle_absence(&mut self, now: Duration, entry_revision: EntryRevision) {
        let epoch = entry_revision.store_position.epoch;
        if self.removed_at.is_some() {
            self.remove(now, entry_revision);
        } else if self.entry_revision.store_position.epoch < epoch {
            self.entry_revision = entry_revision;
            self.contradicted_since = Some(now);
        } else if !self.is_contradicted() {
            self.remove(now, entry_revision);
        }
    }

    /// Adopts the state of the restored store if the one from before was not confirmed in time; returns whether it did.
    pub fn resolve_contradiction(&mut self, now: Duration, settings: &Settings) -> bool {
        let window = match self.removed_at {
            None => settings.reregistration_window,
            Some(_) => settings.cleanup_window,
        };
        let Some(since) = self
            .contradicted_since
            .take_if(|since| now >= *since + window)
        else {
            return false;
        };
        self.removed_at = match self.removed_at {
            None => Some(since),
            Some(_) => None,
        };
        true
    }
}
