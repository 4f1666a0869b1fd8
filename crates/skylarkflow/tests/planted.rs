//! Checks that the soak detects a balancer with an injected defect. The feature `planted` enables the injection.

use std::process::{Command, Output};

/// Duration of the random faults where only the checks after the last of them detect the defect.
const SHORT_SECONDS: &str = "4";

/// Duration of the random faults where a check during them detects the defect; the soak ends as soon as one does.
const LONG_SECONDS: &str = "40";

fn run_soak(defect: &str, seconds: &str) -> Output {
    let folder = tempfile::tempdir().expect("a temporary folder");
    Command::new(env!("CARGO_BIN_EXE_skylarkflow"))
        .args(["soak", "--seed", "1", "--balancers", "3", "--for", seconds])
        .arg("--folder")
        .arg(folder.path())
        .env("SKYLARKFLOW_PLANTED", defect)
        .output()
        .expect("the soak runs")
}

fn assert_detected(defect: &str, seconds: &str, violation: &str) {
    let output = run_soak(defect, seconds);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success(),
        "{defect} was not detected: {errors}"
    );
    assert!(errors.contains(violation), "{errors}");
}

/// Guards against a check that misses flows whose packets reach another upstream than the one that accepted them.
#[test]
fn moved_flows_are_detected() {
    assert_detected("cookie", LONG_SECONDS, "violation: a flow");
}

/// Guards against a check that misses a balancer on which later configurations never become active.
#[test]
fn a_configuration_that_is_not_adopted_is_detected() {
    assert_detected(
        "configuration",
        SHORT_SECONDS,
        "after a configuration change; route expected:",
    );
}

/// Guards against a check that misses new flows to draining upstreams.
#[test]
fn an_ignored_drain_mark_is_detected() {
    assert_detected("drain", SHORT_SECONDS, "after it began to drain");
}

/// Guards against a check that misses resets of flows whose upstream is running, sent by balancers that have just
/// started and have no table yet.
#[test]
fn a_reset_before_the_first_table_is_detected() {
    assert_detected(
        "early-reset",
        LONG_SECONDS,
        "was reset although the upstream is running",
    );
}

/// Guards against a check that misses a balancer that reports to be ready after SIGTERM.
#[test]
fn a_stopping_balancer_that_stays_ready_is_detected() {
    assert_detected("readiness", LONG_SECONDS, "after SIGTERM");
}

/// Guards against a check that misses processes that do not exit within the grace period.
#[test]
fn a_balancer_that_does_not_exit_is_detected() {
    assert_detected("stop", LONG_SECONDS, "did not exit within");
}
