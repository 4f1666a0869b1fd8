//! Responses of upstreams, re-encoded for callers.

use {
    coap_lite::{CoapOption, MessageClass, MessageType, Packet, ResponseType},
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    skylarkflow_caller::message,
    skylarkflow_policy::exchange::{Body, Kind, Reply, Token},
};

fn reply(token: &[u8], body: Vec<u8>) -> Reply {
    Reply {
        kind: Kind::Confirmable,
        message_id: 0xbeef,
        token: Token::from_slice(token).expect("at most 8 bytes"),
        body: Body::Answer(body),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7252), ..ProptestConfig::default() })]

    /// Guards against a response that loses or changes its code, options or payload when its header is replaced.
    #[test]
    fn only_the_header_and_the_token_change(
        upstream_token in vec(any::<u8>(), 0..=8),
        caller_token in vec(any::<u8>(), 0..=8),
        etag in vec(any::<u8>(), 1..=8),
        payload in vec(any::<u8>(), 0..=1_100),
    ) {
        let mut packet = Packet::new();
        packet.header.set_type(MessageType::Acknowledgement);
        packet.header.code = MessageClass::Response(ResponseType::Content);
        packet.header.message_id = 1;
        packet.set_token(upstream_token);
        packet.add_option(CoapOption::ETag, etag);
        packet.add_option(CoapOption::Unknown(65_004), vec![1, 2, 0, 0]);
        packet.payload = payload;
        let bytes = packet.to_bytes_unlimited().expect("a message");
        packet.header.set_type(MessageType::Confirmable);
        packet.header.message_id = 0xbeef;
        packet.set_token(caller_token.clone());
        let expected = packet.to_bytes_unlimited().expect("a message");
        prop_assert_eq!(message::to_vec(&reply(&caller_token, bytes)).expect("a message"), expected);
    }

    /// Guards against a panic on a truncated response.
    #[test]
    fn a_response_is_rejected_exactly_if_its_header_or_token_is_truncated(bytes in vec(any::<u8>(), 0..12)) {
        let is_complete = bytes.len() >= 4 && bytes.len() >= 4 + usize::from(bytes[0] & 0x0f);
        prop_assert_eq!(message::to_vec(&reply(b"t", bytes)).is_ok(), is_complete);
    }
}
