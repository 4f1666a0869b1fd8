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

/// Stop one balancer as planned: its flows are handed over and the requests in flight finish.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "Drain a balancer before its VM is replaced:\n$ {command_name} --balancer 10.0.0.11:9000",
    note = "An upstream is drained in the table of pools, with `drain: true`.",
    error_code(
        1,
        "The balancer does not answer, or still drains at the end of the wait."
    )
)]
pub struct Drain {
    /// address of the balancer's administration API
    #[argh(option)]
    balancer: SocketAddr,
    /// path of a file with the token of the administration API
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// time to wait for the end, default 60s
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
            Outcome::Draining => Err(CommandError::runtime("the wait is over")),
        }
    }
}
