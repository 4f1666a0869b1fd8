//! Signal handling of a balancer process.

mod support;

use {
    skylarkflow_emulator::upstream::{Behaviour, Upstream},
    skylarkflow_operator::wire::Phase,
    std::{
        fs,
        net::UdpSocket,
        path::PathBuf,
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    support::{
        Process,
        site::{Options, Site, wait_until},
    },
    tempfile::TempDir,
};

/// Temporary directory of a balancer with its settings and its log.
struct BalancerDirectory {
    _directory: TempDir,
    log_path: PathBuf,
}

/// Starts a balancer that logs to a file in the given format.
fn start_balancer(format: &str) -> (BalancerDirectory, Process) {
    let scratch = TempDir::new().expect("a temporary directory");
    let log_path = scratch.path().join("log");
    let settings = scratch.path().join("settings.yaml");
    let text = format!(
        "drain: {{limit: 10s, quiet: 100ms}}\nlog: {{file: {}, format: {format}}}\n",
        log_path.display()
    );
    fs::write(&settings, text).expect("the settings are written");
    let settings = settings.to_str().expect("a path in UTF-8");
    let process = Process::start(&["run", "--settings", settings]);
    let directory = BalancerDirectory {
        _directory: scratch,
        log_path,
    };
    (directory, process)
}

/// Guards against a planned stop that exits with an error, or that does not write the last log lines before the exit.
#[test]
fn a_signal_drains_the_balancer_and_it_exits_with_code_0() {
    let (directory, mut process) = start_balancer("text");
    process.signal("TERM");
    assert_eq!(process.wait(), Some(0));
    let log = fs::read_to_string(&directory.log_path).expect("a log");
    for event in ["E1001", "E1002", "E1003", "E1005"] {
        assert!(log.contains(event), "{event} is missing in {log}");
    }
}

/// Guards against a second signal that is ignored while the balancer waits for a request in flight, whose upstream does
/// not respond within the test.
#[test]
fn a_second_signal_ends_the_process_at_once() {
    let mut site = Site::start(&Options {
        zones: vec!["tacoma"],
        behaviour: Behaviour {
            long_time: Duration::from_secs(60),
            ..Behaviour::default()
        },
        ..Options::default()
    });
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    // A confirmable GET for the path "long".
    let request = [&[0x40, 0x01, 0, 1, 0xb4][..], b"long"].concat();
    socket.send_to(&request, site.service).expect("a request");
    wait_until("the upstream runs the request", || {
        let ran_requests = |upstream: &Upstream| upstream.counters().ran.load(Ordering::Relaxed);
        site.upstreams.iter().map(ran_requests).sum::<u64>() == 1
    });
    site.balancers[0].signal("TERM");
    wait_until("the planned stop has started", || {
        site.state(0)
            .is_some_and(|state| state.drain.phase == Phase::Draining)
    });
    site.balancers[0].signal("TERM");
    let start = Instant::now();
    assert_eq!(site.balancers[0].wait(), Some(1));
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against JSON log lines that a log collector cannot parse or attribute to a balancer.
#[test]
fn every_json_log_line_is_an_object_with_a_balancer_name() {
    let (directory, mut process) = start_balancer("json");
    process.signal("INT");
    assert_eq!(process.wait(), Some(0));
    let log = fs::read_to_string(&directory.log_path).expect("a log");
    let lines: Vec<serde_json::Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).expect("an object"))
        .collect();
    let has = |event: &str| lines.iter().any(|line| line["event"] == event);
    assert!(has("E1001") && has("E1005"), "{log}");
    assert!(lines.iter().all(|line| line["balancer"] == "balancer"));
}
