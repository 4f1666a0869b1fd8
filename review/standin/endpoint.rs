//! Stand-in of an endpoint: flows over UDP, its health path over TCP, and its entry in the store.

use {
    crate::{
        packet::{ACK, FIN, Packet, RST, SYN},
        record::Record,
        store::Store,
    },
    std::{
        collections::HashMap,
        io::{BufRead, BufReader, Write},
        net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const BEAT: Duration = Duration::from_millis(1_200);

/// An opening packet that an endpoint took, or a request that it began to run.
#[derive(Clone, Debug)]
pub struct Opening {
    pub at: Instant,
    pub client: SocketAddrV4,
    /// Machine that sent the packet on.
    pub machine: SocketAddr,
}

struct Flow {
    own_seq: u32,
    next: u32,
    /// Sequence number and answer of the last request.
    last: Option<(u32, Packet)>,
}

pub struct Endpoint {
    pub id: u64,
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub born: u64,
    pub openings: Mutex<Vec<Opening>>,
    /// Attempt ids of the requests that ran.
    pub runs: Mutex<HashMap<String, u32>>,
    draining: AtomicBool,
    ended: AtomicBool,
    sequence: AtomicU64,
    work: Duration,
    client_port: u16,
    record: Arc<Record>,
}

impl Endpoint {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        id: u64,
        service: &str,
        zone: &str,
        address: SocketAddrV4,
        client_port: u16,
        work: Duration,
    ) -> Arc<Endpoint> {
        let endpoint = Arc::new(Endpoint {
            id,
            name: format!("i-{id:016x}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: crate::unix_ms(),
            openings: Mutex::default(),
            runs: Mutex::default(),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            sequence: AtomicU64::new(1),
            work,
            client_port,
            record: Arc::clone(record),
        });
        let socket = Arc::new(UdpSocket::bind(address).expect("an endpoint's address is free"));
        let listener = TcpListener::bind(address).expect("an endpoint's address is free");
        let health = Arc::clone(&endpoint);
        thread::spawn(move || health.serve_health(&listener));
        let flows = Arc::clone(&endpoint);
        thread::spawn(move || flows.serve_flows(&socket));
        store.put("servers", &endpoint.name, &endpoint.spec());
        let (beats, store) = (Arc::clone(&endpoint), Arc::clone(store));
        thread::spawn(move || {
            while !beats.ended.load(Ordering::Relaxed) {
                thread::sleep(BEAT);
                beats.sequence.fetch_add(1, Ordering::Relaxed);
                store.beat("servers", &beats.name, &beats.spec());
            }
        });
        endpoint
    }

    fn spec(&self) -> String {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Concurrency\":2,\
             \"State\":\"{state}\",\"WarmupLeftMs\":0,\"Sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.sequence.load(Ordering::Relaxed),
            self.born
        )
    }

    /// Reports `draining` and returns when the store has acknowledged it.
    pub fn drain(&self, store: &Store) -> Instant {
        self.draining.store(true, Ordering::Relaxed);
        self.sequence.fetch_add(1, Ordering::Relaxed);
        store.put("servers", &self.name, &self.spec())
    }

    fn serve_health(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let name = self.name.clone();
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                let mut line = String::new();
                while reader.read_line(&mut line).unwrap_or(0) > 0 {
                    if line == "\r\n" {
                        let answer = format!(
                            "HTTP/1.1 200 OK\r\nX-Skylarkflow-Instance-Id: {name}\r\nContent-Length: 2\r\n\r\nok"
                        );
                        if writer.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                    line.clear();
                }
            });
        }
    }

    fn serve_flows(self: &Arc<Endpoint>, socket: &Arc<UdpSocket>) {
        let flows: Arc<Mutex<HashMap<(SocketAddrV4, SocketAddrV4), Flow>>> = Arc::default();
        let mut buffer = [0; 2_048];
        loop {
            let Ok((length, machine)) = socket.recv_from(&mut buffer) else { continue };
            let Some((prefix, bytes)) = buffer[..length].split_first_chunk::<8>() else { continue };
            let target = u64::from_be_bytes(*prefix);
            let Some(packet) = Packet::decode(bytes) else { continue };
            if target != self.id && target != 0 {
                continue;
            }
            if !packet.is_genuine() || packet.flags & (SYN | ACK) == SYN | ACK {
                self.record.line(&format!("endpoint {} got a forged packet: {packet:?}", self.name));
                continue;
            }
            let key = (packet.source, packet.destination);
            let mut known = flows.lock().unwrap();
            if packet.flags & SYN != 0 {
                let flow = known.entry(key).or_insert_with(|| {
                    let (client, route) = key;
                    self.openings.lock().unwrap().push(Opening { at: Instant::now(), client, machine });
                    self.record.line(&format!("opened {client} to {route} at {} through {machine}", self.name));
                    let own_seq = crate::random() as u32;
                    Flow { own_seq, next: packet.seq.wrapping_add(1), last: None }
                });
                let (seq, ack) = (flow.own_seq, flow.next);
                self.send(socket, &packet, SYN | ACK, seq, ack);
                continue;
            }
            let Some(flow) = known.get_mut(&key) else {
                if packet.flags & RST == 0 {
                    self.send(socket, &packet, RST, packet.ack, packet.seq);
                }
                continue;
            };
            if packet.flags & RST != 0 {
                known.remove(&key);
                continue;
            }
            if packet.flags & FIN != 0 {
                let ack = packet.seq.wrapping_add(1);
                self.send(socket, &packet, ACK | FIN, packet.ack, ack);
                known.remove(&key);
                continue;
            }
            if packet.data.is_empty() {
                continue;
            }
            if let Some((seq, answer)) = &flow.last
                && *seq == packet.seq
            {
                // A repeat of the last request: the answer again, if there is one already.
                if !answer.data.is_empty() {
                    let _ = socket.send_to(&answer.encode(), self.receiver(answer));
                }
                continue;
            }
            if packet.seq != flow.next {
                continue;
            }
            flow.next = packet.seq.wrapping_add(packet.data.len() as u32);
            let attempt = attempt_id(&packet.data);
            *self.runs.lock().unwrap().entry(attempt.clone()).or_default() += 1;
            self.record.line(&format!("run {attempt} at {}", self.name));
            let mut answer = Packet::new(ACK, key.1, key.0, packet.ack, flow.next, packet.echo);
            flow.last = Some((packet.seq, answer.clone()));
            let (endpoint, socket, flows) = (Arc::clone(self), Arc::clone(socket), Arc::clone(&flows));
            thread::spawn(move || {
                thread::sleep(endpoint.work);
                let body = "x".repeat(600);
                answer.data = format!(
                    "HTTP/1.1 200 OK\r\nX-Skylarkflow-Attempt-Id: {attempt}\r\nX-Skylarkflow-Server-Signature: {}\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    endpoint.name,
                    body.len()
                )
                .into_bytes();
                if let Some(flow) = flows.lock().unwrap().get_mut(&key) {
                    flow.last = Some((packet.seq, answer.clone()));
                    let _ = socket.send_to(&answer.encode(), endpoint.receiver(&answer));
                }
            });
        }
    }

    fn receiver(&self, packet: &Packet) -> SocketAddrV4 {
        SocketAddrV4::new(*packet.destination.ip(), self.client_port)
    }

    fn send(&self, socket: &UdpSocket, to: &Packet, flags: u8, seq: u32, ack: u32) {
        let packet = Packet::new(flags, to.destination, to.source, seq, ack, to.echo);
        let _ = socket.send_to(&packet.encode(), self.receiver(&packet));
    }
}

pub fn attempt_id(data: &[u8]) -> String {
    let text = String::from_utf8_lossy(data);
    let line = text.lines().find_map(|line| line.strip_prefix("X-Skylarkflow-Attempt-Id: "));
    line.unwrap_or("").trim().to_owned()
}
