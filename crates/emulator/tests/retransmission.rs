//! Retransmissions of an emulated caller (RFC 7252, section 4.2).

use {
    rand::{SeedableRng, rngs::SmallRng},
    skylarkflow_emulator::exchange::{ACK_TIMEOUT, Exchange, Received, Request},
    std::time::Instant,
};

/// Guards against a caller that retransmits at once, or not within ACK_TIMEOUT times its random factor.
#[test]
fn the_first_retransmission_is_due_after_the_randomized_ack_timeout() {
    for seed in 0..100 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut exchange = Exchange::new(&Request::default(), 1, &mut random);
        let start = Instant::now();
        assert!(exchange.poll_transmit().is_some());
        assert!(exchange.poll_transmit().is_none());
        let wait = exchange
            .next_transmission()
            .expect("a retransmission")
            .duration_since(start);
        assert!(
            wait >= ACK_TIMEOUT && wait <= ACK_TIMEOUT.mul_f64(1.51),
            "{wait:?}"
        );
    }
}

/// Guards against a caller that keeps retransmitting after an empty acknowledgement, or takes it for a response.
#[test]
fn an_empty_acknowledgement_ends_the_retransmissions() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut exchange = Exchange::new(&Request::default(), 7, &mut random);
    assert!(exchange.poll_transmit().is_some());
    let (received, _) = exchange.handle_datagram(&[0x60, 0, 0, 8]);
    assert!(
        matches!(received, Received::Unrelated),
        "acknowledgement of another message"
    );
    assert!(exchange.next_transmission().is_some());
    let (received, _) = exchange.handle_datagram(&[0x60, 0, 0, 7]);
    assert!(matches!(received, Received::Acknowledged));
    assert!(exchange.next_transmission().is_none());
    let (received, acknowledgement) = exchange.handle_datagram(&[0x42, 0x45, 0x12, 0x34, 0, 7]);
    assert!(matches!(received, Received::Response(_)));
    assert_eq!(acknowledgement, Some(vec![0x60, 0, 0x12, 0x34]));
}
