//! What a balancer reads of a packet.

use {crate::cookie::Cookie, skylarkflow_policy::flow::Key};

/// Header of a packet that a caller sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Addresses and ports of both ends.
    pub flow: Key,
    /// Purpose of the packet.
    pub kind: Kind,
    /// Cookie that the caller last received on the flow; 0 before the first answer.
    pub cookie: Cookie,
    /// Position of the first byte of data in the caller's stream.
    pub sequence: u32,
    /// Position up to which the caller has received the upstream's stream.
    pub acknowledged: u32,
    /// Bytes of data.
    pub length: u16,
}

/// Purpose of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Opens a flow; copies of the opening packet are numbered from 1.
    Open {
        /// Number of the copy; 0 for the first packet.
        copy: u32,
    },
    /// Belongs to a flow that an upstream has accepted.
    Established {
        /// Whether the caller has no more data to send.
        is_last: bool,
    },
    /// Ends a flow at once.
    Reset,
}
