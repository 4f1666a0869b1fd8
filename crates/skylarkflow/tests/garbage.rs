//! Bad datagrams to the sockets of a running process.

mod support;

use {
    coap_lite::RequestType,
    rand::{Rng, RngCore, SeedableRng, rngs::SmallRng},
    skylarkflow_caller::proxy_header::{self, Datagram},
    skylarkflow_emulator::caller::Caller,
    skylarkflow_peer::datagram::{self, ForwardedDatagram},
    std::{
        fs,
        net::{SocketAddr, UdpSocket},
        time::Duration,
    },
    support::{
        first_answer,
        site::{Options, Site, wait_until},
    },
};

const SEED: u64 = 20_261_204;
const DATAGRAMS: usize = 6_000;

/// Datagrams sent before the sender waits for the balancer, so that no receive buffer overflows.
const BATCH: usize = 200;

const TIMEOUT: Duration = Duration::from_secs(20);

fn noise(random: &mut SmallRng, most: usize) -> Vec<u8> {
    let mut bytes = vec![0; random.random_range(0..=most)];
    random.fill_bytes(&mut bytes);
    bytes
}

/// A datagram that may have a valid envelope, prefix or CoAP header before the noise, or lack its end.
fn bad(random: &mut SmallRng, service: SocketAddr) -> Vec<u8> {
    let caller = SocketAddr::from(([127, 0, 0, 1], random.random()));
    let destination = if random.random() {
        service
    } else {
        SocketAddr::from(([10, 9, 8, 7], random.random()))
    };
    let mut payload = noise(random, 200);
    if random.random() && payload.len() > 4 {
        // A valid version, type and token length, and an ordinary method, reach the parser of options.
        payload[0] = 0x40 | (payload[0] & 0x38);
        payload[1] = random.random_range(0..8);
    }
    let enveloped = proxy_header::to_vec(&Datagram {
        source: caller,
        destination,
        payload: &payload,
    });
    let enveloped = enveloped.expect("both addresses are IPv4");
    match random.random_range(0..8) {
        0 => Vec::new(),
        1 => noise(random, 64),
        2 => noise(random, 9_000),
        3 => enveloped[..random.random_range(0..enveloped.len())].to_vec(),
        4 | 5 => enveloped,
        6 => framed(random, caller, &enveloped),
        _ => {
            let mut bytes = framed(random, caller, &enveloped);
            let at = random.random_range(0..datagram::FORWARD_HEADER_BYTES);
            bytes[at] = random.random();
            bytes
        }
    }
}

fn framed(random: &mut SmallRng, fabric: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let transit = ForwardedDatagram {
        hops: random.random(),
        view: random.random(),
        fabric,
        bytes,
    };
    let mut framed = Vec::new();
    datagram::write_forwarded(&transit, &mut framed);
    framed
}

fn sum(site: &Site, prefix: &str) -> u64 {
    let state = site.state(0).expect("the balancer is alive");
    let counters = state.counters.iter();
    let matching = counters.filter(|(name, _)| name.starts_with(prefix));
    matching.map(|(_, count)| count).sum()
}

/// Guards against a panic, a full log or a stuck thread after empty, truncated, oversized and random datagrams.
#[test]
fn bad_datagrams_are_counted_and_the_balancer_still_answers() {
    let site = Site::start(&Options {
        zones: vec!["tacoma"],
        upstreams: 1,
        settings: "limits: {datagram_bytes: 8000}\n".to_owned(),
        ..Options::default()
    });
    let mut caller = first_answer(site.service);
    let mut random = SmallRng::seed_from_u64(SEED);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let targets = ["ingress", "peer"].map(|name| site.balancers[0].address(name));
    for index in 0..DATAGRAMS {
        let bytes = bad(&mut random, site.service);
        socket
            .send_to(&bytes, targets[index % 2])
            .expect("the datagram is sent");
        if index % BATCH == 0 {
            caller
                .request(RequestType::Get, "stops", TIMEOUT)
                .expect("an answer between bad datagrams");
        }
    }
    wait_until("most bad datagrams are counted", || {
        sum(&site, "drops.") > DATAGRAMS as u64 / 2
    });
    let drops = sum(&site, "drops.");
    let lines = fs::read_to_string(site.log(0)).expect("a log");
    let lines = lines.lines().filter(|line| line.contains(" datagram E4"));
    let lines = lines.count() as u64;
    assert!(lines * 20 < drops, "{lines} lines for {drops} drops");
    for name in ["drops.bad_fabric", "drops.bad_peer", "drops.oversized"] {
        assert!(sum(&site, name) > 0, "{name}");
    }
    let mut fresh = Caller::new(site.service).expect("a socket");
    for caller in [&mut caller, &mut fresh] {
        let answer = caller.request(RequestType::Post, "weights", TIMEOUT);
        let answer = answer.expect("a normal answer");
        assert!(answer.payload.starts_with(b"dispatch-0 "));
    }
}
