//! HTTP server of a steering balancer: readiness for routers, metrics and status for operators.

use {
    crate::{
        metrics::Metrics,
        steer_sources::{Summary, TableSources},
    },
    axum::{Json, Router, extract, http::StatusCode, routing::get},
    serde::Serialize,
    skylarkflow_adapter::READINESS_PATH,
    skylarkflow_steering::{
        gossip::{PeerInfo, Role},
        position::{Epoch, Position, Revision},
        table::Version,
        upstream::ZoneName,
    },
    std::{
        fmt::Write,
        sync::{Arc, PoisonError},
    },
    tokio::sync::watch,
};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the status.
const STATUS_PATH: &str = "/status";

/// What the server reads.
#[derive(Clone)]
pub struct Server {
    /// Tables of this balancer.
    pub sources: Arc<TableSources>,
    /// This balancer.
    pub local: PeerInfo,
    /// How it learns of changes in the store.
    pub role: watch::Receiver<Role>,
}

/// Response to a request for the status.
#[derive(Serialize)]
struct StatusWire {
    name: String,
    zone: ZoneName,
    role: &'static str,
    ready: bool,
    /// Version of the active configuration; `null` before the first one.
    version: Option<Version>,
    /// Position of the store up to which upstreams are known; `null` before the first list.
    store: Option<PositionWire>,
    /// Evacuated zones; `null` if they are not known or not followed.
    evacuated: Option<Vec<ZoneWire>>,
}

#[derive(Serialize)]
struct PositionWire {
    epoch: Epoch,
    revision: Revision,
}

#[derive(Serialize)]
struct ZoneWire {
    zone: ZoneName,
    /// Whether the store is known to have the entry.
    confirmed: bool,
}

impl From<Position> for PositionWire {
    fn from(Position { epoch, revision }: Position) -> PositionWire {
        PositionWire { epoch, revision }
    }
}

/// Returns the router of the server.
pub fn router(server: Server) -> Router {
    Router::new()
        .route(READINESS_PATH, get(readiness))
        .route(METRICS_PATH, get(metrics))
        .route(STATUS_PATH, get(status))
        .with_state(server)
}

async fn readiness(extract::State(server): extract::State<Server>) -> StatusCode {
    if server.sources.state().phase().is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn metrics(extract::State(server): extract::State<Server>) -> String {
    let state = server.sources.state();
    let mut text = metrics_text(&state.metrics);
    let latencies = state
        .latencies
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    latencies.write(&mut text);
    text
}

async fn status(extract::State(server): extract::State<Server>) -> Json<StatusWire> {
    let Summary {
        version,
        position,
        evacuated,
    } = server.sources.summary();
    let zone = |(zone, confirmed)| ZoneWire { zone, confirmed };
    Json(StatusWire {
        name: server.local.name,
        zone: server.local.zone,
        role: match *server.role.borrow() {
            Role::Reader => "reader",
            Role::Watcher => "watcher",
            Role::Follower => "follower",
        },
        ready: server.sources.state().phase().is_ready(),
        version,
        store: position.map(Into::into),
        evacuated: evacuated.map(|zones| zones.into_iter().map(zone).collect()),
    })
}

/// Returns all counters and gauges in the Prometheus text format.
fn metrics_text(metrics: &Metrics) -> String {
    let mut text = String::new();
    for (name, value) in metrics.snapshot() {
        let name = name.replace('.', "_");
        // Writing to a string does not fail.
        let _ = writeln!(text, "skylarkflow_{name} {value}");
    }
    text
}
