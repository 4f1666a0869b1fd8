//! Tests of the encoding of reports between balancers of different versions, which run side by side during an upgrade.

use {
    skylarkflow_peer::report,
    skylarkflow_steering::{
        gossip::{Freshness, Heartbeat, PeerInfo, Report},
        position::{Epoch, Position},
        speed::{MAX_NOTICES, Notice},
    },
    std::net::SocketAddr,
};

/// A report as balancers encode it that know neither epochs, evacuations nor slow upstreams, without the format version.
type EarlierReport = (
    String,
    String,
    SocketAddr,
    u64,
    u64,
    Vec<(String, u64, u64)>,
    Vec<u64>,
);

/// Format version of a report.
const VERSION: u8 = 1;

fn sample(epoch: Epoch) -> Report {
    Report {
        from: PeerInfo {
            name: "b1".to_owned(),
            zone: "a".to_owned(),
            address: SocketAddr::from(([10, 0, 0, 1], 7200)),
        },
        freshness: Freshness {
            version: 9,
            position: Position {
                epoch,
                revision: 50,
            },
            evacuations: (epoch > 0).then_some(Position {
                epoch,
                revision: 40,
            }),
        },
        readers: vec![Heartbeat {
            name: "b0".to_owned(),
            incarnation: 3,
            sequence: 4,
        }],
        ended: vec![7],
        slow: vec![Notice { id: 8, level: 5 }],
    }
}

fn earlier(report: &Report) -> EarlierReport {
    let from = report.from.clone();
    let readers = report.readers.iter();
    (
        from.name,
        from.zone,
        from.address,
        report.freshness.version,
        report.freshness.position.revision,
        readers
            .map(|heartbeat| {
                (
                    heartbeat.name.clone(),
                    heartbeat.incarnation,
                    heartbeat.sequence,
                )
            })
            .collect(),
        report.ended.clone(),
    )
}

/// Guards against fields that are lost or swapped by the encoding.
#[test]
fn a_decoded_report_equals_the_encoded_one() {
    let bytes = report::to_vec(sample(2)).expect("bytes");
    assert_eq!(report::from_slice(&bytes).expect("a report"), sample(2));
}

/// Guards against balancers that cannot hear each other while a release is rolled out.
#[test]
fn reports_are_readable_across_versions() {
    let mut bytes = vec![VERSION];
    ciborium::into_writer(&earlier(&sample(0)), &mut bytes).expect("bytes");
    let expected = Report {
        slow: Vec::new(),
        ..sample(0)
    };
    assert_eq!(report::from_slice(&bytes).expect("a report"), expected);
    let bytes = report::to_vec(sample(2)).expect("bytes");
    let decoded: EarlierReport = ciborium::from_reader(&bytes[1..]).expect("an earlier report");
    assert_eq!(decoded, earlier(&sample(2)));
}

/// Guards against reports that exceed the limit of a datagram, 2,048 bytes, when many upstreams are slow.
#[test]
fn a_report_with_the_most_slow_upstreams_fits_into_a_datagram() {
    let notice = |id: u64| Notice {
        id: u64::MAX - id,
        level: i8::MIN,
    };
    let report = Report {
        slow: (0..MAX_NOTICES as u64).map(notice).collect(),
        ..sample(2)
    };
    let length = report::to_vec(report).expect("bytes").len();
    assert!(length < 600, "{length} bytes");
}
