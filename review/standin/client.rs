//! Stand-in of the clients, and of the routers between them and the daemons.

use {
    crate::{
        endpoint::attempt_id,
        packet::{ACK, FIN, Packet, RST, SYN},
        record::Record,
    },
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        io::{Read, Write},
        net::{SocketAddr, SocketAddrV4, TcpStream, UdpSocket},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU16, AtomicU64, Ordering},
            mpsc::{self, Receiver, Sender},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// A daemon as the routers see it.
pub struct Front {
    pub zone: String,
    pub datagrams: SocketAddrV4,
    pub readiness: SocketAddrV4,
    misses: AtomicU64,
}

impl Front {
    pub fn new(zone: &str, datagrams: SocketAddrV4, readiness: SocketAddrV4) -> Front {
        Front { zone: zone.to_owned(), datagrams, readiness, misses: AtomicU64::new(2) }
    }

    pub fn is_in_rotation(&self) -> bool {
        self.misses.load(Ordering::Relaxed) < 2
    }
}

/// The platform's routers: they ask each daemon twice a second and hash flows by `mod`.
pub struct Routers {
    pub fronts: Vec<Front>,
}

impl Routers {
    pub fn start(fronts: Vec<Front>) -> Arc<Routers> {
        let routers = Arc::new(Routers { fronts });
        for at in 0..routers.fronts.len() {
            let routers = Arc::clone(&routers);
            thread::spawn(move || {
                loop {
                    let front = &routers.fronts[at];
                    if is_ready(front.readiness) {
                        front.misses.store(0, Ordering::Relaxed);
                    } else {
                        front.misses.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
        routers
    }

    /// Returns the daemon for a client's packet.
    pub fn pick(&self, zone: &str, source: SocketAddrV4, destination: SocketAddrV4) -> &Front {
        let all: Vec<&Front> = self.fronts.iter().filter(|front| front.zone == zone).collect();
        let ready: Vec<&Front> = all.iter().copied().filter(|front| front.is_in_rotation()).collect();
        let mut used = if ready.len() * 2 < all.len() { all } else { ready.clone() };
        if ready.is_empty() {
            let elsewhere: Vec<&Front> = self.fronts.iter().filter(|front| front.is_in_rotation()).collect();
            if !elsewhere.is_empty() {
                used = elsewhere;
            }
        }
        let mut hasher = DefaultHasher::new();
        (source, destination).hash(&mut hasher);
        used[(hasher.finish() % used.len() as u64) as usize]
    }
}

fn is_ready(address: SocketAddrV4) -> bool {
    let limit = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), limit) else { return false };
    let _ = stream.set_read_timeout(Some(limit));
    let request = format!("GET /api/readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let mut answer = [0; 12];
    stream.write_all(request.as_bytes()).is_ok() && stream.read_exact(&mut answer).is_ok() && &answer[9..] == b"200"
}

/// How an attempt to open a flow, or a request, ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Served,
    /// A reset of the system's own (sum 0).
    SystemReset,
    /// A reset that the endpoint wrote.
    EndpointReset,
    TimedOut,
}

/// A client machine with its own address.
pub struct Client {
    pub zone: String,
    pub address: SocketAddrV4,
    socket: UdpSocket,
    flows: Mutex<HashMap<u16, Sender<Packet>>>,
    next_port: AtomicU16,
    routers: Arc<Routers>,
    record: Arc<Record>,
}

/// A flow of a client.
pub struct Flow {
    client: Arc<Client>,
    pub source: SocketAddrV4,
    pub route: SocketAddrV4,
    packets: Receiver<Packet>,
    seq: u32,
    ack: u32,
    echo: u32,
    pub opened: Instant,
    /// Daemon to which the first copy of the opening packet went.
    pub first_machine: SocketAddr,
}

impl Client {
    pub fn start(zone: &str, address: SocketAddrV4, routers: &Arc<Routers>, record: &Arc<Record>) -> Arc<Client> {
        let client = Arc::new(Client {
            zone: zone.to_owned(),
            address,
            socket: UdpSocket::bind(address).expect("a client's address is free"),
            flows: Mutex::default(),
            next_port: AtomicU16::new(20_000),
            routers: Arc::clone(routers),
            record: Arc::clone(record),
        });
        let receiver = Arc::clone(&client);
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            loop {
                let Ok((length, _)) = receiver.socket.recv_from(&mut buffer) else { continue };
                let Some(packet) = Packet::decode(&buffer[..length]) else { continue };
                let flows = receiver.flows.lock().unwrap();
                if let Some(flow) = flows.get(&packet.destination.port()) {
                    let _ = flow.send(packet);
                }
            }
        });
        client
    }

    pub fn record_line(&self, text: &str) {
        self.record.line(text);
    }

    fn send(&self, packet: &Packet) -> SocketAddr {
        let front = self.routers.pick(&self.zone, packet.source, packet.destination);
        let _ = self.socket.send_to(&packet.encode(), front.datagrams);
        front.datagrams.into()
    }

    /// Opens a flow from a new port.
    pub fn open(self: &Arc<Client>, route: SocketAddrV4) -> Result<Flow, (End, SocketAddr)> {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let source = SocketAddrV4::new(*self.address.ip(), port);
        let (sender, packets) = mpsc::channel();
        self.flows.lock().unwrap().insert(port, sender);
        let seq = crate::random() as u32;
        let mut first_machine = None;
        for (copies, wait) in [(0, 200), (1, 400), (2, 800)] {
            let syn = Packet::new(SYN, source, route, seq, copies, 0);
            let machine = self.send(&syn);
            let first_machine = *first_machine.get_or_insert(machine);
            let deadline = Instant::now() + Duration::from_millis(wait);
            while let Ok(packet) = packets.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                if packet.source != route {
                    continue;
                }
                if packet.flags & RST != 0 {
                    let end = if packet.sum == 0 { End::SystemReset } else { End::EndpointReset };
                    self.flows.lock().unwrap().remove(&port);
                    self.record.line(&format!("refused {source} to {route}: {end:?}, first copy through {first_machine}"));
                    return Err((end, first_machine));
                }
                if packet.flags & SYN != 0 && packet.is_genuine() {
                    let flow = Flow {
                        client: Arc::clone(self),
                        source,
                        route,
                        packets,
                        seq: seq.wrapping_add(1),
                        ack: packet.seq.wrapping_add(1),
                        echo: packet.echo,
                        opened: Instant::now(),
                        first_machine,
                    };
                    flow.send(ACK, Vec::new());
                    return Ok(flow);
                }
            }
        }
        self.flows.lock().unwrap().remove(&port);
        let first_machine = first_machine.expect("a copy was sent");
        self.record.line(&format!("no answer to {source} to {route}, first copy through {first_machine}"));
        Err((End::TimedOut, first_machine))
    }
}

impl Flow {
    fn send(&self, flags: u8, data: Vec<u8>) -> SocketAddr {
        let mut packet = Packet::new(flags, self.source, self.route, self.seq, self.ack, self.echo);
        packet.data = data;
        self.client.send(&packet)
    }

    /// Returns how the flow was reset while no request waited, if it was.
    pub fn reset_while_idle(&mut self) -> Option<End> {
        let mut end = None;
        while let Ok(packet) = self.packets.try_recv() {
            end = end.or(self.reset_by(&packet));
        }
        end
    }

    /// Sleeps for a time, or until the flow is reset.
    pub fn rest(&mut self, time: Duration) -> Option<End> {
        let deadline = Instant::now() + time;
        while let Ok(packet) = self.packets.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            if let Some(end) = self.reset_by(&packet) {
                return Some(end);
            }
        }
        None
    }

    fn reset_by(&self, packet: &Packet) -> Option<End> {
        if packet.flags & RST == 0 || packet.source != self.route {
            return None;
        }
        if packet.sum != 0 {
            return Some(End::EndpointReset);
        }
        // A reset of the system's own counts near the last acknowledgement only.
        let distance = (packet.seq.wrapping_sub(self.ack) as i32).unsigned_abs();
        (distance <= 76_800).then_some(End::SystemReset)
    }

    /// Sends a request and waits for its answer until the deadline.
    pub fn request(&mut self, method: &str, attempt: &str, deadline: Duration) -> End {
        if let Some(end) = self.reset_while_idle() {
            return end;
        }
        let body = if method == "POST" { "y".repeat(300) } else { String::new() };
        let text = format!(
            "{method} /x HTTP/1.1\r\nHost: s\r\nX-Skylarkflow-Attempt-Id: {attempt}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.client.record.line(&format!("sent {method} {attempt} on {} to {}", self.source, self.route));
        let data = text.into_bytes();
        let until = Instant::now() + deadline;
        let mut wait = Duration::from_millis(200);
        while Instant::now() < until {
            self.send(ACK, data.clone());
            let again = (Instant::now() + wait).min(until);
            wait = (wait * 2).min(Duration::from_millis(1_600));
            while let Ok(packet) = self.packets.recv_timeout(again.saturating_duration_since(Instant::now())) {
                if let Some(end) = self.reset_by(&packet) {
                    self.client.record.line(&format!("answered {attempt}: {end:?}"));
                    return end;
                }
                if packet.is_genuine() && packet.seq == self.ack && !packet.data.is_empty() {
                    self.seq = self.seq.wrapping_add(data.len() as u32);
                    self.ack = self.ack.wrapping_add(packet.data.len() as u32);
                    self.echo = packet.echo;
                    self.send(ACK, Vec::new());
                    let own = attempt_id(&packet.data) == attempt;
                    self.client.record.line(&format!("answered {attempt}: 200{}", if own { "" } else { " OF ANOTHER" }));
                    return End::Served;
                }
            }
        }
        self.client.record.line(&format!("answered {attempt}: nothing"));
        End::TimedOut
    }

    /// Ends the flow as the client.
    pub fn close(self) {
        self.send(ACK | FIN, Vec::new());
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.client.flows.lock().unwrap().remove(&self.source.port());
    }
}
