//! Operator commands against several balancer processes.

mod support;

use {
    serde_json::Value,
    std::{
        fs,
        path::Path,
        process::Command,
        time::{Duration, Instant},
    },
    support::site::{Options, SERVICE, Site, wait_until},
};

/// Time within which every balancer must have adopted a changed configuration.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

fn run_command(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_skylarkflow"));
    let output = command.args(arguments).output().expect("the binary starts");
    let text = String::from_utf8(output.stdout).expect("text");
    (output.status.code(), text)
}

fn start_site() -> Site {
    Site::start(&Options {
        zones: vec!["tacoma", "tacoma", "salem"],
        settings: "drain: {limit: 20s, quiet: 500ms}\n".to_owned(),
        ..Options::default()
    })
}

/// Writes route and pool tables with the service and the upstreams of the site.
fn write_tables(site: &Site, directory: &Path, slots: u32) {
    let routes = format!(
        "routes: [{{name: {SERVICE}, address: '{}', pool: {SERVICE}, deadline: 10s}}]",
        site.service
    );
    let mut pools = format!(
        "pools:\n  - name: {SERVICE}\n    slots: {slots}\n    connections: 2000\n    upstreams:\n"
    );
    for (index, upstream) in site.upstreams.iter().enumerate() {
        let address = upstream.address();
        pools +=
            &format!("      - {{name: {SERVICE}-{index}, address: '{address}', zone: tacoma}}\n");
    }
    fs::write(directory.join("routes.yaml"), routes).expect("a table");
    fs::write(directory.join("pools.yaml"), pools).expect("a table");
}

fn apply_tables(site: &Site, directory: &Path, extra_arguments: &[&str]) -> (Option<i32>, String) {
    let path = |name| directory.join(name).display().to_string();
    let (routes, pools) = (path("routes.yaml"), path("pools.yaml"));
    let tables = ["apply", "--routes", &routes, "--pools", &pools];
    let platform = ["--platform", &site.platform_url];
    run_command(&[&tables[..], &platform, extra_arguments].concat())
}

fn read_status(site: &Site) -> (Option<i32>, Value) {
    let balancers = site.balancers.iter();
    let addresses: Vec<String> = balancers
        .map(|balancer| balancer.address("admin").to_string())
        .collect();
    let mut arguments = vec!["status", "--json"];
    for address in &addresses {
        arguments.extend(["--balancer", address]);
    }
    let (code, text) = run_command(&arguments);
    (code, serde_json::from_str(&text).expect("JSON"))
}

/// Guards against an edit that reaches only some balancers, and against a status report without its generation.
#[test]
fn an_edit_is_in_force_on_every_balancer_and_status_shows_it() {
    let site = start_site();
    let directory = tempfile::TempDir::new().expect("a temporary directory");
    write_tables(&site, directory.path(), 5);
    let key = format!("pools/{SERVICE}");
    let replace = ["--replace", &format!("{key}@1")];
    let (code, text) = apply_tables(&site, directory.path(), &replace);
    assert_eq!(code, Some(0), "{text}");
    let start = Instant::now();
    wait_until("every balancer has adopted the edit", || {
        let (code, report) = read_status(&site);
        let balancers = report["balancers"].as_array().expect("a list");
        let mut generations = balancers.iter().map(|row| &row["generations"][&key]);
        code == Some(0) && generations.all(|generation| generation == 2)
    });
    let elapsed = start.elapsed();
    assert!(elapsed < PROPAGATION_LIMIT, "{elapsed:?}");
}

/// Guards against a `drain --wait` that returns before the balancer has exited or not at all, and against a status
/// report that takes the balancer for reachable afterwards.
#[test]
fn a_drained_balancer_exits_and_status_reports_it_as_unreachable() {
    let mut site = start_site();
    wait_until("all balancers report the same configuration", || {
        read_status(&site).0 == Some(0)
    });
    let address = site.balancers[1].address("admin").to_string();
    let (code, text) = run_command(&["drain", "--balancer", &address, "--wait", "20s"]);
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(site.balancers[1].wait(), Some(0));
    let (code, report) = read_status(&site);
    assert_eq!(code, Some(1));
    let unreachable = report["balancers"].as_array().expect("a list").iter();
    let unreachable: Vec<&Value> = unreachable.filter(|row| row["phase"].is_null()).collect();
    assert_eq!(unreachable.len(), 1);
    assert_eq!(unreachable[0]["address"], *address);
    let (code, _) = run_command(&["drain", "--balancer", &address]);
    assert_eq!(code, Some(1));
}
