//! UDP datagrams between balancers.
//!
//! A datagram starts with the version of the format and its kind. A caller's datagram follows as the fabric delivered
//! it, with its PROXY protocol header, so that passing it on copies it once and encodes nothing again.

use {
    crate::{
        control::Control,
        error::{Code, Error, Result},
    },
    std::net::{IpAddr, Ipv6Addr, SocketAddr},
};

/// Version of the format.
const VERSION: u8 = 2;

const KIND_FORWARDED: u8 = 0;
const KIND_CONTROL: u8 = 1;

/// Bytes of the version and the kind.
const PREFIX_BYTES: usize = 2;

/// Bytes of an IPv6 address, or an IPv4 address mapped to one.
const IP_BYTES: usize = 16;

/// Bytes in front of a caller's datagram.
pub const FORWARD_HEADER_BYTES: usize = PREFIX_BYTES + 1 + 8 + IP_BYTES + 2;

/// A datagram of another balancer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Datagram<'a> {
    /// A caller's datagram.
    Forwarded(ForwardedDatagram<'a>),
    /// A message of the balancer itself.
    Control(Control),
}

/// A caller's datagram on its way to the balancer that owns the flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardedDatagram<'a> {
    /// Balancers that have passed the datagram on.
    pub hops: u8,
    /// Number of the sender's view of the members.
    pub view: u64,
    /// Fabric socket that delivered the datagram.
    pub fabric: SocketAddr,
    /// The datagram as the fabric delivered it.
    pub bytes: &'a [u8],
}

/// Reads a datagram.
///
/// # Errors
///
/// Fails if the datagram is malformed or of an unknown version or kind.
pub fn from_slice(bytes: &[u8]) -> Result<Datagram<'_>> {
    let (prefix, rest) = split_prefix::<PREFIX_BYTES>(bytes)?;
    match *prefix {
        [VERSION, KIND_FORWARDED] => read_forwarded(rest).map(Datagram::Forwarded),
        [VERSION, KIND_CONTROL] => Control::from_slice(rest).map(Datagram::Control),
        [VERSION, _] => Err(Code::Kind.into()),
        _ => Err(Code::Version.into()),
    }
}

/// Writes a caller's datagram into `buffer`, whose former content is dropped.
pub fn write_forwarded(datagram: &ForwardedDatagram<'_>, buffer: &mut Vec<u8>) {
    let ip = match datagram.fabric.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    buffer.clear();
    buffer.extend_from_slice(&[VERSION, KIND_FORWARDED, datagram.hops]);
    buffer.extend_from_slice(&datagram.view.to_be_bytes());
    buffer.extend_from_slice(&ip.octets());
    buffer.extend_from_slice(&datagram.fabric.port().to_be_bytes());
    buffer.extend_from_slice(datagram.bytes);
}

/// Writes a message of a balancer.
///
/// # Errors
///
/// Fails if the encoder does.
pub fn control_to_vec(control: &Control) -> Result<Vec<u8>> {
    let mut bytes = vec![VERSION, KIND_CONTROL];
    control.write(&mut bytes)?;
    Ok(bytes)
}

fn read_forwarded(bytes: &[u8]) -> Result<ForwardedDatagram<'_>> {
    let (&[hops], rest) = split_prefix::<1>(bytes)?;
    let (view, rest) = split_prefix::<8>(rest)?;
    let (ip, rest) = split_prefix::<IP_BYTES>(rest)?;
    let (port, bytes) = split_prefix::<2>(rest)?;
    let ip = Ipv6Addr::from(*ip).to_canonical();
    Ok(ForwardedDatagram {
        hops,
        view: u64::from_be_bytes(*view),
        fabric: SocketAddr::new(ip, u16::from_be_bytes(*port)),
        bytes,
    })
}

fn split_prefix<const N: usize>(bytes: &[u8]) -> Result<(&[u8; N], &[u8])> {
    bytes
        .split_first_chunk::<N>()
        .ok_or(Error::from(Code::Truncated))
}
