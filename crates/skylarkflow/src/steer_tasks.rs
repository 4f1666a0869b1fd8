//! The asynchronous tasks of a steering balancer, which run beside the packet thread.

use {
    crate::{
        steer_control::{self, ObjectSync},
        steer_daemon::Error,
        steer_data::UpstreamEvent,
        steer_http::{self, Server},
        steer_peers::{self, MemberPublisher},
        steer_probe::{self, Probe, Waker},
        steer_registration::{RegisteredPeers, Registrar},
        steer_settings::Settings,
        steer_sources::{ObjectKind, TableSources},
        steer_state::State,
    },
    axum::Router,
    crossbeam::channel::Sender,
    reqwest::Client,
    skylarkflow_adapter::client::Store,
    skylarkflow_steering::{
        directory::Directory,
        gossip::{self, Gossip, Role},
        list_watch::{ListWatch, PeerTables},
        upstream::UpstreamId,
    },
    skylarkflow_store::http,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::{
            mpsc::{self, UnboundedReceiver, UnboundedSender},
            watch,
        },
        task::JoinHandle,
        time,
    },
};

/// Interval at which upstreams whose retention has ended are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);

/// The tasks' ends of the channels to the packet thread.
pub struct ForwarderHandle {
    /// Probes that the packet thread has requested.
    pub probes: UnboundedReceiver<Probe>,
    /// Upstreams that the packet thread has found to have ended.
    pub ended_upstreams: UnboundedReceiver<UpstreamId>,
    /// Events for the packet thread.
    pub upstream_events: Sender<UpstreamEvent>,
    /// Wakes the packet thread.
    pub waker: Arc<Waker>,
}

/// The running tasks.
pub struct Tasks {
    sources: Arc<TableSources>,
    settings: Settings,
    role: watch::Receiver<Role>,
    evacuation_role: watch::Receiver<Role>,
    peer_tables: watch::Receiver<PeerTables>,
    peer_evacuations: watch::Receiver<PeerTables>,
    store_reads: watch::Receiver<u64>,
    registered_peers: UnboundedSender<RegisteredPeers>,
    /// Tasks that call the store, restarted when its address changes.
    store_tasks: Vec<JoinHandle<()>>,
}

impl Tasks {
    /// Starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or an HTTP client cannot be set up.
    pub async fn start(
        state: &Arc<State>,
        settings: Settings,
        forwarder: ForwarderHandle,
    ) -> Result<Tasks, Error> {
        state.set_warmup_bounds(settings.warmup_bounds());
        let directory = Directory::new(settings.upstream_directory());
        let follows_evacuations = settings.bounds.evacuate_ms.is_some();
        let sources = TableSources::new(Arc::clone(state), directory, follows_evacuations);
        let sources = Arc::new(sources);
        let (role_sender, role) = watch::channel(Role::default());
        let (evacuation_role_sender, evacuation_role) = watch::channel(Role::default());
        let router = steer_http::router(Server {
            sources: Arc::clone(&sources),
            local: settings.peer_info(),
            role: role.clone(),
        });
        if let Some(metrics) = settings.metrics {
            serve_http(metrics, router.clone()).await?;
        }
        serve_http(settings.http, router).await?;
        let (peer_tables_sender, peer_tables) = watch::channel(PeerTables::Pending);
        let (peer_evacuations_sender, peer_evacuations) = watch::channel(PeerTables::Pending);
        let (store_reads_sender, store_reads) = watch::channel(0);
        let (registered_peers, registered_peers_receiver) = mpsc::unbounded_channel();
        let mut tasks = Tasks {
            sources: Arc::clone(&sources),
            settings,
            role,
            evacuation_role,
            peer_tables,
            peer_evacuations,
            store_reads,
            registered_peers,
            store_tasks: Vec::new(),
        };
        tasks.start_store_tasks()?;
        tokio::spawn(expire_upstreams(Arc::clone(&sources)));
        let local = tasks.settings.peer_info();
        serve_http(local.address, steer_peers::router(Arc::clone(&sources))).await?;
        let report_socket = UdpSocket::bind(local.address).await?;
        let incarnation = state.clock.incarnation();
        let gossip_settings = gossip::Settings {
            follows_evacuations,
            ..gossip::Settings::default()
        };
        let gossip = Gossip::new(gossip_settings, local, incarnation);
        tokio::spawn(steer_probe::run_probes(
            Arc::clone(state),
            forwarder.probes,
            forwarder.upstream_events.clone(),
            Arc::clone(&forwarder.waker),
        ));
        let client = Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(http::MAX_IDLE_CONNECTIONS)
            .build();
        let client = client.map_err(skylarkflow_store::Error::from)?;
        let channels = steer_peers::Channels {
            members: MemberPublisher::new(Arc::clone(state), &tasks.settings),
            ended_upstreams: forwarder.ended_upstreams,
            registered_peers: registered_peers_receiver,
            role: role_sender,
            evacuation_role: evacuation_role_sender,
            peer_tables: peer_tables_sender,
            peer_evacuations: peer_evacuations_sender,
            store_reads: store_reads_sender,
            upstream_events: forwarder.upstream_events,
            waker: forwarder.waker,
        };
        tokio::spawn(steer_peers::run_gossip(
            sources,
            report_socket,
            gossip,
            client,
            channels,
        ));
        Ok(tasks)
    }

    /// Returns the active settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Applies the `store` and `bounds` of changed settings; all others, and whether evacuations are followed, only
    /// change with a restart.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client of the store cannot be set up; the calls to the former store go on then.
    pub fn reload(&mut self, settings: Settings) -> Result<(), Error> {
        self.sources
            .set_directory_settings(settings.upstream_directory());
        let state = self.sources.state();
        state.set_warmup_bounds(settings.warmup_bounds());
        let is_store_changed = settings.store != self.settings.store;
        self.settings = Settings {
            store: settings.store,
            bounds: settings.bounds,
            ..self.settings.clone()
        };
        if is_store_changed {
            self.start_store_tasks()?;
        }
        Ok(())
    }

    /// Starts the tasks that call the store; aborts those that call a former address.
    fn start_store_tasks(&mut self) -> Result<(), Error> {
        let store = Store::new(self.settings.store)?;
        for task in &self.store_tasks {
            task.abort();
        }
        let state = self.sources.state();
        // The configuration is one object, so its list has one page and waiting for a peer's tables saves no calls.
        let (_, no_peer_tables) = watch::channel(PeerTables::Unavailable);
        // Tables that a peer provided at the start may come from another store than the one at a new address.
        let is_first_start = self.store_tasks.is_empty();
        self.store_tasks.clear();
        let (peer_tables, peer_evacuations) = if is_first_start {
            (&self.peer_tables, &self.peer_evacuations)
        } else {
            (&no_peer_tables, &no_peer_tables)
        };
        let mut kinds = vec![
            (ObjectKind::Config, no_peer_tables.clone()),
            (ObjectKind::Upstreams, peer_tables.clone()),
        ];
        if self.sources.follows_evacuations() {
            kinds.push((ObjectKind::Evacuations, peer_evacuations.clone()));
        }
        for (seed, (kind, peer_tables)) in (0..).zip(kinds) {
            let role = match kind {
                ObjectKind::Config | ObjectKind::Upstreams => &self.role,
                ObjectKind::Evacuations => &self.evacuation_role,
            };
            let seed = state.clock.incarnation() ^ seed;
            let sync = ObjectSync::new(steer_control::Inputs {
                sources: Arc::clone(&self.sources),
                store: store.clone(),
                kind,
                list_watch: ListWatch::new(self.settings.list_watch(kind), seed),
                role: role.clone(),
                peer_tables,
                store_reads: self.store_reads.clone(),
            });
            self.store_tasks.push(tokio::spawn(sync.run()));
        }
        let registrar = Registrar {
            sources: Arc::clone(&self.sources),
            store,
            local: self.settings.peer_info(),
            registered_peers: self.registered_peers.clone(),
            needs_own_entry: self.settings.warmup_bounds().is_some(),
            role: self.role.clone(),
        };
        self.store_tasks.push(tokio::spawn(registrar.run()));
        Ok(())
    }
}

async fn serve_http(address: SocketAddr, router: Router) -> Result<(), Error> {
    let listener = TcpListener::bind(address).await?;
    // The server runs until the process exits.
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

async fn expire_upstreams(sources: Arc<TableSources>) {
    loop {
        time::sleep(EXPIRE_INTERVAL).await;
        sources.expire_upstreams();
    }
}
