//! Checks that the soak detects a balancer with an injected defect. The feature `planted` enables the injection.

use {
    skylarkflow_adapter_emulator::caller::Caller,
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
        process::{Child, Command, Output, Stdio},
        time::{Duration, Instant},
    },
    tokio::{runtime::Runtime, time},
};

/// Exit code of a process that ends because a thread has panicked.
const PANIC_EXIT_CODE: i32 = 101;

/// Timeout for a condition, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

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

/// Ends the process if the test fails.
struct Balancer(Child);

impl Drop for Balancer {
    fn drop(&mut self) {
        // Both fail if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a process that stays ready although the thread that handles packets has panicked.
#[test]
fn a_panic_in_one_thread_ends_the_process() {
    Runtime::new().expect("a runtime").block_on(async {
        let ip = Ipv4Addr::new(127, 55, 0, 1);
        let probe = UdpSocket::bind((ip, 0)).expect("a free port");
        let port = probe.local_addr().expect("an address").port();
        drop(probe);
        let folder = tempfile::tempdir().expect("a folder");
        let settings = folder.path().join("settings.yaml");
        let peers = port - 1;
        let text = format!(
            "name: b\nzone: a\ndatagrams: {ip}:{port}\nhttp: {ip}:{port}\nstore: {ip}:1\n\
             peers: {{first_port: {peers}, last_port: {peers}}}\nlog: {{output: stdout}}\n"
        );
        fs::write(&settings, text).expect("settings");
        let log = folder.path().join("log");
        let child = Command::new(env!("CARGO_BIN_EXE_skylarkflow"))
            .args(["steer", "--settings"])
            .arg(&settings)
            .env("SKYLARKFLOW_PLANTED", "panic")
            .stdout(fs::File::create(&log).expect("a log"))
            .stderr(Stdio::null())
            .spawn()
            .expect("a balancer");
        let mut balancer = Balancer(child);
        let caller = SocketAddrV4::new(Ipv4Addr::new(127, 55, 0, 3), port);
        let caller = Caller::new(caller).await.expect("a caller");
        let service = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
        let start = Instant::now();
        let status = loop {
            if let Some(status) = balancer.0.try_wait().expect("a status") {
                break status;
            }
            let is_in_time = start.elapsed() < TIMEOUT;
            assert!(is_in_time, "the process still runs after {TIMEOUT:?}");
            let open = caller.open(2_000, service, || SocketAddr::from((ip, port)));
            // The balancer answers nothing.
            let _ = time::timeout(Duration::from_millis(200), open).await;
        };
        assert_eq!(status.code(), Some(PANIC_EXIT_CODE));
        let log = fs::read_to_string(&log).expect("a log");
        assert!(log.contains("E1107"), "{log}");
        assert!(log.contains("balancer.rs"), "{log}");
    });
}
