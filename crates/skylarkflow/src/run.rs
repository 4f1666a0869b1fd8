//! The `run` command: runs one balancer with its logs and signal handling.

use {
    crate::{
        command::{CommandError, Result},
        daemon::{Daemon, Handle},
        logs, panic_hook, settings,
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

/// Exit code after a signal during the drain, which stops the process at once and may abort requests in flight.
const EXIT_ABORTED: i32 = 1;

/// Run a balancer until it has drained. SIGINT, SIGTERM or the drain command starts the drain; a signal during the
/// drain stops the process at once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// path of the YAML settings file
    #[argh(option)]
    settings: PathBuf,
}

impl Run {
    /// Runs the balancer and returns after it has drained and stopped.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or an address cannot be bound.
    pub fn run(self) -> Result {
        let settings = settings::from_path(&self.settings).map_err(CommandError::invalid_input)?;
        let writer = logs::start(&settings.log).map_err(CommandError::invalid_input)?;
        panic_hook::install(&settings.name);
        let identity = (settings.name.clone(), settings.zone.clone());
        // Registered before the start, so that signals that arrive during it stay pending in the iterator.
        let signals = Signals::new([SIGINT, SIGTERM])?;
        let handle = Daemon::start(settings).map_err(CommandError::invalid_input)?;
        spawn_signal_thread(&handle, signals)?;
        print_addresses(&identity, &handle)?;
        handle.join();
        writer.close();
        Ok(())
    }
}

fn spawn_signal_thread(handle: &Handle, mut signals: Signals) -> io::Result<()> {
    let context = Arc::clone(handle.context());
    let thread = thread::Builder::new().name("signals".to_owned());
    thread.spawn(move || {
        for _ in signals.forever() {
            if !context.start_drain() {
                process::exit(EXIT_ABORTED);
            }
        }
    })?;
    Ok(())
}

fn print_addresses((name, zone): &(String, String), handle: &Handle) -> io::Result<()> {
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
