//! Balancer processes of the soak, with the emulated store, upstreams and network around them.

use {
    crate::soak::{self, SharedResults},
    reqwest::Client,
    rustix::process::{Pid, Signal, kill_process},
    skylarkflow_adapter::READINESS_PATH,
    skylarkflow_adapter_emulator::{
        caller::Network,
        objects::UpstreamEntry,
        proxy::{Mode, Proxy},
        store::{Fault, Snapshot, Store},
        upstream::Upstream,
    },
    skylarkflow_steering::cookie::{self, Cookie},
    std::{
        collections::BTreeMap,
        fs::{self, File},
        io,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        path::{Path, PathBuf},
        process::{self, Child, Command},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Address of the service to which all callers open flows.
pub const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Address of a service that only every second version of the configuration has.
pub const OPTIONAL_SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// Time between SIGTERM and SIGKILL.
const STOP_GRACE: Duration = Duration::from_secs(6);

/// Time after SIGTERM from which a balancer must not be ready; routers check the readiness twice per second.
const UNREADY_LIMIT: Duration = Duration::from_secs(1);

const ZONES: [&str; 3] = ["a", "b", "c"];
const POOL: &str = "pool";

/// The part of a site that callers use, shared with them.
#[derive(Debug)]
pub struct SiteView {
    /// Port on which callers receive packets.
    pub port: u16,
    /// Network between callers and balancers.
    pub network: Arc<Network>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    balancers: Vec<SocketAddr>,
    /// All upstreams that were started, including stopped ones.
    upstreams: Vec<u64>,
    /// Time at which an upstream was killed.
    killed: BTreeMap<u64, Instant>,
    /// Time at which an upstream began to drain.
    drain_starts: BTreeMap<u64, Instant>,
    /// Time of the last fault of a balancer or the store.
    last_disturbance: Option<Instant>,
}

/// A balancer process.
#[derive(Debug)]
struct BalancerProcess {
    child: Child,
    is_paused: bool,
}

/// Balancers, upstreams and store of one run.
#[derive(Debug)]
pub struct Site {
    program: PathBuf,
    folder: PathBuf,
    /// Emulated store.
    pub store: Store,
    /// Copy of the store from which it can be restored.
    store_copy: Option<Snapshot>,
    /// A proxy between each balancer and the store.
    proxies: Vec<Proxy>,
    processes: Vec<Option<BalancerProcess>>,
    upstreams: BTreeMap<u64, Upstream>,
    next_upstream: u64,
    version: u64,
    view: Arc<SiteView>,
    client: Client,
}

impl SiteView {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the addresses of the balancers.
    pub fn balancer_addresses(&self) -> Vec<SocketAddr> {
        self.state().balancers.clone()
    }

    /// Returns the upstream that a cookie identifies.
    pub fn upstream_of(&self, cookie: Cookie) -> Option<u64> {
        // Further cookies of an upstream are only used when the first collides, for one in thousands of upstreams.
        let state = self.state();
        let mut known = state.upstreams.iter();
        known.find(|&&id| cookie::derive(id, 0) == cookie).copied()
    }

    /// Returns whether an upstream was killed at `since` or later.
    pub fn was_killed_since(&self, id: u64, since: Instant) -> bool {
        self.state().killed.get(&id).is_some_and(|&at| at >= since)
    }

    /// Returns the time at which an upstream began to drain, if it has.
    pub fn drain_start(&self, id: u64) -> Option<Instant> {
        self.state().drain_starts.get(&id).copied()
    }

    /// Clears the time of the last fault; for use when its effects must have ended.
    pub fn clear_disturbance(&self) {
        self.state().last_disturbance = None;
    }

    /// Returns whether a balancer or the store had a fault within the last `limit`.
    pub fn was_disturbed_within(&self, limit: Duration) -> bool {
        self.state()
            .last_disturbance
            .is_some_and(|at| at.elapsed() < limit)
    }
}

impl Site {
    /// Starts the store, the proxies, the upstreams and the balancers.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a process cannot be started.
    pub async fn start(
        program: PathBuf,
        folder: PathBuf,
        balancers: usize,
        upstreams: usize,
    ) -> io::Result<Site> {
        fs::create_dir_all(&folder)?;
        let port = first_port();
        let addresses =
            (0..balancers).map(|index| SocketAddr::new(loopback(20, index).into(), port));
        let state = State {
            balancers: addresses.collect(),
            ..State::default()
        };
        let view = Arc::new(SiteView {
            port,
            network: Arc::default(),
            state: Mutex::new(state),
        });
        let store = Store::start().await?;
        let mut proxies = Vec::new();
        for _ in 0..balancers {
            proxies.push(Proxy::start(store.address).await?);
        }
        let mut site = Site {
            program,
            folder,
            store,
            store_copy: None,
            proxies,
            processes: (0..balancers).map(|_| None).collect(),
            upstreams: BTreeMap::new(),
            next_upstream: 1,
            version: 0,
            view,
            client: Client::new(),
        };
        for _ in 0..upstreams {
            site.add_upstream().await?;
        }
        site.write_next_config();
        for index in 0..balancers {
            site.start_balancer(index)?;
        }
        Ok(site)
    }

    /// Returns the part that callers use.
    pub fn view(&self) -> Arc<SiteView> {
        Arc::clone(&self.view)
    }

    /// Returns the number of balancers.
    pub fn balancer_count(&self) -> usize {
        self.processes.len()
    }

    /// Returns the identifiers of the running upstreams.
    pub fn upstream_ids(&self) -> Vec<u64> {
        self.upstreams.keys().copied().collect()
    }

    /// Records that a balancer or the store has a fault now.
    pub fn record_disturbance(&self) {
        self.view.state().last_disturbance = Some(Instant::now());
    }

    /// Writes the next version of the configuration; every second one has the route to [`OPTIONAL_SERVICE`].
    pub fn write_next_config(&mut self) {
        self.version += 1;
        self.configure();
    }

    fn configure(&self) {
        let routes = [(SERVICE, POOL), (OPTIONAL_SERVICE, POOL)];
        let count = 1 + (self.version % 2) as usize;
        self.store.configure(self.version, &routes[..count]);
    }

    /// Copies the store, for a later [`Site::restore_store`].
    pub fn copy_store(&mut self) {
        self.store_copy = Some(self.store.snapshot());
    }

    /// Restores the store from its last copy, if there is one.
    pub fn restore_store(&mut self) {
        if let Some(copy) = self.store_copy.take() {
            self.store.restore(copy);
        }
    }

    /// Replays the last write of the operator and of each upstream, and removes the entries of upstreams that have ended.
    pub fn replay_last_writes(&mut self) {
        self.configure();
        for (&id, upstream) in &self.upstreams {
            let is_draining = self.view.drain_start(id).is_some();
            let entry = upstream_entry(id, upstream.address, is_draining);
            self.store.register(id, &entry);
        }
        let ended = (1..self.next_upstream).filter(|id| !self.upstreams.contains_key(id));
        ended.for_each(|id| self.store.unregister(id));
    }

    /// Returns whether the version in the store has the route to [`OPTIONAL_SERVICE`].
    pub fn has_optional_route(&self) -> bool {
        self.version % 2 == 1
    }

    /// Starts an upstream and registers it at the store.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn add_upstream(&mut self) -> io::Result<()> {
        let id = self.next_upstream;
        self.next_upstream += 1;
        let address = SocketAddr::new(loopback(40, id as usize).into(), 0);
        let upstream = Upstream::start(id, address, self.view.port).await?;
        self.store
            .register(id, &upstream_entry(id, upstream.address, false));
        self.upstreams.insert(id, upstream);
        self.view.state().upstreams.push(id);
        Ok(())
    }

    /// Marks the entry of an upstream as draining.
    pub fn drain_upstream(&mut self, id: u64) {
        if let Some(upstream) = self.upstreams.get(&id) {
            let now = Instant::now();
            self.view.state().drain_starts.entry(id).or_insert(now);
            self.store
                .register(id, &upstream_entry(id, upstream.address, true));
        }
    }

    /// Stops an upstream at once and, if `removes_entry` is set, removes its entry from the store.
    pub fn kill_upstream(&mut self, id: u64, removes_entry: bool) {
        self.view.state().killed.insert(id, Instant::now());
        self.upstreams.remove(&id);
        if removes_entry {
            self.store.unregister(id);
        }
    }

    /// Starts a balancer unless it is running.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start_balancer(&mut self, index: usize) -> io::Result<()> {
        if self.processes[index].is_some() {
            return Ok(());
        }
        let settings = self.folder.join(format!("balancer-{index}.yaml"));
        fs::write(&settings, self.settings_yaml(index))?;
        let log = self.folder.join(format!("balancer-{index}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(&self.program)
            .args(["steer", "--settings"])
            .arg(Path::new(&settings))
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes[index] = Some(BalancerProcess {
            child,
            is_paused: false,
        });
        Ok(())
    }

    fn settings_yaml(&self, index: usize) -> String {
        let (ip, port) = (loopback(20, index), self.view.port);
        let zone = ZONES[index % ZONES.len()];
        format!(
            "name: balancer-{index}\nzone: {zone}\ndatagrams: {ip}:{port}\nhttp: {ip}:{http}\nstore: {store}\n\
             peers:\n  first_port: {peer}\n  last_port: {peer}\nbounds:\n  flow_seconds: 60\n  \
             grace_seconds: {grace}\nlog:\n  output: stdout\n",
            http = port,
            store = self.proxies[index].address,
            peer = port + 1,
            grace = STOP_GRACE.as_secs(),
        )
    }

    /// Sends a signal to a balancer, if it is running.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn signal_balancer(&mut self, index: usize, signal: Signal) -> io::Result<()> {
        let Some(process) = &mut self.processes[index] else {
            return Ok(());
        };
        let pid = Pid::from_raw(process.child.id().cast_signed());
        if let Some(pid) = pid {
            kill_process(pid, signal)?;
        }
        process.is_paused = match signal {
            Signal::STOP => true,
            Signal::CONT => false,
            _ => process.is_paused,
        };
        Ok(())
    }

    /// Kills a balancer, if it is running.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn kill_balancer(&mut self, index: usize) -> io::Result<()> {
        if let Some(mut process) = self.processes[index].take() {
            process.child.kill()?;
            process.child.wait()?;
        }
        Ok(())
    }

    /// Stops a balancer with SIGTERM; reports a violation if it stays ready or does not exit in time.
    ///
    /// # Errors
    ///
    /// Fails if a signal cannot be sent.
    pub async fn stop_balancer(&mut self, index: usize, results: &SharedResults) -> io::Result<()> {
        self.signal_balancer(index, Signal::CONT)?;
        self.signal_balancer(index, Signal::TERM)?;
        let Some(mut process) = self.processes[index].take() else {
            return Ok(());
        };
        let start = Instant::now();
        let mut is_reported = false;
        while start.elapsed() < STOP_GRACE {
            if process.child.try_wait()?.is_some() {
                return Ok(());
            }
            time::sleep(Duration::from_millis(50)).await;
            if start.elapsed() > UNREADY_LIMIT && !is_reported && self.is_ready(index).await {
                is_reported = true;
                let text =
                    format!("balancer {index} is still ready {UNREADY_LIMIT:?} after SIGTERM");
                soak::report_violation(results, text);
            }
        }
        soak::report_violation(
            results,
            format!("balancer {index} did not exit within {STOP_GRACE:?}"),
        );
        process.child.kill()?;
        process.child.wait()?;
        Ok(())
    }

    /// Sets the mode of the proxy between a balancer and the store.
    pub fn set_proxy_mode(&self, index: usize, mode: Mode) {
        self.proxies[index].set_mode(mode);
    }

    /// Ends all faults of balancers, store and proxies; starts the balancers that are not running.
    pub fn clear_faults(&mut self) {
        self.store.set_fault(Fault::None);
        for proxy in &self.proxies {
            proxy.set_mode(Mode::Pass);
        }
        for index in 0..self.processes.len() {
            // A signal to a process that has exited fails; there is nothing to resume then.
            let _ = self.signal_balancer(index, Signal::CONT);
            let _ = self.start_balancer(index);
        }
        self.record_disturbance();
    }

    /// Waits until every balancer is ready.
    ///
    /// # Errors
    ///
    /// Fails if one is not ready within the limit.
    pub async fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let start = Instant::now();
        for index in 0..self.processes.len() {
            while !self.is_ready(index).await {
                if start.elapsed() > limit {
                    return Err(io::Error::other(format!(
                        "balancer {index} is not ready after {limit:?}"
                    )));
                }
                time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, index: usize) -> bool {
        let (ip, port) = (loopback(20, index), self.view.port);
        let url = format!("http://{ip}:{port}{READINESS_PATH}");
        let response = self.client.get(&url).timeout(Duration::from_secs(1)).send();
        response
            .await
            .is_ok_and(|response| response.status().is_success())
    }

    /// Stops every balancer; reports a violation for each upstream that got datagrams of another one.
    ///
    /// # Errors
    ///
    /// Fails if a signal cannot be sent.
    pub async fn stop_balancers(&mut self, results: &SharedResults) -> io::Result<()> {
        for index in 0..self.processes.len() {
            self.stop_balancer(index, results).await?;
        }
        for (id, upstream) in &self.upstreams {
            let received = upstream
                .received
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if received.misdirected > 0 {
                let text = format!(
                    "upstream {id} got {} datagrams for another upstream",
                    received.misdirected
                );
                soak::report_violation(results, text);
            }
        }
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            // Both fail if the process has already exited.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

fn upstream_entry(id: u64, address: SocketAddr, is_draining: bool) -> UpstreamEntry {
    UpstreamEntry {
        pool: POOL.to_owned(),
        address,
        zone: ZONES[id as usize % ZONES.len()].to_owned(),
        is_draining,
    }
}

/// Returns the first of two consecutive ports below the ephemeral range, from which other sockets could take them; the
/// process identifier in it keeps soaks that run at the same time apart.
fn first_port() -> u16 {
    const FIRST: u16 = 10_000;
    const COUNT: u32 = 10_000;
    FIRST + 2 * (process::id() % COUNT) as u16
}

/// Returns the loopback address of a process or caller; each has its own.
pub fn loopback(net: u8, index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net, (index >> 8) as u8, (index & 0xff) as u8 + 1)
}
