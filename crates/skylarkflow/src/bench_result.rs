//! Results of single measurements, with the goal that each is compared to.

use {
    crate::command::Result,
    serde::Serialize,
    std::{fs, path::Path},
};

/// Result of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct BenchResult {
    /// What was measured.
    pub name: &'static str,
    /// Sizes and conditions of the measurement.
    pub case: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Goal of the design page for the value.
    pub goal: Option<&'static str>,
}

/// Prints results as a Markdown table.
pub fn print(results: &[BenchResult]) {
    println!("| measure | case | figure | unit | goal |");
    println!("| --- | --- | ---: | --- | --- |");
    for result in results {
        let BenchResult {
            name,
            case,
            value,
            unit,
            goal,
        } = result;
        let goal = goal.unwrap_or_default();
        println!("| {name} | {case} | {value:.2} | {unit} | {goal} |");
    }
}

/// Writes results as JSON.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn save(results: &[BenchResult], path: &Path) -> Result {
    let json = serde_json::to_vec_pretty(results).unwrap_or_default();
    Ok(fs::write(path, json)?)
}
