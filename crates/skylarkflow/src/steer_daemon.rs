//! Puts a steering balancer together: one thread for packets, one for everything else.

use {
    crate::{
        event,
        event_log::EventLog,
        metrics::Metrics,
        settings,
        steer_data::{self, Forwarder},
        steer_probe::Waker,
        steer_settings::{self, Settings},
        steer_state::State,
        steer_tasks::{Ends, Tasks},
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

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two looks whether a stopping balancer may exit.
const EXIT_INTERVAL: Duration = Duration::from_millis(50);

/// Environment variable that names the fault to plant.
#[cfg(feature = "planted")]
const PLANTED_VARIABLE: &str = "SKYLARKFLOW_PLANTED";

/// A balancer that could not start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A socket or a thread could not be set up.
    #[display("{_0}")]
    Io(io::Error),
    /// The client of the store could not be set up.
    #[display("{_0}")]
    Store(skylarkflow_store::Error),
}

/// Runs a balancer until it has stopped.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn run(settings: Settings, path: PathBuf) -> Result<(), Error> {
    #[cfg(feature = "planted")]
    if let Ok(name) = std::env::var(PLANTED_VARIABLE) {
        skylarkflow_steering::fault_injection::inject(&name);
    }
    let journal = EventLog::new(&settings.name);
    let metrics = Metrics::new(&settings::Metrics::default())?;
    let phase = Phase::Starting(Starting);
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
    let ends = Ends {
        probes: probe_receiver,
        ended: ended_receiver,
        inputs: input_sender,
        waker,
    };
    let result = runtime.block_on(control(&state, settings, &path, ends));
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

async fn control(
    state: &Arc<State>,
    settings: Settings,
    path: &Path,
    ends: Ends,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut tasks = Tasks::start(state, settings, ends).await?;
    started(state, tasks.settings());
    let mut known = fs::read(path).ok();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {}
            () = time::sleep(SETTINGS_INTERVAL) => {}
        }
        let current = fs::read(path).ok();
        if current != known {
            known = current;
            reload(state, &mut tasks, path);
        }
    }
    leave(state, tasks.settings().lifecycle()).await;
    Ok(())
}

fn started(state: &State, settings: &Settings) {
    state.journal.record(
        &event::STEERING_STARTED,
        format_args!(
            "datagrams on {}, http on {}, peers on {}",
            settings.datagrams,
            settings.http,
            settings.place().address
        ),
    );
}

fn reload(state: &State, tasks: &mut Tasks, path: &Path) {
    let result = match steer_settings::from_path(path) {
        Ok(settings) => tasks.reload(settings).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => state.journal.record(
            &event::SETTINGS_RELOADED,
            format_args!("store at {}", tasks.settings().store),
        ),
        Err(error) => state
            .journal
            .record(&event::SETTINGS_REJECTED, format_args!("{error}")),
    }
}

async fn leave(state: &State, settings: lifecycle::Settings) {
    let leaving = state.phase().begin_stop(settings, state.clock.now());
    state.set_phase(Phase::Stopping(leaving));
    state.journal.record(
        &event::STEERING_DRAINING,
        format_args!("not ready any more"),
    );
    while !leaving.is_done(state.clock.now(), state.last_packet()) {
        time::sleep(EXIT_INTERVAL).await;
    }
}
