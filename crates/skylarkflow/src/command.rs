//! The command line.

use {
    crate::{bench::Bench, emulate, run::Run},
    argh::FromArgs,
    derive_more::Display,
    std::{error::Error, io},
};

/// Exit code after a failure at run time.
const EXIT_FAILURE: u8 = 1;

/// Exit code for settings or addresses that cannot be used.
const EXIT_USAGE: u8 = 2;

/// Result of a command.
pub type Result = std::result::Result<(), Failure>;

/// A command that failed, with the exit code of the process.
#[derive(Debug, Display)]
#[display("{cause}")]
pub struct Failure {
    cause: Box<dyn Error>,
    code: u8,
}

/// Layer-4 load balancer for small service operators.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Bench(Bench),
    Emulate(emulate::Emulate),
    Run(Run),
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails with the exit code of the process.
    pub fn run(self) -> Result {
        match self.command {
            Command::Bench(bench) => bench.run(),
            Command::Emulate(emulate) => emulate.run(),
            Command::Run(run) => run.run(),
        }
    }
}

impl Failure {
    /// Returns a failure that the operator can correct in the settings.
    pub fn usage(cause: impl Error + 'static) -> Failure {
        Failure {
            cause: Box::new(cause),
            code: EXIT_USAGE,
        }
    }

    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        self.code
    }
}

impl From<io::Error> for Failure {
    fn from(cause: io::Error) -> Failure {
        Failure {
            cause: Box::new(cause),
            code: EXIT_FAILURE,
        }
    }
}
