//! Checks of the example tables and settings of two deployments.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

fn example_directory(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name)
}

/// Runs `skylarkflow check` on the tables and the settings of all entry VMs of a deployment. Returns the exit code, the
/// standard output and the number of settings files.
fn check_deployment(directory: &Path, pools: &Path) -> (Option<i32>, String, usize) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_skylarkflow"));
    command
        .arg("check")
        .arg("--routes")
        .arg(directory.join("routes.yaml"));
    command.arg("--pools").arg(pools);
    let entries = fs::read_dir(directory).expect("a directory");
    let mut settings: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .collect();
    let tables = ["routes.yaml", "pools.yaml"];
    settings.retain(|path| {
        path.extension().is_some_and(|text| text == "yaml")
            && !tables.iter().any(|table| path.ends_with(table))
    });
    for path in &settings {
        command.arg("--settings").arg(path);
    }
    let output = command.output().expect("the binary starts");
    let text = String::from_utf8(output.stdout).expect("text");
    (output.status.code(), text, settings.len())
}

fn check_example(name: &str) -> (String, usize) {
    let directory = example_directory(name);
    let (code, text, settings) = check_deployment(&directory, &directory.join("pools.yaml"));
    assert_eq!(code, Some(0), "{text}");
    (text, settings)
}

/// Guards against an example that an operator cannot use, and against numbers of routes, pools, upstreams and VMs other
/// than those of the design page.
#[test]
fn the_examples_have_no_findings() {
    let (text, settings) = check_example("cascade");
    assert_eq!(text, "2 routes, 2 pools, 18 upstreams: no findings\n");
    assert_eq!(settings, 9);
    let (text, settings) = check_example("verfkant");
    assert_eq!(text, "2 routes, 2 pools, 18 upstreams: no findings\n");
    assert_eq!(settings, 8);
}

/// Guards against pool sizes and limits in the examples that differ from those of the design page.
#[test]
fn the_pools_have_the_documented_sizes() {
    for (deployment, slots, large_pool, small_pool) in [
        ("cascade", 2, "dispatch", "manifests"),
        ("verfkant", 3, "siteline", "swatchbook"),
    ] {
        let text =
            fs::read_to_string(example_directory(deployment).join("pools.yaml")).expect("a table");
        let table: serde_json::Value = serde_saphyr::from_str(&text).expect("YAML");
        for (index, (name, upstreams)) in
            [(large_pool, 14), (small_pool, 4)].into_iter().enumerate()
        {
            let pool = &table["pools"][index];
            assert_eq!(pool["name"], name);
            assert_eq!(pool["slots"], slots);
            assert_eq!(pool["connections"], 2_000);
            assert_eq!(pool["upstreams"].as_array().map(Vec::len), Some(upstreams));
        }
    }
}

/// Guards against a planned stop that cuts requests short because `drain.limit` in the settings is below a deadline in
/// the tables, and against unusable settings that the check does not report.
#[test]
fn settings_that_are_invalid_or_contradict_the_tables_are_findings() {
    let scratch = tempfile::TempDir::new().expect("a temporary directory");
    let write = |name: &str, text: &str| {
        fs::write(scratch.path().join(name), text).expect("a file");
    };
    write(
        "routes.yaml",
        "routes: [{name: a, address: '10.0.0.1:7001', pool: a, deadline: 40s}]",
    );
    write(
        "pools.yaml",
        "pools: [{name: a, slots: 1, connections: 1, upstreams: [{name: u, address: '10.0.1.1:1', zone: z}]}]",
    );
    write("short.yaml", "drain: {limit: 39s}");
    write("wrong.yaml", "name: ''\nzone: ''");
    let (code, text, _) = check_deployment(scratch.path(), &scratch.path().join("pools.yaml"));
    assert_eq!(code, Some(2));
    assert_eq!(text.lines().count(), 2, "{text}");
    assert!(
        text.contains("short.yaml: T017: drain.limit 39s is below the deadline 40s"),
        "{text}"
    );
    assert!(
        text.contains(
            "wrong.yaml: T016: the settings are not usable: name: is empty; zone: is empty"
        ),
        "{text}"
    );
}
