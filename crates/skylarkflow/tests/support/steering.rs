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

pub async fn start_site(net: u8) -> Site {
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
    fs::write(&path, settings_yaml(ip, port, store.address)).expect("settings");
    let log = fs::File::create(folder.path().join("log")).expect("a log");
    let balancer = Command::new(env!("CARGO_BIN_EXE_skylarkflow"))
        .args(["steer", "--settings"])
        .arg(&path)
        .stdout(log)
        .stderr(Stdio::inherit())
        .spawn()
        .expect("a balancer");
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
