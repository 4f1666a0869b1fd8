//! A store in virtual time that holds entries which evacuate zones.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use {
    skylarkflow_steering::{
        evacuation::{Content, Observation},
        position::{Epoch, Position, Revision},
    },
    std::collections::BTreeMap,
};

/// Entries and changes at one moment.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    pub revision: Revision,
    pub entries: BTreeMap<String, Observation>,
    pub changes: Vec<Observation>,
    /// Revision of the last write of an object of another kind.
    pub others_at: Revision,
}

/// The store, which can be restored from a copy.
#[derive(Clone, Debug)]
pub struct Store {
    pub epoch: Epoch,
    pub current: Copy,
    /// Changes up to this revision are not available.
    pub compacted: Revision,
    pub is_up: bool,
    /// What calls get that need not be current, if it is older.
    pub lagging: Option<Copy>,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            epoch: 1,
            current: Copy {
                revision: 1,
                ..Copy::default()
            },
            compacted: 0,
            is_up: true,
            lagging: None,
        }
    }
}

impl Store {
    pub fn evacuate(&mut self, zone: &str) {
        self.change(zone, Content::Evacuated);
    }

    pub fn write_odd(&mut self, zone: &str) {
        self.change(zone, Content::Unreadable);
    }

    pub fn remove(&mut self, zone: &str) {
        if self.current.entries.contains_key(zone) {
            self.change(zone, Content::Removed);
        }
    }

    /// Writes objects of other kinds.
    pub fn write_others(&mut self, count: u64) {
        if count > 0 {
            self.current.revision += count;
            self.current.others_at = self.current.revision;
        }
    }

    pub fn compact(&mut self) {
        self.compacted = self.current.revision;
    }

    pub fn restore(&mut self, copy: Copy) {
        self.compacted = self.compacted.min(copy.revision);
        self.current = copy;
        self.epoch += 1;
        self.lagging = None;
    }

    pub fn has(&self, zone: &str, content: Content) -> bool {
        let entry = self.current.entries.get(zone);
        entry.is_some_and(|entry| entry.content == content)
    }

    pub fn position(&self, is_current: bool) -> Position {
        Position {
            epoch: self.epoch,
            revision: self.copy(is_current).revision,
        }
    }

    pub fn list(&self, is_current: bool) -> (Position, Vec<Observation>) {
        let copy = self.copy(is_current);
        let entries = copy.entries.values().cloned().collect();
        (self.position(is_current), entries)
    }

    /// Returns the changes after a revision; `None` if they are not available.
    pub fn changes(
        &self,
        after: Revision,
        is_current: bool,
    ) -> Option<(Position, Vec<Observation>)> {
        let copy = self.copy(is_current);
        let is_available = after >= self.compacted && after <= self.current.revision;
        let changes = copy.changes.iter();
        let changes = changes.filter(|change| change.revision > after).cloned();
        is_available.then(|| (self.position(is_current), changes.collect()))
    }

    fn copy(&self, is_current: bool) -> &Copy {
        let lagging = self.lagging.as_ref().filter(|_| !is_current);
        lagging.unwrap_or(&self.current)
    }

    fn change(&mut self, zone: &str, content: Content) {
        let current = &mut self.current;
        current.revision += 1;
        let change = Observation {
            zone: zone.to_owned(),
            revision: current.revision,
            content,
        };
        if content == Content::Removed {
            current.entries.remove(zone);
        } else {
            current.entries.insert(zone.to_owned(), change.clone());
        }
        current.changes.push(change);
    }
}
