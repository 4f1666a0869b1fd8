//! Rank of the availability zones for a flow.

use {crate::flow::Hash, std::cmp::Reverse, xxhash_rust::xxh3::xxh3_64_with_seed};

/// The zones of a deployment in the order in which they own a flow.
///
/// The first is the home zone. Rendezvous hashing keeps the order of the remaining zones when one is removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rank<'a> {
    zones: Vec<&'a str>,
}

impl<'a> Rank<'a> {
    /// Ranks the zones for a flow.
    pub fn new(zones: impl IntoIterator<Item = &'a str>, flow: Hash) -> Rank<'a> {
        let mut zones: Vec<&str> = zones.into_iter().collect();
        zones.sort_by_key(|zone| Reverse((xxh3_64_with_seed(zone.as_bytes(), flow), *zone)));
        Rank { zones }
    }

    /// Returns the home zone, or `None` if there are no zones.
    pub fn home(&self) -> Option<&'a str> {
        self.zones.first().copied()
    }

    /// Returns the zones from the home zone on.
    pub fn iter(&self) -> impl Iterator<Item = &'a str> + '_ {
        self.zones.iter().copied()
    }
}
