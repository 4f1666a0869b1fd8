//! The `run` command: runs one balancer as a process, with its logger and signal handling.

use {
    crate::{
        command::{Failure, Result},
        daemon::{Daemon, Handle},
        logs, settings,
    },
    argh::FromArgs,
    serde_json::json,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        io::{self, Write},
        path::PathBuf,
        process,
        sync::Arc,
        thread,
    },
};

/// Exit code after a second signal, which stops the process without waiting for requests in flight.
const EXIT_SECOND_SIGNAL: i32 = 1;

/// Run a balancer until a signal or an operator stops it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// path of the YAML settings
    #[argh(option)]
    settings: PathBuf,
}

impl Run {
    /// Runs the balancer and returns after it has stopped.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or an address cannot be bound.
    pub fn run(self) -> Result {
        let settings = settings::from_path(&self.settings).map_err(Failure::usage)?;
        let writer = logs::start(&settings.log).map_err(Failure::usage)?;
        let identity = (settings.name.clone(), settings.zone.clone());
        // Registered first, so that signals which arrive while the balancer starts are handled afterwards.
        let signals = Signals::new([SIGINT, SIGTERM])?;
        let handle = Daemon::start(settings).map_err(Failure::usage)?;
        start_signal_thread(&handle, signals)?;
        print_ready(&identity, &handle)?;
        handle.join();
        writer.close();
        Ok(())
    }
}

fn start_signal_thread(handle: &Handle, mut signals: Signals) -> io::Result<()> {
    let context = Arc::clone(handle.context());
    let thread = thread::Builder::new().name("signals".to_owned());
    thread.spawn(move || {
        for _ in signals.forever() {
            if !context.start_drain() {
                process::exit(EXIT_SECOND_SIGNAL);
            }
        }
    })?;
    Ok(())
}

fn print_ready((name, zone): &(String, String), handle: &Handle) -> io::Result<()> {
    let addresses = handle.addresses();
    let ready = json!({
        "name": name,
        "zone": zone,
        "ingress": addresses.ingress,
        "peer": addresses.peer,
        "admin": addresses.admin,
    });
    let mut output = io::stdout();
    writeln!(output, "{ready}")?;
    output.flush()
}
