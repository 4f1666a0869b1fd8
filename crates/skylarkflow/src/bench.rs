//! Measurements of the product by itself.

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

/// Measure costs and their growth, and print a table.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "bench",
    example = "Measure lookup tables and keep the result as JSON:\n$ skylarkflow bench --json tables.json tables"
)]
pub struct Bench {
    /// path of a file that gets all measurements as JSON
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

/// Measure the control state machines against the number of members, objects and zones.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
struct Control {
    /// part to measure: nodes or objects; all by default
    #[argh(option)]
    part: Option<Part>,
}

/// Measure datagrams a second through ingress and owner against a bare relay with as many threads.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "datagrams")]
struct Datagrams {
    /// seconds of one measurement
    #[argh(option, default = "3")]
    seconds: u64,
    /// pairs of measurements
    #[argh(option, default = "3")]
    rounds: usize,
    /// threads that read each socket
    #[argh(option, default = "2")]
    workers: usize,
}

/// Measure the cost of an owner lookup and of a placement, and the memory of a flow entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "decisions")]
struct Decisions {}

/// Measure the cost of steering a packet by its cookie, and datagrams a second against a bare relay.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "steer")]
struct Steer {}

/// Measure the steps that a request takes through a balancer, without sockets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "steps")]
struct Steps {}

/// Measure lookup tables and the tables in force against their size.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tables")]
struct Tables {}

impl Bench {
    /// Runs the measurements.
    ///
    /// # Errors
    ///
    /// Fails if a balancer cannot start or the file cannot be written.
    pub fn run(self) -> Result {
        let figures = match self.subject {
            Subject::Control(Control { part }) => {
                return self.run_series(|report| bench_control::run(report, part));
            }
            Subject::Datagrams(datagrams) => datagrams.measure()?,
            Subject::Decisions(Decisions {}) => bench_decisions::measure(),
            Subject::Steer(Steer {}) => bench_steer::measure()?,
            Subject::Steps(Steps {}) => bench_steps::measure(),
            Subject::Tables(Tables {}) => return self.run_series(bench_tables::run),
        };
        bench_result::print(&figures);
        match &self.json {
            Some(path) => bench_result::save(&figures, path),
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
