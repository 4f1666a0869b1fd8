//! A small deployment on loopback addresses: three zones with daemons, endpoints and clients, and a store.

use {
    crate::{
        client::{Client, End},
        endpoint::{Endpoint, Opening, Openings},
        router::{self, Daemon, Router},
        store::Store,
    },
    std::{
        collections::HashMap,
        fmt::Write,
        fs,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime},
    },
};

pub const ZONES: [&str; 3] = ["tacoma", "salem", "spokane"];

/// Daemons in each zone, as on the small site.
const DAEMONS: [usize; 3] = [3, 3, 2];

/// Clients in each zone.
const CLIENTS: usize = 3;

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(12);

/// Longest time from the start in which the daemons find each other, with lists of the store from its copies.
const SETTLING: Duration = Duration::from_secs(60);

/// Time for which the machines run that are replaced.
const REPLACED_AFTER: Duration = Duration::from_secs(4);

pub const SERVICE: &str = "dispatch";
pub const OTHER_SERVICE: &str = "manifests";

/// One attempt of a client.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub source: SocketAddrV4,
    pub sent: Instant,
    pub end: End,
}

/// A daemon of the system.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    pub readiness: SocketAddrV4,
    settings: PathBuf,
    pub child: Option<Child>,
}

pub struct Site {
    pub store: Arc<Store>,
    pub router: Arc<Router>,
    pub processes: Vec<Process>,
    pub endpoints: Vec<Endpoint>,
    pub openings: Openings,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    /// What was started, killed and acknowledged.
    pub events: Vec<(Instant, String)>,
    pub service: SocketAddrV4,
    run: Vec<String>,
    folder: PathBuf,
    client_port: u16,
    net: u8,
    is_over: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts the store, endpoints and daemons, and waits until all daemons are ready.
    ///
    /// `counts` has the number of endpoints of both services in each zone; copies of the store are behind by `lag`. Each
    /// machine has taken the place of `replaced` earlier ones, one after the other, which were removed permanently.
    pub fn start(counts: [[usize; 3]; 2], lag: Duration, replaced: usize) -> Option<Site> {
        let net = free_net()?;
        let client_port = free_port(Ipv4Addr::new(127, net, 1, 1))?;
        let ports = [client_port, free_port(Ipv4Addr::new(127, net, 1, 1))?];
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let store_address = SocketAddr::from((Ipv4Addr::new(127, net, 200, 7), 8_169));
        let store = Store::start(store_address, lag);
        let service = SocketAddrV4::new(Ipv4Addr::new(127, net, 250, 1), 8_443);
        let openings = Openings::default();
        let mut endpoints = Vec::new();
        let services = [SERVICE, OTHER_SERVICE].into_iter().zip(counts).enumerate();
        let zones = services.flat_map(|(number, (service, counts))| {
            let counts = counts.into_iter().enumerate();
            counts.map(move |(zone, count)| (number, service, zone, count))
        });
        for (number, service, zone, count) in zones {
            for at in 0..count {
                let id =
                    0x96a0_0000_0000 + (number as u64) * 65_536 + (zone as u64) * 256 + at as u64;
                let ip = Ipv4Addr::new(127, net, 150 + zone as u8, 1 + (number * 50 + at) as u8);
                let endpoint = Endpoint {
                    id,
                    service: service.to_owned(),
                    zone: ZONES[zone].to_owned(),
                    address: SocketAddrV4::new(ip, 8_080),
                    born: unix_ms() - 60_000,
                };
                let endpoint = endpoint.start(client_port, Arc::clone(&openings));
                endpoint.report(&store, "ready");
                endpoints.push(endpoint);
            }
        }
        let deploy = fs::read_to_string("deploy/system.toml").ok()?;
        let value = |key: &str| {
            let mut lines = deploy.lines().filter_map(|line| line.split_once('='));
            let value = lines.find(|(name, _)| name.trim() == key)?.1;
            Some(value.trim().trim_matches('"').to_owned())
        };
        let run = value("run")?
            .split_whitespace()
            .map(str::to_owned)
            .collect();
        let template = fs::read_to_string(value("template")?).ok()?;
        let machines = |first: usize| {
            let zones = DAEMONS.into_iter().enumerate();
            let machines = zones.flat_map(move |(zone, count)| {
                (0..count).map(move |at| (zone, first * count + at + 1))
            });
            let template = &template;
            let folder = &folder;
            machines.map(move |(zone, number)| {
                let ip = Ipv4Addr::new(127, net, 1 + zone as u8, number as u8);
                let name = format!("front-{}-{number}", ZONES[zone]);
                let text = render(template, &name, zone, ip, ports, store_address);
                let settings = folder.join(format!("{name}.yaml"));
                fs::write(&settings, text).ok()?;
                let readiness = SocketAddrV4::new(ip, ports[1]);
                let daemon = Daemon {
                    zone,
                    datagrams: SocketAddrV4::new(ip, ports[0]),
                    readiness,
                };
                let process = Process {
                    name,
                    ip,
                    readiness,
                    settings,
                    child: None,
                };
                Some((daemon, process))
            })
        };
        let mut earlier = Vec::new();
        for round in 0..replaced {
            let machines: Option<Vec<_>> = machines(round).collect();
            earlier.push(machines?);
        }
        let machines: Option<Vec<_>> = machines(replaced).collect();
        let (daemons, processes) = machines?.into_iter().unzip();
        let mut site = Site {
            store,
            router: Router::start(daemons, ZONES.len()),
            processes,
            endpoints,
            openings,
            attempts: Arc::default(),
            events: Vec::new(),
            service,
            run,
            folder,
            client_port,
            net,
            is_over: Arc::default(),
            clients: Vec::new(),
        };
        site.configure(1, SERVICE);
        let last = std::mem::take(&mut site.processes);
        for machines in earlier {
            site.processes = machines.into_iter().map(|(_, process)| process).collect();
            for at in 0..site.processes.len() {
                site.start_process(at)?;
            }
            thread::sleep(REPLACED_AFTER);
            for at in 0..site.processes.len() {
                site.kill_process(at);
            }
        }
        site.processes = last;
        // The copies of the store have what was written before the system starts.
        thread::sleep(lag + Duration::from_millis(200));
        for at in 0..site.processes.len() {
            site.start_process(at)?;
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        while !site.router.are_all_ready() {
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        Some(site)
    }

    /// Writes a configuration whose route leads to `target`; returns the time of the acknowledgement.
    pub fn configure(&self, version: u64, target: &str) -> Instant {
        let (ip, port) = (self.service.ip(), self.service.port());
        let service = |name| {
            format!(
                r#"{{"Name":"{name}","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false}}"#
            )
        };
        let services = [SERVICE, OTHER_SERVICE].map(service).join(",");
        let route = format!(
            r#"{{"Name":"r-1","Host":"{ip}","PathPrefix":"/{port}/","Type":"non_idempotent","TimeoutMs":1200,"TargetLatencyMs":200,"Priority":1,"Service":"{target}","MaxAttempts":2}}"#
        );
        let limits = r#"{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;
        let spec = format!(
            r#"{{"Version":{version},"Routes":[{route}],"Services":[{services}],"Limits":{limits}}}"#
        );
        self.store.put("config", "main", &spec)
    }

    pub fn start_process(&mut self, at: usize) -> Option<()> {
        let process = &mut self.processes[at];
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(process.settings.with_extension("log"));
        let child = Command::new(Path::new(&self.run[0]))
            .args(&self.run[1..])
            .env("SKYLARKFLOW_NODE_FILE", &process.settings)
            .stdin(Stdio::null())
            .stdout(log.ok()?)
            .stderr(Stdio::null())
            .spawn();
        process.child = Some(child.ok()?);
        let event = format!("started {} at {}", process.name, process.ip);
        self.events.push((Instant::now(), event));
        Some(())
    }

    /// Kills the process of a machine.
    pub fn kill_process(&mut self, at: usize) {
        if let Some(mut child) = self.processes[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let event = format!("killed {}", self.processes[at].name);
            self.events.push((Instant::now(), event));
        }
    }

    /// Returns the daemons whose status says that they read the current store for their zone.
    pub fn readers(&self) -> Vec<usize> {
        let is_reader = |process: &Process| {
            router::fetch_status(process.readiness)
                .is_some_and(|status| status.contains(r#""role":"reader""#))
        };
        let processes = self.processes.iter().enumerate();
        let readers = processes.filter(|(_, process)| is_reader(process));
        readers.map(|(at, _)| at).collect()
    }

    /// Waits until the daemons have found each other, and one of each zone reads the current store.
    pub fn settle(&self) -> Option<()> {
        let deadline = Instant::now() + SETTLING;
        while self.readers().len() != ZONES.len() {
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(Duration::from_millis(500));
        }
        Some(())
    }

    /// Starts the clients of all zones.
    pub fn start_clients(&mut self) {
        for zone in 0..ZONES.len() {
            for at in 0..CLIENTS {
                let ip = Ipv4Addr::new(127, self.net, 100 + zone as u8, 1 + at as u8);
                let address = SocketAddrV4::new(ip, self.client_port);
                let mut client = Client::new(address, zone);
                let (router, service) = (Arc::clone(&self.router), self.service);
                let (attempts, is_over) = (Arc::clone(&self.attempts), Arc::clone(&self.is_over));
                self.clients.push(thread::spawn(move || {
                    while !is_over.load(Ordering::Relaxed) {
                        let sent = Instant::now();
                        let (source, end) = client.request(&router, service);
                        attempts.lock().unwrap().push(Attempt { source, sent, end });
                        thread::sleep(PAUSE);
                    }
                }));
            }
        }
    }

    pub fn stop_clients(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

/// Requests that were sent earlier than this before the acknowledgement are only counted.
const RECORDED_BEFORE: Duration = Duration::from_secs(1);

impl Site {
    /// Returns the record of a run: all events, and each request with what became of it, by the seconds since
    /// `acknowledged`.
    pub fn record(&self, acknowledged: Instant) -> String {
        let since = |at: Instant| seconds(acknowledged, at);
        let mut lines: Vec<(Instant, String)> = self.events.clone();
        let attempts = self.attempts.lock().unwrap();
        let openings = self.openings.lock().unwrap();
        let mut taken: HashMap<SocketAddrV4, Vec<&Opening>> = HashMap::new();
        for opening in openings.iter() {
            taken.entry(opening.source).or_default().push(opening);
        }
        let mut counts =
            [End::Answered, End::Refused, End::Broken, End::TimedOut].map(|end| (end, 0));
        for attempt in attempts.iter() {
            for (end, count) in &mut counts {
                *count += u32::from(*end == attempt.end);
            }
            if attempt.sent + RECORDED_BEFORE < acknowledged {
                continue;
            }
            let mut line = format!("sent {}", attempt.source);
            for opening in taken.get(&attempt.source).into_iter().flatten() {
                let machines = self.processes.iter();
                let machine = machines.filter(|process| process.ip == opening.machine);
                let names: Vec<&str> = machine.map(|process| &*process.name).collect();
                let _ = write!(
                    line,
                    "; taken {:.3} by i-{:x} from {}, run {}",
                    since(opening.at),
                    opening.endpoint,
                    names.join(" "),
                    opening.runs
                );
            }
            let _ = write!(line, "; {:?}", attempt.end);
            lines.push((attempt.sent, line));
        }
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (end, count) in counts {
            let _ = writeln!(text, "requests {end:?}: {count}");
        }
        for (at, line) in lines {
            let _ = writeln!(text, "{:8.3} {line}", since(at));
        }
        text
    }
}

/// Returns the seconds from one time to another, which may be earlier.
pub fn seconds(from: Instant, to: Instant) -> f64 {
    let after = to.saturating_duration_since(from).as_secs_f64();
    after - from.saturating_duration_since(to).as_secs_f64()
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    now.as_millis() as u64
}

/// Returns the second byte of a loopback network that nobody uses.
fn free_net() -> Option<u8> {
    let first = std::process::id() % 100;
    (0..100)
        .map(|step| 64 + ((first + step) % 100) as u8)
        .find(|net| {
            let addresses = [(200, 7, 8_169), (1, 1, 9_464), (150, 1, 8_080)];
            addresses.into_iter().all(|(c, d, port)| {
                TcpListener::bind((Ipv4Addr::new(127, *net, c, d), port)).is_ok()
            })
        })
}

fn free_port(ip: Ipv4Addr) -> Option<u16> {
    // Free for both protocols.
    (0..50).find_map(|_| {
        let port = UdpSocket::bind((ip, 0)).ok()?.local_addr().ok()?.port();
        TcpListener::bind((ip, port)).ok()?;
        Some(port)
    })
}

/// Fills in the template of the deploy file as the platform does.
fn render(
    template: &str,
    name: &str,
    zone: usize,
    ip: Ipv4Addr,
    ports: [u16; 2],
    store: SocketAddr,
) -> String {
    let values = [
        ("NodeName", name.to_owned()),
        ("Zone", ZONES[zone].to_owned()),
        ("Ip", ip.to_string()),
        ("Listen.DatagramAddr", format!("{ip}:{}", ports[0])),
        ("Listen.ReadinessAddr", format!("{ip}:{}", ports[1])),
        ("platform.Address", store.to_string()),
        ("PortRange.0", "7720".to_owned()),
        ("PortRange.1", "7735".to_owned()),
        ("Bounds.FlowMaxS", "60".to_owned()),
        ("Bounds.GraceS", "6".to_owned()),
        ("Bounds.EvacuateMs", String::new()),
        ("Bounds.WarmupExcess", String::new()),
        ("Bounds.WarmupSlack", String::new()),
    ];
    let fill = |text: String, (name, value): &(&str, String)| {
        text.replace(&format!("{{{{{name}}}}}"), value)
    };
    values.iter().fold(template.to_owned(), fill)
}
