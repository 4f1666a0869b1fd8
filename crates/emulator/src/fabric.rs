//! Emulated fabric that sprays datagrams over the balancers.

use {
    crate::socket::{self, Stop},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_caller::envelope::{self, Datagram},
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, UdpSocket},
        sync::{Arc, PoisonError, RwLock},
    },
};

/// What a fabric connects.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the services; port 0 takes a free port.
    pub services: Vec<SocketAddr>,
    /// Ingress addresses of the balancers.
    pub balancers: Vec<SocketAddr>,
    /// Seed of the choice of a balancer for each datagram.
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
    balancers: Arc<RwLock<Vec<SocketAddr>>>,
    stop: Stop,
}

type Sockets = Arc<BTreeMap<SocketAddr, UdpSocket>>;

impl Fabric {
    /// Starts a fabric on loopback.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Fabric> {
        let back = UdpSocket::bind("127.0.0.1:0")?;
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
            balancers: Arc::new(RwLock::new(settings.balancers)),
            stop: Stop::default(),
        };
        for (offset, socket) in sockets.values().enumerate() {
            fabric.spray(socket, &back, settings.seed + offset as u64)?;
        }
        fabric.deliver(&back, sockets)?;
        Ok(fabric)
    }

    /// Returns the addresses of the services in the order of the settings.
    pub fn services(&self) -> &[SocketAddr] {
        &self.services
    }

    /// Replaces the balancers that get datagrams.
    pub fn set_balancers(&self, balancers: Vec<SocketAddr>) {
        *self
            .balancers
            .write()
            .unwrap_or_else(PoisonError::into_inner) = balancers;
    }

    fn spray(&self, socket: &UdpSocket, back: &UdpSocket, seed: u64) -> io::Result<()> {
        let destination = socket.local_addr()?;
        let back = back.try_clone()?;
        let balancers = Arc::clone(&self.balancers);
        let mut random = SmallRng::seed_from_u64(seed);
        socket::spawn(socket, &self.stop, move |_, source, payload| {
            let datagram = Datagram {
                source,
                destination,
                payload,
            };
            let balancers = balancers.read().unwrap_or_else(PoisonError::into_inner);
            if balancers.is_empty() {
                return;
            }
            let balancer = balancers[random.random_range(0..balancers.len())];
            if let Ok(bytes) = envelope::to_vec(&datagram) {
                let _ = back.send_to(&bytes, balancer);
            }
        })
    }

    fn deliver(&self, back: &UdpSocket, sockets: Sockets) -> io::Result<()> {
        socket::spawn(back, &self.stop, move |_, _, bytes| {
            let Ok(datagram) = envelope::from_slice(bytes) else {
                return;
            };
            if let Some(socket) = sockets.get(&datagram.source) {
                let _ = socket.send_to(datagram.payload, datagram.destination);
            }
        })
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.stop.set();
    }
}
