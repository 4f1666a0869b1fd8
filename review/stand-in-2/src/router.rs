//! The platform's routers: readiness checks, and the choice of a daemon by a hash of the flow.

use std::{
    io::{Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Interval of the readiness checks of a daemon.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Failed checks in a row after which a daemon is out of rotation.
const MAX_MISSES: u32 = 2;

pub struct Daemon {
    pub zone: usize,
    pub datagrams: SocketAddrV4,
    pub readiness: SocketAddrV4,
}

pub struct Router {
    daemons: Vec<Daemon>,
    in_rotation: Mutex<Vec<bool>>,
    zones: usize,
}

impl Router {
    pub fn start(daemons: Vec<Daemon>, zones: usize) -> Arc<Router> {
        let count = daemons.len();
        let router = Arc::new(Router {
            daemons,
            in_rotation: Mutex::new(vec![false; count]),
            zones,
        });
        for index in 0..count {
            let router = Arc::clone(&router);
            thread::spawn(move || router.check(index));
        }
        router
    }

    pub fn are_all_ready(&self) -> bool {
        self.in_rotation.lock().unwrap().iter().all(|ready| *ready)
    }

    fn check(&self, index: usize) {
        let mut misses = 0;
        loop {
            let started = Instant::now();
            let is_ready = is_ready(self.daemons[index].readiness).unwrap_or(false);
            misses = if is_ready { 0 } else { misses + 1 };
            if is_ready || misses >= MAX_MISSES {
                self.in_rotation.lock().unwrap()[index] = is_ready;
            }
            thread::sleep(CHECK_INTERVAL.saturating_sub(started.elapsed()));
        }
    }

    /// Returns the daemon that gets the packets of a flow from a zone.
    pub fn pick(
        &self,
        zone: usize,
        source: SocketAddrV4,
        destination: SocketAddrV4,
    ) -> Option<SocketAddrV4> {
        let in_rotation = self.in_rotation.lock().unwrap();
        for step in 0..self.zones {
            let zone = (zone + step) % self.zones;
            let daemons = || (0..self.daemons.len()).filter(|at| self.daemons[*at].zone == zone);
            let ready: Vec<usize> = daemons().filter(|at| in_rotation[*at]).collect();
            if ready.is_empty() {
                continue;
            }
            let used = if ready.len() * 2 < daemons().count() {
                daemons().collect()
            } else {
                ready
            };
            let hash = hash(source, destination) as usize;
            return Some(self.daemons[used[hash % used.len()]].datagrams);
        }
        None
    }
}

fn hash(source: SocketAddrV4, destination: SocketAddrV4) -> u32 {
    let mut hash: u32 = 0x811c_9dc5;
    for address in [source, destination] {
        let ip = address.ip().octets();
        for byte in ip.into_iter().chain(address.port().to_be_bytes()) {
            hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        }
    }
    hash ^ (hash >> 15)
}

fn is_ready(address: SocketAddrV4) -> Option<bool> {
    let timeout = Duration::from_millis(400);
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request =
        format!("GET /api/readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    Some(head.ends_with(b"200"))
}

/// Fetches the status of a daemon, for the record only.
pub fn fetch_status(address: SocketAddrV4) -> Option<String> {
    let timeout = Duration::from_millis(400);
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!("GET /status HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.rsplit_once("\r\n\r\n")
        .map(|(_, body)| body.to_owned())
}
