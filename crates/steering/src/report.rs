//! Reports that balancers send each other.

use {
    crate::{
        position::Position,
        speed::Notice,
        table::Version,
        upstream::{UpstreamId, ZoneName},
    },
    std::net::SocketAddr,
};

/// Name of a balancer.
pub type Name = String;

/// Name, zone and address of a balancer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerInfo {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for reports, by UDP, and for fetches of tables, by TCP.
    pub address: SocketAddr,
}

/// How a balancer learns of changes in the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// It watches the store directly, on behalf of its zone.
    Reader,
    /// It watches a replica of the store.
    #[default]
    Watcher,
    /// It makes no watches and fetches changes from peers.
    Follower,
}

/// Heartbeat of a reader, which all balancers of its zone forward in their reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The reader.
    pub name: Name,
    /// Start of its process in Unix milliseconds, so that heartbeats after a restart count as newer.
    pub incarnation: u64,
    /// Number of reports that it has sent since then.
    pub sequence: u64,
}

/// Versions that tell how new the tables of a balancer are; higher ones are newer.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Freshness {
    /// Version of the configuration.
    pub version: Version,
    /// Position of the store up to which the entries of upstreams are known; the default if none are.
    pub position: Position,
    /// Position of the store at which the evacuations last changed; `None` if they are not known or not followed.
    pub evacuations: Option<Position>,
}

impl Freshness {
    /// Returns whether any of the tables is newer than that of `other`.
    pub fn is_ahead_of(&self, other: &Freshness) -> bool {
        self.version > other.version
            || self.position > other.position
            || self.evacuations > other.evacuations
    }
}

/// Gossip message of a balancer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The sender.
    pub from: PeerInfo,
    /// How new its tables are.
    pub freshness: Freshness,
    /// Latest heartbeats of the live readers of its zone, those with the lowest names first.
    pub readers: Vec<Heartbeat>,
    /// Upstreams that it has recently found to have ended.
    pub ended: Vec<UpstreamId>,
    /// Upstreams that it has found to be slow.
    pub slow: Vec<Notice>,
}
