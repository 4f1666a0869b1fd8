//! CBOR encoding of reports between steering balancers, one report in a datagram.

use {
    crate::error::{Error, ErrorCode, Result},
    serde::{Deserialize, Serialize},
    skylarkflow_steering::{
        gossip::{Freshness, Heartbeat, PeerInfo, Report},
        position::{Epoch, Position, Revision},
        speed::Notice,
    },
    std::net::SocketAddr,
};

/// Format version, the first byte of a datagram.
const VERSION: u8 = 1;

/// A report with its fields by position, which keeps it short: name, zone and address of the sender, version and
/// revision of its tables, name, start and heartbeat sequence of each reader, the upstreams that ended, the epoch of the
/// revision, epoch and revision of the last change of an evacuation, and the slow upstreams with the levels of their
/// slowness. Reports of older versions lack the last three, and
/// their balancers ignore them.
#[derive(Deserialize, Serialize)]
struct ReportWire(
    String,
    String,
    SocketAddr,
    u64,
    u64,
    Vec<(String, u64, u64)>,
    Vec<u64>,
    #[serde(default)] Epoch,
    #[serde(default)] Option<(Epoch, Revision)>,
    #[serde(default)] Vec<(u64, i8)>,
);

impl From<Report> for ReportWire {
    fn from(report: Report) -> ReportWire {
        let Report {
            from,
            freshness,
            readers,
            ended,
            slow,
        } = report;
        let readers = readers.into_iter();
        ReportWire(
            from.name,
            from.zone,
            from.address,
            freshness.version,
            freshness.position.revision,
            readers
                .map(|heartbeat| (heartbeat.name, heartbeat.incarnation, heartbeat.sequence))
                .collect(),
            ended,
            freshness.position.epoch,
            freshness
                .evacuations
                .map(|position| (position.epoch, position.revision)),
            slow.into_iter()
                .map(|notice| (notice.id, notice.level))
                .collect(),
        )
    }
}

impl From<ReportWire> for Report {
    fn from(wire: ReportWire) -> Report {
        let ReportWire(
            name,
            zone,
            address,
            version,
            revision,
            readers,
            ended,
            epoch,
            evacuations,
            slow,
        ) = wire;
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
            freshness: Freshness {
                version,
                position: Position { epoch, revision },
                evacuations: evacuations.map(|(epoch, revision)| Position { epoch, revision }),
            },
            readers: readers.into_iter().map(heartbeat).collect(),
            ended,
            slow: slow
                .into_iter()
                .map(|(id, level)| Notice { id, level })
                .collect(),
        }
    }
}

/// Decodes a report.
///
/// # Errors
///
/// Fails if the datagram is malformed or of another version.
pub fn from_slice(bytes: &[u8]) -> Result<Report> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => {
            let wire: ReportWire =
                ciborium::from_reader(rest).map_err(|_| Error::from(ErrorCode::Cbor))?;
            Ok(wire.into())
        }
        _ => Err(ErrorCode::Version.into()),
    }
}

/// Encodes a report.
///
/// # Errors
///
/// Fails if the report cannot be encoded.
pub fn to_vec(report: Report) -> Result<Vec<u8>> {
    let mut bytes = vec![VERSION];
    ciborium::into_writer(&ReportWire::from(report), &mut bytes)
        .map_err(|_| Error::from(ErrorCode::Encoding))?;
    Ok(bytes)
}
