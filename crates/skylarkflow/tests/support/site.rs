//! Balancer processes with a platform, a fabric and upstreams that are emulated in the process of the test, so that the
//! test can change their behaviour and read what they have recorded.

use {
    crate::support::{CONDITION_TIMEOUT, POLL_INTERVAL, Process, put_new},
    serde_json::{Value, json},
    skylarkflow_emulator::{
        fabric::{self, Fabric, Target},
        platform::Platform,
        upstream::{self, Behaviour, Upstream},
    },
    skylarkflow_operator::wire::{Phase, State},
    std::{
        collections::BTreeMap,
        fs,
        net::SocketAddr,
        path::PathBuf,
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::runtime::Runtime,
};

/// Name of the service, its route and its pool.
pub const SERVICE: &str = "dispatch";

/// Limit on the lines that are printed of each balancer's log after a failure.
const MAX_PRINTED_LOG_LINES: usize = 400;

/// Options of a site.
pub struct Options {
    /// Zones of the balancers, one for each.
    pub zones: Vec<&'static str>,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Initial behaviour of the upstreams.
    pub behaviour: Behaviour,
    /// Additional lines of the settings of the balancers, in YAML.
    pub settings: String,
}

/// Balancer processes with an emulated platform, fabric and upstreams.
pub struct Site {
    pub runtime: Runtime,
    pub platform_url: String,
    pub fabric: Fabric,
    pub service: SocketAddr,
    pub upstreams: Vec<Upstream>,
    pub balancers: Vec<Process>,
    pub directory: TempDir,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            zones: vec!["tacoma"; 4],
            upstreams: 4,
            behaviour: Behaviour::default(),
            settings: String::new(),
        }
    }
}

impl Site {
    /// Starts a site and waits until every balancer serves and is ready.
    pub fn start(options: &Options) -> Site {
        let site = Site::start_without_waiting(options);
        site.wait_until_serving(options.zones.len());
        // The fabric delivers to a balancer again only after the next readiness check that succeeds.
        wait_until("the fabric delivers to every balancer", || {
            site.fabric.ready().len() == options.zones.len()
        });
        site
    }

    /// Starts a site without waiting until its balancers serve.
    pub fn start_without_waiting(options: &Options) -> Site {
        let runtime = Runtime::new().expect("a Tokio runtime");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::default();
        let address = runtime
            .block_on(platform.serve(any_port))
            .expect("a platform");
        let fabric = Fabric::start(fabric::Settings {
            services: vec![any_port],
            ..fabric::Settings::default()
        });
        let fabric = fabric.expect("a fabric");
        let mut site = Site {
            runtime,
            platform_url: format!("http://{address}"),
            service: fabric.services()[0],
            fabric,
            upstreams: Vec::new(),
            balancers: Vec::new(),
            directory: TempDir::new().expect("a temporary directory"),
        };
        site.start_upstreams(options);
        for (index, zone) in options.zones.iter().enumerate() {
            site.start_balancer(index, zone, &options.settings);
        }
        site.connect_fabric();
        site
    }

    fn start_upstreams(&mut self, options: &Options) {
        let start_upstream = |index| {
            let settings = upstream::Settings {
                name: format!("{SERVICE}-{index}"),
                service: SERVICE.to_owned(),
                behaviour: options.behaviour.clone(),
                ..upstream::Settings::default()
            };
            Upstream::start(settings).expect("an upstream")
        };
        self.upstreams = (0..options.upstreams).map(start_upstream).collect();
        let upstreams = self.upstreams.iter().enumerate().map(|(index, upstream)| {
            json!({
                "name": format!("{SERVICE}-{index}"), "address": upstream.address(),
                "zone": "tacoma", "weight": 1, "drain": false,
            })
        });
        let pool = json!({
            "name": SERVICE, "generation": 1, "slots": 2, "connections": 2000,
            "upstreams": upstreams.collect::<Vec<Value>>(),
        });
        let route = json!({
            "name": SERVICE, "generation": 1, "address": self.service, "pool": SERVICE,
            "deadline": "10s",
        });
        self.put_to_platform(&format!("objects/pools/{SERVICE}"), &pool);
        self.put_to_platform(&format!("objects/routes/{SERVICE}"), &route);
    }

    /// Starts a balancer and adds its VM to the platform.
    pub fn start_balancer(&mut self, index: usize, zone: &str, settings: &str) {
        let name = format!("entry-{index}");
        let path = self.directory.path().join(format!("{name}.yaml"));
        let platform_url = &self.platform_url;
        let log = self.log_path(index);
        let text = format!(
            "name: {name}\nzone: {zone}\nplatform: {platform_url}\nlog: {{file: {}}}\n{settings}",
            log.display()
        );
        fs::write(&path, text).expect("the settings are written");
        let settings_path = path.to_str().expect("a path in UTF-8");
        let process = Process::start(&["run", "--settings", settings_path]);
        let vm = json!({
            "name": name, "zone": zone, "role": "entry", "state": "live",
            "address": process.address("peer"),
        });
        self.put_to_platform(&format!("vms/{name}"), &vm);
        self.balancers.push(process);
    }

    /// Makes the fabric deliver to the balancers of the site that are ready.
    pub fn connect_fabric(&self) {
        let targets = self.balancers.iter().map(|balancer| Target {
            ingress: balancer.address("ingress"),
            admin: Some(balancer.address("admin")),
        });
        self.fabric.set_balancers(targets.collect());
    }

    /// Returns the path of a balancer's log.
    pub fn log_path(&self, index: usize) -> PathBuf {
        self.directory.path().join(format!("entry-{index}.log"))
    }

    /// Reads the state of a balancer; returns `None` if it does not answer.
    pub fn state(&self, index: usize) -> Option<State> {
        let admin = self.balancers[index].address("admin");
        self.runtime.block_on(async {
            let response = reqwest::get(format!("http://{admin}/v1/state"))
                .await
                .ok()?;
            response.json().await.ok()
        })
    }

    /// Waits until every balancer has at least `members` members alive, hears from a majority of its zone and
    /// serves, for which it needs the tables.
    pub fn wait_until_serving(&self, members: usize) {
        wait_until("every balancer serves", || {
            (0..self.balancers.len()).all(|index| {
                self.state(index).is_some_and(|state| {
                    state.fence_held
                        && count_alive_members(&state) >= members
                        && state.drain.phase == Phase::Serving
                })
            })
        });
        // A balancer is not ready while it starts, so the fabric delivers to it only after the next readiness check.
        wait_until("the fabric delivers to every balancer", || {
            self.fabric.ready().len() == self.balancers.len()
        });
    }

    /// Writes an object, which must not exist yet, or a VM record to the platform.
    pub fn put_to_platform(&self, path: &str, value: &Value) {
        let url = format!("{}/v1/{path}", self.platform_url);
        self.runtime.block_on(put_new(&url, value));
    }

    /// Returns how often each non-idempotent request ran on all upstreams together, keyed by its payload.
    pub fn executed(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for (payload, count) in self.upstreams.iter().flat_map(Upstream::executed) {
            let payload = String::from_utf8_lossy(&payload).into_owned();
            *counts.entry(payload).or_default() += count;
        }
        counts
    }
}

impl Drop for Site {
    /// Prints the logs of the balancers if the test failed, without the line for each opened flow (E2001).
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for index in 0..self.balancers.len() {
            let log = fs::read_to_string(self.log_path(index)).unwrap_or_default();
            let lines = log.lines().filter(|line| !line.contains(" E2001 "));
            for line in lines.take(MAX_PRINTED_LOG_LINES) {
                eprintln!("{line}");
            }
        }
    }
}

/// Returns the number of members that a balancer sees as alive.
pub fn count_alive_members(state: &State) -> usize {
    let members = state.members.iter();
    members.filter(|member| member.state == "alive").count()
}

/// Waits until a condition holds and returns how long that took.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while start.elapsed() < CONDITION_TIMEOUT {
        if condition() {
            return start.elapsed();
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("condition did not hold within {CONDITION_TIMEOUT:?}: {description}");
}
