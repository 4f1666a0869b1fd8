//! PROXY protocol v2 headers that carry the original addresses of a datagram.

use {
    crate::error::{Error, ErrorCode, Result},
    ppp::v2::{Addresses, Builder, Command, Header, IPv4, IPv6, Protocol, Version},
    skylarkflow_policy::flow::Key,
    std::net::SocketAddr,
};

/// A datagram with its original addresses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Datagram<'a> {
    /// Original sender.
    pub source: SocketAddr,
    /// Original destination.
    pub destination: SocketAddr,
    /// Payload without the header.
    pub payload: &'a [u8],
}

impl Datagram<'_> {
    /// Returns the flow key of a datagram that the fabric delivered.
    pub fn key(&self) -> Key {
        Key {
            caller: self.source,
            service: self.destination,
        }
    }
}

/// Decodes a datagram that starts with a PROXY protocol v2 header.
///
/// # Errors
///
/// Fails if the header is missing, malformed or without two IP addresses.
pub fn from_slice(bytes: &[u8]) -> Result<Datagram<'_>> {
    let header = Header::try_from(bytes).map_err(|_| Error::from(ErrorCode::Header))?;
    let length = header.len();
    let (source, destination) = addresses(&header.addresses)?;
    Ok(Datagram {
        source,
        destination,
        payload: bytes.get(length..).ok_or(Error::from(ErrorCode::Header))?,
    })
}

/// Encodes a datagram with a PROXY protocol v2 header in front.
///
/// # Errors
///
/// Fails if the two addresses are of different families.
pub fn to_vec(datagram: &Datagram<'_>) -> Result<Vec<u8>> {
    let addresses = match (datagram.source, datagram.destination) {
        (SocketAddr::V4(from), SocketAddr::V4(to)) => {
            Addresses::IPv4(IPv4::new(*from.ip(), *to.ip(), from.port(), to.port()))
        }
        (SocketAddr::V6(from), SocketAddr::V6(to)) => {
            Addresses::IPv6(IPv6::new(*from.ip(), *to.ip(), from.port(), to.port()))
        }
        _ => return Err(ErrorCode::Addresses.into()),
    };
    let version_command = Version::Two | Command::Proxy;
    let header = Builder::with_addresses(version_command, Protocol::Datagram, addresses).build();
    let mut bytes = header.map_err(|_| Error::from(ErrorCode::Header))?;
    bytes.extend_from_slice(datagram.payload);
    Ok(bytes)
}

fn addresses(addresses: &Addresses) -> Result<(SocketAddr, SocketAddr)> {
    match addresses {
        Addresses::IPv4(ip) => Ok((
            (ip.source_address, ip.source_port).into(),
            (ip.destination_address, ip.destination_port).into(),
        )),
        Addresses::IPv6(ip) => Ok((
            (ip.source_address, ip.source_port).into(),
            (ip.destination_address, ip.destination_port).into(),
        )),
        Addresses::Unspecified | Addresses::Unix(_) => Err(ErrorCode::Addresses.into()),
    }
}
