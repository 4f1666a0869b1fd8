//! Process of a steering balancer: one thread forwards packets, and another one runs everything else.

use {
    crate::{
        event,
        event_log::EventLog,
        metrics::Metrics,
        panic_hook, settings,
        steer_data::{self, Forwarder},
        steer_probe::Waker,
        steer_settings::{self, Settings},
        steer_state::State,
        steer_tasks::{ForwarderHandle, Tasks},
    },
    crossbeam::channel,
    derive_more::{Display, Error, From},
    skylarkflow_steering::{
        balancer::{self, Balancer},
        lifecycle::{self, Phase, Starting},
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
        runtime,
        signal::unix::{SignalKind, signal},
        sync::mpsc,
        time,
    },
};

/// Interval at which the settings file is checked for changes that are not announced by SIGHUP.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a draining balancer checks whether it may exit.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Environment variable with the name of the fault to inject into this balancer.
#[cfg(feature = "planted")]
const PLANTED_VARIABLE: &str = "SKYLARKFLOW_PLANTED";

/// Error of a balancer that could not start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A socket, thread, runtime or signal handler could not be set up.
    #[display("{_0}")]
    Io(io::Error),
    /// An HTTP client could not be set up.
    #[display("{_0}")]
    Store(skylarkflow_store::Error),
}

/// Runs a balancer until a signal stops it; reloads the settings from `path` when they change.
///
/// # Errors
///
/// Fails if an address cannot be bound or another resource cannot be set up.
pub fn run(settings: Settings, path: PathBuf) -> Result<(), Error> {
    #[cfg(feature = "planted")]
    if let Ok(name) = std::env::var(PLANTED_VARIABLE) {
        skylarkflow_steering::fault_injection::inject(&name);
    }
    let event_log = EventLog::new(&settings.name);
    let metrics = Metrics::new(&settings::Metrics::default())?;
    let phase = Phase::Starting(Starting);
    let state = Arc::new(State::new(event_log, metrics, phase));
    panic_hook::install(&settings.name);
    let socket = UdpSocket::bind(settings.datagrams)?;
    let waker = Arc::new(Waker::new(&socket)?);
    let (probes, probe_receiver) = mpsc::unbounded_channel();
    let (ended_upstreams, ended_receiver) = mpsc::unbounded_channel();
    let (event_sender, upstream_events) = channel::unbounded();
    let forwarder = Forwarder::new(
        Arc::clone(&state),
        socket,
        new_balancer(&settings, &state),
        steer_data::Channels {
            probes,
            ended_upstreams,
            upstream_events,
        },
    )?;
    let builder = thread::Builder::new().name("packets".to_owned());
    let thread = builder.spawn(move || forwarder.run())?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let forwarder_handle = ForwarderHandle {
        probes: probe_receiver,
        ended_upstreams: ended_receiver,
        upstream_events: event_sender,
        waker,
    };
    let result = runtime.block_on(run_control(&state, settings, &path, forwarder_handle));
    state.stop();
    // The thread checks the stop flag after each receive timeout. A panic in it has ended the process.
    let _ = thread.join();
    state
        .event_log
        .record(&event::STEERING_STOPPED, format_args!("ended"));
    result
}

fn new_balancer(settings: &Settings, state: &State) -> Balancer {
    let settings = balancer::Settings {
        zone: settings.zone.clone(),
        placement: settings.placement(),
        admission: settings.admission(),
        ..balancer::Settings::default()
    };
    Balancer::new(settings, state.clock.incarnation())
}

async fn run_control(
    state: &Arc<State>,
    settings: Settings,
    path: &Path,
    forwarder_handle: ForwarderHandle,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut tasks = Tasks::start(state, settings, forwarder_handle).await?;
    record_start(state, tasks.settings());
    let mut last_contents = fs::read(path).ok();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {}
            () = time::sleep(SETTINGS_CHECK_INTERVAL) => {}
        }
        let contents = fs::read(path).ok();
        if contents != last_contents {
            last_contents = contents;
            reload(state, &mut tasks, path);
        }
    }
    drain(state, tasks.settings().lifecycle()).await;
    Ok(())
}

fn record_start(state: &State, settings: &Settings) {
    state.event_log.record(
        &event::STEERING_STARTED,
        format_args!(
            "datagrams on {}, HTTP on {}, peers on {}",
            settings.datagrams,
            settings.http,
            settings.peer_info().address
        ),
    );
}

fn reload(state: &State, tasks: &mut Tasks, path: &Path) {
    let result = match steer_settings::from_path(path) {
        Ok(settings) => tasks.reload(settings).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => state.event_log.record(
            &event::SETTINGS_RELOADED,
            format_args!("store at {}", tasks.settings().store),
        ),
        Err(error) => state
            .event_log
            .record(&event::SETTINGS_REJECTED, format_args!("{error}")),
    }
}

async fn drain(state: &State, settings: lifecycle::Settings) {
    let draining = state.phase().begin_drain(settings, state.clock.now());
    state.set_phase(Phase::Draining(draining));
    state.event_log.record(
        &event::STEERING_DRAINING,
        format_args!("no longer ready; forwarding until no packets arrive"),
    );
    while !draining.is_done(state.clock.now(), state.last_packet()) {
        time::sleep(EXIT_CHECK_INTERVAL).await;
    }
}
