//! A short seeded run of the fault soak, on real processes.

use std::process::Command;

/// Guards against a broken promise on the path through the users' platform: moved or reset flows, late or reverting
/// configurations, new flows to leaving upstreams, processes that do not end.
#[test]
fn a_short_soak_breaks_no_promise() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let program = env!("CARGO_BIN_EXE_skylarkflow");
    let output = Command::new(program)
        .args(["soak", "--seed", "3", "--for", "8", "--balancers", "4"])
        .arg("--folder")
        .arg(folder.path())
        .output()
        .expect("the soak runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
}
