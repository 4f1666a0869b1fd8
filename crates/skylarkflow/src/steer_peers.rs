//! Communication between steering balancers: gossip reports over UDP and tables over HTTP.

use {
    crate::{
        event,
        metrics::{Counter, Gauge},
        steer_data::UpstreamEvent,
        steer_probe::Waker,
        steer_sources::TableSources,
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
    skylarkflow_peer::{report, tables},
    skylarkflow_steering::{
        gossip::{self, Action, Freshness, Gossip, PeerInfo, Report, Role},
        list_watch::PeerTables,
        position::{Epoch, Position, Revision},
        table::Version,
        upstream::UpstreamId,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::UdpSocket,
        sync::{
            mpsc::{self, UnboundedReceiver},
            watch,
        },
        time,
    },
};

/// Path on which a balancer serves its tables to peers.
const TABLES_PATH: &str = "/tables";

/// Maximum length of a received report.
const MAX_REPORT_BYTES: usize = 2_048;

/// Interval at which due reports and elections are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The gossip task's ends of the channels to other tasks and threads.
pub struct Channels {
    /// Upstreams that the packet thread has found to have ended.
    pub ended_upstreams: UnboundedReceiver<UpstreamId>,
    /// Registered balancers besides this one, as listed at the store.
    pub registered_peers: UnboundedReceiver<Vec<PeerInfo>>,
    /// How this balancer learns of changes in the store.
    pub role: watch::Sender<Role>,
    /// Whether a peer can provide or has provided its tables at the start.
    pub peer_tables: watch::Sender<PeerTables>,
    /// Events for the packet thread.
    pub upstream_events: Sender<UpstreamEvent>,
    /// Wakes the packet thread.
    pub waker: Arc<Waker>,
}

impl Channels {
    fn suspect_upstream(&self, id: UpstreamId) {
        // Sending only fails when the receiver was dropped because the process is exiting.
        let _ = self
            .upstream_events
            .send(UpstreamEvent::SuspectedByPeer(id));
        self.waker.wake();
    }

    fn list_store(&self) {
        self.peer_tables.send_replace(PeerTables::Unavailable);
    }

    fn set_role(&self, state: &State, role: Role) {
        self.role.send_replace(role);
        let text = format_args!("role: {role:?}");
        state.event_log.record(&event::ROLE_CHANGED, text);
    }
}

/// Sends reports to other balancers and handles theirs until the task is aborted.
pub async fn run_gossip(
    sources: Arc<TableSources>,
    socket: UdpSocket,
    mut gossip: Gossip,
    client: Client,
    mut channels: Channels,
) {
    let state = Arc::clone(sources.state());
    let mut buffer = [0; MAX_REPORT_BYTES];
    let (fetch_results, mut fetched) = mpsc::unbounded_channel();
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    receive_report(&state, &mut gossip, from, &buffer[..length]);
                }
                // Without tables, fetch them from the first peer that reports some instead of at the next tick.
                if sources.freshness().position == Position::default() {
                    gossip.tick(state.clock.now());
                }
            }
            Some(id) = channels.ended_upstreams.recv() => gossip.record_ended_upstream(state.clock.now(), id),
            Some(peers) = channels.registered_peers.recv() => gossip.set_registered_peers(state.clock.now(), peers),
            Some(taken_position) = fetched.recv() => {
                gossip.finish_fetch();
                if let Some(position) = taken_position {
                    channels.peer_tables.send_replace(PeerTables::Received(position));
                }
                // Peers that wait for the tables learn at once that this balancer has them.
                gossip.set_freshness(sources.freshness());
                gossip.tick(state.clock.now());
            }
            _ = ticks.tick() => {
                gossip.set_freshness(sources.freshness());
                gossip.set_store_unreachable(state.is_store_unreachable());
                gossip.tick(state.clock.now());
            }
        }
        for action in gossip.take_actions() {
            match action {
                Action::FetchTables { address, freshness } => {
                    let fetch = fetch_and_merge_tables(
                        Arc::clone(&sources),
                        client.clone(),
                        address,
                        freshness,
                    );
                    let fetch_results = fetch_results.clone();
                    // Sending only fails when the receiver was dropped because the process is exiting.
                    tokio::spawn(async move { fetch_results.send(fetch.await) });
                }
                Action::SendReport(to, report) => send_report(&state, &socket, to, report).await,
                Action::ProbeUpstream(id) => channels.suspect_upstream(id),
                Action::ListStore => channels.list_store(),
                Action::SetRole(role) => channels.set_role(&state, role),
            }
        }
        state.metrics.set(Gauge::Peers, gossip.len() as u64);
    }
}

fn receive_report(state: &State, gossip: &mut Gossip, from: SocketAddr, bytes: &[u8]) {
    let now = state.clock.now();
    match report::from_slice(bytes) {
        Ok(report) => gossip.handle_report(now, report),
        Err(error) => {
            state.metrics.count(Counter::BadPeer);
            let text = format_args!("{from}: {error}");
            state
                .event_log
                .record_limited(now, &event::BAD_PEER_DATAGRAM, text);
        }
    }
}

async fn send_report(state: &State, socket: &UdpSocket, to: SocketAddr, report: Report) {
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

/// Fetches newer tables from a balancer and merges them; returns their position if no upstreams were known before.
async fn fetch_and_merge_tables(
    sources: Arc<TableSources>,
    client: Client,
    address: SocketAddr,
    freshness: Freshness,
) -> Option<Position> {
    let Freshness { version, position } = freshness;
    let Position { epoch, revision } = position;
    let url = format!("http://{address}{TABLES_PATH}?version={version}&revision={revision}");
    // Balancers of earlier versions, which know no epochs, ignore the last parameter.
    let url = format!("{url}&epoch={epoch}");
    let state = sources.state();
    match fetch_tables(&client, url).await {
        Ok(tables) => {
            let (position, changes) = (tables.position, tables.upstreams.changes.len());
            let text = format_args!("from {address}: {position:?}, {changes} changes");
            state.event_log.record(&event::PEER_TABLES_FETCHED, text);
            sources.merge(tables)
        }
        Err(error) => {
            state.event_log.record_limited(
                state.clock.now(),
                &event::PEER_TABLES_FAILED,
                format_args!("from {address}: {error}"),
            );
            None
        }
    }
}

async fn fetch_tables(
    client: &Client,
    url: String,
) -> Result<tables::Tables, Box<dyn std::error::Error + Send + Sync>> {
    let timeout = gossip::Settings::default().fetch_timeout;
    let response = client.get(url).timeout(timeout).send().await?;
    let bytes = response.error_for_status()?.bytes().await?;
    Ok(tables::from_slice(&bytes)?)
}

#[derive(Deserialize)]
struct TablesQuery {
    version: Version,
    revision: Revision,
    /// Absent in requests of earlier versions.
    #[serde(default)]
    epoch: Epoch,
}

/// Returns the router of the HTTP server for other balancers.
pub fn router(sources: Arc<TableSources>) -> Router {
    Router::new()
        .route(TABLES_PATH, get(serve_tables))
        .with_state(sources)
}

async fn serve_tables(
    extract::State(sources): extract::State<Arc<TableSources>>,
    Query(query): Query<TablesQuery>,
) -> Result<Vec<u8>, StatusCode> {
    let position = Position {
        epoch: query.epoch,
        revision: query.revision,
    };
    let tables = sources.tables_after(Freshness {
        version: query.version,
        position,
    });
    tables::to_vec(tables).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
