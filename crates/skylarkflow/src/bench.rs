//! The `bench` command: measures the parts whose cost the design page bounds.

use {
    crate::{bench_datagrams, bench_decisions, bench_steps, command::Result},
    argh::FromArgs,
    serde::Serialize,
    std::{fs, path::PathBuf, time::Duration},
};

/// Measure datagrams a second against a bare relay, the cost of decisions and the memory of a flow.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    /// file that gets the figures as JSON
    #[argh(option, default = "PathBuf::from(\"bench.json\")")]
    json: PathBuf,
    /// seconds of one measurement of datagrams
    #[argh(option, default = "3")]
    seconds: u64,
    /// pairs of measurements of datagrams
    #[argh(option, default = "3")]
    rounds: usize,
    /// threads that read each socket
    #[argh(option, default = "2")]
    workers: usize,
    /// only the parts whose name contains this text
    #[argh(option, default = "String::new()")]
    only: String,
}

/// A figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: &'static str,
    /// Sizes under which it was measured.
    pub case: String,
    /// The figure.
    pub value: f64,
    /// Unit of the figure.
    pub unit: &'static str,
    /// Bound or goal of the design page.
    pub goal: Option<&'static str>,
}

impl Bench {
    /// Runs the measurements, prints a table and writes JSON.
    ///
    /// # Errors
    ///
    /// Fails if a balancer cannot start or the file cannot be written.
    pub fn run(self) -> Result {
        let mut figures = Vec::new();
        if "decisions".contains(&self.only) {
            figures.extend(bench_decisions::measure());
        }
        if "steps".contains(&self.only) {
            figures.extend(bench_steps::measure());
        }
        if "datagrams".contains(&self.only) {
            figures.extend(bench_datagrams::measure(&bench_datagrams::Settings {
                time: Duration::from_secs(self.seconds),
                rounds: self.rounds,
                workers: self.workers,
            })?);
        }
        print(&figures);
        fs::write(
            &self.json,
            serde_json::to_vec_pretty(&figures).unwrap_or_default(),
        )?;
        Ok(())
    }
}

fn print(figures: &[Figure]) {
    println!("| measure | case | figure | unit | goal |");
    println!("| --- | --- | ---: | --- | --- |");
    for figure in figures {
        let Figure {
            name,
            case,
            value,
            unit,
            goal,
        } = figure;
        let goal = goal.unwrap_or_default();
        println!("| {name} | {case} | {value:.2} | {unit} | {goal} |");
    }
}
