//! A client that opens a flow for each request, or several flows in a row.

use {
    crate::{
        net::{ACK, FIN, Packet, RST, SYN},
        router::Router,
    },
    std::{
        net::{SocketAddrV4, UdpSocket},
        time::{Duration, Instant},
    },
};

/// Times to wait after each copy of an opening packet, and of a request.
const WAITS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// End of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The endpoint has answered.
    Answered,
    /// The flow was reset before it was open; the request has not run.
    Refused,
    /// The flow was reset when it was open.
    Broken,
    /// No answer came in time.
    TimedOut,
}

pub struct Client {
    socket: UdpSocket,
    address: SocketAddrV4,
    zone: usize,
    next_port: u16,
}

impl Client {
    /// Creates a client at an address, to whose port packets for it are sent.
    pub fn new(address: SocketAddrV4, zone: usize) -> Client {
        Client {
            socket: UdpSocket::bind(address).expect("an address for a client"),
            address,
            zone,
            next_port: 20_000,
        }
    }

    /// Sends one request on a flow of its own; returns the client's end of the flow and how it ended.
    pub fn request(&mut self, router: &Router, service: SocketAddrV4) -> (SocketAddrV4, End) {
        self.next_port = if self.next_port < 60_000 {
            self.next_port + 1
        } else {
            20_000
        };
        let source = SocketAddrV4::new(*self.address.ip(), self.next_port);
        let mut opened = None;
        for (copy, wait) in (0..).zip(WAITS) {
            let packet = Packet::new(SYN, source, service, 0, 1_000, copy, &[]);
            self.send(router, &packet);
            match self.receive(source, wait, |packet| packet.flags & SYN != 0) {
                Some(packet) if packet.flags & RST != 0 => return (source, End::Refused),
                Some(packet) => {
                    opened = Some(packet);
                    break;
                }
                None => {}
            }
        }
        let Some(opened) = opened else {
            return (source, End::TimedOut);
        };
        let acknowledged = opened.sequence.wrapping_add(1);
        let data = source.port().to_be_bytes();
        let expected = [b"done ", &data[..]].concat();
        let request = Packet::new(
            ACK,
            source,
            service,
            opened.echo,
            1_001,
            acknowledged,
            &data,
        );
        for wait in WAITS {
            self.send(router, &request);
            match self.receive(source, wait, |packet| packet.data == expected) {
                Some(packet) if packet.flags & RST != 0 => return (source, End::Broken),
                Some(packet) => {
                    let acknowledged = packet.sequence.wrapping_add(packet.data.len() as u32);
                    let sequence = 1_001 + data.len() as u32;
                    let last = Packet::new(
                        FIN | ACK,
                        source,
                        service,
                        packet.echo,
                        sequence,
                        acknowledged,
                        &[],
                    );
                    self.send(router, &last);
                    return (source, End::Answered);
                }
                None => {}
            }
        }
        (source, End::TimedOut)
    }

    fn send(&self, router: &Router, packet: &Packet) {
        if let Some(to) = router.pick(self.zone, packet.source, packet.destination) {
            let _ = self.socket.send_to(&packet.to_vec(), to);
        }
    }

    /// Waits for a reset or an expected packet on the flow.
    fn receive(
        &self,
        source: SocketAddrV4,
        wait: Duration,
        is_expected: impl Fn(&Packet) -> bool,
    ) -> Option<Packet> {
        let deadline = Instant::now() + wait;
        let mut buffer = [0; 2_048];
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            self.socket.set_read_timeout(Some(left)).ok()?;
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(packet) = Packet::from_slice(&buffer[..length]) else {
                continue;
            };
            let is_reset = packet.flags & RST != 0;
            if packet.destination == source && (is_reset || is_expected(&packet)) {
                return Some(packet);
            }
        }
    }
}
