//! Measurements of the product by itself.

use {
    crate::{bench_tables, command::Result, measure::Report},
    argh::FromArgs,
    std::path::PathBuf,
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
    Tables(Tables),
}

/// Measure lookup tables and the tables in force against their size.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tables")]
struct Tables {}

impl Bench {
    /// Runs the measurements.
    pub fn run(self) -> Result {
        let mut report = Report::default();
        match self.subject {
            Subject::Tables(Tables {}) => bench_tables::run(&mut report),
        }
        if let Some(path) = self.json {
            report.save(&path)?;
        }
        Ok(())
    }
}
