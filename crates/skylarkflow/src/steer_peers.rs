//! Communication between steering balancers: gossip reports over UDP and tables over HTTP.

use {
    crate::{
        event,
        metrics::{Counter, Gauge},
        steer_data::UpstreamEvent,
        steer_probe::Waker,
        steer_registration::RegisteredPeers,
        steer_settings::Settings,
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
        fetches,
        gossip::{Action, Freshness, Gossip, PeerInfo, Report, Role},
        list_watch::PeerTables,
        position::{Epoch, Position, Revision},
        speed::Notice,
        table::Version,
        upstream::UpstreamId,
        warmup_budget::Members,
    },
    std::{iter, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::UdpSocket,
        sync::{
            mpsc::{self, UnboundedReceiver, UnboundedSender},
            watch,
        },
        time,
    },
};

/// Path on which a balancer serves its tables to peers.
const TABLES_PATH: &str = "/tables";

/// Number of reports with which a balancer with a new name announces itself to each of its zone.
const ANNOUNCEMENTS: u32 = 3;

/// Maximum length of a received report.
const MAX_REPORT_BYTES: usize = 2_048;

/// Interval at which due reports and elections are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The gossip task's ends of the channels to other tasks and threads.
pub struct Channels {
    /// Upstreams that the packet thread has found to have ended.
    pub ended_upstreams: UnboundedReceiver<UpstreamId>,
    /// Registered balancers besides this one, as listed at the store.
    pub registered_peers: UnboundedReceiver<RegisteredPeers>,
    /// Passes the members to the packet thread.
    pub members: MemberPublisher,
    /// How this balancer learns of changes in the store.
    pub role: watch::Sender<Role>,
    /// How it learns of evacuations: a follower watches them itself if balancers of its zone do not know them.
    pub evacuation_role: watch::Sender<Role>,
    /// Whether a peer can provide or has provided its tables at the start.
    pub peer_tables: watch::Sender<PeerTables>,
    /// Whether a peer can provide or has provided the evacuations at the start.
    pub peer_evacuations: watch::Sender<PeerTables>,
    /// Number of requests to read the current state of the store.
    pub store_reads: watch::Sender<u64>,
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

    fn record_slow_upstreams(&self, notices: Vec<Notice>) {
        for notice in notices {
            // Sending only fails when the receiver was dropped because the process is exiting.
            let _ = self.upstream_events.send(UpstreamEvent::SlowAtPeer(notice));
        }
    }

    fn list_store(&self) {
        self.peer_tables.send_replace(PeerTables::Unavailable);
        self.peer_evacuations.send_replace(PeerTables::Unavailable);
    }

    /// Records that the evacuations are known, so that they need not be listed.
    fn receive_evacuations(&self, position: Position) {
        self.peer_evacuations.send_if_modified(|tables| {
            let is_first = !matches!(tables, PeerTables::Received(_));
            if is_first {
                *tables = PeerTables::Received(position);
            }
            is_first
        });
    }

    fn read_store(&self, state: &State) {
        self.store_reads.send_modify(|count| *count += 1);
        let now = state.clock.now();
        let text = format_args!("{now:?} after the start");
        state.event_log.record(&event::STORE_READ_REQUESTED, text);
    }

    fn set_role(&self, state: &State, role: Role) {
        self.role.send_replace(role);
        let text = format_args!("role: {role:?}");
        state.event_log.record(&event::ROLE_CHANGED, text);
    }
}

/// Passes the known balancers to the packet thread, which shares the budgets of cold upstreams with them.
pub struct MemberPublisher {
    state: Arc<State>,
    local: PeerInfo,
    /// Number of reports with which a new balancer announces itself to each of its zone.
    announcements: u32,
    has_list: bool,
    /// Whether a list had this balancer, and thus all that were registered before.
    is_complete: bool,
    published: Option<Arc<Members>>,
}

impl MemberPublisher {
    /// Creates a publisher that has published nothing.
    pub fn new(state: Arc<State>, settings: &Settings) -> MemberPublisher {
        MemberPublisher {
            state,
            local: settings.peer_info(),
            announcements: settings.warmup_bounds().map_or(0, |_| ANNOUNCEMENTS),
            has_list: false,
            is_complete: false,
            published: None,
        }
    }

    /// Takes from a list of the registered balancers whether this one is known to the others.
    fn handle_list(&mut self, gossip: &mut Gossip, registered: &RegisteredPeers) {
        if !self.has_list && !registered.is_known {
            gossip.announce(self.announcements);
        }
        self.has_list = true;
        self.is_complete |= registered.has_own;
    }

    /// Publishes the members if they have changed since the last call.
    fn publish(&mut self, gossip: &Gossip) {
        let Some(peers) = gossip.members() else {
            return;
        };
        let (local, is_complete) = (&self.local, self.is_complete);
        let members = iter::once(local).chain(peers);
        let is_published = |published: &Arc<Members>| {
            published.is_complete == is_complete && members.clone().eq(&published.all)
        };
        if self.published.as_ref().is_some_and(is_published) {
            return;
        }
        let members = Arc::new(Members {
            local: local.name.clone(),
            is_complete,
            all: members.cloned().collect(),
        });
        self.state.set_warmup_members(Arc::clone(&members));
        self.published = Some(members);
    }
}

/// Progress of a fetch of a peer's tables.
enum FetchProgress {
    /// The response has begun.
    Responding(SocketAddr),
    /// The fetch has ended.
    Finished(SocketAddr, Result<Merged, FetchError>),
}

/// Tables of a peer were merged; the position is `None` if upstreams were known before.
struct Merged(Option<Position>);

type FetchError = Box<dyn std::error::Error + Send + Sync>;

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
    let mut evacuations_known = sources.subscribe_evacuations_known();
    let (progress_sender, mut fetch_progress) = mpsc::unbounded_channel();
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    receive_report(&state, &mut gossip, from, &buffer[..length]);
                }
                // Without tables, fetch them from the first peer that reports some instead of at the next tick.
                if sources.freshness().position == Position::default() || sources.lacks_evacuations() {
                    gossip.tick(state.clock.now());
                }
            }
            Some(id) = channels.ended_upstreams.recv() => gossip.record_ended_upstream(state.clock.now(), id),
            Some(peers) = channels.registered_peers.recv() => {
                channels.members.handle_list(&mut gossip, &peers);
                gossip.set_registered_peers(state.clock.now(), peers.others);
                if sources.lacks_evacuations() {
                    gossip.tick(state.clock.now());
                }
            }
            // Peers that start wait for them.
            Ok(()) = evacuations_known.changed() => {
                gossip.set_freshness(sources.freshness());
                gossip.tick(state.clock.now());
            }
            Some(progress) = fetch_progress.recv() => {
                handle_progress(&sources, &mut gossip, &channels, progress);
                // Peers that wait for the tables learn at once that this balancer has them.
                gossip.set_freshness(sources.freshness());
                gossip.tick(state.clock.now());
            }
            _ = ticks.tick() => {
                gossip.set_freshness(sources.freshness());
                gossip.set_slow_upstreams(state.slow_upstreams());
                state.set_rank(gossip.zone_rank());
                gossip.set_store_unreachable(state.is_store_unreachable());
                gossip.tick(state.clock.now());
            }
        }
        for action in gossip.take_actions() {
            match action {
                Action::FetchTables { address, freshness } => {
                    let (sources, client) = (Arc::clone(&sources), client.clone());
                    let progress = progress_sender.clone();
                    tokio::spawn(async move {
                        let fetch =
                            fetch_and_merge_tables(sources, client, address, freshness, &progress);
                        let result = fetch.await;
                        // Sending only fails when the receiver was dropped because the process is exiting.
                        progress.send(FetchProgress::Finished(address, result))
                    });
                }
                Action::SendReport(to, report) => send_report(&state, &socket, to, report).await,
                Action::ProbeUpstream(id) => channels.suspect_upstream(id),
                Action::RecordSlowUpstreams(notices) => channels.record_slow_upstreams(notices),
                Action::ListStore => channels.list_store(),
                Action::ReadStore => channels.read_store(&state),
                Action::SetRole(role) => channels.set_role(&state, role),
                Action::SetEvacuationRole(role) => {
                    channels.evacuation_role.send_replace(role);
                }
            }
        }
        state.metrics.set(Gauge::Peers, gossip.len() as u64);
        channels.members.publish(&gossip);
    }
}

fn handle_progress(
    sources: &TableSources,
    gossip: &mut Gossip,
    channels: &Channels,
    progress: FetchProgress,
) {
    let state = sources.state();
    let now = state.clock.now();
    match progress {
        FetchProgress::Responding(address) => gossip.record_fetch_response(address),
        FetchProgress::Finished(address, Ok(Merged(first_position))) => {
            gossip.finish_fetch(now, address, true);
            if let Some(position) = first_position {
                let received = PeerTables::Received(position);
                channels.peer_tables.send_replace(received);
            }
            if let Some(position) = sources.evacuations_known_up_to() {
                channels.receive_evacuations(position);
            }
        }
        FetchProgress::Finished(address, Err(error)) => {
            gossip.finish_fetch(now, address, false);
            let text = format_args!("from {address}: {error}");
            let event = &event::PEER_TABLES_FAILED;
            state.event_log.record_limited(now, event, text);
        }
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

/// Fetches newer tables from a balancer and merges them.
async fn fetch_and_merge_tables(
    sources: Arc<TableSources>,
    client: Client,
    address: SocketAddr,
    freshness: Freshness,
    progress: &UnboundedSender<FetchProgress>,
) -> Result<Merged, FetchError> {
    let Freshness {
        version, position, ..
    } = freshness;
    let Position { epoch, revision } = position;
    let url = format!("http://{address}{TABLES_PATH}?version={version}&revision={revision}");
    // Balancers of earlier versions, which know no epochs, ignore the last parameter.
    let url = format!("{url}&epoch={epoch}");
    let timeout = fetches::Settings::default().timeout;
    let response = client.get(url).timeout(timeout).send().await?;
    // Sending only fails when the receiver was dropped because the process is exiting.
    let _ = progress.send(FetchProgress::Responding(address));
    let bytes = response.error_for_status()?.bytes().await?;
    let tables = tables::from_slice(&bytes)?;
    let (position, changes) = (tables.position, tables.upstreams.changes.len());
    let text = format_args!("from {address}: {position:?}, {changes} changes");
    let event_log = &sources.state().event_log;
    event_log.record(&event::PEER_TABLES_FETCHED, text);
    Ok(Merged(sources.merge(tables)))
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
        evacuations: None,
    });
    tables::to_vec(tables).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
