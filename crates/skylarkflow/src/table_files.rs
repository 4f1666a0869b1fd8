//! Reads and checks the operator's table files, and the settings of balancers against them.

use {
    crate::settings,
    skylarkflow_store::{
        check::{self, Tables},
        finding::{Code, Finding},
        table::{Pools, Routes},
    },
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Reads and checks both tables; returns all findings if there are any.
pub fn read_and_check(routes: &Path, pools: &Path) -> Result<Tables, Vec<Finding>> {
    let (routes_file, pools_file) = (display_path(routes), display_path(pools));
    match (read_file(routes), read_file(pools)) {
        (Ok(routes), Ok(pools)) => {
            let routes = Routes::from_slice(&routes_file, &routes);
            let pools = Pools::from_slice(&pools_file, &pools);
            check::check(&routes, &pools)
        }
        (routes, pools) => Err(routes.err().into_iter().chain(pools.err()).collect()),
    }
}

/// Checks settings files of balancers: each by itself, and its drain limit against the longest deadline of a route.
pub fn check_settings(paths: &[PathBuf], tables: Option<&Tables>) -> Vec<Finding> {
    let routes = tables.map_or(&[][..], |tables| &tables.routes);
    let longest = routes.iter().max_by_key(|route| route.deadline);
    let mut findings = Vec::new();
    for path in paths {
        match settings::from_path(path) {
            Ok(settings) => findings.extend(longest.and_then(|route| {
                let limit = settings.drain.limit;
                let message = format!(
                    "drain.limit {limit:?} is below the deadline {:?} of route `{}`: a drain would abort its requests",
                    route.deadline, route.name
                );
                let finding = Finding::for_file(&display_path(path), Code::DrainLimit, message);
                (limit < route.deadline).then_some(finding)
            })),
            Err(error) => {
                let text = error.to_string();
                let first = text.lines().next().unwrap_or_default();
                findings.push(Finding::for_file(&display_path(path), Code::Settings, first));
            }
        }
    }
    findings
}

/// Prints findings to standard output, one per line.
pub fn print_findings(findings: &[Finding]) {
    for finding in findings {
        println!("{finding}");
    }
}

fn display_path(path: &Path) -> String {
    path.display().to_string()
}

fn read_file(path: &Path) -> Result<Vec<u8>, Finding> {
    fs::read(path).map_err(|error| {
        let message = error.to_string();
        Finding::for_file(&display_path(path), Code::Unreadable, message)
    })
}
