//! Emulated upstream, driven over UDP by a plain socket or an emulated caller.

use {
    coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType},
    skylarkflow_emulator::{
        response,
        upstream::{Behaviour, Settings, Upstream},
    },
    std::{
        net::UdpSocket,
        sync::atomic::Ordering,
        time::{Duration, Instant, SystemTime},
    },
};

const TIMEOUT: Duration = Duration::from_secs(20);
const DEADLINE_OPTION: CoapOption = CoapOption::Unknown(65_000);
const LOAD_OPTION: CoapOption = CoapOption::Unknown(65_004);

fn upstream(slots: usize, queue: usize, time: Duration) -> Upstream {
    let settings = Settings {
        slots,
        queue,
        behaviour: Behaviour {
            service_time: time,
            ..Behaviour::default()
        },
        ..Settings::default()
    };
    Upstream::start(settings).expect("an upstream")
}

fn connect(upstream: &Upstream) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.connect(upstream.address()).expect("an address");
    socket.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    socket
}

fn post(message_id: u16, payload: &str) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Confirmable);
    packet.header.code = MessageClass::Request(RequestType::Post);
    packet.header.message_id = message_id;
    packet.set_token(message_id.to_be_bytes().to_vec());
    packet.add_option(CoapOption::UriHost, b"service".to_vec());
    packet.payload = payload.as_bytes().to_vec();
    packet
}

fn send(socket: &UdpSocket, packet: &Packet) {
    let bytes = packet.to_bytes().expect("a message");
    socket.send(&bytes).expect("the message is sent");
}

fn receive(socket: &UdpSocket) -> Packet {
    let mut buffer = [0; 2_048];
    let length = socket.recv(&mut buffer).expect("a response");
    Packet::from_bytes(&buffer[..length]).expect("a message")
}

fn has_code(packet: &Packet, code: ResponseType) -> bool {
    packet.header.code == MessageClass::Response(code)
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "timed out after {TIMEOUT:?} waiting until {what}"
        );
        std::thread::yield_now();
    }
}

/// Guards against an upstream that runs a retransmission as a new request.
#[test]
fn a_retransmission_does_not_run_again_and_gets_the_same_response() {
    let upstream = upstream(2, 8, Duration::ZERO);
    let socket = connect(&upstream);
    send(&socket, &post(1, "id=1"));
    let first = receive(&socket);
    send(&socket, &post(1, "id=1"));
    let second = receive(&socket);
    assert_eq!(first.payload, second.payload);
    assert_eq!(upstream.executed().get(&b"id=1"[..]), Some(&1));
}

/// Guards against an upstream that runs a request after its deadline. A fenced balancer, which no longer hears from a
/// majority of its zone, relies on the upstreams to enforce the deadlines of the requests that it has dispatched.
#[test]
fn a_request_after_its_deadline_does_not_run() {
    let upstream = upstream(1, 8, Duration::ZERO);
    let socket = connect(&upstream);
    let now = SystemTime::UNIX_EPOCH
        .elapsed()
        .expect("a time")
        .as_millis() as u64;
    let mut late = post(1, "late");
    late.add_option(DEADLINE_OPTION, (now - 1).to_be_bytes().to_vec());
    send(&socket, &late);
    assert!(has_code(
        &receive(&socket),
        ResponseType::ServiceUnavailable
    ));
    let mut early = post(2, "early");
    early.add_option(DEADLINE_OPTION, (now + 60_000).to_be_bytes().to_vec());
    send(&socket, &early);
    assert!(has_code(&receive(&socket), ResponseType::Created));
    let executed: Vec<Vec<u8>> = upstream.executed().into_keys().collect();
    assert_eq!(executed, [b"early".to_vec()]);
}

/// Guards against an unbounded queue, and against a refused request that runs nevertheless.
#[test]
fn a_full_queue_sheds_load() {
    let upstream = upstream(1, 1, Duration::from_millis(300));
    let socket = connect(&upstream);
    for number in 0..6 {
        send(&socket, &post(number, &format!("id={number}")));
    }
    let responses: Vec<Packet> = (0..6).map(|_| receive(&socket)).collect();
    let refused = responses
        .iter()
        .filter(|response| has_code(response, ResponseType::ServiceUnavailable));
    assert!(
        refused
            .clone()
            .all(|response| response.get_first_option(CoapOption::MaxAge).is_some())
    );
    let refused = refused.count();
    assert!(refused >= 3, "{refused}");
    assert_eq!(upstream.executed().len(), 6 - refused);
    let load = responses[0].get_first_option(LOAD_OPTION);
    assert_eq!(load.map(|load| (load.len(), load[1])), Some((4, 1)));
}

/// Guards against a cancelled request that runs nevertheless, or that keeps its slot.
#[test]
fn a_waiting_request_can_be_cancelled() {
    let upstream = upstream(1, 8, Duration::from_millis(200));
    let socket = connect(&upstream);
    send(&socket, &post(1, "first"));
    send(&socket, &post(2, "second"));
    wait_until("both requests have arrived", || {
        upstream.counters().received.load(Ordering::Relaxed) == 2
    });
    let mut reset = Packet::new();
    reset.header.set_type(MessageType::Reset);
    reset.header.code = MessageClass::Empty;
    reset.header.message_id = 2;
    send(&socket, &reset);
    send(&socket, &post(3, "third"));
    assert_eq!(receive(&socket).header.message_id, 1);
    assert_eq!(receive(&socket).header.message_id, 3);
    assert!(!upstream.executed().contains_key(&b"second"[..]));
    assert_eq!(upstream.counters().cancelled.load(Ordering::Relaxed), 1);
}

/// Guards against a blockwise transfer with a missing, duplicate or misplaced block.
#[test]
fn a_resource_of_one_mebibyte_is_read_in_blocks() {
    use {
        coap_lite::block_handler::BlockValue, skylarkflow_emulator::caller::Caller,
        skylarkflow_emulator::exchange::Request,
    };
    let settings = Settings {
        service: String::new(),
        ..Settings::default()
    };
    let upstream = Upstream::start(settings).expect("an upstream");
    let mut caller = Caller::new(upstream.address()).expect("a socket");
    let request = Request {
        path: "bundle".to_owned(),
        host: Some(String::new()),
        block: Some(1_023),
        ..Request::default()
    };
    let last = caller.exchange(&request, TIMEOUT).expect("the last block");
    let block = last.get_first_option_as::<BlockValue>(CoapOption::Block2);
    assert!(!block.expect("a block").expect("a valid block").more);
    let bundle = caller.download(&request, TIMEOUT).expect("a bundle");
    assert_eq!(bundle, response::bundle_slice(0, 1 << 20));
}

/// Guards against a request for another service that runs.
#[test]
fn a_misdelivered_request_is_counted_and_does_not_run() {
    let upstream = upstream(1, 8, Duration::ZERO);
    let socket = connect(&upstream);
    let mut other = post(1, "other");
    other.clear_option(CoapOption::UriHost);
    other.add_option(CoapOption::UriHost, b"manifests".to_vec());
    send(&socket, &other);
    assert!(has_code(
        &receive(&socket),
        ResponseType::ProxyingNotSupported
    ));
    assert!(upstream.executed().is_empty());
    assert_eq!(upstream.counters().misdelivered.load(Ordering::Relaxed), 1);
}
