//! A `steer` process with an emulated store, upstream and caller.

use {
    skylarkflow_adapter_emulator::{
        caller::{Caller, Outcome},
        objects::UpstreamEntry,
        store::{Snapshot, Store},
        upstream::Upstream,
    },
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
        ops::Range,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time,
};

/// Address of the service that the first configuration has a route for.
pub const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Pool of the routes.
pub const POOL: &str = "pool";

/// Timeout for a condition, long enough for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Flows in a row that only the expected upstream must answer; with two in use, a row of one comes about by chance once in
/// a million.
const REQUIRED_FLOWS: u32 = 20;

/// Pause between two flows in a row.
const FLOW_INTERVAL: Duration = Duration::from_millis(20);

/// A `steer` process with an emulated store and upstream.
pub struct Site {
    pub store: Store,
    /// Objects of the store before the balancer has started.
    pub initial_objects: Snapshot,
    pub upstream: Upstream,
    pub balancer: Child,
    pub address: SocketAddr,
    pub settings: PathBuf,
    pub port: u16,
    _folder: TempDir,
}

impl Drop for Site {
    fn drop(&mut self) {
        // Both fail if the process has already exited.
        let _ = self.balancer.kill();
        let _ = self.balancer.wait();
    }
}

pub fn settings_yaml(ip: Ipv4Addr, port: u16, store: SocketAddr) -> String {
    format!(
        "name: b\nzone: a\ndatagrams: {ip}:{port}\nhttp: {ip}:{port}\nstore: {store}\npeers: {{first_port: {peer}, \
         last_port: {peer}}}\nlog: {{output: stdout}}\n",
        peer = port - 1,
    )
}

/// Returns the entry of an upstream of the pool that accepts new flows.
pub fn ready_entry(address: SocketAddr) -> UpstreamEntry {
    UpstreamEntry {
        pool: POOL.to_owned(),
        address,
        zone: "a".to_owned(),
        is_draining: false,
    }
}

/// Starts a balancer, which appends its log to that of earlier ones.
pub fn start_balancer(settings: &Path) -> Child {
    let log = settings.with_file_name("log");
    let log = fs::File::options().create(true).append(true).open(log);
    Command::new(env!("CARGO_BIN_EXE_skylarkflow"))
        .args(["steer", "--settings"])
        .arg(settings)
        .stdout(log.expect("a log"))
        .stderr(Stdio::inherit())
        .spawn()
        .expect("a balancer")
}

pub async fn start_site(net: u8) -> Site {
    start_site_with(net, "").await
}

/// Starts a site whose balancer has further settings.
pub async fn start_site_with(net: u8, further_settings: &str) -> Site {
    let folder = tempfile::tempdir().expect("a folder");
    let ip = Ipv4Addr::new(127, net, 0, 1);
    let probe = UdpSocket::bind((ip, 0)).expect("a free port");
    let port = probe.local_addr().expect("an address").port();
    drop(probe);
    let store = Store::start().await.expect("a store");
    let address = SocketAddr::from((Ipv4Addr::new(127, net, 0, 2), 0));
    let upstream = Upstream::start(7, address, port)
        .await
        .expect("an upstream");
    store.register(7, &ready_entry(upstream.address));
    store.configure(1, &[(SERVICE, POOL)]);
    let initial_objects = store.snapshot();
    let path = folder.path().join("settings.yaml");
    let settings = settings_yaml(ip, port, store.address) + further_settings;
    fs::write(&path, settings).expect("settings");
    let balancer = start_balancer(&path);
    Site {
        store,
        initial_objects,
        upstream,
        balancer,
        address: SocketAddr::from((ip, port)),
        settings: path,
        port,
        _folder: folder,
    }
}

pub async fn wait_for_answer(site: &Site, caller: &Caller, port: u16) -> u64 {
    wait_for_answer_of(site, caller, port, SERVICE).await
}

/// Opens flows to a service until one is answered; returns the identifier of the upstream.
pub async fn wait_for_answer_of(
    site: &Site,
    caller: &Caller,
    port: u16,
    service: SocketAddrV4,
) -> u64 {
    let start = Instant::now();
    loop {
        let mut flow = caller.open(port, service, || site.address).await;
        if let Ok(flow) = &mut flow {
            let outcome = caller.request(flow, b"hello", || site.address).await;
            if let Outcome::Answered(id) = outcome {
                return id;
            }
        }
        assert!(
            start.elapsed() < TIMEOUT,
            "no answer within {TIMEOUT:?}: {flow:?}"
        );
    }
}

pub async fn new_caller(site: &Site, net: u8) -> Caller {
    let address = SocketAddrV4::new(Ipv4Addr::new(127, net, 0, 3), site.port);
    Caller::new(address).await.expect("a caller")
}

pub fn read_log(site: &Site) -> String {
    let path = site.settings.parent().unwrap_or(Path::new("")).join("log");
    fs::read_to_string(path).unwrap_or_default()
}

pub async fn wait_for_event(site: &Site, event: &str) {
    let start = Instant::now();
    while !read_log(site).contains(event) {
        assert!(
            start.elapsed() < TIMEOUT,
            "no event {event} within {TIMEOUT:?} in {}",
            read_log(site)
        );
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the entry of an upstream of the pool that is draining.
pub fn draining_entry(address: SocketAddr) -> UpstreamEntry {
    UpstreamEntry {
        is_draining: true,
        ..ready_entry(address)
    }
}

/// Starts an upstream with the identifier 8 and registers it.
pub async fn add_upstream(site: &Site, net: u8) -> Upstream {
    let address = SocketAddr::from((Ipv4Addr::new(127, net, 0, 9), 0));
    let added = Upstream::start(8, address, site.port).await;
    let added = added.expect("another upstream");
    site.store.register(8, &ready_entry(added.address));
    added
}

/// Waits until the last flows were all answered by an upstream.
pub async fn wait_until_only(site: &Site, caller: &Caller, ports: Range<u16>, upstream: u64) {
    let start = Instant::now();
    let mut consecutive = 0;
    for port in ports {
        let is_expected = wait_for_answer(site, caller, port).await == upstream;
        consecutive = if is_expected { consecutive + 1 } else { 0 };
        if consecutive == REQUIRED_FLOWS {
            return;
        }
        assert!(
            start.elapsed() < TIMEOUT,
            "other upstreams still get new flows after {TIMEOUT:?}"
        );
        time::sleep(FLOW_INTERVAL).await;
    }
    panic!("other upstreams still get new flows");
}
