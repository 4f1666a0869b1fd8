//! HTTP server of a steering balancer: readiness for routers and metrics for operators.

use {
    crate::{metrics::Metrics, steer_state::State},
    axum::{Router, extract, http::StatusCode, routing::get},
    skylarkflow_adapter::READINESS_PATH,
    std::{
        fmt::Write,
        sync::{Arc, PoisonError},
    },
};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Returns the router of the server.
pub fn router(state: Arc<State>) -> Router {
    Router::new()
        .route(READINESS_PATH, get(readiness))
        .route(METRICS_PATH, get(metrics))
        .with_state(state)
}

async fn readiness(extract::State(state): extract::State<Arc<State>>) -> StatusCode {
    if state.phase().is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn metrics(extract::State(state): extract::State<Arc<State>>) -> String {
    let mut text = metrics_text(&state.metrics);
    let latencies = state
        .latencies
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    latencies.write(&mut text);
    text
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
