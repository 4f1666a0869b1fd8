//! An upstream and its load, shared by the threads of a balancer.

use {
    crate::cookie::{Claim, Cookie},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
};

/// Identifies an upstream; the datagrams that are sent to it carry the same number.
pub type UpstreamId = u64;

/// Name of a pool of upstreams.
pub type PoolName = String;

/// Name of an availability zone.
pub type ZoneName = String;

/// Registered state of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Accepts new flows.
    Ready,
    /// Finishes its open flows before it stops, and accepts no new ones.
    Draining,
}

/// An upstream as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Identifier.
    pub id: UpstreamId,
    /// Pool to which it belongs.
    pub pool: PoolName,
    /// Address that receives datagrams.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new flows.
    pub state: State,
    /// Remaining warm-up time, in which it is slower than usual.
    pub warmup: Duration,
    /// Start of its process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Number of the heartbeat since then with which it wrote the entry; 0 if it is not known.
    pub heartbeat: u64,
}

impl Record {
    /// Returns the claim of the upstream to its cookie and its address.
    pub fn claim(&self) -> Claim {
        Claim {
            started_unix_ms: self.started_unix_ms,
            id: self.id,
        }
    }

    /// Returns whether the upstream wrote this entry before another one, or both are the same.
    ///
    /// In contrast to revisions, this holds across a restore of the store.
    pub fn is_no_newer_than(&self, other: &Record) -> bool {
        let order = |record: &Record| (record.started_unix_ms, record.heartbeat);
        self.heartbeat > 0 && (order(self) < order(other) || self == other)
    }

    /// Returns whether an entry differs from another one by more than the heartbeat.
    pub fn has_changed_from(&self, other: &Record) -> bool {
        let heartbeat = other.heartbeat;
        Record {
            heartbeat,
            ..self.clone()
        } != *other
    }
}

/// Load of an upstream, in flows and requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Open flows.
    pub flows: u32,
    /// Requests in flight, which have no response yet.
    pub requests: u32,
}

/// An upstream in a table.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Entry that it registered.
    pub record: Record,
    /// Cookie of its flows; `None` if all of its possible cookies belong to other upstreams, in which case it gets no
    /// new flows.
    pub cookie: Option<Cookie>,
    /// End of its warm-up on the balancer's clock.
    pub warmup_end: Duration,
    /// Its load, which is kept when the table is replaced.
    pub load_counters: Arc<LoadCounters>,
}

/// Load that this balancer has placed on an upstream; only the thread that handles packets writes it.
#[derive(Debug, Default)]
pub struct LoadCounters {
    flows: AtomicU32,
    requests: AtomicU32,
}

impl LoadCounters {
    /// Returns the current load.
    pub fn load(&self) -> Load {
        Load {
            flows: self.flows.load(Ordering::Relaxed),
            requests: self.requests.load(Ordering::Relaxed),
        }
    }

    /// Replaces the current load.
    pub fn set_load(&self, load: Load) {
        self.flows.store(load.flows, Ordering::Relaxed);
        self.requests.store(load.requests, Ordering::Relaxed);
    }
}
