//! Reports of steering balancers, in CBOR, one in a datagram.

use {
    crate::error::{Code, Error, Result},
    serde::{Deserialize, Serialize},
    skylarkflow_steering::gossip::{Freshness, Heartbeat, PeerInfo, Report},
    std::net::SocketAddr,
};

/// Version of the format, the first byte of a datagram.
const VERSION: u8 = 1;

/// Fields by position, which keeps a report short.
#[derive(Deserialize, Serialize)]
struct Wire(
    String,
    String,
    SocketAddr,
    u64,
    u64,
    Vec<(String, u64, u64)>,
    Vec<u64>,
);

impl From<Report> for Wire {
    fn from(report: Report) -> Wire {
        let Report {
            from,
            freshness,
            readers,
            ended,
        } = report;
        let readers = readers.into_iter();
        Wire(
            from.name,
            from.zone,
            from.address,
            freshness.version,
            freshness.revision,
            readers
                .map(|heartbeat| (heartbeat.name, heartbeat.incarnation, heartbeat.sequence))
                .collect(),
            ended,
        )
    }
}

impl From<Wire> for Report {
    fn from(wire: Wire) -> Report {
        let Wire(name, zone, address, version, revision, readers, ended) = wire;
        let heartbeat = |(name, incarnation, sequence): (String, u64, u64)| Heartbeat {
            name,
            incarnation,
            sequence,
        };
        Report {
            from: PeerInfo {
                name,
                zone,
                address,
            },
            freshness: Freshness { version, revision },
            readers: readers.into_iter().map(heartbeat).collect(),
            ended,
        }
    }
}

/// Reads a report.
///
/// # Errors
///
/// Fails if the datagram is malformed or of another version.
pub fn from_slice(bytes: &[u8]) -> Result<Report> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => {
            let wire: Wire = ciborium::from_reader(rest).map_err(|_| Error::from(Code::Control))?;
            Ok(wire.into())
        }
        _ => Err(Code::Version.into()),
    }
}

/// Writes a report.
///
/// # Errors
///
/// Fails if the encoder does.
pub fn to_vec(report: Report) -> Result<Vec<u8>> {
    let mut bytes = vec![VERSION];
    ciborium::into_writer(&Wire::from(report), &mut bytes)
        .map_err(|_| Error::from(Code::Encoding))?;
    Ok(bytes)
}
