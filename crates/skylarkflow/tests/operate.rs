//! Operator commands, run as processes against an emulated platform.

use {
    skylarkflow_emulator::{fault::Faults, platform::Platform},
    skylarkflow_store::plan,
    std::{
        fs,
        io::{BufRead, BufReader, Write},
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Command, Output, Stdio},
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

const EXIT_FAILED: i32 = 1;
const EXIT_USAGE: i32 = 2;
const EXIT_CONFLICT: i32 = 3;

/// An operator's working directory with the tables of routes and pools, and the platform they are applied to.
struct Operator {
    directory: TempDir,
    platform_url: String,
}

/// Starts an emulated platform and returns it with its URL.
async fn start_platform() -> (Platform, String) {
    let platform = Platform::default();
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let address = platform.serve(any_port).await.expect("a free port");
    (platform, format!("http://{address}"))
}

impl Operator {
    /// Creates tables with the service `dispatch` and further services, each a name and the address of its upstream.
    fn new(platform_url: &str, slots: u32, other_services: &[(&str, &str)]) -> Operator {
        let directory = TempDir::new().expect("a temporary directory");
        let platform_url = platform_url.to_owned();
        let operator = Operator {
            directory,
            platform_url,
        };
        operator.write_tables(slots, other_services);
        operator
    }

    fn write_tables(&self, slots: u32, other_services: &[(&str, &str)]) {
        let mut routes = "routes:\n".to_owned();
        let mut pools = "pools:\n".to_owned();
        let services = [("dispatch", "10.0.1.1:5683")];
        for (index, (name, address)) in services.iter().chain(other_services).enumerate() {
            routes += &format!(
                "  - {{name: {name}, address: '10.0.0.1:{}', pool: {name}, deadline: 30s}}\n",
                7001 + index + name.len()
            );
            pools += &format!(
                "  - {{name: {name}, slots: {slots}, connections: 2000, \
                 upstreams: [{{name: one, address: '{address}', zone: a}}]}}\n"
            );
        }
        fs::write(self.path("routes.yaml"), routes).expect("a table");
        fs::write(self.path("pools.yaml"), pools).expect("a table");
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn table_command(&self, name: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_skylarkflow"));
        command.current_dir(self.directory.path()).arg(name);
        command.args(["--routes", "routes.yaml", "--pools", "pools.yaml"]);
        command
    }

    fn apply_command(&self) -> Command {
        let mut command = self.table_command("apply");
        command.args(["--platform", &self.platform_url]);
        command
    }
}

fn run(command: &mut Command) -> (i32, String) {
    let Output { status, stdout, .. } = command.output().expect("the binary starts");
    let text = String::from_utf8(stdout).expect("text");
    (status.code().expect("an exit code"), text)
}

fn run_skylarkflow(arguments: &[&str]) -> (i32, String) {
    run(Command::new(env!("CARGO_BIN_EXE_skylarkflow")).args(arguments))
}

/// Guards against a command whose help has no examples, and against exit code 1 for wrong arguments.
#[test]
fn help_has_examples_and_wrong_arguments_exit_with_the_usage_code() {
    for command in ["check", "apply", "status", "drain"] {
        let (code, text) = run_skylarkflow(&[command, "--help"]);
        assert_eq!(code, 0, "{text}");
        assert!(text.contains("Examples:"), "{text}");
        assert_eq!(run_skylarkflow(&[command, "--unknown"]).0, EXIT_USAGE);
    }
    assert_eq!(run_skylarkflow(&["status"]).0, EXIT_USAGE);
}

/// Guards against findings that are reported one at a time, and against a write in spite of them.
#[tokio::test(flavor = "multi_thread")]
async fn findings_are_reported_together_and_prevent_writes() {
    let (platform, platform_url) = start_platform().await;
    let operator = Operator::new(&platform_url, 0, &[("other", "10.0.1.1:5683")]);
    let expected = "pools.yaml:2:29: T012: `slots` must be 1 to 1024, not 0
pools.yaml:3:26: T012: `slots` must be 1 to 1024, not 0
pools.yaml:3:81: T011: 10.0.1.1:5683 is already in another pool on line 2
";
    assert_eq!(
        run(&mut operator.table_command("check")),
        (EXIT_USAGE, expected.to_owned())
    );
    assert_eq!(
        run(&mut operator.apply_command()),
        (EXIT_USAGE, expected.to_owned())
    );
    assert_eq!(platform.calls().writes, 0);
    fs::remove_file(operator.path("pools.yaml")).expect("a file");
    let (code, text) = run(operator.table_command("check").arg("--json"));
    assert_eq!(code, EXIT_USAGE);
    assert!(text.contains("T001"), "{text}");
}

/// Guards against a dry run that writes, and against a repeated apply of the same tables that writes again.
#[tokio::test(flavor = "multi_thread")]
async fn a_dry_run_and_a_repeated_apply_write_nothing() {
    let (platform, platform_url) = start_platform().await;
    let operator = Operator::new(&platform_url, 2, &[]);
    let (code, text) = run(operator.apply_command().arg("--dry-run"));
    let plan = "create pools/dispatch generation 1\ncreate routes/dispatch generation 1\n";
    assert_eq!((code, &*text), (0, plan));
    assert_eq!(platform.calls().writes, 0);
    let (code, text) = run(&mut operator.apply_command());
    assert_eq!(code, 0);
    assert_eq!(
        text,
        format!("{plan}2 written, 0 unchanged, 0 not written\n")
    );
    let (code, text) = run(&mut operator.apply_command());
    assert_eq!(
        (code, &*text),
        (0, "0 written, 2 unchanged, 0 not written\n")
    );
    assert_eq!(platform.calls().writes, 2);
}

/// Guards against a lost update when two operators read the same state before either writes. The delay of the platform
/// makes the two overlap.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_applies_gets_a_conflict() {
    let (platform, platform_url) = start_platform().await;
    let operators = [2, 3].map(|slots| Operator::new(&platform_url, slots, &[]));
    platform.set_faults(Faults {
        delay_ms: 500,
        ..Faults::default()
    });
    let children = operators.each_ref().map(|operator| {
        let mut command = operator.apply_command();
        command
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts")
    });
    let outputs = children.map(|child| child.wait_with_output().expect("the process ends"));
    let mut codes = outputs.each_ref().map(|output| output.status.code());
    let loser = usize::from(codes[0] == Some(0));
    let text = String::from_utf8_lossy(&outputs[loser].stdout);
    let (table_slots, store_slots) = (2 + loser, 3 - loser);
    let difference = format!("slots: table {table_slots}, store {store_slots}");
    assert!(text.contains(&difference), "{text}");
    codes.sort();
    assert_eq!(codes, [Some(0), Some(EXIT_CONFLICT)]);
    let pools = platform.list("pools/").objects;
    assert_eq!(pools[0].value["slots"], store_slots);
    assert_eq!(plan::generation(&pools[0].value), 1);
}

/// Guards against an edit that is reverted by the tables of an operator who has not seen it, whether that operator has
/// no recorded base or an older one.
#[tokio::test(flavor = "multi_thread")]
async fn an_apply_that_would_revert_an_unseen_edit_gets_a_conflict() {
    let (platform, platform_url) = start_platform().await;
    let first = Operator::new(&platform_url, 2, &[]);
    assert_eq!(run(&mut first.apply_command()).0, 0);
    let second = Operator::new(&platform_url, 3, &[]);
    let (code, text) = run(&mut second.apply_command());
    assert_eq!(code, EXIT_CONFLICT);
    assert!(text.contains("slots: table 3, store 2"), "{text}");
    assert!(text.contains("--replace pools/dispatch@1"), "{text}");
    assert_eq!(platform.calls().writes, 2);
    let (code, text) = run(second
        .apply_command()
        .args(["--replace", "pools/dispatch@1"]));
    assert_eq!(code, 0, "{text}");
    first.write_tables(4, &[]);
    assert_eq!(run(&mut first.apply_command()).0, EXIT_CONFLICT);
    second.write_tables(4, &[]);
    assert_eq!(run(&mut second.apply_command()).0, 0);
    let pools = platform.list("pools/").objects;
    assert_eq!(plan::generation(&pools[0].value), 3);
}

/// Guards against one upstream in two pools after concurrent edits that each add another pool with its address.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_applies_that_share_an_upstream_report_a_conflict() {
    let (platform, platform_url) = start_platform().await;
    let operators = ["left", "right-side"].map(|name| {
        let operator = Operator::new(&platform_url, 2, &[]);
        let routes = format!(
            "routes: [{{name: {name}, address: '10.0.0.{}:1', pool: {name}, deadline: 30s}}]",
            name.len()
        );
        let pools = format!(
            "pools: [{{name: {name}, slots: 2, connections: 9, \
             upstreams: [{{name: one, address: '10.0.1.1:1', zone: a}}]}}]"
        );
        fs::write(operator.path("routes.yaml"), routes).expect("a table");
        fs::write(operator.path("pools.yaml"), pools).expect("a table");
        operator
    });
    platform.set_faults(Faults {
        delay_ms: 500,
        ..Faults::default()
    });
    let children = operators.each_ref().map(|operator| {
        operator
            .apply_command()
            .stdout(Stdio::null())
            .spawn()
            .expect("the binary starts")
    });
    let codes = children.map(|mut child| child.wait().expect("the process ends").code());
    assert!(codes.contains(&Some(EXIT_CONFLICT)), "{codes:?}");
}

/// Guards against an apply that hangs while the store is down, and against one that cannot be repeated afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn an_apply_times_out_in_a_store_outage_and_can_be_repeated() {
    let (platform, platform_url) = start_platform().await;
    let operator = Operator::new(&platform_url, 2, &[("other", "10.0.1.2:5683")]);
    platform.set_faults(Faults {
        delay_ms: 200,
        ..Faults::default()
    });
    let mut command = operator.apply_command();
    command.args(["--timeout", "3s"]).stdout(Stdio::piped());
    let start = Instant::now();
    let child = command.spawn().expect("the binary starts");
    while platform.list("").objects.is_empty() {
        assert!(start.elapsed() < Duration::from_secs(20));
        thread::sleep(Duration::from_millis(10));
    }
    platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let output = child.wait_with_output().expect("the process ends");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(EXIT_FAILED));
    assert!(text.contains("not written: routes/other"), "{text}");
    assert!(start.elapsed() < Duration::from_secs(10));
    platform.set_faults(Faults::default());
    let (code, text) = run(&mut operator.apply_command());
    assert_eq!(code, 0, "{text}");
    let objects = platform.list("").objects;
    assert_eq!(objects.len(), 4);
    assert!(
        objects
            .iter()
            .all(|object| plan::generation(&object.value) == 1)
    );
}

/// Guards against an edit that balancers ignore because its generation is not above the one in force: restoring a
/// snapshot takes the generations in the store back.
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_after_a_snapshot_restore_gets_a_generation_above_the_one_in_force() {
    let (platform, platform_url) = start_platform().await;
    let operator = Operator::new(&platform_url, 2, &[]);
    assert_eq!(run(&mut operator.apply_command()).0, 0);
    let snapshot = platform.snapshot();
    operator.write_tables(3, &[]);
    assert_eq!(run(&mut operator.apply_command()).0, 0);
    platform.restore(snapshot);
    operator.write_tables(4, &[]);
    let balancer = serve_balancer_state(
        r#"{"name": "entry-1", "zone": "a", "uptime_ms": 1, "fence_held": true, "members": [], "routes": [],
        "drain": {"phase": "serving", "elapsed_ms": null, "limit_ms": 1}, "flows": 0, "counters": {}, "pools":
        [{"name": "dispatch", "generation": 6, "slots": 2, "connections": 2000, "upstreams": []}]}"#,
    );
    let (code, text) = run(operator
        .apply_command()
        .args(["--balancer", &balancer.to_string()]));
    assert_eq!(code, 0);
    assert!(
        text.contains("update pools/dispatch generation 7"),
        "{text}"
    );
    platform.restore(snapshot);
    operator.write_tables(5, &[]);
    // Without a balancer, the operator's recorded base gives the highest known generation.
    let (code, text) = run(&mut operator.apply_command());
    assert_eq!(code, 0);
    assert!(
        text.contains("update pools/dispatch generation 8"),
        "{text}"
    );
}

/// Serves an administration API that answers every request with `state`, and returns its address.
fn serve_balancer_state(state: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let reader = BufReader::new(stream.try_clone().expect("a second handle"));
            let mut lines = reader.lines().map_while(Result::ok);
            lines
                .by_ref()
                .take_while(|line| !line.is_empty())
                .for_each(drop);
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                state.len()
            );
            let _ = stream.write_all((head + state).as_bytes());
        }
    });
    address
}
