//! Layer-4 load balancer for small service operators.

use {skylarkflow::command::Arguments, std::process::ExitCode};

fn main() -> ExitCode {
    let arguments = match Arguments::from_env() {
        Ok(arguments) => arguments,
        Err(exit_code) => return exit_code,
    };
    match arguments.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("skylarkflow: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
