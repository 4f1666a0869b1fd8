//! JSON types of the administration API.
//!
//! Fields whose names end in `_ms` are durations in milliseconds.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Path of the readiness check. The status is 200, or 503 while the balancer is draining.
pub const READY_PATH: &str = "/v1/ready";

/// Path of the state of the balancer.
pub const STATE_PATH: &str = "/v1/state";

/// Path to which a POST starts the drain of the balancer.
pub const DRAIN_PATH: &str = "/v1/drain";

/// Response to the readiness check.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ready {
    /// Whether the balancer accepts new flows.
    pub ready: bool,
    /// Lifecycle phase of the balancer.
    pub phase: Phase,
}

/// Lifecycle phase of a balancer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The balancer has no configuration or no members yet.
    #[default]
    Starting,
    /// The balancer serves flows.
    Serving,
    /// The balancer hands over its flows and finishes the requests in flight.
    Draining,
    /// The balancer has handed over its flows, has no requests in flight and gets no more datagrams from the fabric.
    Drained,
}

/// Progress of the drain of a balancer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// Lifecycle phase of the balancer.
    pub phase: Phase,
    /// Milliseconds since the drain started; absent if it has not started.
    pub elapsed_ms: Option<u64>,
    /// Milliseconds from the start of the drain after which the balancer stops even if it is not drained.
    pub limit_ms: u64,
}

/// State of a balancer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Milliseconds since the start of the process.
    pub uptime_ms: u64,
    /// Whether the balancer may dispatch non-idempotent requests, which requires contact with a majority of its zone.
    pub fence_held: bool,
    /// Progress of the drain of this balancer.
    pub drain: Drain,
    /// Balancers that this one knows, each with its membership state.
    pub members: Vec<Member>,
    /// Active routes.
    pub routes: Vec<Route>,
    /// Active pools.
    pub pools: Vec<Pool>,
    /// Number of entries in the flow table.
    pub flows: u64,
    /// Counters and gauges by name; `docs/metrics.md` lists them.
    pub counters: BTreeMap<String, u64>,
}

/// A balancer as another one sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the peer socket.
    pub address: SocketAddr,
    /// Membership state, such as `alive`, `suspect`, `dead`, `leaving` or `left`.
    pub state: String,
}

/// An active route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the service.
    pub name: String,
    /// Active generation.
    pub generation: u64,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Name of the pool.
    pub pool: String,
    /// Longest time from the arrival of a request to its response, in milliseconds.
    pub deadline_ms: u64,
}

/// An active pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Name by which routes refer to the pool.
    pub name: String,
    /// Active generation.
    pub generation: u64,
    /// Requests that one upstream runs at a time.
    pub slots: u32,
    /// Limit on the open flows of one upstream.
    pub connections: u32,
    /// Upstreams in the order of the configuration.
    pub upstreams: Vec<Upstream>,
}

/// An upstream as a balancer sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Name, unique in its pool.
    pub name: String,
    /// Address of its CoAP server.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Share of the flows relative to the other upstreams.
    pub weight: u32,
    /// Whether it is draining, whichever source says so.
    pub draining: bool,
    /// Whether it may serve established flows.
    pub up: bool,
    /// Flows of this balancer that are assigned to it.
    pub flows: u64,
    /// Requests that this balancer has dispatched to it and that are in flight.
    pub in_flight: u64,
    /// Requests to it that wait in the queue of this balancer.
    pub queued: u64,
}
