//! Rank of a balancer among those of its zone, which divides work without messages.

use crate::gossip::Gossip;

/// Position of a balancer in the order of names of its zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rank {
    /// Number of known balancers with lower names.
    pub index: usize,
    /// Number of known balancers, this one included.
    pub count: usize,
}

impl Default for Rank {
    fn default() -> Rank {
        Rank { index: 0, count: 1 }
    }
}

impl Gossip {
    /// Returns the rank of this balancer among the known ones of its zone.
    pub fn zone_rank(&self) -> Rank {
        let zone = &self.local.zone;
        let members = self.members.values();
        let others = members.filter(|member| member.info.zone == *zone).count();
        Rank {
            index: self.rank(),
            count: others + 1,
        }
    }
}
