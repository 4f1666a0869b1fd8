//! Puts a steering balancer together: one thread for packets, one for everything else.

use {
    crate::{
        event,
        journal::Journal,
        metrics::Metrics,
        settings,
        steer_control::{self, EXPIRE_INTERVAL, Kind, Sources},
        steer_data::Forwarder,
        steer_http,
        steer_probe::{self, Waker},
        steer_settings::{self, Settings},
        steer_state::State,
    },
    crossbeam::channel,
    derive_more::{Display, Error, From},
    skylarkflow_adapter::client::{self, Store},
    skylarkflow_steering::{
        balancer::{self, Balancer},
        directory::Directory,
        feed::Feed,
        lifecycle::{Phase, Starting},
    },
    std::{
        fs, io,
        net::UdpSocket,
        path::{Path, PathBuf},
        sync::Arc,
        thread,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        runtime,
        signal::unix::{Signal, SignalKind, signal},
        sync::mpsc,
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
    let waker = Waker::new(&socket)?;
    let (probe_sender, probes) = mpsc::unbounded_channel();
    let (reports, report_receiver) = channel::unbounded();
    let forwarder = Forwarder::new(
        Arc::clone(&state),
        socket,
        balancer(&settings, &state),
        (probe_sender, report_receiver),
    )?;
    let thread = thread::Builder::new().name("packets".to_owned());
    let thread = thread.spawn(move || forwarder.run())?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(async {
        tokio::spawn(steer_probe::serve(
            Arc::clone(&state),
            probes,
            reports,
            waker,
        ));
        control(Arc::clone(&state), settings, &path).await
    });
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

async fn control(state: Arc<State>, settings: Settings, path: &Path) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(settings.http).await?;
    let router = steer_http::router(Arc::clone(&state));
    tokio::spawn(async move { axum::serve(listener, router).await });
    let sources = Arc::new(Sources::new(
        Arc::clone(&state),
        Directory::new(settings.directory()),
    ));
    start_feeds(&state, &sources, &settings)?;
    state.journal.record(
        &event::STEERING_STARTED,
        format_args!(
            "datagrams on {}, http on {}",
            settings.datagrams, settings.http
        ),
    );
    tokio::spawn(expire(Arc::clone(&sources)));
    tokio::spawn(reload(Arc::clone(&state), path.to_owned(), hangup));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    leave(&state).await;
    Ok(())
}

fn start_feeds(state: &State, sources: &Arc<Sources>, settings: &Settings) -> Result<(), Error> {
    let store = Store::new(settings.store)?;
    for (seed, kind) in (0..).zip([Kind::Config, Kind::Upstreams]) {
        let feed = Feed::new(settings.feed(), state.clock.incarnation() ^ seed);
        tokio::spawn(steer_control::follow(
            Arc::clone(sources),
            store.clone(),
            kind,
            feed,
        ));
    }
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
