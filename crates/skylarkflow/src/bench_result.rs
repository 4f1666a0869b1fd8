//! Single figures of a measurement with the bound or goal of the design page.

use {
    crate::command::Result,
    serde::Serialize,
    std::{fs, path::Path},
};

/// A figure.
#[derive(Clone, Debug, Serialize)]
pub struct BenchResult {
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

/// Prints figures as a table.
pub fn print(figures: &[BenchResult]) {
    println!("| measure | case | figure | unit | goal |");
    println!("| --- | --- | ---: | --- | --- |");
    for figure in figures {
        let BenchResult {
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

/// Writes figures as JSON.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn save(figures: &[BenchResult], path: &Path) -> Result {
    let json = serde_json::to_vec_pretty(figures).unwrap_or_default();
    Ok(fs::write(path, json)?)
}
