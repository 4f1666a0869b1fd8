//! Exchange between steering balancers: reports by UDP, questions by HTTP, registration at the store.

use {
    crate::{
        event,
        metrics::{Counter, Gauge},
        steer_data::Input,
        steer_probe::Waker,
        steer_sources::Sources,
        steer_state::State,
    },
    axum::{
        Router,
        extract::{self, Query},
        http::StatusCode,
        routing::get,
    },
    crossbeam::channel::Sender,
    reqwest::Client,
    serde::Deserialize,
    skylarkflow_adapter::{
        client::Store,
        object::{self, Registration},
    },
    skylarkflow_peer::{report, tables},
    skylarkflow_steering::{
        gossip::{self, Action, Freshness, Gossip, PeerInfo, Report},
        list_watch::{PeerTables, Revision},
        upstream::UpstreamId,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::{
        net::UdpSocket,
        sync::{
            mpsc::{self, UnboundedReceiver, UnboundedSender},
            watch,
        },
        time,
    },
};

/// Path on which a balancer hands out its tables.
const TABLES_PATH: &str = "/tables";

/// Longest report that is read, in bytes.
const REPORT_BYTES: usize = 2_048;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// Time between the registration and the first look for balancers that have started at the same time.
const FIRST_LIST: Duration = Duration::from_secs(3);

/// Time between two later looks for other balancers.
const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Time after which a balancer renews its entry.
const REFRESH_INTERVAL: Duration = Duration::from_secs(600);

/// Age at which a reader removes the entry of another balancer; three renewals were missed then.
const ENTRY_AGE: Duration = Duration::from_secs(1_800);

/// Time before a failed registration is tried again.
const RETRY: Duration = Duration::from_secs(1);

/// Ends of the channels of the exchange.
pub struct Channels {
    /// Upstreams that have ended, from the thread that handles packets.
    pub ended: UnboundedReceiver<UpstreamId>,
    /// Places of registered balancers.
    pub places: UnboundedReceiver<Vec<PeerInfo>>,
    /// Whether this balancer is a reader.
    pub is_reader: watch::Sender<bool>,
    /// What peers do for this balancer at its start.
    pub help: watch::Sender<PeerTables>,
    /// Hints for the thread that handles packets.
    pub inputs: Sender<Input>,
    /// Wakes that thread.
    pub waker: Arc<Waker>,
}

impl Channels {
    fn doubt(&self, id: UpstreamId) {
        // The receiver only ends with the process.
        let _ = self.inputs.send(Input::Doubt(id));
        self.waker.wake();
    }

    fn list(&self) {
        self.help.send_replace(PeerTables::Unavailable);
    }

    fn read(&self, state: &State, is_reader: bool) {
        self.is_reader.send_replace(is_reader);
        let text = format_args!("reader: {is_reader}");
        state.journal.record(&event::READER_CHANGED, text);
    }
}

/// Reports to other balancers and takes their reports until the task is dropped.
pub async fn exchange(
    sources: Arc<Sources>,
    socket: UdpSocket,
    mut gossip: Gossip,
    client: Client,
    mut channels: Channels,
) {
    let state = Arc::clone(sources.state());
    let mut buffer = [0; REPORT_BYTES];
    let (answers, mut answered) = mpsc::unbounded_channel();
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    receive(&state, &mut gossip, from, &buffer[..length]);
                }
                // A balancer without tables asks the first peer that has some, without waiting for a tick.
                if sources.age().revision == 0 {
                    gossip.tick(state.clock.now());
                }
            }
            Some(id) = channels.ended.recv() => gossip.record_ended_upstream(state.clock.now(), id),
            Some(places) = channels.places.recv() => gossip.set_registered_peers(state.clock.now(), places),
            Some(given) = answered.recv() => {
                gossip.finish_fetch();
                if let Some(revision) = given {
                    channels.help.send_replace(PeerTables::Received(revision));
                    // Peers that wait for tables learn at once that there are some here.
                    gossip.set_freshness(sources.age());
                    gossip.tick(state.clock.now());
                }
            }
            _ = ticks.tick() => {
                gossip.set_freshness(sources.age());
                gossip.set_store_unreachable(state.is_store_lost());
                gossip.tick(state.clock.now());
            }
        }
        for action in gossip.take_actions() {
            match action {
                Action::FetchTables {
                    address,
                    freshness: age,
                } => {
                    let ask = ask(Arc::clone(&sources), client.clone(), address, age);
                    let answers = answers.clone();
                    // The receiver only ends with the process.
                    tokio::spawn(async move { answers.send(ask.await) });
                }
                Action::SendReport(to, report) => send(&state, &socket, to, report).await,
                Action::ProbeUpstream(id) => channels.doubt(id),
                Action::ListStore => channels.list(),
                Action::SetReader(is_reader) => channels.read(&state, is_reader),
            }
        }
        state.metrics.set(Gauge::Peers, gossip.len() as u64);
    }
}

fn receive(state: &State, gossip: &mut Gossip, from: SocketAddr, bytes: &[u8]) {
    let now = state.clock.now();
    match report::from_slice(bytes) {
        Ok(report) => gossip.handle_report(now, report),
        Err(error) => {
            state.metrics.count(Counter::BadPeer);
            let text = format_args!("{from}: {error}");
            state
                .journal
                .record_limited(now, &event::BAD_PEER_DATAGRAM, text);
        }
    }
}

async fn send(state: &State, socket: &UdpSocket, to: SocketAddr, report: Report) {
    let sent = match report::to_vec(report) {
        Ok(bytes) => {
            let sent = socket.send_to(&bytes, to).await;
            state
                .metrics
                .add(Counter::ControlBytesSent, bytes.len() as u64);
            sent.is_ok()
        }
        Err(_) => false,
    };
    let counter = if sent {
        Counter::ControlSent
    } else {
        Counter::ControlDropped
    };
    state.metrics.count(counter);
}

/// Asks a balancer for what it knows; returns the revision of its tables if nothing was known here before.
async fn ask(
    sources: Arc<Sources>,
    client: Client,
    address: SocketAddr,
    age: Freshness,
) -> Option<Revision> {
    let Freshness { version, revision } = age;
    let url = format!("http://{address}{TABLES_PATH}?version={version}&revision={revision}");
    let state = sources.state();
    match fetch(&client, url).await {
        Ok(tables) => {
            let (text, changes) = (tables.revision, tables.changes.len());
            let text = format_args!("from {address}: revision {text}, {changes} changes");
            state.journal.record(&event::PEER_TABLES_FETCHED, text);
            sources.merge(tables)
        }
        Err(error) => {
            state.journal.record_limited(
                state.clock.now(),
                &event::PEER_TABLES_FAILED,
                format_args!("from {address}: {error}"),
            );
            None
        }
    }
}

async fn fetch(
    client: &Client,
    url: String,
) -> Result<tables::Tables, Box<dyn std::error::Error + Send + Sync>> {
    let timeout = gossip::Settings::default().fetch_timeout;
    let response = client.get(url).timeout(timeout).send().await?;
    let bytes = response.error_for_status()?.bytes().await?;
    Ok(tables::from_slice(&bytes)?)
}

#[derive(Deserialize)]
struct Question {
    version: u64,
    revision: u64,
}

/// Returns the routes of the HTTP server for other balancers.
pub fn router(sources: Arc<Sources>) -> Router {
    Router::new()
        .route(TABLES_PATH, get(hand_out))
        .with_state(sources)
}

async fn hand_out(
    extract::State(sources): extract::State<Arc<Sources>>,
    Query(Question { version, revision }): Query<Question>,
) -> Result<Vec<u8>, StatusCode> {
    let tables = sources.after(Freshness { version, revision });
    tables::to_vec(tables).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

/// Keeps the entry of this balancer at the store and looks for those of others until the task is dropped.
pub async fn register(
    state: Arc<State>,
    store: Store,
    me: PeerInfo,
    places: UnboundedSender<Vec<PeerInfo>>,
    is_reader: watch::Receiver<bool>,
) {
    let mut written: Option<Duration> = None;
    let mut pause = FIRST_LIST;
    loop {
        let now = state.clock.now();
        let is_due = written.is_none_or(|at| now >= at + REFRESH_INTERVAL);
        let reads = *is_reader.borrow();
        let renewed = renew(&state, &store, &me, is_due, &places, reads).await;
        match renewed {
            Ok(has_written) => {
                if has_written {
                    written = Some(now);
                }
                time::sleep(pause).await;
                pause = LIST_INTERVAL;
            }
            Err(error) => {
                failed(&state, &error);
                time::sleep(RETRY).await;
            }
        }
    }
}

fn failed(state: &State, error: &skylarkflow_store::Error) {
    state.metrics.count(Counter::StoreFailures);
    state.journal.record_limited(
        state.clock.now(),
        &event::STORE_LOST,
        format_args!("registration: {error}"),
    );
}

/// Lists the balancers and writes the own entry if it is missing, wrong or old; returns whether it is fresh then.
async fn renew(
    state: &State,
    store: &Store,
    me: &PeerInfo,
    is_due: bool,
    places: &UnboundedSender<Vec<PeerInfo>>,
    is_reader: bool,
) -> Result<bool, skylarkflow_store::Error> {
    let unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    let mut others = Vec::new();
    let mut is_registered = false;
    let mut after: Option<String> = None;
    loop {
        state.metrics.count(Counter::StoreCalls);
        let page = store
            .list(object::BALANCERS, after.as_deref(), false)
            .await?;
        for item in &page.items {
            let name = object::name(item);
            let Ok(entry) = object::decode_registration(item) else {
                continue;
            };
            let age = unix.saturating_sub(Duration::from_secs(entry.refreshed));
            if name == me.name {
                let is_same = entry.address == me.address && entry.zone == me.zone;
                is_registered = is_same && age < REFRESH_INTERVAL;
            } else if age < ENTRY_AGE {
                others.push(PeerInfo {
                    name: name.to_owned(),
                    zone: entry.zone,
                    address: entry.address,
                });
            } else if is_reader {
                state.metrics.count(Counter::StoreCalls);
                store
                    .remove(object::BALANCERS, name, object::revision(item))
                    .await?;
            }
        }
        after = page.items.last().map(|item| object::name(item).to_owned());
        if !page.more {
            break;
        }
    }
    // The receiver only ends with the process.
    let _ = places.send(others);
    if is_registered || !is_due {
        return Ok(is_registered);
    }
    let entry = Registration {
        zone: me.zone.clone(),
        address: me.address,
        refreshed: unix.as_secs(),
    };
    state.metrics.count(Counter::StoreCalls);
    let entry = serde_json::json!(entry);
    store.write(object::BALANCERS, &me.name, &entry).await?;
    Ok(true)
}
