//! The operator's two tables as files.

use {
    skylarkflow_platform::{
        check::{self, Tables},
        finding::{Code, Finding},
        table::{Pools, Routes},
    },
    std::{fs, path::Path},
};

/// Reads and checks both tables.
pub fn read(routes: &Path, pools: &Path) -> Result<Tables, Vec<Finding>> {
    let (routes_file, pools_file) = (name(routes), name(pools));
    match (read_file(routes), read_file(pools)) {
        (Ok(routes), Ok(pools)) => {
            let routes = Routes::from_slice(&routes_file, &routes);
            let pools = Pools::from_slice(&pools_file, &pools);
            check::check(&routes, &pools)
        }
        (routes, pools) => Err(routes.err().into_iter().chain(pools.err()).collect()),
    }
}

/// Prints findings to standard output, one a line.
pub fn print(findings: &[Finding]) {
    for finding in findings {
        println!("{finding}");
    }
}

fn name(path: &Path) -> String {
    path.display().to_string()
}

fn read_file(path: &Path) -> Result<Vec<u8>, Finding> {
    fs::read(path).map_err(|error| Finding {
        file: name(path),
        line: 0,
        column: 0,
        code: Code::Unreadable,
        message: error.to_string(),
    })
}
