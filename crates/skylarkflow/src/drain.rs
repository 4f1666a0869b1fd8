//! The `drain` command.

use {
    crate::{
        apply::duration,
        command::{CommandError, Result},
        status,
    },
    argh::FromArgs,
    serde_json::json,
    skylarkflow_operator::{
        client::Client,
        drain::{self, Outcome},
    },
    std::{net::SocketAddr, path::PathBuf, time::Duration},
    tokio::runtime,
};

/// Drain and stop one balancer: it hands its flows over and finishes the requests in flight.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "Drain a balancer before its VM is replaced:\n$ {command_name} --balancer 10.0.0.11:9000",
    note = "To drain an upstream, set `drain: true` in the table of pools.",
    error_code(
        1,
        "The balancer does not answer, or is still draining when the wait ends."
    )
)]
pub struct Drain {
    /// address of the balancer's administration API
    #[argh(option)]
    balancer: SocketAddr,
    /// path of a file with the token of the administration API
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// longest wait for the end of the drain, default 60s
    #[argh(option, default = "Duration::from_secs(60)", from_str_fn(duration))]
    wait: Duration,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Drain {
    /// Runs the command.
    pub fn run(self) -> Result {
        let token = status::read_token(self.token_file.as_deref())?;
        let client = Client::new(self.balancer, token);
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let outcome = runtime.block_on(drain::drain(&client, self.wait));
        let outcome = outcome.map_err(CommandError::runtime)?;
        if self.json {
            let report = json!({ "balancer": self.balancer, "outcome": outcome });
            println!("{report}");
        } else {
            println!("{} {outcome}", self.balancer);
        }
        match outcome {
            Outcome::Drained | Outcome::Stopped => Ok(()),
            Outcome::Draining => {
                let wait = humantime::format_duration(self.wait);
                Err(CommandError::runtime(format!(
                    "the balancer is still draining after {wait}"
                )))
            }
        }
    }
}
