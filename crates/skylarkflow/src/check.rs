//! The `check` command.

use {
    crate::{
        command::{Failure, Result},
        tables,
    },
    argh::FromArgs,
    serde_json::json,
    skylarkflow_platform::check::Tables,
    std::path::PathBuf,
};

/// Check both tables and report all findings with file, line and column. Nothing is written.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "Check the tables of a deployment:\n$ {command_name} --routes routes.yaml --pools pools.yaml",
    example = "Give the findings to another program:\n$ {command_name} --routes routes.yaml --pools pools.yaml --json",
    error_code(2, "The tables have findings, or the arguments cannot be used.")
)]
pub struct Check {
    /// path of the table of routes
    #[argh(option)]
    routes: PathBuf,
    /// path of the table of pools
    #[argh(option)]
    pools: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Check {
    /// Runs the command.
    pub fn run(self) -> Result {
        let checked = tables::read(&self.routes, &self.pools);
        if self.json {
            let findings = checked.as_ref().err().map_or(&[][..], Vec::as_slice);
            println!("{}", json!({ "findings": findings }));
        }
        match checked {
            Ok(tables) if !self.json => summarize(&tables),
            Ok(_) => {}
            Err(findings) => {
                if !self.json {
                    tables::print(&findings);
                }
                return Err(Failure::findings(findings.len()));
            }
        }
        Ok(())
    }
}

fn summarize(tables: &Tables) {
    let upstreams = tables.pools.iter().map(|pool| pool.upstreams.len());
    println!(
        "{} routes, {} pools, {} upstreams: no findings",
        tables.routes.len(),
        tables.pools.len(),
        upstreams.sum::<usize>()
    );
}
