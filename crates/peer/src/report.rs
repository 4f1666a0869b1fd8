//! CBOR encoding of reports between steering balancers, one report in a datagram.

use {
    crate::error::{Code, Error, Result},
    serde::{Deserialize, Serialize},
    skylarkflow_steering::peer::{Age, Beat, Place, Report},
    std::net::SocketAddr,
};

/// Format version, the first byte of a datagram.
const VERSION: u8 = 1;

/// A report with its fields by position, which keeps it short: name, zone and address of the sender, version and
/// revision of its tables, name, start and heartbeat count of each reader, and the upstreams that ended.
#[derive(Deserialize, Serialize)]
struct ReportWire(
    String,
    String,
    SocketAddr,
    u64,
    u64,
    Vec<(String, u64, u64)>,
    Vec<u64>,
);

impl From<Report> for ReportWire {
    fn from(report: Report) -> ReportWire {
        let Report {
            from,
            age,
            readers,
            ended,
        } = report;
        let readers = readers.into_iter();
        ReportWire(
            from.name,
            from.zone,
            from.address,
            age.version,
            age.revision,
            readers
                .map(|beat| (beat.name, beat.started, beat.count))
                .collect(),
            ended,
        )
    }
}

impl From<ReportWire> for Report {
    fn from(wire: ReportWire) -> Report {
        let ReportWire(name, zone, address, version, revision, readers, ended) = wire;
        let beat = |(name, started, count): (String, u64, u64)| Beat {
            name,
            started,
            count,
        };
        Report {
            from: Place {
                name,
                zone,
                address,
            },
            age: Age { version, revision },
            readers: readers.into_iter().map(beat).collect(),
            ended,
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
                ciborium::from_reader(rest).map_err(|_| Error::from(Code::Cbor))?;
            Ok(wire.into())
        }
        _ => Err(Code::Version.into()),
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
        .map_err(|_| Error::from(Code::Encoding))?;
    Ok(bytes)
}
