//! Packets of the users' platform, as `PROTOCOL.md` lays them out.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 16;
pub const ACK: u8 = 4;
pub const FIN: u8 = 1;
pub const RST: u8 = 64;

const HEADER: usize = 31;

/// Key of the checksum, known to clients and endpoints only.
const SUM_KEY: u32 = 0x9e37_79b9;

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    pub echo: u32,
    pub sum: u32,
    pub flags: u8,
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub sequence: u32,
    pub acknowledged: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(
        flags: u8,
        source: SocketAddrV4,
        destination: SocketAddrV4,
        echo: u32,
        sequence: u32,
        acknowledged: u32,
        data: &[u8],
    ) -> Packet {
        let mut packet = Packet {
            echo,
            sum: 0,
            flags,
            source,
            destination,
            sequence,
            acknowledged,
            data: data.to_vec(),
        };
        packet.sum = packet.expected_sum();
        packet
    }

    /// Returns whether the packet is as its sender wrote it, apart from the echo.
    pub fn is_intact(&self) -> bool {
        self.sum == self.expected_sum()
    }

    fn expected_sum(&self) -> u32 {
        let mut copy = self.clone();
        copy.echo = 0;
        copy.sum = 0;
        let bytes = copy.to_vec();
        let sum = bytes.iter().fold(SUM_KEY, |sum, byte| {
            (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
        });
        sum.max(1)
    }

    pub fn from_slice(bytes: &[u8]) -> Option<Packet> {
        let header: &[u8; HEADER] = bytes.first_chunk()?;
        let number = |at: usize| {
            u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
        };
        let address = |at: usize| {
            let port = u16::from_be_bytes([header[at + 4], header[at + 5]]);
            SocketAddrV4::new(Ipv4Addr::from(number(at)), port)
        };
        Some(Packet {
            echo: number(2),
            sum: number(6),
            flags: header[10],
            source: address(11),
            destination: address(17),
            sequence: number(23),
            acknowledged: number(27),
            data: bytes[HEADER..].to_vec(),
        })
    }

    pub fn to_vec(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER + self.data.len());
        bytes.extend_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes.extend_from_slice(&self.echo.to_be_bytes());
        bytes.extend_from_slice(&self.sum.to_be_bytes());
        bytes.push(self.flags);
        for address in [self.source, self.destination] {
            bytes.extend_from_slice(&address.ip().octets());
            bytes.extend_from_slice(&address.port().to_be_bytes());
        }
        bytes.extend_from_slice(&self.sequence.to_be_bytes());
        bytes.extend_from_slice(&self.acknowledged.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }
}
