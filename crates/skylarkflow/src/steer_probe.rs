//! Probes of upstreams that may have ended.

use {
    crate::{event, metrics::Counter, steer_data::Input, steer_state::State},
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
/// longest pause of a balancer whose share of a core is a quota for each tenth of a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time in which an upstream has to name itself, after which its acceptance of the connection has to do: a full one
/// answers late.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between the two attempts of a probe, so that one lost packet decides nothing.
const STAGGER: Duration = Duration::from_millis(50);

/// A probe to be made.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The upstream.
    pub id: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Path on which it tells its health.
    pub path: String,
    /// Time of the request on the balancer's clock.
    pub sent: Duration,
}

/// Outcome of a probe.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// The upstream.
    pub id: UpstreamId,
    /// Time of the request on the balancer's clock.
    pub sent: Duration,
    /// What came back.
    pub outcome: ProbeOutcome,
}

/// Wakes the thread that reads a socket.
#[derive(Debug)]
pub struct Waker {
    socket: UdpSocket,
}

impl Waker {
    /// Creates a waker of the thread that reads `socket`.
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

    /// Wakes the thread; it wakes by itself soon if that fails.
    pub fn wake(&self) {
        let _ = self.socket.send(&[]);
    }
}

/// Makes the probes that are asked for.
pub async fn serve(
    state: Arc<State>,
    mut probes: UnboundedReceiver<Probe>,
    inputs: Sender<Input>,
    waker: Arc<Waker>,
) {
    // A connection of its own for each probe, since an open one may have gone silent.
    let client = Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(ANSWER_TIMEOUT)
        .build();
    let client = match client {
        Ok(client) => client,
        Err(error) => {
            let text = format_args!("no client for probes: {error}");
            return state.journal.record(&event::PROBES_UNAVAILABLE, text);
        }
    };
    while let Some(probe) = probes.recv().await {
        state.metrics.count(Counter::Probes);
        let (client, inputs, waker) = (client.clone(), inputs.clone(), Arc::clone(&waker));
        tokio::spawn(async move {
            let outcome = make(&client, &probe).await;
            let Probe { id, sent, .. } = probe;
            // The receiver only ends with the process.
            let _ = inputs.send(Input::Probed(Report { id, sent, outcome }));
            waker.wake();
        });
    }
}

async fn make(client: &Client, probe: &Probe) -> ProbeOutcome {
    let second = async {
        time::sleep(STAGGER).await;
        attempt(client, probe).await
    };
    let first = attempt(client, probe);
    tokio::pin!(first, second);
    tokio::select! {
        outcome = &mut first => conclude(outcome, second).await,
        outcome = &mut second => conclude(outcome, first).await,
    }
}

async fn conclude(
    outcome: ProbeOutcome,
    other: impl Future<Output = ProbeOutcome>,
) -> ProbeOutcome {
    match outcome {
        ProbeOutcome::TimedOut => outcome.or(other.await),
        ProbeOutcome::Answered | ProbeOutcome::Refused | ProbeOutcome::Stranger => outcome,
    }
}

async fn attempt(client: &Client, probe: &Probe) -> ProbeOutcome {
    let url = format!("http://{}{}", probe.address, probe.path);
    let response = match client.get(url).send().await {
        Ok(response) => response,
        Err(error) if is_refused(&error) => return ProbeOutcome::Refused,
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

fn is_refused(error: &reqwest::Error) -> bool {
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
