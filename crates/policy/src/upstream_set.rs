//! A set of upstreams with running sums of weights and flows, so that choosing an upstream does not iterate over all of
//! them.

use crate::id::{Map, UpstreamId};

/// Upstreams that may be selected, with the sums of their weights and flows.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSet {
    ids: Vec<UpstreamId>,
    entries: Map<UpstreamId, Entry>,
    weight: u64,
    flows: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    position: usize,
    weight: u32,
    flows: u32,
}

impl UpstreamSet {
    /// Returns the upstreams in no particular order.
    pub fn ids(&self) -> &[UpstreamId] {
        &self.ids
    }

    /// Returns the sum of the weights.
    pub fn weight(&self) -> u64 {
        self.weight
    }

    /// Returns the sum of the open flows.
    pub fn flows(&self) -> u64 {
        self.flows
    }

    /// Returns whether the set contains an upstream.
    pub fn contains(&self, id: UpstreamId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Adds or updates an upstream, or removes it if `is_member` is false.
    pub fn set(&mut self, id: UpstreamId, is_member: bool, weight: u32, flows: u32) {
        if !is_member {
            return self.remove(id);
        }
        let position = match self.entries.get(&id) {
            Some(entry) => entry.position,
            None => {
                self.ids.push(id);
                self.ids.len() - 1
            }
        };
        let entry = Entry {
            position,
            weight,
            flows,
        };
        self.add(entry);
        if let Some(previous) = self.entries.insert(id, entry) {
            self.subtract(previous);
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, id: UpstreamId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.subtract(entry);
        self.ids.swap_remove(entry.position);
        if let Some(moved) = self.ids.get(entry.position)
            && let Some(other) = self.entries.get_mut(moved)
        {
            other.position = entry.position;
        }
    }

    fn add(&mut self, entry: Entry) {
        self.weight += u64::from(entry.weight);
        self.flows += u64::from(entry.flows);
    }

    fn subtract(&mut self, entry: Entry) {
        self.weight -= u64::from(entry.weight);
        self.flows -= u64::from(entry.flows);
    }
}
