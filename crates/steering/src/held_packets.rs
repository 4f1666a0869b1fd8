//! Packets that arrive before the first table, so that callers need not retransmit them.
//!
//! After a loss of power in all zones, the routers send packets to balancers that are not ready yet. A dropped opening
//! packet is sent again only after 200, 600 and 1,400 ms, which is later than many callers can wait, while the first table
//! is usually there within 100 ms.

use {
    crate::segment::{Kind, Segment},
    skylarkflow_policy::{flow::Key, id::Map},
    std::{collections::VecDeque, mem, time::Duration},
};

/// Settings of [`HeldPackets`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time after which a packet is discarded: the caller has sent it again by then.
    pub max_age: Duration,
    /// Maximum number of packets; further ones are not held.
    pub max_packets: usize,
    /// Maximum number of bytes in all packets.
    pub max_bytes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_age: Duration::from_millis(400),
            max_packets: 2_048,
            max_bytes: 1 << 20,
        }
    }
}

/// Packets in the order in which they arrived.
#[derive(Debug, Default)]
pub struct HeldPackets {
    settings: Settings,
    packets: VecDeque<Packet>,
    /// Number of the latest opening packet of each flow.
    openings: Map<Key, u64>,
    /// Number of the first packet in the queue.
    first: u64,
    bytes: usize,
}

#[derive(Debug)]
struct Packet {
    received_at: Duration,
    /// The datagram; empty if a later opening packet of its flow has replaced it.
    datagram: Vec<u8>,
}

impl HeldPackets {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> HeldPackets {
        HeldPackets {
            settings,
            ..HeldPackets::default()
        }
    }

    /// Holds a datagram; returns whether there was room for it.
    ///
    /// An opening packet replaces an earlier one of its flow: forwarding both would look as if an upstream had not
    /// answered the first.
    pub fn push(&mut self, now: Duration, segment: &Segment, datagram: &[u8]) -> bool {
        self.expire(now);
        let has_room = self.packets.len() < self.settings.max_packets
            && self.bytes + datagram.len() <= self.settings.max_bytes;
        if !has_room {
            return false;
        }
        let number = self.first + self.packets.len() as u64;
        if let Kind::Open { .. } = segment.kind
            && let Some(earlier) = self.openings.insert(segment.flow, number)
        {
            self.clear(earlier);
        }
        self.bytes += datagram.len();
        self.packets.push_back(Packet {
            received_at: now,
            datagram: datagram.to_vec(),
        });
        true
    }

    /// Removes and returns the datagrams that are not too old.
    pub fn take(&mut self, now: Duration) -> Vec<Vec<u8>> {
        self.expire(now);
        self.openings.clear();
        self.first += self.packets.len() as u64;
        self.bytes = 0;
        let packets = mem::take(&mut self.packets).into_iter();
        let datagrams = packets.map(|packet| packet.datagram);
        datagrams.filter(|datagram| !datagram.is_empty()).collect()
    }

    fn clear(&mut self, number: u64) {
        let index = number.checked_sub(self.first).map(|index| index as usize);
        if let Some(packet) = index.and_then(|index| self.packets.get_mut(index)) {
            self.bytes -= packet.datagram.len();
            packet.datagram.clear();
        }
    }

    fn expire(&mut self, now: Duration) {
        while let Some(packet) = self.packets.front()
            && now >= packet.received_at + self.settings.max_age
        {
            self.bytes -= packet.datagram.len();
            self.packets.pop_front();
            self.first += 1;
        }
    }
}
