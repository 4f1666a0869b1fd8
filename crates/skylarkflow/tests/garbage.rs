//! Malformed datagrams sent to the sockets of a running balancer.

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
        site::{Options, Site, wait_until},
        wait_until_answered,
    },
};

const RANDOM_SEED: u64 = 20_261_204;
const DATAGRAM_COUNT: usize = 6_000;

/// Datagrams sent before the sender waits for a response of the balancer, so that no receive buffer overflows.
const DATAGRAMS_PER_BATCH: usize = 200;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

fn random_bytes(random: &mut SmallRng, max_length: usize) -> Vec<u8> {
    let mut bytes = vec![0; random.random_range(0..=max_length)];
    random.fill_bytes(&mut bytes);
    bytes
}

/// Returns a datagram of random bytes that may follow a valid forwarding header, PROXY protocol header or CoAP header.
/// The datagram may also be empty or truncated.
fn malformed_datagram(random: &mut SmallRng, service: SocketAddr) -> Vec<u8> {
    let caller = SocketAddr::from(([127, 0, 0, 1], random.random()));
    let destination = if random.random() {
        service
    } else {
        SocketAddr::from(([10, 9, 8, 7], random.random()))
    };
    let mut payload = random_bytes(random, 200);
    if random.random() && payload.len() > 4 {
        // With a valid version, type and token length and a common method, the payload reaches the parser of options.
        payload[0] = 0x40 | (payload[0] & 0x38);
        payload[1] = random.random_range(0..8);
    }
    let with_proxy_header = proxy_header::to_vec(&Datagram {
        source: caller,
        destination,
        payload: &payload,
    });
    let with_proxy_header = with_proxy_header.expect("both addresses are IPv4");
    match random.random_range(0..8) {
        0 => Vec::new(),
        1 => random_bytes(random, 64),
        2 => random_bytes(random, 9_000),
        3 => with_proxy_header[..random.random_range(0..with_proxy_header.len())].to_vec(),
        4 | 5 => with_proxy_header,
        6 => encode_forwarded(random, caller, &with_proxy_header),
        _ => {
            let mut bytes = encode_forwarded(random, caller, &with_proxy_header);
            let position = random.random_range(0..datagram::FORWARD_HEADER_BYTES);
            bytes[position] = random.random();
            bytes
        }
    }
}

/// Encodes a datagram as one that another balancer forwards.
fn encode_forwarded(random: &mut SmallRng, fabric: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let forwarded = ForwardedDatagram {
        hops: random.random(),
        view: random.random(),
        fabric,
        bytes,
    };
    let mut encoded = Vec::new();
    datagram::write_forwarded(&forwarded, &mut encoded);
    encoded
}

/// Returns the sum of the counters of the balancer whose names start with `prefix`.
fn sum_counters(site: &Site, prefix: &str) -> u64 {
    let state = site.state(0).expect("the balancer returns its state");
    let counters = state.counters.iter();
    let matching = counters.filter(|(name, _)| name.starts_with(prefix));
    matching.map(|(_, count)| count).sum()
}

/// Guards against empty, truncated, oversized and random datagrams that cause a panic, block a thread or fill the log
/// with a line each.
#[test]
fn malformed_datagrams_are_counted_and_the_balancer_still_answers() {
    let site = Site::start(&Options {
        zones: vec!["tacoma"],
        upstreams: 1,
        settings: "limits: {datagram_bytes: 8000}\n".to_owned(),
        ..Options::default()
    });
    let mut caller = wait_until_answered(site.service);
    let mut random = SmallRng::seed_from_u64(RANDOM_SEED);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let targets = ["ingress", "peer"].map(|name| site.balancers[0].address(name));
    for index in 0..DATAGRAM_COUNT {
        let bytes = malformed_datagram(&mut random, site.service);
        socket
            .send_to(&bytes, targets[index % 2])
            .expect("the datagram is sent");
        if index % DATAGRAMS_PER_BATCH == 0 {
            caller
                .request(RequestType::Get, "stops", RESPONSE_TIMEOUT)
                .expect("a response between malformed datagrams");
        }
    }
    wait_until("most malformed datagrams are counted", || {
        sum_counters(&site, "drops.") > DATAGRAM_COUNT as u64 / 2
    });
    let drops = sum_counters(&site, "drops.");
    let log = fs::read_to_string(site.log_path(0)).expect("a log");
    let lines = log.lines().filter(|line| line.contains(" datagram E4"));
    let lines = lines.count() as u64;
    assert!(
        lines * 20 < drops,
        "{lines} log lines for {drops} dropped datagrams"
    );
    for name in ["drops.bad_fabric", "drops.bad_peer", "drops.oversized"] {
        assert!(sum_counters(&site, name) > 0, "{name}");
    }
    let mut new_caller = Caller::new(site.service).expect("a socket");
    for caller in [&mut caller, &mut new_caller] {
        let response = caller.request(RequestType::Post, "weights", RESPONSE_TIMEOUT);
        let response = response.expect("a response after malformed datagrams");
        assert!(response.payload.starts_with(b"dispatch-0 "));
    }
}
