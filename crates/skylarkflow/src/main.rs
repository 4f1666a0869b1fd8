//! Layer-4 load balancer for small service operators.

use {skylarkflow::command::Arguments, std::process::ExitCode};

fn main() -> ExitCode {
    let arguments = match Arguments::from_env() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    match arguments.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("skylarkflow: {failure}");
            ExitCode::from(failure.code())
        }
    }
}
