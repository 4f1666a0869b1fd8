//! Interoperability with the third-party CoAP client `toad`, which has its own codec, in its default configuration.
//!
//! The client retransmits earlier than RFC 7252 specifies, and keeps retransmitting after an empty acknowledgement.

mod support;

use {
    skylarkflow_emulator::upstream::Upstream,
    std::{
        net::SocketAddr,
        sync::{atomic::Ordering, mpsc},
        thread,
        time::{Duration, Instant},
    },
    support::site::{Options, Site},
    toad::{
        config::Config,
        net::Addrd,
        platform::Platform as _,
        req::Req,
        resp::Resp,
        std::{Platform, PlatformTypes, dtls},
        step::runtime,
    },
    toad_msg::{Code, OptNumber, OptValue},
};

type Client = Platform<dtls::N, runtime::std::Runtime<dtls::N>>;
type Types = PlatformTypes<dtls::N>;

const BLOCK2: OptNumber = OptNumber(23);

/// Block size exponent (SZX) of blocks of 1,024 bytes (RFC 7959, section 2.2).
const BLOCK_SZX: u32 = 6;

/// The M bit of a Block2 option: more blocks follow.
const MORE_BLOCKS_BIT: u8 = 0x08;

const CONTENT: Code = Code {
    class: 2,
    detail: 5,
};
const CREATED: Code = Code {
    class: 2,
    detail: 1,
};

/// Length of the resource `/bundle`.
const BUNDLE_BYTES: usize = 1 << 20;

/// Time after which the upstream responds to a long poll.
const LONG_POLL_DELAY: Duration = Duration::from_secs(4);

/// Time after which a request counts as hanging. It is longer than the client's own retransmissions take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

fn start_site() -> Site {
    let mut options = Options {
        zones: vec!["tacoma", "salem", "tacoma", "salem"],
        ..Options::default()
    };
    options.behaviour.long_time = LONG_POLL_DELAY;
    options.behaviour.bundle_bytes = BUNDLE_BYTES;
    Site::start(&options)
}

fn new_client() -> Client {
    Client::try_new("127.0.0.1:0", Config::default()).expect("a socket")
}

fn send_request(client: &Client, service: SocketAddr, request: Req<Types>) -> Resp<Types> {
    let service = service.to_string().parse().expect("an address");
    let response = client.send_req(&Addrd(request.into(), service));
    response.expect("a response").unwrap().into()
}

fn payload(response: &Resp<Types>) -> Vec<u8> {
    response.payload().copied().collect()
}

/// Encodes a number in the `uint` format of options, without leading zero bytes (RFC 7252, section 3.2).
fn encode_uint(number: u32) -> Vec<u8> {
    let bytes = number.to_be_bytes();
    bytes.into_iter().skip_while(|&byte| byte == 0).collect()
}

/// Runs `call` on another thread and panics if it takes longer than `REQUEST_TIMEOUT`, since the client has no timeout
/// for a request. The calling thread keeps the site, so that its processes end with the test.
fn run_with_timeout<T: Send + 'static>(call: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || sender.send(call()));
    receiver
        .recv_timeout(REQUEST_TIMEOUT)
        .expect("the client returns within the timeout")
}

/// Guards against responses that only this project's own codec can decode.
#[test]
fn a_get_request_is_answered() {
    let site = start_site();
    let service = site.service;
    let response = run_with_timeout(move || {
        let response = send_request(&new_client(), service, Req::get("stops"));
        (response.code(), payload(&response))
    });
    assert_eq!(response.0, CONTENT);
    assert!(response.1.starts_with(b"dispatch-"), "{:?}", response.1);
}

/// Guards against a non-idempotent request that runs once for each retransmission: the client retransmits after 500 ms,
/// before the upstream has responded.
#[test]
fn a_retransmitted_post_runs_once() {
    let site = start_site();
    let service = site.service;
    for upstream in &site.upstreams {
        upstream.update_behaviour(|behaviour| behaviour.service_time = LONG_POLL_DELAY);
    }
    let code = run_with_timeout(move || {
        let mut request = Req::post("weights");
        request.set_payload("bin 7: 12 kg".bytes());
        send_request(&new_client(), service, request).code()
    });
    assert_eq!(code, CREATED);
    let executed = site.executed();
    let counts: Vec<(&str, u32)> = executed
        .iter()
        .map(|(key, &count)| (&**key, count))
        .collect();
    assert_eq!(counts, [("bin 7: 12 kg", 1)]);
}

/// Guards against a block-wise transfer whose requests reach several upstreams, or whose blocks get lost.
#[test]
fn a_one_megabyte_resource_arrives_in_blocks_of_one_upstream() {
    let site = start_site();
    let service = site.service;
    let bundle = run_with_timeout(move || {
        let client = new_client();
        let mut bundle = Vec::new();
        for number in 0.. {
            let mut request = Req::<Types>::get("bundle");
            let block = encode_uint(number << 4 | BLOCK_SZX);
            let values = vec![OptValue(block)];
            request.msg_mut().opts.insert(BLOCK2, values);
            let response = send_request(&client, service, request);
            assert_eq!(response.code(), CONTENT);
            bundle.extend(payload(&response));
            let block = &response.msg().opts[&BLOCK2][0].0;
            let more = block.last().is_some_and(|byte| byte & MORE_BLOCKS_BIT != 0);
            let expected_more_bit = if more { u32::from(MORE_BLOCKS_BIT) } else { 0 };
            assert_eq!(
                block,
                &encode_uint(number << 4 | expected_more_bit | BLOCK_SZX)
            );
            if !more {
                break;
            }
        }
        bundle
    });
    let received = |upstream: &&Upstream| upstream.counters().received.load(Ordering::Relaxed) > 0;
    let serving_upstreams = site.upstreams.iter().filter(received).count();
    assert_eq!(bundle.len(), BUNDLE_BYTES);
    assert_eq!(serving_upstreams, 1);
}

/// Guards against a long poll that is answered before its response is due, more than once, or not at all.
#[test]
fn a_long_poll_is_answered_after_its_delay() {
    let site = start_site();
    let service = site.service;
    let elapsed = run_with_timeout(move || {
        let start = Instant::now();
        let response = send_request(&new_client(), service, Req::get("long"));
        assert_eq!(response.code(), CONTENT);
        start.elapsed()
    });
    assert!(elapsed >= LONG_POLL_DELAY, "{elapsed:?}");
}
