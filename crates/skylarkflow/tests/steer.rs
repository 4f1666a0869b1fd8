//! Tests of the `steer` command with an emulated store, upstream and caller: malformed input, changed and invalid
//! settings, crashed upstreams.

mod support;

use {
    axum::{extract::Query, http::Uri},
    serde::Deserialize,
    skylarkflow_adapter_emulator::{
        caller::Outcome,
        store::{Fault, Store},
        upstream::Upstream,
    },
    skylarkflow_peer::tables,
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr, UdpSocket},
        process::Command,
        time::{Duration, Instant},
    },
    support::steering::{
        SERVICE, TIMEOUT, new_caller, read_log, settings_yaml, start_balancer, start_site,
        wait_for_answer, wait_for_event,
    },
    tokio::{runtime::Runtime, time},
};

/// Guards against a panic or an interruption of service after malformed datagrams and malformed objects of the store.
#[test]
fn malformed_input_does_not_interrupt_service() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site(51).await;
        let caller = new_caller(&site, 51).await;
        assert_eq!(wait_for_answer(&site, &caller, 2_000).await, 7);
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        for length in [0, 1, 30, 31, 32, 1_300, 9_000] {
            for byte in [0, 0x10, 0xff] {
                socket
                    .send_to(&vec![byte; length], site.address)
                    .expect("sent");
            }
        }
        for spec in ["null", "[1]", "{\"Zone\": 3}", "\"\u{fffd}\""] {
            let spec = serde_json::from_str(spec).expect("JSON");
            site.store.put("servers", "i-zz", spec);
        }
        site.store
            .put("config", "main", serde_json::json!({"Version": "x"}));
        wait_for_event(&site, "E2104").await;
        wait_for_event(&site, "E5105").await;
        assert_eq!(wait_for_answer(&site, &caller, 2_001).await, 7);
    });
}

/// Guards against changed settings that only take effect after a restart or a signal, and against invalid ones that
/// stop the process.
#[test]
fn changed_settings_apply_without_a_signal() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site(52).await;
        let caller = new_caller(&site, 52).await;
        assert_eq!(wait_for_answer(&site, &caller, 2_000).await, 7);
        fs::write(&site.settings, "name: [").expect("written");
        wait_for_event(&site, "E1106").await;
        let other = Store::start().await.expect("another store");
        let ip = Ipv4Addr::new(127, 52, 0, 1);
        fs::write(&site.settings, settings_yaml(ip, site.port, other.address)).expect("written");
        wait_for_event(&site, "E1105").await;
        let start = Instant::now();
        while other.calls() == 0 {
            assert!(
                start.elapsed() < TIMEOUT,
                "the new store got no call within {TIMEOUT:?}"
            );
            time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(wait_for_answer(&site, &caller, 2_001).await, 7);
    });
}

/// Guards against a caller that waits until its deadline for an upstream that has crashed: its flow has to be reset
/// earlier.
#[test]
fn flows_of_a_crashed_upstream_are_reset() {
    Runtime::new().expect("a runtime").block_on(async {
        let mut site = start_site(53).await;
        let caller = new_caller(&site, 53).await;
        let start = Instant::now();
        let mut flow = loop {
            if let Ok(flow) = caller.open(2_000, SERVICE, || site.address).await {
                break flow;
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "no flow opened within {TIMEOUT:?}"
            );
        };
        let first = caller.request(&mut flow, b"one", || site.address).await;
        assert_eq!(first, Outcome::Answered(7));
        let address = SocketAddr::from((Ipv4Addr::new(127, 53, 0, 9), 0));
        site.upstream = Upstream::start(8, address, site.port)
            .await
            .expect("another upstream");
        let outcome = caller.request(&mut flow, b"two", || site.address).await;
        assert_eq!(outcome, Outcome::Reset);
    });
}

/// Guards against a balancer that tells callers that no upstream takes flows while it knows the routes but has not read the
/// upstreams yet.
#[test]
fn flows_are_not_reset_before_the_upstreams_are_known() {
    Runtime::new().expect("a runtime").block_on(async {
        let mut site = start_site(61).await;
        let caller = new_caller(&site, 61).await;
        assert_eq!(wait_for_answer(&site, &caller, 2_000).await, 7);
        site.store.set_fault(Fault::RefuseKind("servers"));
        site.balancer.kill().expect("killed");
        site.balancer.wait().expect("ended");
        site.balancer = start_balancer(&site.settings);
        let start = Instant::now();
        while read_log(&site).matches("E5101").count() < 2 {
            assert!(
                start.elapsed() < TIMEOUT,
                "no configuration within {TIMEOUT:?}"
            );
            time::sleep(Duration::from_millis(10)).await;
        }
        let store = &site.store;
        let recover = async {
            time::sleep(Duration::from_millis(150)).await;
            store.set_fault(Fault::None);
        };
        let open = caller.open(2_001, SERVICE, || site.address);
        let (flow, ()) = tokio::join!(open, recover);
        assert!(flow.is_ok(), "the flow was not opened");
        assert!(
            !read_log(&site).contains("NoUpstream"),
            "a caller got a reset"
        );
    });
}

#[derive(Deserialize)]
struct EarlierTablesQuery {
    version: u64,
    revision: u64,
}

/// Guards against balancers that get no tables from each other while a release is rolled out: those of earlier versions
/// neither send nor know the epoch of the store.
#[test]
fn tables_are_exchanged_across_versions() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site(60).await;
        let caller = new_caller(&site, 60).await;
        assert_eq!(wait_for_answer(&site, &caller, 2_000).await, 7);
        let peers = SocketAddr::new(site.address.ip(), site.port - 1);
        let earlier = format!("http://{peers}/tables?version=0&revision=0");
        let response = reqwest::get(earlier).await.expect("a response");
        let bytes = response.bytes().await.expect("a body");
        let tables = tables::from_slice(&bytes).expect("tables");
        assert_eq!(tables.config.expect("a configuration").version, 1);
        assert_eq!(tables.upstreams.changes.len(), 1);
    });
    let current = Uri::from_static("http://10.0.0.1/tables?version=3&revision=7&epoch=2");
    let Query(read) = Query::<EarlierTablesQuery>::try_from_uri(&current).expect("a query");
    assert_eq!((read.version, read.revision), (3, 7));
}

/// Guards against a check that accepts invalid settings or only reports the first of several findings.
#[test]
fn every_finding_in_the_settings_is_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.yaml");
    let text = "name: ''\nzone: ''\npeers: {first_port: 9, last_port: 8}\nbounds: {grace_seconds: 0, evacuate_ms: 0}\n";
    fs::write(&path, text).expect("settings");
    let output = Command::new(env!("CARGO_BIN_EXE_skylarkflow"))
        .args(["steer", "--check", "--settings"])
        .arg(&path)
        .output()
        .expect("the command runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    for field in [
        "name",
        "zone",
        "peers.first_port",
        "bounds.grace_seconds",
        "bounds.evacuate_ms",
    ] {
        assert!(errors.contains(field), "{field} in {errors}");
    }
}

/// Guards against a bound of cold upstreams that is half stated or out of range, and is then not in force although the
/// operator relies on it.
#[test]
fn invalid_bounds_of_cold_upstreams_are_reported() {
    let cases = [
        ("warmup_excess: 1.5", "bounds.warmup_slack"),
        ("warmup_slack: 5", "bounds.warmup_excess"),
        ("warmup_excess: -1, warmup_slack: 5", "bounds.warmup_excess"),
        (
            "warmup_excess: .nan, warmup_slack: 5",
            "bounds.warmup_excess",
        ),
        (
            "warmup_excess: 1.5, warmup_slack: .inf",
            "bounds.warmup_slack",
        ),
    ];
    for (bounds, field) in cases {
        let (code, errors) = check_settings(&format!("bounds: {{{bounds}}}\n"));
        assert_eq!(code, Some(2), "{bounds}: {errors}");
        assert!(errors.contains(field), "{field} in {errors}");
    }
    let (code, errors) = check_settings("bounds: {warmup_excess: 1.5, warmup_slack: 5}\n");
    assert_eq!(code, Some(0), "{errors}");
}

/// Optional bounds in the template of the settings.
const OPTIONAL_BOUNDS: [&str; 3] = ["evacuate_ms", "warmup_excess", "warmup_slack"];

/// Returns the template of the settings with a plausible value in place of each tag, and `bound` in place of those of the
/// optional bounds.
fn rendered_template(bound: Option<&str>) -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/settings.yaml");
    let template = fs::read_to_string(path).expect("the template");
    let render = |line: &str| {
        let is_optional = OPTIONAL_BOUNDS.iter().any(|name| line.contains(name));
        match (is_optional, bound) {
            (true, None) => line.to_owned(),
            (true, Some(bound)) => replace_tag(line, bound),
            (false, _) => render_line(line),
        }
    };
    template.lines().map(render).collect::<Vec<_>>().join("\n")
}

fn replace_tag(line: &str, value: &str) -> String {
    let (before, rest) = line.split_once("{{").expect("a tag");
    let (_, after) = rest.split_once("}}").expect("the end of the tag");
    [before, value, after].concat()
}

/// Replaces the tag of a line: by a number, or between quotes by an address.
fn render_line(line: &str) -> String {
    if !line.contains("{{") {
        return line.to_owned();
    }
    let value = match (line.contains("\"{{"), line.contains("}}:")) {
        (true, true) => "127.0.0.1",
        (true, false) => "127.0.0.1:7200",
        (false, _) => "5",
    };
    replace_tag(line, value)
}

/// Guards against a template of the settings that is no valid file if the platform states the optional bounds, if it does
/// not, or if a program renders it that does not know them.
#[test]
fn the_template_of_the_settings_is_valid_with_and_without_bounds() {
    for bound in [Some("5"), Some(""), None] {
        let text = rendered_template(bound);
        let (code, errors) = check_settings(&text);
        assert_eq!(code, Some(0), "{errors} in {text}");
    }
    let (code, errors) = check_settings(&rendered_template(Some("-1")));
    assert_eq!(code, Some(2), "{errors}");
    for name in [
        "bounds.evacuate_ms",
        "bounds.warmup_excess",
        "bounds.warmup_slack",
    ] {
        assert!(errors.contains(name), "{name} in {errors}");
    }
}

/// Checks settings; returns the exit code and the findings.
fn check_settings(text: &str) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.yaml");
    fs::write(&path, text).expect("settings");
    let output = Command::new(env!("CARGO_BIN_EXE_skylarkflow"))
        .args(["steer", "--check", "--settings"])
        .arg(&path)
        .output()
        .expect("the command runs");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), errors)
}
