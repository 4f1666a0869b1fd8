//! Layer-4 load balancer for small service operators.

mod bench;
mod bench_tables;
mod command;
mod daemon;
mod emulate;
mod measure;
mod settings;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: command::Arguments = argh::from_env();
    match arguments.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("skylarkflow: {error}");
            ExitCode::FAILURE
        }
    }
}
