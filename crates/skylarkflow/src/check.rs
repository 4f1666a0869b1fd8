//! The `check` command.

use {
    crate::{
        command::{CommandError, Result},
        table_files,
    },
    argh::FromArgs,
    serde_json::json,
    skylarkflow_store::check::Tables,
    std::path::PathBuf,
};

/// Check both tables and the settings of balancers, and report all findings with file, line and column. Nothing is
/// written.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "Check the tables of a deployment:\n$ {command_name} --routes routes.yaml --pools pools.yaml",
    example = "Check the settings of two balancers as well:\n$ {command_name} --routes routes.yaml --pools pools.yaml --settings tacoma-1.yaml --settings salem-1.yaml",
    example = "Give the findings to another program:\n$ {command_name} --routes routes.yaml --pools pools.yaml --json",
    error_code(
        2,
        "The tables or settings have findings, or the arguments are invalid."
    )
)]
pub struct Check {
    /// path of the table of routes
    #[argh(option)]
    routes: PathBuf,
    /// path of the table of pools
    #[argh(option)]
    pools: PathBuf,
    /// path of a balancer's settings file to check as well; repeatable
    #[argh(option)]
    settings: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Check {
    /// Runs the command.
    pub fn run(self) -> Result {
        let checked = table_files::read_and_check(&self.routes, &self.pools);
        let mut findings = table_files::check_settings(&self.settings, checked.as_ref().ok());
        match checked {
            Ok(tables) if findings.is_empty() && !self.json => print_summary(&tables),
            Ok(_) => {}
            Err(more) => findings.extend(more),
        }
        if self.json {
            println!("{}", json!({ "findings": findings }));
        } else {
            table_files::print_findings(&findings);
        }
        if findings.is_empty() {
            return Ok(());
        }
        Err(CommandError::findings(findings.len()))
    }
}

fn print_summary(tables: &Tables) {
    let upstreams = tables.pools.iter().map(|pool| pool.upstreams.len());
    println!(
        "{} routes, {} pools, {} upstreams: no findings",
        tables.routes.len(),
        tables.pools.len(),
        upstreams.sum::<usize>()
    );
}
