//! HTTP probes of upstreams that may have ended.

use {
    crate::{event, metrics::Counter, steer_data::UpstreamEvent, steer_state::State},
    crossbeam::channel::Sender,
    reqwest::Client,
    skylarkflow_adapter::{UPSTREAM_HEADER, object},
    skylarkflow_steering::{liveness::ProbeOutcome, upstream::UpstreamId},
    std::{
        error::Error,
        io,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::mpsc::UnboundedReceiver, time},
};

/// Time in which an upstream has to accept a connection: 70 times the longest round trip between zones, and twice the
/// longest pause of a balancer whose CPU quota is enforced in periods of 100 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time in which an upstream has to send the response that identifies it. One that accepts the connection but does not
/// respond in time counts as running, since an upstream with all slots in use responds late.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay of the second attempt of a probe, which is made so that one lost packet does not decide the outcome.
const SECOND_ATTEMPT_DELAY: Duration = Duration::from_millis(50);

/// A requested probe.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Path of its health endpoint.
    pub path: String,
    /// Time on the balancer's clock at which the probe was requested.
    pub sent: Duration,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeReport {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Time on the balancer's clock at which the probe was requested.
    pub sent: Duration,
    /// Outcome of both attempts.
    pub outcome: ProbeOutcome,
}

/// Wakes the thread that receives from a socket by sending it an empty datagram.
#[derive(Debug)]
pub struct Waker {
    socket: UdpSocket,
}

impl Waker {
    /// Creates a waker for the thread that receives from `socket`.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    pub fn new(socket: &UdpSocket) -> io::Result<Waker> {
        let address = socket.local_addr()?;
        let socket = UdpSocket::bind((address.ip(), 0))?;
        socket.connect(address)?;
        socket.set_nonblocking(true)?;
        Ok(Waker { socket })
    }

    /// Wakes the thread. A failure is ignored, since the receive timeout of the thread is short.
    pub fn wake(&self) {
        let _ = self.socket.send(&[]);
    }
}

/// Runs the requested probes and reports their outcomes to the packet thread.
pub async fn run_probes(
    state: Arc<State>,
    mut probes: UnboundedReceiver<Probe>,
    upstream_events: Sender<UpstreamEvent>,
    waker: Arc<Waker>,
) {
    // Each probe opens its own connection, since a pooled one may have gone silent.
    let client = Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(RESPONSE_TIMEOUT)
        .build();
    let client = match client {
        Ok(client) => client,
        Err(error) => {
            let text = format_args!("cannot set up the HTTP client for probes: {error}");
            return state.event_log.record(&event::PROBES_UNAVAILABLE, text);
        }
    };
    while let Some(probe) = probes.recv().await {
        state.metrics.count(Counter::Probes);
        let (client, upstream_events, waker) =
            (client.clone(), upstream_events.clone(), Arc::clone(&waker));
        tokio::spawn(async move {
            let outcome = run_probe(&client, &probe).await;
            let Probe { id, sent, .. } = probe;
            // Sending only fails when the receiver was dropped because the process is exiting.
            let _ = upstream_events.send(UpstreamEvent::ProbeCompleted(ProbeReport {
                id,
                sent,
                outcome,
            }));
            waker.wake();
        });
    }
}

async fn run_probe(client: &Client, probe: &Probe) -> ProbeOutcome {
    let second = async {
        time::sleep(SECOND_ATTEMPT_DELAY).await;
        attempt_probe(client, probe).await
    };
    let first = attempt_probe(client, probe);
    tokio::pin!(first, second);
    tokio::select! {
        outcome = &mut first => combine_outcomes(outcome, second).await,
        outcome = &mut second => combine_outcomes(outcome, first).await,
    }
}

async fn combine_outcomes(
    outcome: ProbeOutcome,
    other_attempt: impl Future<Output = ProbeOutcome>,
) -> ProbeOutcome {
    match outcome {
        ProbeOutcome::TimedOut => outcome.or(other_attempt.await),
        ProbeOutcome::Answered | ProbeOutcome::Refused | ProbeOutcome::Stranger => outcome,
    }
}

async fn attempt_probe(client: &Client, probe: &Probe) -> ProbeOutcome {
    let url = format!("http://{}{}", probe.address, probe.path);
    let response = match client.get(url).send().await {
        Ok(response) => response,
        Err(error) if is_connection_refused(&error) => return ProbeOutcome::Refused,
        Err(error) if error.is_connect() => return ProbeOutcome::TimedOut,
        Err(_) => return ProbeOutcome::Answered,
    };
    let name = response.headers().get(UPSTREAM_HEADER);
    let name = name.and_then(|name| name.to_str().ok());
    match name.and_then(object::upstream_id) {
        Some(other) if other != probe.id => ProbeOutcome::Stranger,
        _ => ProbeOutcome::Answered,
    }
}

fn is_connection_refused(error: &reqwest::Error) -> bool {
    let mut cause: Option<&(dyn Error + 'static)> = error.source();
    while let Some(current) = cause {
        let io = current.downcast_ref::<io::Error>();
        if io.is_some_and(|io| io.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = current.source();
    }
    false
}
