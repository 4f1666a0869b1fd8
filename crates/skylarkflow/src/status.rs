//! The `status` command.

use {
    crate::command::{CommandError, Result},
    argh::FromArgs,
    skylarkflow_operator::{client::Client, status},
    skylarkflow_store::plan::Generations,
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    tokio::runtime,
};

/// Show the active configuration of each balancer and mark the balancers that differ.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "Compare three balancers:\n$ {command_name} --balancer 10.0.0.11:9000 --balancer 10.0.0.12:9000 --balancer 10.0.0.13:9000",
    error_code(1, "A balancer did not answer or differs from the others.")
)]
pub struct Status {
    /// address of a balancer's administration API; repeatable
    #[argh(option)]
    balancer: Vec<SocketAddr>,
    /// path of the file with the token of the administration API
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Status {
    /// Runs the command.
    pub fn run(self) -> Result {
        if self.balancer.is_empty() {
            return Err(CommandError::invalid_arguments(
                "at least one --balancer is required",
            ));
        }
        let token = read_token(self.token_file.as_deref())?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let report = runtime.block_on(status::collect_report(create_clients(
            &self.balancer,
            token,
        )));
        if self.json {
            println!(
                "{}",
                serde_json::to_string(&report).map_err(CommandError::runtime)?
            );
        } else {
            print!("{report}");
        }
        if report.is_consistent() {
            return Ok(());
        }
        Err(CommandError::runtime(
            "some balancers differ or did not answer",
        ))
    }
}

/// Reads the token of the administration API from a file; `None` without a path.
pub fn read_token(path: Option<&Path>) -> std::result::Result<Option<String>, CommandError> {
    let Some(path) = path else { return Ok(None) };
    let text = fs::read_to_string(path).map_err(|error| {
        let text = format!("{}: {error}", path.display());
        CommandError::invalid_arguments(text)
    })?;
    Ok(Some(text.trim().to_owned()))
}

/// Queries balancers and returns the highest active generation of each entry.
///
/// # Errors
///
/// Fails if no balancer answers.
pub async fn active_generations(
    balancers: &[SocketAddr],
    token: Option<String>,
) -> std::result::Result<Generations, CommandError> {
    let report = status::collect_report(create_clients(balancers, token)).await;
    if report
        .balancers
        .iter()
        .all(|balancer| balancer.phase.is_none())
    {
        return Err(CommandError::runtime(
            "none of the given balancers answered",
        ));
    }
    Ok(report.generations())
}

fn create_clients(balancers: &[SocketAddr], token: Option<String>) -> Vec<Client> {
    let balancers = balancers.iter();
    balancers
        .map(|&address| Client::new(address, token.clone()))
        .collect()
}
