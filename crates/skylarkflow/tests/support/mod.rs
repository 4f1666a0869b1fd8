//! Processes under test, which are killed when dropped.

// Each test target uses only a part of this module.
#![allow(dead_code)]

pub mod site;
pub mod steering;

use {
    coap_lite::{MessageClass, Packet, RequestType, ResponseType},
    reqwest::{Client, header::IF_MATCH},
    serde_json::{Value, json},
    skylarkflow_emulator::caller::Caller,
    std::{
        fs,
        io::{BufRead, BufReader},
        net::SocketAddr,
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Generous time limit for a condition to hold.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Consecutive responses after which a deployment counts as started.
const REQUIRED_RESPONSES: u32 = 40;

/// Interval at which a condition is checked.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process that has printed its addresses; it is killed when dropped.
pub struct Process {
    child: Child,
    /// The JSON object with its addresses that the process has printed.
    pub addresses: Value,
}

/// A platform, balancers, a fabric and an upstream for each service, all of them separate processes.
pub struct Deployment {
    _processes: Vec<Process>,
    pub services: Vec<SocketAddr>,
    _directory: TempDir,
}

impl Process {
    /// Starts the `skylarkflow` binary and waits until it has printed its addresses.
    pub fn start(arguments: &[&str]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_skylarkflow"));
        let mut child = command
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is a pipe");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the process prints its addresses");
        let addresses = serde_json::from_str(&line).expect("the addresses are JSON");
        Process { child, addresses }
    }

    /// Returns the address that the process has printed under this name.
    pub fn address(&self, name: &str) -> SocketAddr {
        let text = self.addresses[name].as_str().expect("an address");
        text.parse().expect("an address and port")
    }
}

impl Process {
    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.expect("kill starts").success());
    }

    /// Waits until the process ends and returns its exit code, or `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the status of the process can be read")
            {
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("the process has not ended within {CONDITION_TIMEOUT:?}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Deployment {
    /// Starts `balancers` balancers in two zones and one upstream for each service.
    pub async fn start(services: &[&str], balancers: usize) -> Deployment {
        let directory = TempDir::new().expect("a temporary directory");
        let platform = Process::start(&["emulate", "platform", "--address", "127.0.0.1:0"]);
        let base = format!("http://{}", platform.address("address"));
        let mut processes = vec![platform];
        let mut arguments = vec!["emulate".to_owned(), "fabric".to_owned()];
        for index in 0..balancers {
            let path = directory.path().join(format!("entry-{index}.yaml"));
            let zone = ["tacoma", "salem"][index % 2];
            let text = format!(
                "name: entry-{index}\nzone: {zone}\nplatform: {base}\nlog: {{level: warn}}\n"
            );
            fs::write(&path, text).expect("the settings are written");
            let settings = path.to_str().expect("a path in UTF-8");
            let balancer = Process::start(&["run", "--settings", settings]);
            let vm = json!({
                "name": format!("entry-{index}"), "zone": zone, "role": "entry",
                "state": "live", "address": balancer.address("peer"),
            });
            put_new(&format!("{base}/v1/vms/entry-{index}"), &vm).await;
            arguments.extend([
                "--balancer".to_owned(),
                balancer.address("ingress").to_string(),
            ]);
            processes.push(balancer);
        }
        for _ in services {
            arguments.extend(["--service".to_owned(), "127.0.0.1:0".to_owned()]);
        }
        let arguments: Vec<&str> = arguments.iter().map(|argument| &**argument).collect();
        let fabric = Process::start(&arguments);
        let addresses: Vec<SocketAddr> =
            serde_json::from_value(fabric.addresses["services"].clone()).expect("addresses");
        processes.push(fabric);
        for (service, address) in services.iter().zip(&addresses) {
            processes.push(start_upstream(&base, service, *address).await);
        }
        Deployment {
            _processes: processes,
            services: addresses,
            _directory: directory,
        }
    }
}

/// Starts an upstream and writes the pool and the route of its service.
async fn start_upstream(base: &str, service: &str, address: SocketAddr) -> Process {
    let name = format!("{service}-1");
    let arguments = ["emulate", "upstream", "--address", "127.0.0.1:0"];
    let identity = ["--name", &name, "--service", service];
    let upstream = Process::start(&[&arguments[..], &identity[..]].concat());
    let pool = json!({
        "name": service, "generation": 1, "slots": 2, "connections": 2000,
        "upstreams": [{
            "name": name, "address": upstream.address("address"), "zone": "tacoma",
            "weight": 1, "drain": false,
        }],
    });
    let route = json!({
        "name": service, "generation": 1, "address": address, "pool": service, "deadline": "10s",
    });
    put_new(&format!("{base}/v1/objects/pools/{service}"), &pool).await;
    put_new(&format!("{base}/v1/objects/routes/{service}"), &route).await;
    upstream
}

/// Writes an object, which must not exist yet, or a VM record.
pub async fn put_new(url: &str, value: &Value) {
    let request = Client::new().put(url).header(IF_MATCH, "\"0\"").json(value);
    let response = request.send().await.expect("the platform answers");
    assert!(
        response.status().is_success(),
        "{url}: {}",
        response.status()
    );
}

/// Reads a page of the documentation in `docs`.
pub fn read_docs_page(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(&path).expect("the page exists")
}

/// Repeats a POST request on new flows until several in a row have run, so that every balancer has members, tables and
/// the contact with a majority of its zone that non-idempotent requests need. Returns the caller of the last request.
pub fn wait_until_answered(service: SocketAddr) -> Caller {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let mut consecutive = 0;
    while Instant::now() < deadline {
        let mut caller = Caller::new(service).expect("a socket");
        let timeout = Duration::from_millis(200);
        let response = caller.request(RequestType::Post, "ready", timeout);
        let has_run = |response: &Packet| {
            response.header.code == MessageClass::Response(ResponseType::Created)
        };
        if response.is_ok_and(|response| has_run(&response)) {
            consecutive += 1;
        } else {
            consecutive = 0;
            thread::sleep(POLL_INTERVAL);
        }
        if consecutive == REQUIRED_RESPONSES {
            return caller;
        }
    }
    panic!("fewer than {REQUIRED_RESPONSES} consecutive responses within {CONDITION_TIMEOUT:?}");
}
