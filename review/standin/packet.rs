//! Packets of flows, as `PROTOCOL.md` lays them out. The sum is keyed with a key of the stand-ins' own.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 16;
pub const ACK: u8 = 4;
pub const FIN: u8 = 1;
pub const RST: u8 = 64;
const BOUNCED: u8 = 2;
const HEAD: usize = 31;
const KEY: u32 = 0x5f3a_91c7;

#[derive(Clone, Debug)]
pub struct Packet {
    pub echo: u32,
    pub sum: u32,
    pub flags: u8,
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(flags: u8, source: SocketAddrV4, destination: SocketAddrV4, seq: u32, ack: u32, echo: u32) -> Packet {
        Packet { echo, sum: 0, flags, source, destination, seq, ack, data: Vec::new() }
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEAD {
            return None;
        }
        let number = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let port = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let length = usize::from(port(0));
        if bytes.len() != HEAD + length {
            return None;
        }
        Some(Packet {
            echo: number(2),
            sum: number(6),
            flags: bytes[10] & !BOUNCED,
            source: SocketAddrV4::new(Ipv4Addr::from(number(11)), port(15)),
            destination: SocketAddrV4::new(Ipv4Addr::from(number(17)), port(21)),
            seq: number(23),
            ack: number(27),
            data: bytes[HEAD..].to_vec(),
        })
    }

    /// Encodes the packet with its sum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + self.data.len());
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(self.echo.to_be_bytes());
        bytes.extend(self.computed_sum().to_be_bytes());
        bytes.push(self.flags);
        for address in [self.source, self.destination] {
            bytes.extend(address.ip().octets());
            bytes.extend(address.port().to_be_bytes());
        }
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    /// Returns whether an end of the flow wrote the packet so; the system's own resets have the sum 0.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.computed_sum()
    }

    fn computed_sum(&self) -> u32 {
        let mut sum = KEY;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                sum = (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        add(&(self.data.len() as u16).to_be_bytes());
        add(&[self.flags]);
        for address in [self.source, self.destination] {
            add(&address.ip().octets());
            add(&address.port().to_be_bytes());
        }
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&self.data);
        sum.max(1)
    }
}
