//! A small deployment of three zones: the store, the endpoints, the daemons as separate processes, routers and clients.

use {
    crate::{
        client::{Client, End, Front, Routers},
        endpoint::Endpoint,
        record::Record,
        store::Store,
    },
    std::{
        collections::HashMap,
        fs::{self, File},
        net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

pub const ZONES: [&str; 3] = ["tacoma", "salem", "spokane"];
/// Machines in each zone, as on the smallest site.
const MACHINES: [usize; 3] = [3, 3, 2];
const GRACE: Duration = Duration::from_secs(6);

struct Daemon {
    name: String,
    settings: PathBuf,
    child: Option<Child>,
    /// Spans of disruptions: from a signal to the start or the next signal.
    disturbed: Vec<(Instant, Option<Instant>)>,
}

/// A request that ended.
#[derive(Clone, Debug)]
pub struct Done {
    pub sent: Instant,
    pub method: &'static str,
    pub attempt: String,
    pub end: End,
}

/// A flow that was open and ended without the client.
#[derive(Clone, Debug)]
pub struct Broken {
    pub at: Instant,
    pub opened: Instant,
    pub source: SocketAddrV4,
    pub route: SocketAddrV4,
    pub end: End,
    /// Number of requests that were answered on it; if there was one, the endpoint had the end of the handshake.
    pub answered: u32,
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub endpoints: Vec<Arc<Endpoint>>,
    pub clients: Vec<Arc<Client>>,
    pub routers: Arc<Routers>,
    daemons: Vec<Daemon>,
    folder: PathBuf,
    program: Vec<String>,
    octet: u8,
    pub done: Arc<Mutex<Vec<Done>>>,
    pub broken: Arc<Mutex<Vec<Broken>>>,
    stop: Arc<AtomicBool>,
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

impl Site {
    /// Starts the platform and the endpoints; the daemons are not running yet.
    ///
    /// The services have the given numbers of endpoints in each zone.
    pub fn new(record: &Arc<Record>, folder: PathBuf, counts: [[usize; 3]; 2]) -> Site {
        let octet = free_network();
        let port = 10_000 + (std::process::id() % 4_000) as u16 * 4;
        let at = |third: u8, fourth: usize, port: u16| {
            SocketAddrV4::new(Ipv4Addr::new(127, octet, third, fourth as u8 + 1), port)
        };
        let store = Store::start(at(250, 0, port + 2));
        let system = fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let run = system.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run line");
        let program = run.trim_end_matches('"').split(' ').map(str::to_owned).collect();
        let template = fs::read_to_string("deploy/settings.yaml").expect("the template of the settings");
        let (mut daemons, mut fronts) = (Vec::new(), Vec::new());
        for (zone_at, zone) in ZONES.iter().enumerate() {
            for index in 0..MACHINES[zone_at] {
                let (datagrams, readiness) = (at(zone_at as u8, index, port), at(zone_at as u8, index, port + 1));
                let name = format!("front-{zone}-{}", index + 1);
                let text = render(
                    &template,
                    &[
                        ("NodeName", name.clone()),
                        ("Zone", (*zone).to_owned()),
                        ("Ip", datagrams.ip().to_string()),
                        ("Listen.DatagramAddr", datagrams.to_string()),
                        ("Listen.ReadinessAddr", readiness.to_string()),
                        ("platform.Address", store.address.to_string()),
                        ("PortRange.0", "7720".to_owned()),
                        ("PortRange.1", "7735".to_owned()),
                        ("Bounds.FlowMaxS", "60".to_owned()),
                        ("Bounds.GraceS", "6".to_owned()),
                    ],
                );
                // For the study of a run; the template sets no level.
                let level = std::env::var("LOG_LEVEL").map_or(String::new(), |level| format!("\n  level: {level}\n"));
                let text = text.trim_end().to_owned() + &level;
                let settings = folder.join(format!("{name}.yaml"));
                fs::write(&settings, text).expect("the settings can be written");
                daemons.push(Daemon { name, settings, child: None, disturbed: Vec::new() });
                fronts.push(Front::new(zone, datagrams, readiness));
            }
        }
        let mut endpoints = Vec::new();
        for (service, counts, work) in [("dispatch", counts[0], 26), ("manifests", counts[1], 5)] {
            for (zone_at, zone) in ZONES.iter().enumerate() {
                for _ in 0..counts[zone_at] {
                    let address = at(100 + (endpoints.len() / 250) as u8, endpoints.len() % 250, port + 3);
                    let work = Duration::from_millis(work);
                    let id = crate::random();
                    endpoints.push(Endpoint::start(&store, record, id, service, zone, address, port, work));
                }
            }
        }
        let routers = Routers::start(fronts);
        let mut clients = Vec::new();
        for (zone_at, zone) in ZONES.iter().enumerate() {
            for index in 0..4 {
                let address = at(200 + zone_at as u8, index, port);
                clients.push(Client::start(zone, address, &routers, record));
            }
        }
        Site {
            record: Arc::clone(record),
            store,
            endpoints,
            clients,
            routers,
            daemons,
            folder,
            program,
            octet,
            done: Arc::default(),
            broken: Arc::default(),
            stop: Arc::default(),
        }
    }

    /// Returns the address of a route.
    pub fn route(&self, index: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.octet, 240, index), 443)
    }

    /// Writes a configuration with routes to services and returns the time of the acknowledgement.
    pub fn configure(&self, version: u64, routes: &[(u8, &str)]) -> Instant {
        let rows: Vec<String> = routes
            .iter()
            .map(|(index, service)| {
                format!(
                    "{{\"Name\":\"r-{index}\",\"Host\":\"{}\",\"PathPrefix\":\"/443/\",\"Type\":\"idempotent\",\
                     \"Service\":\"{service}\",\"TimeoutMs\":3000,\"TargetLatencyMs\":150,\"MaxAttempts\":1,\"Priority\":2}}",
                    self.route(*index).ip()
                )
            })
            .collect();
        let services: Vec<String> = ["dispatch", "manifests"]
            .iter()
            .map(|name| format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":2000}}"))
            .collect();
        let spec = format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"IdleTimeoutMs\":12000}}}}",
            rows.join(","),
            services.join(",")
        );
        let at = self.store.put("config", "main", &spec);
        self.record.tell(&format!("the store acknowledged configuration {version} with routes {routes:?}"));
        at
    }

    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    pub fn start_daemon(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{}.log", daemon.name)));
        let log = log.expect("a log file");
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .env("SKYLARKFLOW_NODE_FILE", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.record.line(&format!("started {} as process {}", daemon.name, child.id()));
                daemon.child = Some(child);
                self.disturb(index, false);
            }
            Err(error) => {
                self.record.tell(&format!("{} does not start: {error}", daemon.name));
                self.end(2);
            }
        }
    }

    pub fn start_all(&mut self) {
        (0..self.daemons.len()).for_each(|index| self.start_daemon(index));
    }

    /// Waits until all daemons are in rotation; the case cannot run if they are not.
    pub fn wait_ready(&mut self, limit: Duration) {
        let start = Instant::now();
        while !self.routers.fronts.iter().all(Front::is_in_rotation) {
            if start.elapsed() > limit {
                self.record.tell("not all daemons are ready: the case cannot run");
                self.end(2);
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.tell("all daemons are ready");
    }

    /// Returns whether the process of a machine ran, without a start or a signal, for `contact` before a moment.
    pub fn in_touch(&self, machine: SocketAddr, at: Instant, contact: Duration) -> bool {
        let index = self.routers.fronts.iter().position(|front| SocketAddr::from(front.datagrams) == machine);
        let disturbed = &self.daemons[index.expect("a machine of the site")].disturbed;
        !disturbed.iter().any(|&(from, to)| from <= at && to.is_none_or(|to| at < to + contact))
    }

    /// Records that a disruption of a machine begins, or ends.
    fn disturb(&mut self, index: usize, begins: bool) {
        let (now, disturbed) = (Instant::now(), &mut self.daemons[index].disturbed);
        match disturbed.last_mut() {
            Some((_, to)) if to.is_none() => *to = (!begins).then_some(now),
            _ => disturbed.push((now, (!begins).then_some(now))),
        }
    }

    /// Returns the peak of the resident memory of each daemon in kB.
    pub fn peaks(&self) -> Vec<u64> {
        let peak = |daemon: &Daemon| {
            let status = fs::read_to_string(format!("/proc/{}/status", daemon.child.as_ref()?.id())).ok()?;
            let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
            line.trim().trim_end_matches(" kB").parse().ok()
        };
        self.daemons.iter().filter_map(peak).collect()
    }

    /// Kills a daemon's process.
    pub fn kill(&mut self, index: usize) {
        self.disturb(index, true);
        if let Some(mut child) = self.daemons[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("killed {}", self.daemons[index].name));
        }
    }

    pub fn kill_all(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(child) = &mut daemon.child {
                let _ = child.kill();
            }
        }
        (0..self.daemons.len()).for_each(|index| self.kill(index));
        self.record.tell("killed all daemons");
    }

    pub fn signal(&mut self, index: usize, signal: &str) {
        self.disturb(index, signal != "-CONT");
        if let Some(child) = &self.daemons[index].child {
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
            self.record.line(&format!("sent {signal} to {}", self.daemons[index].name));
        }
    }

    /// Stops daemons with SIGTERM and starts each again.
    pub fn roll(&mut self, indices: &[usize]) {
        indices.iter().for_each(|&index| self.signal(index, "-TERM"));
        self.start_again(indices);
    }

    /// Starts the given daemons again that have ended.
    pub fn start_ended(&mut self, indices: &[usize]) {
        for &index in indices {
            let child = &mut self.daemons[index].child;
            if child.as_mut().is_none_or(|child| child.try_wait().ok().flatten().is_some()) {
                self.start_daemon(index);
            }
        }
    }

    /// Starts daemons again that have got SIGTERM, as soon as they have ended; after the grace period with SIGKILL.
    pub fn start_again(&mut self, indices: &[usize]) {
        let start = Instant::now();
        let pids = |site: &Site| -> Vec<Option<u32>> {
            indices.iter().map(|&index| site.daemons[index].child.as_ref().map(Child::id)).collect()
        };
        let before = pids(self);
        let stopped = |site: &Site, at: usize| site.daemons[indices[at]].disturbed.last().is_some_and(|(_, to)| to.is_none());
        while (0..indices.len()).any(|at| pids(self)[at] == before[at] && stopped(self, at)) {
            thread::sleep(Duration::from_millis(20));
            if start.elapsed() > GRACE {
                for at in 0..indices.len() {
                    if stopped(self, at) {
                        self.kill(indices[at]);
                    }
                }
            }
            self.start_ended(indices);
        }
    }

    /// Starts callers: each client machine has `flows` long flows to a route and sends requests on them.
    pub fn start_callers(&self, route: SocketAddrV4, flows: usize, pause: Duration) {
        for client in &self.clients {
            for _ in 0..flows {
                let (client, done, broken) = (Arc::clone(client), Arc::clone(&self.done), Arc::clone(&self.broken));
                let stop = Arc::clone(&self.stop);
                thread::spawn(move || call(&client, route, pause, &done, &broken, &stop));
            }
        }
    }

    pub fn stop_callers(&self) {
        self.stop.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(1_500));
    }

    /// Returns the endpoints that took the opening packet of a client's flow.
    pub fn endpoints_of(&self, source: SocketAddrV4) -> Vec<&Arc<Endpoint>> {
        let took = |endpoint: &&Arc<Endpoint>| {
            endpoint.openings.lock().unwrap().iter().any(|opening| opening.client == source)
        };
        self.endpoints.iter().filter(took).collect()
    }

    /// Returns how often each attempt ran.
    pub fn runs(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for endpoint in &self.endpoints {
            for (attempt, count) in endpoint.runs.lock().unwrap().iter() {
                *runs.entry(attempt.clone()).or_default() += count;
            }
        }
        runs
    }

    /// Returns served and all requests that were sent in a span.
    pub fn served(&self, from: Instant, to: Instant) -> (usize, usize) {
        let done = self.done.lock().unwrap();
        let sent = done.iter().filter(|done| (from..to).contains(&done.sent));
        let served = sent.clone().filter(|done| done.end == End::Served).count();
        (served, sent.count())
    }

    /// Ends all processes and the run.
    pub fn end(&mut self, code: i32) -> ! {
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.record.tell(match code {
            0 => "HELD",
            1 => "BROKEN",
            _ => "NOT RUN",
        });
        self.record.flush();
        std::process::exit(code);
    }
}

/// Returns the second octet of loopback addresses that no other run uses.
fn free_network() -> u8 {
    let start = std::process::id();
    let octets = (0..200).map(|step| 20 + ((start + step) % 200) as u8);
    let is_free = |octet: &u8| {
        [7_720, 9_464].iter().all(|&port| TcpListener::bind((Ipv4Addr::new(127, *octet, 0, 1), port)).is_ok())
    };
    octets.into_iter().find(is_free).expect("free loopback addresses")
}

fn call(
    client: &Arc<Client>,
    route: SocketAddrV4,
    pause: Duration,
    done: &Mutex<Vec<Done>>,
    broken: &Mutex<Vec<Broken>>,
    stop: &AtomicBool,
) {
    thread::sleep(Duration::from_millis(crate::random() % 300));
    while !stop.load(Ordering::Relaxed) {
        let sent = Instant::now();
        let attempt = next_attempt(client);
        let mut flow = match client.open(route) {
            Ok(flow) => flow,
            Err((end, _)) => {
                done.lock().unwrap().push(Done { sent, method: "GET", attempt, end });
                thread::sleep(Duration::from_millis(100));
                continue;
            }
        };
        for count in 0_u32.. {
            let method = if count.is_multiple_of(3) { "POST" } else { "GET" };
            let (sent, attempt) = (Instant::now(), next_attempt(client));
            let mut end = flow.request(method, &attempt, Duration::from_millis(1_200));
            done.lock().unwrap().push(Done { sent, method, attempt, end });
            let was_served = end == End::Served;
            if was_served {
                match flow.rest(pause) {
                    Some(reset) => end = reset,
                    None if stop.load(Ordering::Relaxed) || flow.opened.elapsed() > Duration::from_secs(50) => {
                        flow.close();
                        break;
                    }
                    None => continue,
                }
            }
            let (source, route, opened) = (flow.source, flow.route, flow.opened);
            let answered = count + u32::from(was_served);
            broken.lock().unwrap().push(Broken { at: Instant::now(), opened, source, route, end, answered });
            client.record_line(&format!("flow {source} to {route} ended: {end:?}"));
            thread::sleep(Duration::from_millis(200));
            break;
        }
    }
}

fn next_attempt(client: &Client) -> String {
    format!("{}-{}", client.zone, NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed))
}

fn render(template: &str, values: &[(&str, String)]) -> String {
    values.iter().fold(template.to_owned(), |text, (name, value)| text.replace(&format!("{{{{{name}}}}}"), value))
}
