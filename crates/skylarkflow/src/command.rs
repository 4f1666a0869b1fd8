//! The command line.

use {
    crate::{
        apply::Apply, bench::Bench, check::Check, demo::Demo, drain::Drain, emulate, run::Run,
        soak::Soak, status::Status, steer::Steer,
    },
    argh::FromArgs,
    derive_more::Display,
    std::{env, error::Error, io, process::ExitCode},
};

/// Exit code after a failure at run time.
const EXIT_FAILURE: u8 = 1;

/// Exit code for arguments, settings, tables or addresses that cannot be used.
const EXIT_USAGE: u8 = 2;

/// Exit code after an edit of somebody else that the operator has to look at first.
const EXIT_CONFLICT: u8 = 3;

/// Result of a command.
pub type Result = std::result::Result<(), CommandError>;

/// A command that failed, with the exit code of the process.
#[derive(Debug, Display)]
#[display("{cause}")]
pub struct CommandError {
    cause: Box<dyn Error>,
    exit_code: u8,
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
    Apply(Apply),
    Check(Check),
    Demo(Demo),
    Drain(Drain),
    Emulate(emulate::Emulate),
    Run(Run),
    Soak(Soak),
    Status(Status),
    Steer(Steer),
}

impl Arguments {
    /// Parses the arguments of the process.
    ///
    /// # Errors
    ///
    /// Returns the exit code after the help, or after arguments that cannot be used.
    pub fn from_env() -> std::result::Result<Arguments, ExitCode> {
        let arguments: Vec<String> = env::args_os()
            .skip(1)
            .map(|argument| argument.to_string_lossy().into_owned())
            .collect();
        let arguments: Vec<&str> = arguments.iter().map(|argument| &**argument).collect();
        Arguments::from_args(&["skylarkflow"], &arguments).map_err(|exit| {
            if exit.status.is_ok() {
                println!("{}", exit.output);
                return ExitCode::SUCCESS;
            }
            eprintln!(
                "{}\nRun skylarkflow --help for more information.",
                exit.output
            );
            ExitCode::from(EXIT_USAGE)
        })
    }

    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails with the exit code of the process.
    pub fn run(self) -> Result {
        match self.command {
            Command::Bench(bench) => bench.run(),
            Command::Apply(apply) => apply.run(),
            Command::Check(check) => check.run(),
            Command::Demo(demo) => demo.run(),
            Command::Drain(drain) => drain.run(),
            Command::Emulate(emulate) => emulate.run(),
            Command::Run(run) => run.run(),
            Command::Soak(soak) => soak.run(),
            Command::Status(status) => status.run(),
            Command::Steer(steer) => steer.run(),
        }
    }
}

impl CommandError {
    /// Returns a failure that the operator can correct in the settings.
    pub fn invalid_input(cause: impl Error + 'static) -> CommandError {
        CommandError {
            cause: Box::new(cause),
            exit_code: EXIT_USAGE,
        }
    }

    /// Returns a failure that another run or another state of the deployment may not have.
    pub fn runtime(cause: impl Into<Box<dyn Error>>) -> CommandError {
        CommandError {
            cause: cause.into(),
            exit_code: EXIT_FAILURE,
        }
    }

    /// Returns a failure because of arguments that cannot be used.
    pub fn invalid_arguments(cause: impl Into<Box<dyn Error>>) -> CommandError {
        CommandError {
            cause: cause.into(),
            exit_code: EXIT_USAGE,
        }
    }

    /// Returns a failure because of the findings in the tables.
    pub fn findings(count: usize) -> CommandError {
        CommandError {
            cause: format!("{count} findings; nothing was changed").into(),
            exit_code: EXIT_USAGE,
        }
    }

    /// Returns a failure because of an edit of somebody else.
    pub fn edit_conflict(cause: impl Into<Box<dyn Error>>) -> CommandError {
        CommandError {
            cause: cause.into(),
            exit_code: EXIT_CONFLICT,
        }
    }

    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        self.exit_code
    }
}

impl From<io::Error> for CommandError {
    fn from(cause: io::Error) -> CommandError {
        CommandError {
            cause: Box::new(cause),
            exit_code: EXIT_FAILURE,
        }
    }
}
