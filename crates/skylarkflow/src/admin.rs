//! HTTP server of the administration API.
//!
//! The API is read-only except for starting the drain of this balancer. If a token is configured, every request must
//! carry it; without a token the settings allow only a loopback address.

use {
    crate::{admin_state, context::Context, event, listener::LimitedListener, metrics::Gauge},
    axum::{
        Json, Router,
        extract::{Request, State},
        http::{StatusCode, header::AUTHORIZATION},
        middleware::{self, Next},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    skylarkflow_operator::wire::{self, Phase, Ready},
    std::{io, net::TcpListener, sync::Arc},
    tokio::{net, runtime},
};

/// Prefix of the token in the `Authorization` header.
const BEARER: &str = "Bearer ";

/// Starts the server.
///
/// # Errors
///
/// Fails if the listener cannot be registered with the runtime.
pub fn start(
    context: &Arc<Context>,
    runtime: &runtime::Handle,
    listener: TcpListener,
) -> io::Result<()> {
    let _entered = runtime.enter();
    let limit = context.settings.admin.connections;
    let listener = LimitedListener::new(net::TcpListener::from_std(listener)?, limit);
    let router = router(context);
    runtime.spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

fn router(context: &Arc<Context>) -> Router {
    let authorize = middleware::from_fn_with_state(Arc::clone(context), authorize);
    Router::new()
        .route(wire::READY_PATH, get(ready))
        .route(wire::STATE_PATH, get(read_state))
        .route(wire::DRAIN_PATH, post(drain))
        .layer(authorize)
        .with_state(Arc::clone(context))
}

async fn authorize(State(context): State<Arc<Context>>, request: Request, next: Next) -> Response {
    let Some(token) = &context.settings.admin.token else {
        return next.run(request).await;
    };
    let header = request.headers().get(AUTHORIZATION);
    let given = header.and_then(|header| header.to_str().ok()?.strip_prefix(BEARER));
    if given.is_some_and(|given| is_equal(given.as_bytes(), token.as_bytes())) {
        return next.run(request).await;
    }
    let text = format_args!("{} {}", request.method(), request.uri().path());
    let now = context.clock.now();
    context
        .event_log
        .record_limited(now, &event::ADMIN_REFUSED, text);
    StatusCode::UNAUTHORIZED.into_response()
}

/// Compares in constant time, so that the response time does not reveal how much of a token is right.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    let difference = a.iter().zip(b).fold(0, |bits, (a, b)| bits | (a ^ b));
    a.len() == b.len() && difference == 0
}

async fn ready(State(context): State<Arc<Context>>) -> Response {
    let phase = context.drain_progress().phase;
    let is_ready = phase == Phase::Serving;
    context.metrics.set(Gauge::Ready, u64::from(is_ready));
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let body = Ready {
        ready: is_ready,
        phase,
    };
    (status, Json(body)).into_response()
}

async fn read_state(State(context): State<Arc<Context>>) -> Json<wire::State> {
    Json(admin_state::current_state(&context))
}

async fn drain(State(context): State<Arc<Context>>) -> (StatusCode, Json<wire::Drain>) {
    if context.start_drain() {
        let text = format_args!("requested over the administration API");
        context.event_log.record(&event::ADMIN_DRAIN, text);
    }
    (
        StatusCode::ACCEPTED,
        Json(admin_state::drain_progress(&context)),
    )
}
