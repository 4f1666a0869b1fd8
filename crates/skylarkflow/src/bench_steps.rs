//! Benchmarks of the processing steps of a request in a balancer, without sockets.

use {
    crate::bench_result::BenchResult,
    skylarkflow_caller::{
        message::{self, Message},
        proxy_header::{self, Datagram},
    },
    skylarkflow_peer::datagram::{self, ForwardedDatagram},
    skylarkflow_policy::{
        exchange::{Body, Kind, Reply, Token},
        flow::Key,
    },
    skylarkflow_upstream::message::{self as upstream_message, Dispatch},
    std::{
        hint::black_box,
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Executions of a step per measurement.
const STEP_COUNT: usize = 100_000;

/// Measurements of which the fastest counts, since preemption by other processes only adds time.
const REPETITIONS: usize = 5;

/// Confirmable CoAP GET with a token of four bytes, a path of two segments and a query.
const REQUEST: &[u8] = b"\x44\x01\x00\x01\x00\x00\x00\x01\xb5stops\x03a17\x43id=";

/// Upstream's response to [`REQUEST`], with the load option and a payload.
const RESPONSE: &[u8] = b"\x68\x45\x00\x01\x00\x00\x00\x01\x00\x00\x00\x01\xe4\xfc\xdf\x01\x02\x00\x00\xffdispatch-1 17";

/// Runs the benchmarks.
///
/// # Panics
///
/// Panics if one of the constant messages cannot be decoded.
pub fn measure() -> Vec<BenchResult> {
    let key = Key {
        caller: (Ipv4Addr::new(198, 51, 100, 1), 40_000).into(),
        service: (Ipv4Addr::new(192, 0, 2, 1), 5_683).into(),
    };
    let wrapped = wrap_in_proxy_header(&key, REQUEST);
    let Ok(Message::Request(request)) = message::from_slice(REQUEST) else {
        panic!("REQUEST is a valid request");
    };
    let dispatch = Dispatch {
        service: "dispatch",
        token: Token::from(1),
        message_id: 1,
        deadline: Duration::from_secs(1_700_000_000),
    };
    let reply = Reply {
        kind: Kind::Acknowledgement,
        message_id: 1,
        token: request.token,
        body: Body::Answer(RESPONSE.to_vec()),
    };
    let fabric = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let forwarded = ForwardedDatagram {
        hops: 1,
        view: 0,
        fabric,
        bytes: &wrapped,
    };
    let mut buffer = Vec::new();
    vec![
        measure_step("read the envelope", || {
            proxy_header::from_slice(&wrapped).is_ok()
        }),
        measure_step("pass on to the owner", || {
            datagram::write_forwarded(&forwarded, &mut buffer);
            buffer.len() > wrapped.len()
        }),
        measure_step("read the request", || message::from_slice(REQUEST).is_ok()),
        measure_step("write the dispatch", || {
            upstream_message::to_vec(&dispatch, &request.bytes).is_ok()
        }),
        measure_step("read the answer", || {
            upstream_message::from_slice(RESPONSE).is_ok()
        }),
        measure_step("write the reply", || message::to_vec(&reply).is_ok()),
        measure_step("write the envelope", || wrapped_len(&key) > 0),
    ]
}

fn wrap_in_proxy_header(key: &Key, payload: &[u8]) -> Vec<u8> {
    let datagram = Datagram {
        source: key.caller,
        destination: key.service,
        payload,
    };
    proxy_header::to_vec(&datagram).expect("both addresses are IPv4")
}

fn wrapped_len(key: &Key) -> usize {
    wrap_in_proxy_header(key, RESPONSE).len()
}

fn measure_step(case: &str, mut run: impl FnMut() -> bool) -> BenchResult {
    assert!(run(), "step failed: {case}");
    let mut best = f64::INFINITY;
    for _ in 0..REPETITIONS {
        let start = Instant::now();
        for _ in 0..STEP_COUNT {
            black_box(run());
        }
        best = best.min(start.elapsed().as_nanos() as f64 / STEP_COUNT as f64);
    }
    BenchResult {
        name: "step of a request",
        case: case.to_owned(),
        value: best,
        unit: "ns",
        goal: None,
    }
}
