//! An endpoint: it accepts flows, runs requests and answers health checks.

use {
    crate::{
        net::{ACK, FIN, Packet, RST, SYN},
        store::{Store, read_request},
    },
    std::{
        collections::HashMap,
        io::{BufReader, Write},
        net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
        sync::{Arc, Mutex},
        thread,
        time::Instant,
    },
};

/// A flow whose opening packet the endpoint took.
#[derive(Clone, Debug)]
pub struct Opening {
    pub endpoint: u64,
    pub source: SocketAddrV4,
    /// When the opening packet arrived.
    pub at: Instant,
    /// Machine that sent it on.
    pub machine: Ipv4Addr,
    /// Whether the client has acknowledged the endpoint's sequence number.
    pub is_open: bool,
    /// Requests that were run.
    pub runs: u32,
}

pub type Openings = Arc<Mutex<Vec<Opening>>>;

pub struct Endpoint {
    pub id: u64,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    /// Start in Unix milliseconds.
    pub born: u64,
}

impl Endpoint {
    /// Starts an endpoint, which records what it takes in `openings`.
    pub fn start(self, client_port: u16, openings: Openings) -> Endpoint {
        let socket = UdpSocket::bind(self.address).expect("an address for an endpoint");
        let listener = TcpListener::bind(self.address).expect("an address for an endpoint");
        let id = self.id;
        thread::spawn(move || serve_health(listener, id));
        thread::spawn(move || serve_packets(&socket, id, client_port, &openings));
        self
    }

    /// Writes the entry of the endpoint; returns the time of the acknowledgement.
    ///
    /// Heartbeats change nothing but `Sequence`, which is no change of the entry, so they are left out.
    pub fn report(&self, store: &Store, state: &str) -> Instant {
        let Endpoint {
            id,
            service,
            zone,
            address,
            born,
        } = self;
        let spec = format!(
            r#"{{"Service":"{service}","Address":"{address}","Zone":"{zone}","Version":"v1","Concurrency":2,"State":"{state}","WarmupLeftMs":0,"Sequence":4,"born":{born}}}"#
        );
        store.put("servers", &format!("i-{id:x}"), &spec)
    }
}

fn serve_health(listener: TcpListener, id: u64) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while read_request(&mut reader).is_some() {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Skylarkflow-Instance-Id: i-{id:x}\r\nContent-Length: 0\r\n\r\n"
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

fn serve_packets(socket: &UdpSocket, id: u64, client_port: u16, openings: &Openings) {
    let mut buffer = [0; 2_048];
    // Index in `openings` and own sequence number by the client's end.
    let mut flows: HashMap<SocketAddrV4, (usize, u32)> = HashMap::new();
    let mut next_sequence: u32 = id as u32 ^ 0x5bd1_e995;
    while let Ok((length, from)) = socket.recv_from(&mut buffer) {
        let Some((prefix, packet)) = buffer[..length].split_first_chunk::<8>() else {
            continue;
        };
        let target = u64::from_be_bytes(*prefix);
        let Some(packet) = Packet::from_slice(packet) else {
            continue;
        };
        if (target != id && target != 0) || !packet.is_intact() {
            continue;
        }
        let (source, destination) = (packet.source, packet.destination);
        let reply = |flags, sequence, acknowledged, data: &[u8]| {
            let packet = Packet::new(
                flags,
                destination,
                source,
                packet.echo,
                sequence,
                acknowledged,
                data,
            );
            let to = SocketAddrV4::new(*source.ip(), client_port);
            let _ = socket.send_to(&packet.to_vec(), to);
        };
        if packet.flags & SYN != 0 {
            let (_, sequence) = *flows.entry(source).or_insert_with(|| {
                next_sequence = next_sequence
                    .wrapping_mul(1_664_525)
                    .wrapping_add(1_013_904_223);
                let SocketAddr::V4(machine) = from else {
                    unreachable!("all addresses are IPv4");
                };
                let mut openings = openings.lock().unwrap();
                openings.push(Opening {
                    endpoint: id,
                    source,
                    at: Instant::now(),
                    machine: *machine.ip(),
                    is_open: false,
                    runs: 0,
                });
                (openings.len() - 1, next_sequence)
            });
            reply(SYN | ACK, sequence, packet.sequence.wrapping_add(1), &[]);
            continue;
        }
        let Some(&(index, sequence)) = flows.get(&source) else {
            reply(RST, packet.acknowledged, 0, &[]);
            continue;
        };
        if packet.flags & RST != 0 {
            flows.remove(&source);
            continue;
        }
        let is_acknowledged = packet.acknowledged.wrapping_sub(sequence) as i32 > 0;
        let next = packet.sequence.wrapping_add(packet.data.len() as u32);
        if is_acknowledged {
            openings.lock().unwrap()[index].is_open = true;
        }
        if !packet.data.is_empty() {
            openings.lock().unwrap()[index].runs += 1;
            let text = [b"done ", &packet.data[..]].concat();
            reply(ACK, packet.acknowledged, next, &text);
        }
        if packet.flags & FIN != 0 {
            reply(FIN | ACK, packet.acknowledged, next.wrapping_add(1), &[]);
            flows.remove(&source);
        }
    }
}
