//! The command line.

use {
    crate::{bench, daemon, emulate, settings::Settings},
    argh::FromArgs,
    std::{error::Error, fs, path::PathBuf},
};

/// Result of a command.
pub type Result = std::result::Result<(), Box<dyn Error>>;

/// Layer-4 load balancer for small service operators.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Bench(bench::Bench),
    Run(Run),
    Emulate(emulate::Emulate),
}

/// Run a balancer until it is told to stop.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// path of the YAML settings
    #[argh(option)]
    settings: PathBuf,
}

impl Arguments {
    /// Runs the command.
    pub fn run(self) -> Result {
        match self.command {
            Command::Bench(bench) => bench.run(),
            Command::Run(run) => run.run(),
            Command::Emulate(emulate) => emulate.run(),
        }
    }
}

impl Run {
    fn run(self) -> Result {
        let text = fs::read_to_string(&self.settings)?;
        let settings: Settings = serde_saphyr::from_str(&text)?;
        daemon::run(settings)?;
        Ok(())
    }
}
