//! Runs a case of the second review: `review-2 CASE FOLDER`. `TROUBLE=0` leaves the disruption out.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod case_config;
mod case_drain;
mod client;
mod endpoint;
mod net;
mod router;
mod site;
mod store;

use case_config::Order;
use case_drain::Setting;
use std::{env, fs, path::PathBuf, process::ExitCode};

/// What a case has seen.
pub struct Outcome {
    pub is_broken: bool,
    /// What was sent, answered and run.
    pub record: String,
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match case.as_str() {
        "config" => case_config::run(Order::ChangeAfterStart, has_trouble),
        "config-replaced" => case_config::run(Order::ChangeBeforeKill, has_trouble),
        "drain" => case_drain::run(Setting::OldCopies, has_trouble),
        "drain-replaced" => case_drain::run(Setting::ReplacedMachines, has_trouble),
        _ => None,
    };
    let Some(Outcome { is_broken, record }) = outcome else {
        eprintln!("the case could not run");
        return ExitCode::from(2);
    };
    let path = PathBuf::from(folder).join("record.txt");
    if let Err(error) = fs::write(&path, record) {
        eprintln!("{}: {error}", path.display());
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(is_broken))
}
