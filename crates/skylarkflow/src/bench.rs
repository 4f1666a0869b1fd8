//! The `bench` command: measures the parts of the balancer within this process.

use {
    crate::{
        bench_control,
        bench_control::Part,
        bench_datagrams, bench_decisions,
        bench_result::{self, BenchResult},
        bench_series::Report,
        bench_steer, bench_steps, bench_tables,
        command::Result,
    },
    argh::FromArgs,
    std::{io, path::PathBuf, time::Duration},
};

/// Measure the costs of parts of a balancer and how they grow, and print the results.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "bench",
    example = "Measure lookup tables and keep the result as JSON:\n$ skylarkflow bench --json tables.json tables"
)]
pub struct Bench {
    /// path of the file to write all measurements to, as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    #[argh(subcommand)]
    subject: Subject,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subject {
    Control(Control),
    Datagrams(Datagrams),
    Decisions(Decisions),
    Steer(Steer),
    Steps(Steps),
    Tables(Tables),
}

/// Measure the control plane of a balancer against the number of members and configuration objects.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
struct Control {
    /// part to measure: nodes or objects; both by default
    #[argh(option)]
    part: Option<Part>,
}

/// Measure the datagrams per second through ingress and owner against a plain UDP relay with as many threads.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "datagrams")]
struct Datagrams {
    /// duration of one measurement in seconds
    #[argh(option, default = "3")]
    seconds: u64,
    /// rounds, each with one measurement of the relay and one of the balancers
    #[argh(option, default = "3")]
    rounds: usize,
    /// threads that read from each socket
    #[argh(option, default = "2")]
    workers: usize,
}

/// Measure the time of an owner lookup and of the placement of a flow, and the memory of a flow entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "decisions")]
struct Decisions {}

/// Measure the time to steer a packet by its cookie, and the datagrams per second against a plain UDP relay.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "steer")]
struct Steer {}

/// Measure the processing steps of a request in a balancer, without sockets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "steps")]
struct Steps {}

/// Measure lookup tables and the active configuration against their size.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tables")]
struct Tables {}

impl Bench {
    /// Runs the measurements.
    ///
    /// # Errors
    ///
    /// Fails if a balancer cannot be started or the file cannot be written.
    pub fn run(self) -> Result {
        let results = match self.subject {
            Subject::Control(Control { part }) => {
                return self.run_series(|report| bench_control::run(report, part));
            }
            Subject::Datagrams(datagrams) => datagrams.measure()?,
            Subject::Decisions(Decisions {}) => bench_decisions::measure(),
            Subject::Steer(Steer {}) => bench_steer::measure()?,
            Subject::Steps(Steps {}) => bench_steps::measure(),
            Subject::Tables(Tables {}) => return self.run_series(bench_tables::run),
        };
        bench_result::print(&results);
        match &self.json {
            Some(path) => bench_result::save(&results, path),
            None => Ok(()),
        }
    }

    fn run_series(&self, measure: impl FnOnce(&mut Report)) -> Result {
        let mut report = Report::default();
        measure(&mut report);
        if let Some(path) = &self.json {
            report.save(path)?;
        }
        Ok(())
    }
}

impl Datagrams {
    fn measure(&self) -> io::Result<Vec<BenchResult>> {
        bench_datagrams::measure(&bench_datagrams::Settings {
            time: Duration::from_secs(self.seconds),
            rounds: self.rounds,
            workers: self.workers,
        })
    }
}
