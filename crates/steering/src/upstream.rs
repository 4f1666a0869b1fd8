//! One upstream as all threads of a balancer share it.

use {
    crate::cookie::Cookie,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
};

/// Identifies an upstream; its datagrams carry the same number.
pub type UpstreamId = u64;

/// Name of a pool of upstreams.
pub type PoolName = String;

/// Name of an availability zone.
pub type ZoneName = String;

/// Whether an upstream takes new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Takes new flows.
    Ready,
    /// Finishes its open flows and leaves.
    Draining,
}

/// An upstream as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Identifier.
    pub id: UpstreamId,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Address that takes datagrams.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes new flows.
    pub state: State,
    /// Time for which it remains slow after its start.
    pub warmup: Duration,
    /// Start in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// Work of an upstream, in flows and requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Open flows.
    pub flows: u32,
    /// Requests that were sent and not yet answered.
    pub requests: u32,
}

/// An upstream in a table.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it registered.
    pub record: Record,
    /// Cookie of its flows; `None` if all of its cookies belong to others, so that it takes no new flows.
    pub cookie: Option<Cookie>,
    /// Time on the balancer's clock from which it is as fast as the others.
    pub warm_at: Duration,
    /// Its load, which outlives changes of the table.
    pub load_counters: Arc<LoadCounters>,
}

/// Load that this balancer has placed on an upstream, written by the thread that handles packets.
#[derive(Debug, Default)]
pub struct LoadCounters {
    flows: AtomicU32,
    requests: AtomicU32,
}

impl LoadCounters {
    /// Returns the load.
    pub fn load(&self) -> Load {
        Load {
            flows: self.flows.load(Ordering::Relaxed),
            requests: self.requests.load(Ordering::Relaxed),
        }
    }

    /// Sets the load.
    pub fn set_load(&self, load: Load) {
        self.flows.store(load.flows, Ordering::Relaxed);
        self.requests.store(load.requests, Ordering::Relaxed);
    }
}
