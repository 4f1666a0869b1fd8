//! Compact records of flows: nothing is lost, the length is as charged to the handover's budget, and malformed ones are
//! rejected as a whole.

use {
    proptest::prelude::*,
    serde_bytes::ByteBuf,
    skylarkflow_policy::{
        compact::{CompactRecords, Malformed},
        flow::Key,
        handover::Record,
    },
    std::{net::Ipv4Addr, time::Duration},
};

const MAX_BYTES: usize = 1_100;

fn record(caller: u32, service: u8, upstream: u64, epoch: u32) -> Record {
    Record {
        key: Key {
            caller: (Ipv4Addr::from(caller), caller as u16).into(),
            service: (Ipv4Addr::new(10, 8, 0, service), 5_683).into(),
        },
        upstream: Some(upstream),
        established: true,
        epoch,
        quarantine: Duration::ZERO,
        marks: Vec::new(),
    }
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let one = (any::<u32>(), 0..3_u8, 0..20_u64, 0..3_u32);
    prop::collection::vec(one, 0..400).prop_map(|all| {
        let all = all.into_iter();
        all.map(|(caller, service, upstream, epoch)| record(caller, service, upstream, epoch))
            .collect()
    })
}

fn sorted(mut records: Vec<Record>) -> Vec<Record> {
    records.sort_by_key(|one| (one.key.service, one.upstream, one.epoch, one.key.caller));
    records
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoded_records_equal_the_encoded_ones(records in records()) {
        let mut decoded = Vec::new();
        for (part, bytes) in CompactRecords::split(records.clone(), MAX_BYTES) {
            let encoded: ByteBuf = part.into();
            prop_assert_eq!(encoded.len(), bytes);
            prop_assert!(bytes <= MAX_BYTES);
            decoded.extend(CompactRecords::try_from(encoded).unwrap().into_records());
        }
        prop_assert_eq!(sorted(decoded), sorted(records));
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        // A record takes at least 7 bytes, so the memory taken is bounded by the length of the message.
        let decoded = CompactRecords::try_from(ByteBuf::from(bytes.clone()));
        prop_assert!(decoded.is_err() || decoded.unwrap().into_records().len() <= bytes.len() / 7);
    }
}

#[test]
fn flows_of_one_upstream_take_eight_bytes_each_or_fewer() {
    let records: Vec<Record> = (0..100).map(|caller| record(caller, 0, 1, 0)).collect();
    let parts = CompactRecords::split(records, MAX_BYTES);
    let bytes: usize = parts.iter().map(|(_, bytes)| bytes).sum();
    assert_eq!(parts.len(), 1);
    assert!(bytes <= 800, "{bytes} bytes");
}

#[test]
fn truncated_records_are_rejected() {
    let (part, bytes) = CompactRecords::split(vec![record(1, 0, 1, 0)], MAX_BYTES).remove(0);
    let encoded: ByteBuf = part.into();
    for length in 1..bytes {
        let truncated = ByteBuf::from(&encoded[..length]);
        assert_eq!(CompactRecords::try_from(truncated), Err(Malformed));
    }
}

#[test]
fn first_record_without_a_service_is_rejected() {
    let bytes = ByteBuf::from([&[2], &1_u64.to_be_bytes()[..], &[10, 0, 0, 1, 0, 80]].concat());
    assert_eq!(CompactRecords::try_from(bytes), Err(Malformed));
}
