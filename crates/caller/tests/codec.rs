//! Decoding and encoding of datagrams of the fabric and messages of callers.

use {
    assert_matches::assert_matches,
    coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType},
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    skylarkflow_caller::{
        error::Category,
        message::{self, Message},
        proxy_header::{self, Datagram},
    },
    skylarkflow_policy::exchange::{Body, Effect, Kind, Reply, Token},
    std::net::SocketAddr,
};

const CASES: u32 = 5_000;

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn request(method: RequestType) -> Vec<u8> {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Confirmable);
    packet.header.code = MessageClass::Request(method);
    packet.header.message_id = 7;
    packet.set_token(vec![1, 2, 3]);
    packet.add_option(CoapOption::UriPath, b"weights".to_vec());
    packet.to_bytes().expect("a message")
}

/// Guards against an address that changes when a PROXY protocol header is encoded and decoded, for both address
/// families.
#[test]
fn a_proxy_header_keeps_the_addresses() {
    for (source, destination) in [
        ("192.0.2.7:9", "198.51.100.1:5683"),
        ("[2001:db8::1]:9", "[2001:db8::2]:5683"),
    ] {
        let datagram = Datagram {
            source: address(source),
            destination: address(destination),
            payload: b"x",
        };
        let bytes = proxy_header::to_vec(&datagram).expect("a datagram with a header");
        assert_eq!(
            proxy_header::from_slice(&bytes).expect("a datagram"),
            datagram
        );
    }
}

/// Guards against a POST that is classified as idempotent: it could then be retried and run twice.
#[test]
fn methods_determine_whether_a_request_is_idempotent() {
    use {
        Effect::{Idempotent, NonIdempotent},
        RequestType::{Delete, Fetch, Get, IPatch, Patch, Post, Put},
    };
    let expected = [
        (Get, Idempotent),
        (Put, Idempotent),
        (Delete, Idempotent),
        (Fetch, Idempotent),
        (IPatch, Idempotent),
        (Post, NonIdempotent),
        (Patch, NonIdempotent),
    ];
    for (method, effect) in expected {
        let message = message::from_slice(&request(method)).expect("a request");
        assert_matches!(message, Message::Request(request) if request.effect == effect);
    }
}

/// Guards against a response that carries the token or Message ID of the upstream's message instead of the caller's.
#[test]
fn a_response_carries_the_token_and_message_id_of_the_request() {
    let mut upstream = Packet::new();
    upstream.header.code = MessageClass::Response(ResponseType::Content);
    upstream.set_token(vec![9; 8]);
    upstream.payload = b"stops".to_vec();
    let reply = Reply {
        kind: Kind::Acknowledgement,
        message_id: 7,
        token: Token::from_slice(&[1, 2, 3]).expect("a token"),
        body: Body::Answer(upstream.to_bytes().expect("a message")),
    };
    let packet =
        Packet::from_bytes(&message::to_vec(&reply).expect("a message")).expect("a message");
    assert_eq!(packet.get_token(), [1, 2, 3]);
    assert_eq!(packet.header.message_id, 7);
    assert_eq!(packet.payload, b"stops");
}

/// Guards against a refused request whose response lacks code 5.03 or Max-Age, and against an unknown outcome that is
/// not reported as 5.04.
#[test]
fn refused_and_unknown_outcomes_have_the_specified_response_codes() {
    let reply = |body| Reply {
        kind: Kind::Acknowledgement,
        message_id: 7,
        token: Token::default(),
        body,
    };
    let refused = message::to_vec(&reply(Body::NotRun { max_age: 3 })).expect("a message");
    let refused = Packet::from_bytes(&refused).expect("a message");
    assert_eq!(
        refused.header.code,
        MessageClass::Response(ResponseType::ServiceUnavailable)
    );
    assert_eq!(refused.get_first_option(CoapOption::MaxAge), Some(&vec![3]));
    let unknown = message::to_vec(&reply(Body::Unknown)).expect("a message");
    assert_eq!(unknown[1], 0xa4);
}

/// Guards against a panic on arbitrary bytes.
#[test]
fn random_datagrams_do_not_panic() {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(CASES), random);
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    let result = runner.run(&bytes, |bytes| {
        let _ = proxy_header::from_slice(&bytes);
        let _ = message::from_slice(&bytes);
        Ok(())
    });
    assert_matches!(result, Ok(()));
}

/// Guards against an error in the caller's message that is counted as one of the fabric's header, and the reverse.
#[test]
fn errors_have_the_category_of_the_malformed_part() {
    let error = proxy_header::from_slice(b"not a header").expect_err("an error");
    assert_eq!(error.category(), Category::ProxyHeader);
    let error = message::from_slice(&[0xff]).expect_err("an error");
    assert_eq!(error.category(), Category::Message);
}
