//! Settings of a balancer: defaults, findings, exit codes and documentation.

mod support;

use {
    skylarkflow::{
        settings::{self, Admin, Drain, Limits, Settings, Workers},
        steer_settings,
    },
    skylarkflow_steering::admission,
    std::{fs, net::UdpSocket, process::Command, time::Duration},
    tempfile::TempDir,
};

/// Returns the names of the settings that have findings.
fn finding_fields(settings: &Settings) -> Vec<&'static str> {
    let findings = settings::check(settings);
    findings.iter().map(|finding| finding.field).collect()
}

/// Runs a balancer with these settings; returns its exit code and what it wrote to standard error.
fn run_balancer(text: &str) -> (Option<i32>, String) {
    let directory = TempDir::new().expect("a temporary directory");
    let path = directory.path().join("settings.yaml");
    fs::write(&path, text).expect("the settings are written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_skylarkflow"));
    let output = command.arg("run").arg("--settings").arg(&path).output();
    let output = output.expect("the binary starts");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), stderr)
}

/// Guards against default settings that the check rejects.
#[test]
fn the_defaults_have_no_findings() {
    assert_eq!(finding_fields(&Settings::default()), Vec::<&str>::new());
}

/// Guards against a check that stops at the first finding, so that an operator has to correct one at a time.
#[test]
fn all_findings_are_reported_together() {
    let settings = Settings {
        name: String::new(),
        zones: vec!["salem".to_owned()],
        platform: "https://platform".to_owned(),
        workers: Workers {
            ingress: 0,
            ..Workers::default()
        },
        limits: Limits {
            links: 0,
            datagram_bytes: 70_000,
            ..Limits::default()
        },
        drain: Drain {
            quiet: Duration::from_secs(60),
            ..Drain::default()
        },
        admin: Admin {
            address: ([10, 0, 0, 1], 80).into(),
            ..Admin::default()
        },
        ..Settings::default()
    };
    let expected = [
        "name",
        "zones",
        "platform",
        "workers.ingress",
        "limits.datagram_bytes",
        "limits.links",
        "admin.token",
        "drain.quiet",
    ];
    assert_eq!(finding_fields(&settings), expected);
}

/// Guards against an administration API that listens beyond loopback without a token.
#[test]
fn a_public_administration_address_needs_a_token() {
    let (code, stderr) = run_balancer("admin:\n  address: 0.0.0.0:0\n");
    assert_eq!(code, Some(2));
    assert!(stderr.contains("admin.token"), "{stderr}");
}

/// Guards against a misspelt setting that is ignored, and against an error without its line.
#[test]
fn an_unknown_setting_is_refused_with_its_line() {
    let (code, stderr) = run_balancer("name: entry-1\nlimits:\n  datagram_byte: 1000\n");
    assert_eq!(code, Some(2));
    assert!(stderr.contains("datagram_byte"), "{stderr}");
    assert!(stderr.contains("line 3"), "{stderr}");
}

/// Guards against a balancer that starts although its ingress address is in use, or fails without naming the address.
#[test]
fn an_ingress_address_in_use_is_named_in_the_error() {
    let bound_socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let address = bound_socket.local_addr().expect("an address");
    let (code, stderr) = run_balancer(&format!("ingress: {address}\n"));
    assert_eq!(code, Some(2));
    assert!(
        stderr.contains(&format!("cannot bind ingress {address}")),
        "{stderr}"
    );
}

/// Guards against a setting that is missing from the documentation.
#[test]
fn every_setting_is_documented() {
    let page = support::read_docs_page("settings.md");
    let names = [
        "name",
        "zone",
        "zones",
        "ingress",
        "peer",
        "platform",
        "workers.ingress",
        "workers.peer",
        "workers.upstream",
        "limits.datagram_bytes",
        "limits.control_bytes",
        "limits.link_bytes",
        "limits.link_queue",
        "limits.links",
        "limits.control_queue",
        "limits.flows",
        "limits.flow_idle",
        "limits.cache_bytes",
        "limits.socket_bytes",
        "drain.limit",
        "drain.quiet",
        "admin.address",
        "admin.token",
        "admin.connections",
        "log.format",
        "log.file",
        "log.level",
        "log.targets",
        "log.queue",
        "metrics.statsd",
        "metrics.prefix",
        "metrics.interval",
    ];
    for name in names {
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
    }
}

/// Guards against a steering balancer that refuses flows without being asked to, or that ignores the setting.
#[test]
fn admission_of_a_steering_balancer_is_off_unless_it_is_set() {
    let directory = TempDir::new().expect("a temporary directory");
    let path = directory.path().join("steer.yaml");
    let read = |text: &str| {
        fs::write(&path, text).expect("the settings are written");
        let settings = steer_settings::from_path(&path).expect("valid settings");
        settings.admission()
    };
    assert_eq!(read("zone: a\n"), None);
    assert_eq!(read("load:\n  admission: none\n"), None);
    let adaptive = read("load:\n  admission: adaptive\n");
    assert_eq!(adaptive, Some(admission::Settings::default()));
}
