//! Checks that the documented catalogues of events and metrics match the code.

mod support;

use {
    skylarkflow::{
        event,
        metrics::{COUNTERS, GAUGES, Metric},
    },
    std::collections::BTreeSet,
};

/// Returns the lines of a page that start with `prefix`.
fn table_rows(page: &str, prefix: &str) -> Vec<String> {
    let rows = page.lines().filter(|line| line.starts_with(prefix));
    rows.map(str::to_owned).collect()
}

/// Guards against an event that is missing from the catalogue or the code, or whose number, level, target or meaning
/// differs between them.
#[test]
fn the_catalogue_of_events_matches_the_code() {
    let expected: Vec<String> = event::ALL
        .iter()
        .map(|event| {
            let level = event.level.as_str().to_lowercase();
            let (code, target, meaning) = (event.code(), event.target, event.meaning);
            format!("| {code} | {level} | `{target}` | {meaning} |")
        })
        .collect();
    assert_eq!(
        table_rows(&support::read_docs_page("events.md"), "| E"),
        expected
    );
}

/// Guards against two events with the same number.
#[test]
fn event_numbers_are_unique() {
    let numbers: BTreeSet<u16> = event::ALL.iter().map(|event| event.number).collect();
    assert_eq!(numbers.len(), event::ALL.len());
}

/// Guards against a metric that is missing from the catalogue or the code, or whose name, kind, unit or meaning differs
/// between them.
#[test]
fn the_catalogue_of_metrics_matches_the_code() {
    let row = |kind: &str, metric: &Metric| {
        let Metric {
            name,
            unit,
            meaning,
        } = metric;
        format!("| `{name}` | {kind} | {unit} | {meaning} |")
    };
    let counters = COUNTERS.iter().map(|metric| row("counter", metric));
    let gauges = GAUGES.iter().map(|metric| row("gauge", metric));
    let expected: Vec<String> = counters.chain(gauges).collect();
    assert_eq!(
        table_rows(&support::read_docs_page("metrics.md"), "| `"),
        expected
    );
}
