//! Short seeded runs of the soak with balancer processes.

use std::process::Command;

fn assert_no_violation(seed: &str, seconds: &str, balancers: &str, options: &[&str]) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let program = env!("CARGO_BIN_EXE_skylarkflow");
    let output = Command::new(program)
        .args(["soak", "--seed", seed, "--for", seconds])
        .args(["--balancers", balancers, "--folder"])
        .arg(folder.path())
        .args(options)
        .output()
        .expect("the soak runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
}

/// Guards against violated guarantees under random faults: moved or reset flows, configurations that become active
/// late or are reverted, new flows to draining upstreams, processes that do not exit.
#[test]
fn a_short_soak_violates_no_guarantee() {
    assert_no_violation("3", "8", "4", &[]);
}

/// Guards against watches that wait on a connection that went silent behind a proxy which still answers keep-alive
/// probes: a configuration was not active after 3 s, and a draining upstream got new flows (seeds 202 and 206).
#[test]
fn silent_watches_delay_no_configuration() {
    assert_no_violation("202", "20", "6", &[]);
}

/// Guards against balancers that miss changes after the store was restored from an older copy, while other faults are
/// active.
#[test]
fn restores_of_the_store_violate_no_guarantee() {
    assert_no_violation("6", "10", "4", &["--restores"]);
}
