//! UDP datagrams between balancers.
//!
//! A datagram starts with the format version and its kind. A forwarded caller's datagram follows unchanged, including
//! the fabric's PROXY protocol header, so that forwarding copies it once and does not encode it again.

use {
    crate::{
        control::Control,
        error::{Error, ErrorCode, Result},
    },
    std::net::{IpAddr, Ipv6Addr, SocketAddr},
};

/// Format version, the first byte of a datagram.
const VERSION: u8 = 2;

const KIND_FORWARDED: u8 = 0;
const KIND_CONTROL: u8 = 1;

/// Length of the version and the kind.
const PREFIX_BYTES: usize = 2;

/// Length of an IPv6 address, or of an IPv4 address mapped to one.
const IP_BYTES: usize = 16;

/// Length of the header in front of a forwarded caller's datagram.
pub const FORWARD_HEADER_BYTES: usize = PREFIX_BYTES + 1 + 8 + IP_BYTES + 2;

/// A datagram received from another balancer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Datagram<'a> {
    /// A forwarded caller's datagram.
    Forwarded(ForwardedDatagram<'a>),
    /// A control message.
    Control(Control),
}

/// A caller's datagram that is forwarded to the balancer that owns its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardedDatagram<'a> {
    /// Number of balancers that have forwarded the datagram.
    pub hops: u8,
    /// Number of the sender's membership view.
    pub view: u64,
    /// Address of the fabric socket that delivered the datagram.
    pub fabric: SocketAddr,
    /// The datagram as the fabric delivered it.
    pub bytes: &'a [u8],
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails if the datagram is malformed or of an unknown version or kind.
pub fn from_slice(bytes: &[u8]) -> Result<Datagram<'_>> {
    let (prefix, rest) = split_prefix::<PREFIX_BYTES>(bytes)?;
    match *prefix {
        [VERSION, KIND_FORWARDED] => read_forwarded(rest).map(Datagram::Forwarded),
        [VERSION, KIND_CONTROL] => Control::from_slice(rest).map(Datagram::Control),
        [VERSION, _] => Err(ErrorCode::Kind.into()),
        _ => Err(ErrorCode::Version.into()),
    }
}

/// Encodes a forwarded datagram into `buffer`, replacing its content.
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

/// Encodes a control message as a datagram.
///
/// # Errors
///
/// Fails if the message cannot be encoded.
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
        .ok_or(Error::from(ErrorCode::Truncated))
}
