//! The fault soak on balancers with planted faults, each of which it has to find.

use std::process::{Command, Output};

/// Seconds of faults where only the checks after the last fault find the planted one.
const SHORT: &str = "4";

/// Seconds of faults in which the planted one shows; the soak ends as soon as it does.
const LONG: &str = "40";

fn soak(fault: &str, seconds: &str) -> Output {
    let folder = tempfile::tempdir().expect("a temporary folder");
    Command::new(env!("CARGO_BIN_EXE_skylarkflow"))
        .args(["soak", "--seed", "1", "--balancers", "3", "--for", seconds])
        .arg("--folder")
        .arg(folder.path())
        .env("SKYLARKFLOW_PLANTED", fault)
        .output()
        .expect("the soak runs")
}

fn assert_found(fault: &str, seconds: &str, finding: &str) {
    let output = soak(fault, seconds);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{fault} was not found: {errors}");
    assert!(errors.contains(finding), "{errors}");
}

/// Guards against a check that misses flows which change their upstream.
#[test]
fn moved_flows_are_found() {
    assert_found("cookie", LONG, "broken: a flow");
}

/// Guards against a check that misses configurations which never come into force.
#[test]
fn a_configuration_that_is_not_adopted_is_found() {
    assert_found("configuration", SHORT, "after a change, route:");
}

/// Guards against a check that misses new flows to leaving upstreams.
#[test]
fn an_ignored_drain_mark_is_found() {
    assert_found("drain", SHORT, "after it began to drain");
}

/// Guards against a check that misses resets of flows whose upstream lives, by balancers that have just started.
#[test]
fn a_reset_before_the_first_table_is_found() {
    assert_found("early-reset", LONG, "was reset while it lives");
}

/// Guards against a check that misses a readiness which does not follow the facts.
#[test]
fn a_stopping_balancer_that_stays_ready_is_found() {
    assert_found("readiness", LONG, "after the signal to stop");
}

/// Guards against a check that misses processes which do not end within the grace.
#[test]
fn a_balancer_that_does_not_exit_is_found() {
    assert_found("stop", LONG, "did not end in");
}
