//! The tasks of a steering balancer beside the thread that handles packets.

use {
    crate::{
        steer_control,
        steer_daemon::Error,
        steer_data::Input,
        steer_http, steer_peers,
        steer_probe::{self, Probe, Waker},
        steer_settings::Settings,
        steer_sources::{Kind, Sources},
        steer_state::State,
    },
    axum::Router,
    crossbeam::channel::Sender,
    reqwest::Client,
    skylarkflow_adapter::client::Store,
    skylarkflow_steering::{
        directory::Directory,
        gossip::{self, Gossip, PeerInfo},
        list_watch::{ListWatch, PeerTables},
        upstream::UpstreamId,
    },
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

/// Time between two looks for upstreams whose retention has ended.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);

/// What the tasks need of the thread that handles packets.
pub struct Ends {
    /// Probes to be made.
    pub probes: UnboundedReceiver<Probe>,
    /// Upstreams that have ended.
    pub ended: UnboundedReceiver<UpstreamId>,
    /// Findings for the thread.
    pub inputs: Sender<Input>,
    /// Wakes the thread.
    pub waker: Arc<Waker>,
}

/// The running tasks.
pub struct Tasks {
    sources: Arc<Sources>,
    settings: Settings,
    is_reader: watch::Receiver<bool>,
    help: watch::Receiver<PeerTables>,
    places: UnboundedSender<Vec<PeerInfo>>,
    /// Tasks that call the store.
    callers: Vec<JoinHandle<()>>,
}

impl Tasks {
    /// Starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a client cannot be set up.
    pub async fn start(state: &Arc<State>, settings: Settings, ends: Ends) -> Result<Tasks, Error> {
        let router = steer_http::router(Arc::clone(state));
        if let Some(metrics) = settings.metrics {
            serve_http(metrics, router.clone()).await?;
        }
        serve_http(settings.http, router).await?;
        let directory = Directory::new(settings.directory());
        let sources = Arc::new(Sources::new(Arc::clone(state), directory));
        let (reader_sender, is_reader) = watch::channel(false);
        let (help_sender, help) = watch::channel(PeerTables::Pending);
        let (places, place_receiver) = mpsc::unbounded_channel();
        let mut tasks = Tasks {
            sources: Arc::clone(&sources),
            settings,
            is_reader,
            help,
            places,
            callers: Vec::new(),
        };
        tasks.call_store()?;
        tokio::spawn(expire(Arc::clone(&sources)));
        let me = tasks.settings.place();
        serve_http(me.address, steer_peers::router(Arc::clone(&sources))).await?;
        let reports = UdpSocket::bind(me.address).await?;
        let started = state.clock.incarnation();
        let gossip = Gossip::new(gossip::Settings::default(), me, started);
        tokio::spawn(steer_probe::serve(
            Arc::clone(state),
            ends.probes,
            ends.inputs.clone(),
            Arc::clone(&ends.waker),
        ));
        let client = Client::builder().no_proxy().build();
        let client = client.map_err(skylarkflow_store::Error::from)?;
        let channels = steer_peers::Channels {
            ended: ends.ended,
            places: place_receiver,
            is_reader: reader_sender,
            help: help_sender,
            inputs: ends.inputs,
            waker: ends.waker,
        };
        tokio::spawn(steer_peers::exchange(
            sources, reports, gossip, client, channels,
        ));
        Ok(tasks)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes changed settings into force, except those that name the process or its sockets.
    ///
    /// # Errors
    ///
    /// Fails if a client of the store cannot be set up; the settings before stay in force.
    pub fn reload(&mut self, settings: Settings) -> Result<(), Error> {
        self.sources.set_directory(settings.directory());
        let has_moved = settings.store != self.settings.store;
        self.settings = Settings {
            store: settings.store,
            bounds: settings.bounds,
            ..self.settings.clone()
        };
        if has_moved {
            self.call_store()?;
        }
        Ok(())
    }

    /// Starts the tasks that call the store, after it has another address anew.
    fn call_store(&mut self) -> Result<(), Error> {
        let store = Store::new(self.settings.store)?;
        for task in &self.callers {
            task.abort();
        }
        let state = self.sources.state();
        // The configuration is one object, so its list has no further pages to wait for.
        let (_, no_help) = watch::channel(PeerTables::Unavailable);
        // Tables that peers gave at the start may belong to another store than the one at a new address.
        let is_start = self.callers.is_empty();
        self.callers.clear();
        let help = if is_start { &self.help } else { &no_help };
        let kinds = [
            (Kind::Config, no_help.clone()),
            (Kind::Upstreams, help.clone()),
        ];
        for (seed, (kind, help)) in (0..).zip(kinds) {
            let feed = ListWatch::new(self.settings.feed(), state.clock.incarnation() ^ seed);
            self.callers.push(tokio::spawn(steer_control::follow(
                Arc::clone(&self.sources),
                store.clone(),
                kind,
                feed,
                self.is_reader.clone(),
                help,
            )));
        }
        self.callers.push(tokio::spawn(steer_peers::register(
            Arc::clone(state),
            store,
            self.settings.place(),
            self.places.clone(),
            self.is_reader.clone(),
        )));
        Ok(())
    }
}

async fn serve_http(address: SocketAddr, router: Router) -> Result<(), Error> {
    let listener = TcpListener::bind(address).await?;
    // The server ends with the process.
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

async fn expire(sources: Arc<Sources>) {
    loop {
        time::sleep(EXPIRE_INTERVAL).await;
        sources.expire();
    }
}
