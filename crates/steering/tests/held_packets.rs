//! Packets that arrive before the first table.
//!
//! Guards against callers that wait for their next retransmission although the balancer has read their packet, and against
//! a copy of an opening packet that makes its upstream look silent.

mod support;

use {
    skylarkflow_steering::held_packets::{HeldPackets, Settings},
    support::{data, ms, open},
};

#[test]
fn packets_are_returned_in_order_and_once() {
    let mut held = HeldPackets::default();
    assert!(held.push(ms(0), &open(1, 0), b"a"));
    assert!(held.push(ms(1), &data(2, 9, 1, 1), b"b"));
    assert!(held.push(ms(2), &data(2, 9, 2, 1), b"c"));
    assert_eq!(held.take(ms(3)), [b"a", b"b", b"c"]);
    assert!(held.take(ms(3)).is_empty());
}

#[test]
fn a_copy_of_an_opening_packet_replaces_it() {
    let mut held = HeldPackets::default();
    held.push(ms(0), &open(1, 0), b"first");
    held.push(ms(100), &open(2, 0), b"other");
    held.push(ms(200), &open(1, 1), b"second");
    assert_eq!(held.take(ms(210)), [&b"other"[..], b"second"]);
    // The next flow with the same key has nothing to replace.
    held.push(ms(300), &open(1, 0), b"third");
    assert_eq!(held.take(ms(310)), [b"third"]);
}

#[test]
fn a_copy_whose_first_packet_has_expired_replaces_no_other_packet() {
    let mut held = HeldPackets::default();
    held.push(ms(0), &open(1, 0), b"a");
    held.push(ms(500), &open(2, 0), b"b");
    held.push(ms(600), &open(1, 1), b"c");
    assert_eq!(held.take(ms(610)), [b"b", b"c"]);
}

#[test]
fn old_packets_and_those_beyond_the_limits_are_not_held() {
    let mut held = HeldPackets::new(Settings {
        max_packets: 2,
        max_bytes: 3,
        ..Settings::default()
    });
    assert!(held.push(ms(0), &open(1, 0), b"aa"));
    assert!(!held.push(ms(0), &open(2, 0), b"bb"), "too many bytes");
    assert!(held.push(ms(0), &open(3, 0), b"c"));
    assert!(!held.push(ms(0), &open(4, 0), b""), "too many packets");
    assert!(held.push(ms(400), &open(5, 0), b"dd"), "room is free again");
    assert_eq!(held.take(ms(400)), [b"dd"]);
}
