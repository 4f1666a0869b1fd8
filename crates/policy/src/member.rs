//! Members of the deployment and the messages that spread them.
//!
//! [`Membership`] probes and gossips, [`crate::member_list::MemberList`] merges what members report. See
//! [membership](../../../docs/design.md#8-membership).

pub use crate::swim::Membership;
use {
    crate::{
        id::{Incarnation, VmId},
        quorum::QuorumReport,
        vm,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Longest message in encoded bytes, which fits into one datagram without fragmentation.
pub const MESSAGE_BYTES: usize = 1_200;

/// What a member is known to do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// Has started and is not yet heard by a majority of its zone, so it would have to refuse requests of its flows.
    #[serde(rename = "j")]
    Joining,
    /// Owns flows.
    #[serde(rename = "a")]
    Alive,
    /// Hands its flows over.
    #[serde(rename = "l")]
    Leaving,
    /// Did not answer a probe and owns flows until it is declared dead.
    #[serde(rename = "s")]
    Suspect,
    /// Crashed or unreachable.
    #[serde(rename = "d")]
    Dead,
    /// Stopped after a handover.
    #[serde(rename = "x")]
    Left,
}

/// Where a member is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(String, SocketAddr)", into = "(String, SocketAddr)")]
pub struct Place {
    /// Availability zone.
    pub zone: String,
    /// Address of the peer socket.
    pub address: SocketAddr,
}

/// A balancer as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Identifier of its VM.
    pub id: VmId,
    /// Zone and address.
    pub place: Place,
    /// Higher than at its last start, for example the start time in Unix seconds.
    pub incarnation: Incarnation,
}

/// A member as a balancer knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Identifier of its VM.
    pub id: VmId,
    /// Zone and address.
    pub place: Place,
    /// Start or refutation that the state belongs to.
    pub incarnation: Incarnation,
    /// State in that incarnation.
    pub state: State,
    /// Time of the declaration as dead, unless the suspicion is refuted.
    pub deadline: Option<Duration>,
    /// Time of the last change of state or incarnation.
    pub since: Duration,
}

/// News about one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "UpdateWire", into = "UpdateWire")]
pub struct Update {
    /// The member.
    pub id: VmId,
    /// Start or refutation that the state belongs to.
    pub incarnation: Incarnation,
    /// State in that incarnation.
    pub state: State,
    /// Zone and address, absent where every receiver knows them.
    pub place: Option<Place>,
}

/// A message between two members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "MessageWire", into = "MessageWire")]
pub struct Message {
    /// Sender.
    pub from: VmId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Content.
    pub body: Body,
    /// Piggybacked news.
    pub updates: Vec<Update>,
}

/// Content of a message. The fields are positional, which keeps the encoding short.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Probe with its sequence number.
    #[serde(rename = "p")]
    Ping(u16, QuorumReport),
    /// Answer to the probe of that sequence number, with the voters if they differ.
    #[serde(rename = "a")]
    Ack(u16, QuorumReport, Vec<VmId>),
    /// Asks for a probe of another member.
    #[serde(rename = "r")]
    PingRequest(u16, VmId),
    /// Says that the member asked for has answered.
    #[serde(rename = "y")]
    IndirectAck(u16),
    /// Only carries news.
    #[serde(rename = "g")]
    Gossip,
    /// Digests of the sender's list by bucket; answered with the members of the buckets that differ.
    #[serde(rename = "d")]
    Digest(Vec<u32>),
    /// Part of a member list.
    #[serde(rename = "m")]
    List,
}

/// Something that happened at a balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due every 100 ms.
    Tick,
    /// A message of another member arrived.
    Received {
        /// Source address.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The platform returned its VM list.
    Listed(Vec<vm::Record>),
    /// This balancer starts to leave.
    Leave,
    /// This balancer has handed over and stops.
    Stop,
}

/// Something that a balancer is to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another member.
    Send {
        /// Address of the peer socket.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The members that own flows or their reachability changed.
    Changed,
}

/// Times and limits of the membership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two probe rounds.
    pub probe_interval: Duration,
    /// Time without an answer until a probe is repeated and others are asked to probe.
    pub direct_timeout: Duration,
    /// Time without any answer until the member is suspect.
    pub probe_timeout: Duration,
    /// Time from suspicion to death.
    pub suspicion_timeout: Duration,
    /// Time between two rounds of unsent news.
    pub gossip_interval: Duration,
    /// Members that get unsent news in one round.
    pub gossip_fanout: usize,
    /// Members that are asked to probe on behalf of this one.
    pub indirect_probes: usize,
    /// Time between two comparisons of the member list with another member.
    pub digest_interval: Duration,
    /// Members of this zone, by rank, that compare lists with each other zone.
    pub delegates_per_zone: usize,
    /// Largest zone whose members all probe each other, as the fence needs it.
    pub fence_members: usize,
    /// Successors in the order of the identifiers that a member of a larger zone probes, besides one at random.
    pub successors: usize,
    /// Time without an answer until another zone is unreachable.
    pub zone_timeout: Duration,
    /// Time after which a dead member is forgotten.
    pub forget_after: Duration,
    /// Mean budget in bytes per second.
    pub bytes_per_second: usize,
    /// Bytes that a burst of news or a joining member may take at once.
    pub burst_bytes: usize,
    /// Addresses to join through besides the VM list.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            probe_interval: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(800),
            suspicion_timeout: Duration::from_secs(2),
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 2,
            indirect_probes: 2,
            digest_interval: Duration::from_secs(2),
            delegates_per_zone: 2,
            fence_members: 16,
            successors: 2,
            zone_timeout: Duration::from_millis(3_500),
            forget_after: Duration::from_secs(600),
            bytes_per_second: 1_000,
            burst_bytes: 65_536,
            seeds: Vec::new(),
        }
    }
}

impl State {
    /// Returns whether a member in this state owns flows.
    pub fn owns_flows(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// Returns whether a member in this state answers probes.
    pub fn is_live(self) -> bool {
        !matches!(self, State::Dead | State::Left)
    }
}

impl Member {
    /// Returns the member as news, with its place.
    pub fn update(&self) -> Update {
        Update {
            id: self.id,
            incarnation: self.incarnation,
            state: self.state,
            place: Some(self.place.clone()),
        }
    }
}

impl Update {
    /// Returns an upper estimate of the encoded size in bytes.
    pub fn encoded_bytes(&self) -> usize {
        // Identifier, incarnation, state, and the framing of a tuple.
        let place =
            |place: &Place| place.zone.len() + if place.address.is_ipv4() { 20 } else { 44 };
        9 + integer_bytes(self.incarnation) + 2 + 2 + self.place.as_ref().map_or(0, place)
    }
}

impl Message {
    /// Returns an upper estimate of the size in bytes when encoded as CBOR.
    pub fn encoded_bytes(&self) -> usize {
        const REPORT: usize = 15;
        let body = match &self.body {
            Body::Ping(..) => 7 + REPORT,
            Body::Ack(_, _, voters) => 9 + REPORT + voters.len() * 9,
            Body::PingRequest(..) => 16,
            Body::IndirectAck(_) => 6,
            Body::Gossip | Body::List => 2,
            Body::Digest(digests) => 6 + digests.len() * 5,
        };
        let updates: usize = self.updates.iter().map(Update::encoded_bytes).sum();
        13 + integer_bytes(self.incarnation) + body + updates
    }
}

fn integer_bytes(value: u64) -> usize {
    match value {
        0..=23 => 1,
        24..=0xff => 2,
        0x100..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}

/// [`Update`] as a tuple, because field names would double its encoded size.
#[derive(Deserialize, Serialize)]
struct UpdateWire(VmId, Incarnation, State, Option<Place>);

/// [`Message`] as a tuple.
#[derive(Deserialize, Serialize)]
struct MessageWire(VmId, Incarnation, Body, Vec<Update>);

impl From<UpdateWire> for Update {
    fn from(UpdateWire(id, incarnation, state, place): UpdateWire) -> Update {
        Update {
            id,
            incarnation,
            state,
            place,
        }
    }
}

impl From<Update> for UpdateWire {
    fn from(update: Update) -> UpdateWire {
        UpdateWire(update.id, update.incarnation, update.state, update.place)
    }
}

impl From<MessageWire> for Message {
    fn from(MessageWire(from, incarnation, body, updates): MessageWire) -> Message {
        Message {
            from,
            incarnation,
            body,
            updates,
        }
    }
}

impl From<Message> for MessageWire {
    fn from(message: Message) -> MessageWire {
        MessageWire(
            message.from,
            message.incarnation,
            message.body,
            message.updates,
        )
    }
}

impl From<(String, SocketAddr)> for Place {
    fn from((zone, address): (String, SocketAddr)) -> Place {
        Place { zone, address }
    }
}

impl From<Place> for (String, SocketAddr) {
    fn from(place: Place) -> (String, SocketAddr) {
        (place.zone, place.address)
    }
}
