//! Puts a steering balancer together: one thread for packets, one for everything else.

use {
    crate::{
        event,
        journal::Journal,
        metrics::Metrics,
        settings,
        steer_control::{self, EXPIRE_INTERVAL},
        steer_data::{self, Forwarder, Input},
        steer_http, steer_peers,
        steer_probe::{self, Probe, Waker},
        steer_settings::{self, Settings},
        steer_sources::{Kind, Sources},
        steer_state::State,
    },
    axum::Router,
    crossbeam::channel::{self, Sender},
    derive_more::{Display, Error, From},
    reqwest::Client,
    skylarkflow_adapter::client::{self, Store},
    skylarkflow_steering::{
        balancer::{self, Balancer},
        directory::Directory,
        feed::Feed,
        lifecycle::{Phase, Starting},
        peer::{self, Circle},
        upstream::UpstreamId,
    },
    std::{
        fs, io,
        net::{SocketAddr, UdpSocket},
        path::{Path, PathBuf},
        sync::Arc,
        thread,
        time::Duration,
    },
    tokio::{
        net::{self, TcpListener},
        runtime,
        signal::unix::{Signal, SignalKind, signal},
        sync::{
            mpsc::{self, UnboundedReceiver},
            watch,
        },
        time,
    },
};

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two looks whether a stopping balancer may exit.
const EXIT_INTERVAL: Duration = Duration::from_millis(50);

/// A balancer that could not start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A socket or a thread could not be set up.
    #[display("{_0}")]
    Io(io::Error),
    /// The client of the store could not be set up.
    #[display("{_0}")]
    Store(client::Error),
}

/// Runs a balancer until it has stopped.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn run(settings: Settings, path: PathBuf) -> Result<(), Error> {
    let journal = Journal::new(&settings.name);
    let metrics = Metrics::new(&settings::Metrics::default())?;
    let phase = Phase::Starting(Starting::new(settings.lifecycle()));
    let state = Arc::new(State::new(journal, metrics, phase));
    let socket = UdpSocket::bind(settings.datagrams)?;
    let waker = Arc::new(Waker::new(&socket)?);
    let (probes, probe_receiver) = mpsc::unbounded_channel();
    let (ended, ended_receiver) = mpsc::unbounded_channel();
    let (input_sender, inputs) = channel::unbounded();
    let forwarder = Forwarder::new(
        Arc::clone(&state),
        socket,
        balancer(&settings, &state),
        steer_data::Channels {
            probes,
            ended,
            inputs,
        },
    )?;
    let thread = thread::Builder::new().name("packets".to_owned());
    let thread = thread.spawn(move || forwarder.run())?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let control = Control {
        state: Arc::clone(&state),
        settings,
        probes: probe_receiver,
        ended: ended_receiver,
        inputs: input_sender,
        waker,
    };
    let result = runtime.block_on(control.run(&path));
    state.stop();
    // The thread ends within its longest wait for a packet; a panic there has been reported.
    let _ = thread.join();
    state
        .journal
        .record(&event::STEERING_STOPPED, format_args!("ended"));
    result
}

fn balancer(settings: &Settings, state: &State) -> Balancer {
    let settings = balancer::Settings {
        zone: settings.zone.clone(),
        ..balancer::Settings::default()
    };
    Balancer::new(settings, state.clock.incarnation())
}

/// Everything beside the thread that handles packets.
struct Control {
    state: Arc<State>,
    settings: Settings,
    probes: UnboundedReceiver<Probe>,
    ended: UnboundedReceiver<UpstreamId>,
    inputs: Sender<Input>,
    waker: Arc<Waker>,
}

impl Control {
    async fn run(self, path: &Path) -> Result<(), Error> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let hangup = signal(SignalKind::hangup())?;
        let state = Arc::clone(&self.state);
        self.start().await?;
        tokio::spawn(reload(Arc::clone(&state), path.to_owned(), hangup));
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        leave(&state).await;
        Ok(())
    }

    async fn start(self) -> Result<(), Error> {
        let Control {
            state,
            settings,
            probes,
            ended,
            inputs,
            waker,
        } = self;
        let router = steer_http::router(Arc::clone(&state));
        if let Some(metrics) = settings.metrics {
            serve_http(metrics, router.clone()).await?;
        }
        serve_http(settings.http, router).await?;
        let directory = Directory::new(settings.directory());
        let sources = Arc::new(Sources::new(Arc::clone(&state), directory));
        let store = Store::new(settings.store)?;
        let (reader_sender, is_reader) = watch::channel(false);
        for (seed, kind) in (0..).zip([Kind::Config, Kind::Upstreams]) {
            let feed = Feed::new(settings.feed(), state.clock.incarnation() ^ seed);
            tokio::spawn(steer_control::follow(
                Arc::clone(&sources),
                store.clone(),
                kind,
                feed,
                is_reader.clone(),
            ));
        }
        tokio::spawn(steer_probe::serve(
            Arc::clone(&state),
            probes,
            inputs.clone(),
            Arc::clone(&waker),
        ));
        tokio::spawn(expire(Arc::clone(&sources)));
        let me = settings.place();
        serve_http(me.address, steer_peers::router(Arc::clone(&sources))).await?;
        let (place_sender, places) = mpsc::unbounded_channel();
        let circle = Circle::new(
            peer::Settings::default(),
            me.clone(),
            state.clock.incarnation(),
        );
        let channels = steer_peers::Channels {
            ended,
            places,
            is_reader: reader_sender,
            inputs,
            waker,
        };
        let reports = net::UdpSocket::bind(me.address).await?;
        let client = Client::builder()
            .no_proxy()
            .build()
            .map_err(client::Error::from)?;
        tokio::spawn(steer_peers::exchange(
            sources, reports, circle, client, channels,
        ));
        tokio::spawn(steer_peers::register(
            Arc::clone(&state),
            store,
            me,
            place_sender,
            is_reader,
        ));
        state.journal.record(
            &event::STEERING_STARTED,
            format_args!(
                "datagrams on {}, http on {}, peers on {}",
                settings.datagrams,
                settings.http,
                settings.place().address
            ),
        );
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

async fn reload(state: Arc<State>, path: PathBuf, mut hangup: Signal) {
    let mut known = fs::read(&path).ok();
    loop {
        let _ = time::timeout(SETTINGS_INTERVAL, hangup.recv()).await;
        let current = fs::read(&path).ok();
        if current == known {
            continue;
        }
        known = current;
        match steer_settings::from_path(&path) {
            Ok(settings) => state.journal.record(
                &event::SETTINGS_RELOADED,
                format_args!("settings of {}", settings.name),
            ),
            Err(error) => state
                .journal
                .record(&event::SETTINGS_REJECTED, format_args!("{error}")),
        }
    }
}

async fn leave(state: &State) {
    let leaving = state.phase().leave(state.clock.now());
    state.set_phase(Phase::Leaving(leaving));
    state
        .journal
        .record(&event::STEERING_LEAVING, format_args!("not ready any more"));
    while !leaving.is_done(state.clock.now(), state.last_packet()) {
        time::sleep(EXIT_INTERVAL).await;
    }
}
