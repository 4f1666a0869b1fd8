//! Flow keys and their hash.

use {
    serde::{Deserialize, Serialize},
    std::net::{IpAddr, SocketAddr},
    xxhash_rust::xxh3::xxh3_64,
};

/// Selects owners and upstreams; equal on every balancer and in every version.
pub type Hash = u64;

/// Longest encoding of two socket addresses, in bytes.
const ENCODED_KEY_BYTES: usize = 36;

/// The two ends of a flow as the caller sees them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Address and port of the service.
    pub service: SocketAddr,
}

impl Key {
    /// Returns the hash of the addresses and ports in network byte order.
    pub fn hash(&self) -> Hash {
        let mut encoded = [0; ENCODED_KEY_BYTES];
        let mut length = 0;
        for address in [self.caller, self.service] {
            length = append(&mut encoded, length, address);
        }
        xxh3_64(&encoded[..length])
    }
}

fn append(encoded: &mut [u8; ENCODED_KEY_BYTES], start: usize, address: SocketAddr) -> usize {
    let port_start = match address.ip() {
        IpAddr::V4(ip) => copy(encoded, start, &ip.octets()),
        IpAddr::V6(ip) => copy(encoded, start, &ip.octets()),
    };
    copy(encoded, port_start, &address.port().to_be_bytes())
}

fn copy(encoded: &mut [u8; ENCODED_KEY_BYTES], start: usize, bytes: &[u8]) -> usize {
    let end = start + bytes.len();
    encoded[start..end].copy_from_slice(bytes);
    end
}
