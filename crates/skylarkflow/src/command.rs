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

/// Exit code after an error at run time, such as a store or balancer that does not answer.
const EXIT_RUNTIME_ERROR: u8 = 1;

/// Exit code for invalid arguments, settings or tables, or an address that cannot be bound.
const EXIT_INVALID_INPUT: u8 = 2;

/// Exit code for a conflict with another operator's edit, which this operator has to resolve.
const EXIT_CONFLICT: u8 = 3;

/// Result of a command.
pub type Result = std::result::Result<(), CommandError>;

/// An error that ends a command, with the exit code of the process.
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
    /// Parses the process's command-line arguments.
    ///
    /// # Errors
    ///
    /// Returns the exit code after printing the help text, or the error if the arguments are invalid.
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
            ExitCode::from(EXIT_INVALID_INPUT)
        })
    }

    /// Runs the selected command.
    ///
    /// # Errors
    ///
    /// Returns the error of the command, which carries the exit code.
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
    /// Creates an error for an invalid file or address, which the operator has to correct (exit code 2).
    pub fn invalid_input(cause: impl Error + 'static) -> CommandError {
        CommandError {
            cause: Box::new(cause),
            exit_code: EXIT_INVALID_INPUT,
        }
    }

    /// Creates an error at run time, after which the same command may succeed later (exit code 1).
    pub fn runtime(cause: impl Into<Box<dyn Error>>) -> CommandError {
        CommandError {
            cause: cause.into(),
            exit_code: EXIT_RUNTIME_ERROR,
        }
    }

    /// Creates an error for invalid arguments (exit code 2).
    pub fn invalid_arguments(cause: impl Into<Box<dyn Error>>) -> CommandError {
        CommandError {
            cause: cause.into(),
            exit_code: EXIT_INVALID_INPUT,
        }
    }

    /// Creates an error for tables or settings with this number of findings (exit code 2).
    pub fn findings(count: usize) -> CommandError {
        CommandError {
            cause: format!("{count} findings; nothing was changed").into(),
            exit_code: EXIT_INVALID_INPUT,
        }
    }

    /// Creates an error for a conflict with another operator's edit (exit code 3).
    pub fn edit_conflict(cause: impl Into<Box<dyn Error>>) -> CommandError {
        CommandError {
            cause: cause.into(),
            exit_code: EXIT_CONFLICT,
        }
    }

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        self.exit_code
    }
}

impl From<io::Error> for CommandError {
    fn from(cause: io::Error) -> CommandError {
        CommandError {
            cause: Box::new(cause),
            exit_code: EXIT_RUNTIME_ERROR,
        }
    }
}
