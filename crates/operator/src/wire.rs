//! JSON types of the administration API.
//!
//! Times are milliseconds; the suffix of a field's name says so.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Path of the readiness check; answers 200, or 503 while the balancer is draining.
pub const READY_PATH: &str = "/v1/ready";

/// Path of the state of a balancer.
pub const STATE_PATH: &str = "/v1/state";

/// Path that starts the drain of a balancer with POST.
pub const DRAIN_PATH: &str = "/v1/drain";

/// Answer to the readiness check.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ready {
    /// Whether the balancer takes new flows.
    pub ready: bool,
    /// How far a planned stop is.
    pub phase: Phase,
}

/// How far a planned stop of a balancer is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It has no configuration or no members yet.
    #[default]
    Starting,
    /// It serves.
    Serving,
    /// It hands its flows over and finishes the requests in flight.
    Draining,
    /// It has nothing left to do.
    Drained,
}

/// Drain of a balancer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// How far it is.
    pub phase: Phase,
    /// Milliseconds since the drain started; absent before.
    pub elapsed_ms: Option<u64>,
    /// Milliseconds after which the balancer stops even if it is not drained.
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
    /// Whether the balancer may dispatch non-idempotent requests, because it hears from a majority of its zone.
    pub fence_held: bool,
    /// Drain of this balancer.
    pub drain: Drain,
    /// Balancers that this one knows.
    pub members: Vec<Member>,
    /// Routes in force.
    pub routes: Vec<Route>,
    /// Pools in force.
    pub pools: Vec<Pool>,
    /// Flow entries.
    pub flows: u64,
    /// Counters and gauges by name; see the metrics page.
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

/// A route in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the service.
    pub name: String,
    /// Generation in force.
    pub generation: u64,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Name of the pool.
    pub pool: String,
    /// Milliseconds from a request's arrival to its answer at most.
    pub deadline_ms: u64,
}

/// A pool in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Name, which routes refer to.
    pub name: String,
    /// Generation in force.
    pub generation: u64,
    /// Requests that one upstream works on at a time.
    pub slots: u32,
    /// Open flows that one upstream accepts.
    pub connections: u32,
    /// Upstreams in the order of the table.
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
    /// Whether it is draining, by any source.
    pub draining: bool,
    /// Whether it may serve established flows.
    pub up: bool,
    /// Flows at this balancer.
    pub flows: u64,
    /// Requests of this balancer in flight.
    pub in_flight: u64,
    /// Requests that wait at this balancer.
    pub queued: u64,
}
