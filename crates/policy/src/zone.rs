//! Choice of the home zone of a flow by rendezvous hashing.
//!
//! Adding or removing a zone changes the home zone only of the flows that this zone gains or loses.

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
    /// Hashes the zone's name once, so that ranking a flow does not have to.
    pub fn new(name: &str) -> Candidate {
        Candidate {
            id: id::from_name(name),
        }
    }

    /// Returns the rank of the zone for a flow. The zone with the highest rank is the home zone.
    pub fn rank(self, flow: Hash) -> (u64, u64) {
        (xxh3_64_with_seed(&self.id.to_be_bytes(), flow), self.id)
    }
}
