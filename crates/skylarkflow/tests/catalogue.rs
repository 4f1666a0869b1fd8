//! The catalogues of events and metrics against the code.

mod support;

use {
    skylarkflow::{
        event,
        metrics::{COUNTERS, GAUGES, Metric},
    },
    std::collections::BTreeSet,
};

fn table_rows(page: &str, prefix: &str) -> Vec<String> {
    let rows = page.lines().filter(|line| line.starts_with(prefix));
    rows.map(str::to_owned).collect()
}

/// Guards against an event whose number, level, target or meaning differs from the catalogue, in either direction.
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

/// Guards against a number that two events share.
#[test]
fn event_numbers_are_unique() {
    let numbers: BTreeSet<u16> = event::ALL.iter().map(|event| event.number).collect();
    assert_eq!(numbers.len(), event::ALL.len());
}

/// Guards against a metric whose name, unit or meaning differs from the catalogue, in either direction.
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
