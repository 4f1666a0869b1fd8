//! The `emulate callers` command: a load generator.

use {
    crate::command::Result,
    argh::FromArgs,
    coap_lite::RequestType,
    skylarkflow_emulator::load_generator::{LoadGenerator, RequestKind, Settings},
    std::{net::SocketAddr, thread, time::Duration},
};

/// Send GET and POST requests to a service and print their outcomes and latencies.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "callers")]
pub struct CallersCommand {
    /// address of the service
    #[argh(option)]
    service: SocketAddr,
    /// number of flows, each with one request at a time
    #[argh(option, default = "100")]
    flows: usize,
    /// requests per second over all flows
    #[argh(option, default = "100.0")]
    rate: f64,
    /// time during which requests are sent, in seconds
    #[argh(option, default = "5")]
    seconds: u64,
    /// seed of the arrival times, request kinds and flows
    #[argh(option, default = "1")]
    seed: u64,
}

impl CallersCommand {
    /// Generates the load and prints the report.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be opened or a thread cannot be started.
    pub fn run(self) -> Result {
        let post = RequestKind {
            name: "post",
            method: RequestType::Post,
            path: "weights".to_owned(),
            ..RequestKind::default()
        };
        let load = LoadGenerator::start(Settings {
            service: self.service,
            flows: self.flows,
            rate: self.rate,
            mix: vec![RequestKind::default(), post],
            seed: self.seed,
            ..Settings::default()
        })?;
        thread::sleep(Duration::from_secs(self.seconds));
        let report = load.finish();
        println!("kind    arrived answered refused unknown   lost   median ms     99 % ms");
        for (name, tally) in &report.kinds {
            let millis = |quantile| tally.latency.value_at_quantile(quantile) as f64 / 1e3;
            println!(
                "{name:<7} {:>7} {:>8} {:>7} {:>7} {:>6} {:>11.1} {:>11.1}",
                tally.arrived,
                tally.answered,
                tally.refused,
                tally.unknown,
                tally.timed_out,
                millis(0.5),
                millis(0.99)
            );
        }
        println!(
            "flows that were answered by another upstream than before: {}",
            report.upstream_changes
        );
        Ok(())
    }
}
