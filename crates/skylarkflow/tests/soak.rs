//! Short seeded runs of the fault soak, on real processes.

use std::process::Command;

fn soak(seed: &str, seconds: &str, balancers: &str) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let program = env!("CARGO_BIN_EXE_skylarkflow");
    let output = Command::new(program)
        .args(["soak", "--seed", seed, "--for", seconds])
        .args(["--balancers", balancers, "--folder"])
        .arg(folder.path())
        .output()
        .expect("the soak runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
}

/// Guards against a broken promise on the path through the users' platform: moved or reset flows, late or reverting
/// configurations, new flows to leaving upstreams, processes that do not end.
#[test]
fn a_short_soak_breaks_no_promise() {
    soak("3", "8", "4");
}

/// Guards against watches on connections that went silent behind a proxy which still answered keep-alive probes: a
/// configuration was not in force after 3 s, and a leaving upstream got new flows (seeds 202 and 206).
#[test]
fn silent_watches_delay_no_configuration() {
    soak("202", "20", "6");
}
