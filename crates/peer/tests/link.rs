//! Tests of links over loopback.

use {
    skylarkflow_peer::link::{Event, Links, Settings},
    std::{
        io::Read,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            mpsc::{self, Receiver},
        },
        time::Duration,
    },
    tokio::runtime::Runtime,
};

const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

struct Peer {
    links: Links,
    events: Receiver<Event>,
}

fn peer(runtime: &Runtime, settings: Settings) -> Peer {
    let (sender, events) = mpsc::channel();
    let handler = Arc::new(move |event| drop(sender.send(event)));
    Peer {
        links: Links::new(runtime.handle().clone(), settings, handler),
        events,
    }
}

fn listen(peer: &Peer, address: &str) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a listener");
    let address = listener.local_addr().expect("an address");
    peer.links.listen(listener).expect("the listener is used");
    address
}

fn receive_message(peer: &Peer) -> Vec<u8> {
    loop {
        if let Event::Received(_, bytes) =
            peer.events.recv_timeout(EVENT_TIMEOUT).expect("an event")
        {
            return bytes;
        }
    }
}

fn wait_for_loss(peer: &Peer) -> String {
    loop {
        if let Event::Lost(_, reason) = peer.events.recv_timeout(EVENT_TIMEOUT).expect("an event") {
            return reason;
        }
    }
}

/// Guards against messages that are corrupted or reordered on the way.
#[test]
fn messages_of_a_megabyte_arrive_in_order() {
    let runtime = Runtime::new().expect("a runtime");
    let (a, b) = (
        peer(&runtime, Settings::default()),
        peer(&runtime, Settings::default()),
    );
    let address = listen(&b, "127.0.0.1:0");
    for byte in 0..8 {
        assert!(a.links.send(1, address, vec![byte; 1 << 20]));
    }
    for byte in 0..8 {
        assert_eq!(receive_message(&b), vec![byte; 1 << 20]);
    }
}

/// Guards against a message that is lost because the receiving balancer has not started yet.
#[test]
fn a_sender_reconnects_until_the_receiver_listens() {
    let runtime = Runtime::new().expect("a runtime");
    let (a, b) = (
        peer(&runtime, Settings::default()),
        peer(&runtime, Settings::default()),
    );
    let unused = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = unused.local_addr().expect("an address");
    drop(unused);
    assert!(a.links.send(1, address, b"bulk".to_vec()));
    wait_for_loss(&a);
    listen(&b, &address.to_string());
    assert_eq!(receive_message(&b), b"bulk");
}

/// Guards against a link that stays open although the receiver sends no frames.
#[test]
fn a_silent_link_is_lost_after_the_timeout() {
    let runtime = Runtime::new().expect("a runtime");
    let settings = Settings {
        timeout: Duration::from_millis(200),
        ..Settings::default()
    };
    let a = peer(&runtime, settings);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let silent = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
    });
    assert!(a.links.send(1, address, b"bulk".to_vec()));
    assert!(wait_for_loss(&a).contains("within the timeout"));
    silent
        .join()
        .expect("the silent end saw the connection close");
}

/// Guards against a queue that grows without bound while the other balancer is unreachable.
#[test]
fn a_full_queue_and_a_long_message_are_refused() {
    let runtime = Runtime::new().expect("a runtime");
    let settings = Settings {
        queue_messages: 4,
        max_message_bytes: 100,
        ..Settings::default()
    };
    let a = peer(&runtime, settings);
    let unused = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = unused.local_addr().expect("an address");
    drop(unused);
    assert!(!a.links.send(1, address, vec![0; 101]));
    let queued = (0..100).filter(|_| a.links.send(1, address, vec![0; 100]));
    assert_eq!(queued.count(), 4);
}
