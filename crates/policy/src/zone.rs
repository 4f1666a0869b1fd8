//! Rank of the availability zones for a flow.
//!
//! Rendezvous hashing ranks the zones, so that a zone that is added or removed changes the home of its own flows only.

use {
    crate::{flow::Hash, id},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// A zone that may be the home of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    id: u64,
}

impl Candidate {
    /// Prepares a zone for ranking, so that a decision does not hash its name.
    pub fn new(name: &str) -> Candidate {
        Candidate {
            id: id::from_name(name),
        }
    }

    /// Returns the rank of the zone for a flow; the home zone has the highest.
    pub fn rank(self, flow: Hash) -> (u64, u64) {
        (xxh3_64_with_seed(&self.id.to_be_bytes(), flow), self.id)
    }
}
