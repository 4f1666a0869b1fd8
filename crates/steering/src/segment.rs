//! Packet header fields that a balancer reads.

use {crate::cookie::Cookie, skylarkflow_policy::flow::Key};

/// Header of a packet that a caller sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Addresses and ports of both ends.
    pub flow: Key,
    /// Purpose of the packet.
    pub kind: Kind,
    /// Cookie that the caller last received on the flow; 0 before the upstream's first packet.
    pub cookie: Cookie,
    /// Sequence number of the first data byte in the caller's stream.
    pub sequence: u32,
    /// Acknowledgement number: position up to which the caller has received the upstream's stream.
    pub acknowledged: u32,
    /// Length of the data in bytes.
    pub length: u16,
}

/// Purpose of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Opens a flow; retransmissions of the opening packet are numbered from 1.
    Open {
        /// Number of the retransmission; 0 for the first packet.
        retransmission: u32,
    },
    /// Belongs to an established flow, which an upstream has accepted.
    Established {
        /// Whether the caller has no more data to send.
        is_last: bool,
    },
    /// Aborts a flow.
    Reset,
}
