//! Figures of a simulation.

use crate::simulation::ZONES;

/// Figures of the requests of one kind that were sent while the course was on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub requests: u64,
    pub in_time: u64,
    /// Requests that arrived at upstreams.
    pub arrivals: u64,
    pub refused: u64,
    pub openings: u64,
    pub resets: u64,
    /// Resets while a slot of the pool was free.
    pub needless: u64,
    /// Attempts that were forwarded and then refused, or served after the target.
    pub in_vain: u64,
}

/// Outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub kinds: [Figures; 2],
    /// The same by zone of the callers.
    pub zones: [[Figures; 2]; ZONES],
    /// Work of the requests in time, over the work that the slots can do or that was requested, whichever is less.
    pub served: f64,
    /// Mean share of free slots at resets.
    pub free_slots: f64,
    /// Resets by second since the start.
    pub resets_by_second: Vec<u64>,
    /// Arrivals and refusals at upstreams by second since the start.
    pub arrivals_by_second: Vec<(u64, u64)>,
    /// Times that a balancer began to limit openings.
    pub limited: u64,
    /// Attempts, and those of them that opened a flow.
    pub attempts: u64,
    pub opened: u64,
    /// Sum of the shares of free slots at resets.
    pub free_sum: f64,
    /// Work of the requests in time, in seconds.
    pub work_in_time: f64,
    /// Work that the slots can do or that was requested, whichever is less, in seconds.
    pub work_possible: f64,
}

impl Outcome {
    /// Returns the share of the arrivals that upstreams refused.
    pub fn refused(&self) -> f64 {
        let refused: u64 = self.kinds.iter().map(|kind| kind.refused).sum();
        let arrivals: u64 = self.kinds.iter().map(|kind| kind.arrivals).sum();
        refused as f64 / arrivals.max(1) as f64
    }

    /// Returns the share of the requests of a kind that were served in time.
    pub fn in_time(&self, kind: usize) -> f64 {
        self.kinds[kind].in_time as f64 / self.kinds[kind].requests.max(1) as f64
    }

    /// Returns the share of the openings that were reset.
    pub fn reset(&self, kind: usize) -> f64 {
        self.kinds[kind].resets as f64 / self.kinds[kind].openings.max(1) as f64
    }

    pub fn resets(&self) -> u64 {
        self.kinds.iter().map(|kind| kind.resets).sum()
    }
}
