//! Metrics of a balancer process over statsd.

mod support;

use {
    std::{
        net::UdpSocket,
        time::{Duration, Instant},
    },
    support::{
        LIMIT, first_answer,
        site::{Options, Site},
    },
};

/// Guards against metrics that never arrive, and against counters that are sent as totals rather than differences.
#[test]
fn counters_are_sent_as_differences() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let wait = Some(Duration::from_millis(100));
    server.set_read_timeout(wait).expect("a time limit");
    let address = server.local_addr().expect("an address");
    let site = Site::start(&Options {
        zones: vec!["tacoma"],
        settings: format!("metrics: {{statsd: '{address}', prefix: site, interval: 50ms}}\n"),
        ..Options::default()
    });
    first_answer(site.service);
    let total = site.state(0).expect("a state").counters["requests.dispatched"];
    let (mut sum, mut is_ready) = (0, false);
    let mut buffer = [0; 2_048];
    let start = Instant::now();
    while start.elapsed() < LIMIT && !(sum == total && is_ready) {
        let Ok(length) = server.recv(&mut buffer) else {
            continue;
        };
        let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
        for line in text.lines() {
            is_ready |= line == "site.ready:1|g";
            let count = line.strip_prefix("site.requests.dispatched:");
            let count = count.and_then(|count| count.strip_suffix("|c"));
            sum += count.map_or(0, |count| count.parse::<u64>().expect("a number"));
        }
    }
    assert_eq!(sum, total);
    assert!(is_ready);
}
