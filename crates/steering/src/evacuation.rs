//! Availability zones whose upstreams get no new flows, as an operator requests it.
//!
//! It is designed for a zone that is emptied while callers send at full rate: 60 to 300 balancers stop placing flows
//! there within seconds, and none of them starts again because of an old copy, an old list or a peer that is behind.
//! Entries change a few times a day, and a deployment has a handful of zones, so balancers exchange the whole state.
//!
//! The state has one entry for each zone, ordered by the position of the store at which it was read. Merging two states
//! takes the newer entry of each zone, so balancers reach the same state in whatever order messages arrive. See [the
//! design note](../../../docs/design/evacuation.md).

use {
    crate::{
        position::{Position, Revision},
        upstream::ZoneName,
    },
    skylarkflow_policy::id::Set,
    std::collections::BTreeMap,
};

/// Maximum number of evacuated zones that are kept, and of ended or ignored evacuations that are remembered.
pub const MAX_ZONES: usize = 64;

/// Maximum length of the name of a zone, which bounds the state that balancers exchange.
pub const MAX_NAME_BYTES: usize = 253;

/// What the store has or had for a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// An entry that requests the evacuation.
    Evacuated,
    /// Nothing: the entry was removed.
    Removed,
    /// An entry that is not valid; it neither begins nor ends an evacuation.
    Unreadable,
}

/// What a list or a watch shows about the entry of a zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// The zone.
    pub zone: ZoneName,
    /// Revision of the entry.
    pub revision: Revision,
    /// What the store has.
    pub content: Content,
}

/// Whether a zone is evacuated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Status {
    /// The entry was removed, or no valid one is known.
    #[default]
    Ended,
    /// No new flows are sent to the zone.
    InForce,
}

/// State of one zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Entry {
    /// Position of the store at which the status was read: that of the entry if it is in force, and otherwise one at
    /// which the entry was missing.
    pub position: Position,
    /// The status.
    pub status: Status,
    /// Position of the latest entry that is invalid or left out because there are too many. It has no effect on the
    /// status, but shows that the store has an entry.
    pub invalid_at: Option<Position>,
}

/// A change that operators are told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The store, restored from an older copy, has the entry again.
    Confirmed,
    /// The evacuation has ended.
    Ended,
    /// The evacuation has begun.
    Started,
    /// The store was restored from an older copy, which lacks the entry; the evacuation is kept.
    Unconfirmed,
}

/// Evacuated zones, each with whether the store is known to have its entry.
pub type Zones = BTreeMap<ZoneName, bool>;

/// Evacuations that a balancer knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    known_up_to: Option<Position>,
    changed_at: Position,
    entries: BTreeMap<ZoneName, Entry>,
}

impl Entry {
    /// Returns whether the evacuation has ended if a complete state at `position` lacks the entry. One of another epoch
    /// does not show it: a restored store may have lost the entry.
    fn ends_by_absence_at(&self, position: Position) -> bool {
        self.status == Status::InForce
            && self.position.epoch == position.epoch
            && self.position <= position
    }

    /// Returns whether the store had an entry, as far as a complete state at `position` shows.
    fn exists_at(&self, position: Position) -> bool {
        match self.status {
            Status::InForce if self.position.epoch == position.epoch => true,
            Status::Ended if Some(self.position) >= self.invalid_at => false,
            Status::Ended | Status::InForce => self
                .invalid_at
                .is_some_and(|invalid_at| invalid_at.epoch == position.epoch),
        }
    }

    /// Returns the newer of two states of a zone.
    fn newer(self, other: Entry) -> Entry {
        let order = |entry: &Entry| (entry.position, entry.status == Status::InForce);
        let newer = if order(&other) > order(&self) {
            other
        } else {
            self
        };
        Entry {
            invalid_at: self.invalid_at.max(other.invalid_at),
            ..newer
        }
    }

    /// Returns the latest position at which the entry was seen or missing.
    fn latest_position(&self) -> Position {
        self.position.max(self.invalid_at.unwrap_or_default())
    }
}

impl Evacuations {
    /// Creates a state that a peer has sent: complete up to a position, with the position of its last change.
    pub fn new(
        known_up_to: Position,
        changed_at: Position,
        entries: BTreeMap<ZoneName, Entry>,
    ) -> Evacuations {
        let mut evacuations = Evacuations {
            known_up_to: Some(known_up_to),
            changed_at,
            entries,
        };
        evacuations
            .entries
            .retain(|zone, _| zone.len() <= MAX_NAME_BYTES);
        evacuations.drop_excess();
        evacuations
    }

    /// Returns the position of the store up to which changes are known; `None` before the first list or the tables of a
    /// peer.
    pub fn known_up_to(&self) -> Option<Position> {
        self.known_up_to
    }

    /// Returns the position of the last change, which tells peers how new this state is; `None` while it is unknown.
    pub fn changed_at(&self) -> Option<Position> {
        self.known_up_to.map(|_| self.changed_at)
    }

    /// Returns the state of each zone, ended evacuations included.
    pub fn entries(&self) -> &BTreeMap<ZoneName, Entry> {
        &self.entries
    }

    /// Returns the evacuated zones.
    ///
    /// An evacuation is confirmed if its entry was read in the epoch of the latest list.
    pub fn zones(&self) -> Zones {
        let epoch = self.known_up_to.unwrap_or_default().epoch;
        let in_force = self.entries.iter();
        in_force
            .filter(|(_, entry)| entry.status == Status::InForce)
            .map(|(zone, entry)| (zone.clone(), entry.position.epoch >= epoch))
            .collect()
    }

    /// Applies a complete list; returns the zones that are ignored because there are too many.
    ///
    /// An entry that the list lacks has ended only if the list is from the current store and of the entry's epoch.
    pub fn apply_list(
        &mut self,
        position: Position,
        is_current: bool,
        listed: &[Observation],
    ) -> Vec<ZoneName> {
        for observation in listed {
            self.observe(position, observation);
        }
        if is_current {
            let names: Set<&str> = listed.iter().map(|item| &*item.zone).collect();
            self.end_missing(position, |zone| names.contains(zone));
            self.forget_invalid(position, |zone| names.contains(zone));
            self.known_up_to = self.known_up_to.max(Some(position));
        }
        self.drop_excess()
    }

    /// Applies the changes in the response to a watch; returns the zones that are ignored because there are too many.
    pub fn apply_changes(&mut self, position: Position, changes: &[Observation]) -> Vec<ZoneName> {
        // The revision of a removal is not known, so it counts as that of the response, which may be higher than that
        // of a later change of the same entry. Only the last change of each entry matters.
        let last: BTreeMap<&str, &Observation> = changes
            .iter()
            .map(|change| (&*change.zone, change))
            .collect();
        for change in last.into_values() {
            self.observe(position, change);
        }
        self.known_up_to = self.known_up_to.max(Some(position));
        self.drop_excess()
    }

    /// Merges the state of another balancer; returns the zones that are ignored because there are too many.
    ///
    /// Each of both states shows which zones had no entry up to its position, so it ends evacuations that only the other
    /// one has: a balancer that has just started does not remember that an evacuation has ended.
    pub fn merge(&mut self, other: &Evacuations) -> Vec<ZoneName> {
        if other.known_up_to.is_none() {
            return Vec::new();
        }
        let before = self.clone();
        for (zone, entry) in &other.entries {
            self.put(zone, *entry);
        }
        for state in [&before, other] {
            if let Some(position) = state.known_up_to
                && !state.is_full()
            {
                let has = |zone: &str| {
                    let entry = state.entries.get(zone);
                    entry.is_some_and(|entry| entry.exists_at(position))
                };
                self.end_missing(position, has);
                self.forget_invalid(position, has);
            }
        }
        self.changed_at = self.changed_at.max(other.changed_at);
        self.known_up_to = self.known_up_to.max(other.known_up_to);
        self.drop_excess()
    }

    fn observe(&mut self, position: Position, observation: &Observation) {
        let Observation {
            zone,
            revision,
            content,
        } = observation;
        if zone.is_empty() || zone.len() > MAX_NAME_BYTES {
            return;
        }
        let entry_position = Position {
            revision: *revision,
            ..position
        };
        let entry = match content {
            Content::Evacuated => Entry {
                position: entry_position,
                status: Status::InForce,
                invalid_at: None,
            },
            Content::Unreadable => Entry {
                invalid_at: Some(entry_position),
                ..Entry::default()
            },
            Content::Removed => {
                let known = self.entries.get(zone);
                let is_known = known.is_some_and(|entry| {
                    entry.status == Status::InForce || entry.exists_at(position)
                });
                if !is_known {
                    return;
                }
                Entry {
                    position,
                    ..Entry::default()
                }
            }
        };
        self.put(zone, entry);
    }

    /// Ends the evacuations whose entry is missing in a state which is complete up to `position`.
    fn end_missing(&mut self, position: Position, has: impl Fn(&str) -> bool) {
        for (zone, entry) in &mut self.entries {
            if entry.ends_by_absence_at(position) && !has(zone) {
                self.changed_at = self.changed_at.max(position);
                entry.position = position;
                entry.status = Status::Ended;
            }
        }
    }

    /// Records that the invalid entries which a complete state at `position` lacks were removed.
    fn forget_invalid(&mut self, position: Position, has: impl Fn(&str) -> bool) {
        for (zone, entry) in &mut self.entries {
            let is_invalid = entry.status == Status::Ended && entry.exists_at(position);
            if is_invalid && entry.latest_position() <= position && !has(zone) {
                entry.position = position;
            }
        }
    }

    fn put(&mut self, zone: &ZoneName, entry: Entry) {
        let known = self.entries.get(zone).copied().unwrap_or_default();
        let newer = known.newer(entry);
        if newer.position != known.position {
            self.changed_at = self.changed_at.max(newer.position);
        }
        self.entries.insert(zone.clone(), newer);
    }

    /// Returns whether entries may have been dropped, so that a missing one shows nothing.
    fn is_full(&self) -> bool {
        let entries = self.entries.values();
        let in_force = entries.filter(|entry| entry.status == Status::InForce);
        let in_force = in_force.count();
        in_force >= MAX_ZONES || self.entries.len() - in_force >= MAX_ZONES
    }

    /// Keeps the evacuations whose entries are the oldest and the latest of the others; returns the names of evacuations
    /// that are left out.
    fn drop_excess(&mut self) -> Vec<ZoneName> {
        let names = |entries: &BTreeMap<ZoneName, Entry>, is_in_force: bool| {
            let mut names: Vec<(Position, ZoneName)> = entries
                .iter()
                .filter(|(_, entry)| (entry.status == Status::InForce) == is_in_force)
                .map(|(zone, entry)| (entry.latest_position(), zone.clone()))
                .collect();
            names.sort_unstable();
            names.into_iter().map(|(_, zone)| zone)
        };
        let left_out: Vec<ZoneName> = names(&self.entries, true).skip(MAX_ZONES).collect();
        for zone in &left_out {
            // A peer may have room for the entry; without a trace, this state would end it there.
            if let Some(entry) = self.entries.get_mut(zone) {
                *entry = Entry {
                    invalid_at: Some(entry.latest_position()),
                    ..Entry::default()
                };
            }
        }
        let others = names(&self.entries, false);
        let forgotten: Vec<ZoneName> = others.rev().skip(MAX_ZONES).collect();
        for zone in &forgotten {
            self.entries.remove(zone);
        }
        left_out
    }
}

/// Returns the differences between the evacuated zones before and after a change.
pub fn transitions(before: &Zones, after: &Zones) -> Vec<(ZoneName, Transition)> {
    let mut transitions = Vec::new();
    for zone in before.keys().filter(|zone| !after.contains_key(*zone)) {
        transitions.push((zone.clone(), Transition::Ended));
    }
    for (zone, is_confirmed) in after {
        match (before.get(zone), is_confirmed) {
            (None, true) => transitions.push((zone.clone(), Transition::Started)),
            (None, false) => {
                transitions.push((zone.clone(), Transition::Started));
                transitions.push((zone.clone(), Transition::Unconfirmed));
            }
            (Some(true), false) => transitions.push((zone.clone(), Transition::Unconfirmed)),
            (Some(false), true) => transitions.push((zone.clone(), Transition::Confirmed)),
            (Some(_), _) => {}
        }
    }
    transitions
}
