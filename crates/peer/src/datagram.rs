//! UDP datagrams between balancers.

use {
    crate::error::{Code, Error, Result},
    serde::{Deserialize, Serialize},
    skylarkflow_policy::flow::Key,
    std::net::SocketAddr,
};

/// Version of the frame format.
const VERSION: u8 = 1;

/// A datagram of a caller on its way to the balancer that owns the flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame<'a> {
    /// Balancers that have passed the datagram on.
    pub hops: u8,
    /// Fabric socket that delivered the datagram.
    pub fabric: SocketAddr,
    /// Flow of the datagram.
    pub key: Key,
    /// The caller's datagram.
    pub payload: &'a [u8],
}

#[derive(Deserialize, Serialize)]
struct Header(u8, u8, SocketAddr, SocketAddr, SocketAddr);

/// Reads a frame.
///
/// # Errors
///
/// Fails if the frame is malformed or of an unknown version.
pub fn from_slice(bytes: &[u8]) -> Result<Frame<'_>> {
    let mut rest = bytes;
    let header: Header = ciborium::from_reader(&mut rest).map_err(|_| Error::from(Code::Frame))?;
    let Header(version, hops, fabric, caller, service) = header;
    if version != VERSION {
        return Err(Code::Version.into());
    }
    let key = Key { caller, service };
    Ok(Frame {
        hops,
        fabric,
        key,
        payload: rest,
    })
}

/// Writes a frame.
///
/// # Errors
///
/// Fails if the encoder does.
pub fn to_vec(frame: &Frame<'_>) -> Result<Vec<u8>> {
    let Frame {
        hops,
        fabric,
        key,
        payload,
    } = frame;
    let header = Header(VERSION, *hops, *fabric, key.caller, key.service);
    let mut bytes = Vec::new();
    ciborium::into_writer(&header, &mut bytes).map_err(|_| Error::from(Code::Encoding))?;
    bytes.extend_from_slice(payload);
    Ok(bytes)
}
