//! Rank of a balancer among those of its zone, which divides work without messages.

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
