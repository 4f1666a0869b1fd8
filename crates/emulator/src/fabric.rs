//! Emulated fabric that sprays datagrams over the balancers: each datagram goes to a ready balancer at random.

use {
    crate::socket::{self, StopFlag},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    reqwest::Client,
    skylarkflow_caller::proxy_header::{self, Datagram},
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, UdpSocket},
        sync::{Arc, PoisonError, RwLock},
        thread,
        time::Duration,
    },
    tokio::{runtime, time},
};

/// Interval between two rounds of readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time limit of a readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Consecutive failed checks after which a balancer gets no more datagrams.
const FAILURE_THRESHOLD: u32 = 2;

/// Path of the readiness check.
const READY_PATH: &str = "/v1/ready";

/// A balancer as the fabric sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address to which datagrams are sent.
    pub ingress: SocketAddr,
    /// Address of the administration API for readiness checks; without it the balancer counts as ready.
    pub admin: Option<SocketAddr>,
}

/// Settings of a fabric.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the services; port 0 binds a free port.
    pub services: Vec<SocketAddr>,
    /// Balancers that receive the datagrams.
    pub balancers: Vec<Target>,
    /// Seed of the random choice of a balancer for each datagram.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            services: Vec::new(),
            balancers: Vec::new(),
            seed: 1,
        }
    }
}

/// A running fabric; it stops when dropped.
#[derive(Debug)]
pub struct Fabric {
    services: Vec<SocketAddr>,
    balancers: Arc<RwLock<Balancers>>,
    stop: StopFlag,
}

#[derive(Debug, Default)]
struct Balancers {
    targets: Vec<Target>,
    /// Ingress addresses of the targets that are ready.
    ready: Vec<SocketAddr>,
}

type Sockets = Arc<BTreeMap<SocketAddr, UdpSocket>>;

impl Fabric {
    /// Starts a fabric on loopback.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Fabric> {
        let balancer_socket = UdpSocket::bind("127.0.0.1:0")?;
        let mut sockets = BTreeMap::new();
        let mut services = Vec::new();
        for address in settings.services {
            let socket = UdpSocket::bind(address)?;
            services.push(socket.local_addr()?);
            sockets.insert(socket.local_addr()?, socket);
        }
        let sockets: Sockets = Arc::new(sockets);
        let fabric = Fabric {
            services,
            balancers: Arc::default(),
            stop: StopFlag::default(),
        };
        for (offset, socket) in sockets.values().enumerate() {
            fabric.start_spraying(socket, &balancer_socket, settings.seed + offset as u64)?;
        }
        fabric.start_delivery(&balancer_socket, sockets)?;
        fabric.set_balancers(settings.balancers);
        fabric.start_readiness_checks()?;
        Ok(fabric)
    }

    /// Returns the addresses of the services in the order of the settings.
    pub fn services(&self) -> &[SocketAddr] {
        &self.services
    }

    /// Replaces the balancers. The new ones count as ready until their readiness checks fail.
    pub fn set_balancers(&self, targets: Vec<Target>) {
        let ready = targets.iter().map(|target| target.ingress).collect();
        let mut balancers = self
            .balancers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *balancers = Balancers { targets, ready };
    }

    /// Returns the ingress addresses of the balancers that are ready.
    pub fn ready(&self) -> Vec<SocketAddr> {
        let balancers = self.balancers.read();
        let balancers = balancers.unwrap_or_else(PoisonError::into_inner);
        balancers.ready.clone()
    }

    fn start_readiness_checks(&self) -> io::Result<()> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let checker = ReadinessChecker {
            balancers: Arc::clone(&self.balancers),
            client: Client::new(),
            failures: BTreeMap::new(),
        };
        let stop = self.stop.clone();
        thread::spawn(move || runtime.block_on(checker.run(stop)));
        Ok(())
    }

    fn start_spraying(
        &self,
        socket: &UdpSocket,
        balancer_socket: &UdpSocket,
        seed: u64,
    ) -> io::Result<()> {
        let destination = socket.local_addr()?;
        let balancer_socket = balancer_socket.try_clone()?;
        let balancers = Arc::clone(&self.balancers);
        let mut random = SmallRng::seed_from_u64(seed);
        socket::spawn_receiver(socket, &self.stop, move |_, source, payload| {
            let datagram = Datagram {
                source,
                destination,
                payload,
            };
            let balancers = balancers.read().unwrap_or_else(PoisonError::into_inner);
            let ready = &balancers.ready;
            if ready.is_empty() {
                return;
            }
            let balancer = ready[random.random_range(0..ready.len())];
            if let Ok(bytes) = proxy_header::to_vec(&datagram) {
                let _ = balancer_socket.send_to(&bytes, balancer);
            }
        })
    }

    fn start_delivery(&self, balancer_socket: &UdpSocket, sockets: Sockets) -> io::Result<()> {
        socket::spawn_receiver(balancer_socket, &self.stop, move |_, _, bytes| {
            let Ok(datagram) = proxy_header::from_slice(bytes) else {
                return;
            };
            if let Some(socket) = sockets.get(&datagram.source) {
                let _ = socket.send_to(datagram.payload, datagram.destination);
            }
        })
    }
}

/// Checks the readiness of the balancers periodically.
struct ReadinessChecker {
    balancers: Arc<RwLock<Balancers>>,
    client: Client,
    failures: BTreeMap<SocketAddr, u32>,
}

impl ReadinessChecker {
    async fn run(mut self, stop: StopFlag) {
        while !stop.is_set() {
            let targets = self.targets();
            let mut ready = Vec::new();
            for target in &targets {
                if self.is_ready(target).await {
                    ready.push(target.ingress);
                }
            }
            self.publish(&targets, ready);
            time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn targets(&self) -> Vec<Target> {
        let balancers = self.balancers.read();
        let balancers = balancers.unwrap_or_else(PoisonError::into_inner);
        balancers.targets.clone()
    }

    /// Publishes the ready balancers, unless the targets were replaced during the checks.
    fn publish(&self, targets: &[Target], ready: Vec<SocketAddr>) {
        let balancers = self.balancers.write();
        let mut balancers = balancers.unwrap_or_else(PoisonError::into_inner);
        if balancers.targets == targets {
            balancers.ready = ready;
        }
    }

    async fn is_ready(&mut self, target: &Target) -> bool {
        let Some(admin) = target.admin else {
            return true;
        };
        let url = format!("http://{admin}{READY_PATH}");
        let response = self.client.get(url).timeout(CHECK_TIMEOUT).send().await;
        let failures = self.failures.entry(target.ingress).or_default();
        if response.is_ok_and(|response| response.status().is_success()) {
            *failures = 0;
        } else {
            *failures += 1;
        }
        *failures < FAILURE_THRESHOLD
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.stop.set();
    }
}
