//! Planned stop of one balancer.

use {
    crate::{
        client::Client,
        error::{Category, Result},
        wire::{Drain, Phase},
    },
    derive_more::Display,
    serde::Serialize,
    std::time::Duration,
    tokio::time::{self, Instant},
};

/// Time between two looks at the balancer.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Looks without an answer after which the process counts as ended.
const MAX_UNREACHABLE_POLLS: u32 = 3;

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The balancer has nothing left to do.
    #[display("drained")]
    Drained,
    /// The balancer answers no more, so the process has ended.
    #[display("stopped")]
    Stopped,
    /// The balancer still drains at the end of the wait.
    #[display("still draining")]
    Draining,
}

/// Starts the planned stop of a balancer and waits for its end, at most for `wait`.
///
/// # Errors
///
/// Fails if the balancer does not take the order. The order may then have taken effect all the same; a repetition does
/// no harm.
pub async fn drain(client: &Client, wait: Duration) -> Result<Outcome> {
    let end = Instant::now() + wait;
    let mut phase = client.drain().await?.phase;
    let mut unreachable = 0;
    loop {
        if phase == Phase::Drained {
            return Ok(Outcome::Drained);
        }
        if unreachable == MAX_UNREACHABLE_POLLS {
            return Ok(Outcome::Stopped);
        }
        if Instant::now() >= end {
            return Ok(Outcome::Draining);
        }
        time::sleep(POLL_INTERVAL).await;
        match client.state().await {
            Ok(state) => {
                let Drain { phase: current, .. } = state.drain;
                (phase, unreachable) = (current, 0);
            }
            Err(error) if error.category() == Category::Unreachable => unreachable += 1,
            Err(error) => return Err(error),
        }
    }
}
