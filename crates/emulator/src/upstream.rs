//! Emulated upstream: a CoAP server with a fixed number of slots.

use {
    crate::socket::{self, Stop},
    coap_lite::{
        CoapOption, CoapRequest, MessageClass, MessageType, Packet, RequestType, ResponseType,
    },
    crossbeam::channel::{self, Receiver, Sender},
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// How an upstream behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the CoAP server; port 0 takes a free port.
    pub address: SocketAddr,
    /// Name that the upstream answers with.
    pub name: String,
    /// Service that the upstream belongs to; requests for others are counted and refused.
    pub service: String,
    /// Requests worked on at a time.
    pub slots: usize,
    /// Time that a request takes.
    pub service_time: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "upstream".to_owned(),
            service: "service".to_owned(),
            slots: 2,
            service_time: Duration::ZERO,
        }
    }
}

/// What an upstream has seen.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that ran.
    pub ran: AtomicU64,
    /// Requests for another service.
    pub misdelivered: AtomicU64,
}

/// A running upstream; it stops when dropped.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    counters: Arc<Counters>,
    stop: Stop,
}

struct Job {
    source: SocketAddr,
    packet: Packet,
}

struct Worker {
    socket: UdpSocket,
    settings: Settings,
    counters: Arc<Counters>,
}

impl Upstream {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Upstream> {
        let socket = UdpSocket::bind(settings.address)?;
        let upstream = Upstream {
            address: socket.local_addr()?,
            counters: Arc::default(),
            stop: Stop::default(),
        };
        let (sender, receiver) = channel::unbounded();
        for _ in 0..settings.slots {
            upstream.work(&socket, &settings, receiver.clone())?;
        }
        socket::spawn(&socket, &upstream.stop, move |_, source, bytes| {
            accept(&sender, source, bytes);
        })?;
        Ok(upstream)
    }

    /// Returns the address of the CoAP server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what the upstream has seen.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn work(&self, socket: &UdpSocket, settings: &Settings, jobs: Receiver<Job>) -> io::Result<()> {
        let worker = Worker {
            socket: socket.try_clone()?,
            settings: settings.clone(),
            counters: Arc::clone(&self.counters),
        };
        thread::spawn(move || jobs.iter().for_each(|job| worker.run(job)));
        Ok(())
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.stop.set();
    }
}

impl Worker {
    fn run(&self, job: Job) {
        let host = job.packet.get_first_option(CoapOption::UriHost).cloned();
        let request = CoapRequest::from_packet(job.packet, job.source);
        let method = *request.get_method();
        let Some(mut response) = request.response else {
            return;
        };
        if host.as_deref() == Some(self.settings.service.as_bytes()) {
            thread::sleep(self.settings.service_time);
            let ran = self.counters.ran.fetch_add(1, Ordering::Relaxed) + 1;
            response.set_status(status(method));
            response.message.payload = format!("{} {ran}", self.settings.name).into_bytes();
        } else {
            self.counters.misdelivered.fetch_add(1, Ordering::Relaxed);
            response.set_status(ResponseType::ProxyingNotSupported);
        }
        if let Ok(bytes) = response.message.to_bytes_unlimited() {
            let _ = self.socket.send_to(&bytes, job.source);
        }
    }
}

fn accept(jobs: &Sender<Job>, source: SocketAddr, bytes: &[u8]) {
    let Ok(packet) = Packet::from_bytes(bytes) else {
        return;
    };
    let is_request = matches!(packet.header.code, MessageClass::Request(_));
    if is_request && packet.header.get_type() == MessageType::Confirmable {
        let _ = jobs.send(Job { source, packet });
    }
}

fn status(method: RequestType) -> ResponseType {
    match method {
        RequestType::Get | RequestType::Fetch => ResponseType::Content,
        RequestType::Post => ResponseType::Created,
        RequestType::Delete => ResponseType::Deleted,
        _ => ResponseType::Changed,
    }
}
