//! Stand-ins of the platform, endpoints and clients for the cases of the review, and the cases themselves.
//!
//! `standin CASE RECORD FOLDER` runs in the project's root. The exit code is 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod endpoint;
mod packet;
mod record;
mod site;
mod store;

use std::{
    collections::hash_map::RandomState,
    env,
    hash::{BuildHasher, Hasher},
    path::{Path, PathBuf},
    process,
    time::SystemTime,
};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD FOLDER");
        process::exit(2);
    };
    let record = record::Record::create(Path::new(record));
    let site = site::Site::new(&record, PathBuf::from(folder), cases::endpoint_counts(case));
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.tell(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    cases::run(case, site, trouble);
}

/// Returns a random number.
pub fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}

pub fn unix_ms() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0, |time| time.as_millis() as u64)
}
