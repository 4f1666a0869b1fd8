//! Drain of a balancer through the client, against a minimal server of the administration API.

use {
    assert_matches::assert_matches,
    axum::{
        Json, Router,
        extract::State,
        http::{HeaderMap, StatusCode, header::AUTHORIZATION},
        routing::{get, post},
    },
    skylarkflow_operator::{
        client::Client,
        drain::{self, Outcome},
        error::Category,
        wire::{self, DRAIN_PATH, Drain, Phase, STATE_PATH},
    },
    std::{
        io::{Read, Write},
        net::{self, SocketAddr},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
    tokio::{net::TcpListener, task::JoinHandle, time},
};

const TIMEOUT: Duration = Duration::from_secs(10);
const TOKEN: &str = "Bearer secret";

type Shared = Arc<Mutex<Phase>>;

fn drain_state(phase: &Shared) -> Drain {
    Drain {
        phase: *phase.lock().expect("a phase"),
        ..Drain::default()
    }
}

fn authorize(headers: &HeaderMap) -> Result<(), StatusCode> {
    let given = headers.get(AUTHORIZATION).map(|value| value.as_bytes());
    (given == Some(TOKEN.as_bytes()))
        .then_some(())
        .ok_or(StatusCode::UNAUTHORIZED)
}

async fn start_drain(
    State(phase): State<Shared>,
    headers: HeaderMap,
) -> Result<(StatusCode, Json<Drain>), StatusCode> {
    authorize(&headers)?;
    *phase.lock().expect("a phase") = Phase::Draining;
    Ok((StatusCode::ACCEPTED, Json(drain_state(&phase))))
}

async fn read_state(
    State(phase): State<Shared>,
    headers: HeaderMap,
) -> Result<Json<wire::State>, StatusCode> {
    authorize(&headers)?;
    Ok(Json(wire::State {
        drain: drain_state(&phase),
        ..wire::State::default()
    }))
}

async fn start_balancer() -> (SocketAddr, Shared, JoinHandle<()>) {
    let phase = Shared::default();
    let router = Router::new()
        .route(DRAIN_PATH, post(start_drain))
        .route(STATE_PATH, get(read_state))
        .with_state(Arc::clone(&phase));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        let _ = axum::serve(listener, router).await;
    });
    (address, phase, server)
}

/// Guards against a drain that is reported as complete while the balancer is still draining.
#[tokio::test]
async fn a_drain_ends_when_the_balancer_reports_drained() {
    let (address, phase, _server) = start_balancer().await;
    let client = Client::new(address, Some("secret".to_owned()));
    let outcome = drain::drain(&client, Duration::from_millis(500)).await;
    assert_matches!(outcome, Ok(Outcome::Draining));
    let waiting = client.clone();
    let wait = tokio::spawn(async move { drain::drain(&waiting, TIMEOUT).await });
    time::sleep(Duration::from_millis(500)).await;
    assert!(!wait.is_finished());
    *phase.lock().expect("a phase") = Phase::Drained;
    assert_matches!(wait.await.expect("an end"), Ok(Outcome::Drained));
}

/// Guards against waiting for the whole timeout when the process ends between two polls and can no longer report
/// `drained`.
#[tokio::test]
async fn a_process_that_ends_counts_as_stopped() {
    // The server accepts one connection and closes its listener before it responds to the drain request. Its response
    // has `connection: close`, so that each poll opens a connection of its own and fails.
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        drop(listener);
        let _ = stream.read(&mut [0; 1024]);
        let body = r#"{"phase":"draining","elapsed_ms":0,"limit_ms":1}"#;
        let response = format!(
            "HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let _ = stream.write_all(response.as_bytes());
    });
    let outcome = drain::drain(&Client::new(address, None), TIMEOUT).await;
    assert_matches!(outcome, Ok(Outcome::Stopped));
}

/// Guards against a refused request that is reported as an unreachable balancer.
#[tokio::test]
async fn a_request_without_the_token_is_refused() {
    let (address, phase, _server) = start_balancer().await;
    let outcome = drain::drain(&Client::new(address, None), TIMEOUT).await;
    assert_matches!(outcome, Err(error) if error.category() == Category::Refused);
    assert_matches!(*phase.lock().expect("a phase"), Phase::Starting);
}
