//! Metrics that a balancer process sends over statsd.

mod support;

use {
    std::{
        net::UdpSocket,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
    support::{
        site::{Options, Site, wait_until},
        wait_until_answered,
    },
};

/// Metrics received so far.
#[derive(Default)]
struct ReceivedMetrics {
    /// Sum of the differences of `requests.dispatched`.
    dispatched: AtomicU64,
    is_ready: AtomicBool,
    is_stopped: AtomicBool,
}

/// Receives metrics until stopped. It must run from the start of the balancer: a datagram that finds the receive buffer
/// full is lost, and the differences in it with it.
fn receive_metrics(server: &UdpSocket, received: &ReceivedMetrics) {
    let mut buffer = [0; 65_535];
    while !received.is_stopped.load(Ordering::Relaxed) {
        let Ok(length) = server.recv(&mut buffer) else {
            continue;
        };
        let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
        for line in text.lines() {
            if line == "site.ready:1|g" {
                received.is_ready.store(true, Ordering::Relaxed);
            }
            let count = line.strip_prefix("site.requests.dispatched:");
            if let Some(count) = count.and_then(|count| count.strip_suffix("|c")) {
                let count = count.parse().expect("a number");
                received.dispatched.fetch_add(count, Ordering::Relaxed);
            }
        }
    }
}

/// Guards against metrics that are not sent, and against counters that are sent as totals rather than as differences
/// since the previous datagram.
#[test]
fn counters_are_sent_as_differences() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let timeout = Some(Duration::from_millis(100));
    server.set_read_timeout(timeout).expect("a time limit");
    let address = server.local_addr().expect("an address");
    let received = Arc::new(ReceivedMetrics::default());
    let shared = Arc::clone(&received);
    let reader = thread::spawn(move || receive_metrics(&server, &shared));
    let site = Site::start(&Options {
        zones: vec!["tacoma"],
        settings: format!("metrics: {{statsd: '{address}', prefix: site, interval: 50ms}}\n"),
        ..Options::default()
    });
    wait_until_answered(site.service);
    wait_until("the sum of the differences is the total", || {
        let total = site.state(0).expect("a state").counters["requests.dispatched"];
        received.dispatched.load(Ordering::Relaxed) == total
            && received.is_ready.load(Ordering::Relaxed)
    });
    received.is_stopped.store(true, Ordering::Relaxed);
    reader.join().expect("the reader ends");
}
