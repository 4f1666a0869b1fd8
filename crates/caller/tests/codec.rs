//! Datagrams of the fabric and messages of callers.

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

const RUNS: u32 = 5_000;

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

/// Guards against a changed address on the way from the fabric and back, for both address families.
#[test]
fn an_envelope_keeps_the_addresses() {
    for (source, destination) in [
        ("192.0.2.7:9", "198.51.100.1:5683"),
        ("[2001:db8::1]:9", "[2001:db8::2]:5683"),
    ] {
        let datagram = Datagram {
            source: address(source),
            destination: address(destination),
            payload: b"x",
        };
        let bytes = proxy_header::to_vec(&datagram).expect("an envelope");
        assert_eq!(
            proxy_header::from_slice(&bytes).expect("a datagram"),
            datagram
        );
    }
}

/// Guards against a POST that is taken for idempotent, which would allow a second run.
#[test]
fn methods_set_the_effect() {
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

/// Guards against an answer under a token or a Message ID that is not the caller's.
#[test]
fn an_answer_carries_the_identity_of_the_request() {
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

/// Guards against a refusal without the code and the option that the protocol asks for.
#[test]
fn refusals_follow_the_protocol() {
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

/// Guards against a panic on datagrams from anywhere.
#[test]
fn random_datagrams_are_errors() {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(RUNS), random);
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    let verdict = runner.run(&bytes, |bytes| {
        let _ = proxy_header::from_slice(&bytes);
        let _ = message::from_slice(&bytes);
        Ok(())
    });
    assert_matches!(verdict, Ok(()));
}

/// Guards against an error that is counted against the wrong side.
#[test]
fn errors_name_their_category() {
    let error = proxy_header::from_slice(b"not a header").expect_err("an error");
    assert_eq!(error.category(), Category::ProxyHeader);
    let error = message::from_slice(&[0xff]).expect_err("an error");
    assert_eq!(error.category(), Category::Message);
}
