//! Starts the drain of a balancer and waits for its end.

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

/// Interval between two requests for the state of the balancer.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Consecutive requests without a valid response after which the process is taken to have ended.
const MAX_UNREACHABLE_POLLS: u32 = 3;

/// How the wait for the end of a drain ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The balancer has handed over its flows, has no requests in flight and gets no more datagrams from the fabric.
    #[display("drained")]
    Drained,
    /// The balancer no longer responds, so its process is taken to have ended.
    #[display("stopped")]
    Stopped,
    /// The balancer was still draining when the wait timed out.
    #[display("still draining")]
    Draining,
}

/// Starts the drain of a balancer and waits for its end, for at most `timeout`.
///
/// # Errors
///
/// Fails if the balancer refuses or does not respond to the request to drain, or refuses a request for its state. The
/// drain may have started nevertheless; calling this function again is safe.
pub async fn drain(client: &Client, timeout: Duration) -> Result<Outcome> {
    let end = Instant::now() + timeout;
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
