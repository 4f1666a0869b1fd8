//! Types of the membership protocol: members, messages, events, actions and settings.
//!
//! [`Membership`] probes and gossips, [`crate::member_list::MemberList`] merges the updates of other members. See
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

/// Largest encoded message in bytes, which fits into one datagram without fragmentation.
pub const MESSAGE_BYTES: usize = 1_200;

/// State of a member. Within one incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// Has started but has no acknowledgements from a majority of its zone, so it would refuse non-idempotent requests
    /// of its flows.
    #[serde(rename = "j")]
    Joining,
    /// Owns flows.
    #[serde(rename = "a")]
    Alive,
    /// Is draining: it hands its flows over to other members.
    #[serde(rename = "l")]
    Leaving,
    /// Did not answer a probe; owns flows until it is declared dead.
    #[serde(rename = "s")]
    Suspect,
    /// Crashed or unreachable.
    #[serde(rename = "d")]
    Dead,
    /// Stopped after its drain.
    #[serde(rename = "x")]
    Left,
}

/// Zone and address of a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(String, SocketAddr)", into = "(String, SocketAddr)")]
pub struct Place {
    /// Availability zone.
    pub zone: String,
    /// Address of the peer socket.
    pub address: SocketAddr,
}

/// Identity that a balancer announces to its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Identifier of its VM.
    pub id: VmId,
    /// Zone and address.
    pub place: Place,
    /// Must be higher than at its previous start, for example the start time in Unix seconds.
    pub incarnation: Incarnation,
}

/// A member in the member list of a balancer.
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
    /// Time at which the member is declared dead unless it refutes the suspicion.
    pub deadline: Option<Duration>,
    /// Time of the last change of state or incarnation.
    pub since: Duration,
}

/// A gossiped state change of one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "UpdateWire", into = "UpdateWire")]
pub struct Update {
    /// The member.
    pub id: VmId,
    /// Start or refutation that the state belongs to.
    pub incarnation: Incarnation,
    /// State in that incarnation.
    pub state: State,
    /// Zone and address; absent if every receiver knows them.
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
    /// Piggybacked updates.
    pub updates: Vec<Update>,
}

/// Content of a message. The fields are positional, which keeps the encoding short.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Probe with its sequence number.
    #[serde(rename = "p")]
    Ping(u16, QuorumReport),
    /// Acknowledgement of the probe with this sequence number, with the sender's voters if they differ.
    #[serde(rename = "a")]
    Ack(u16, QuorumReport, Vec<VmId>),
    /// Asks the receiver to probe another member (indirect probe).
    #[serde(rename = "r")]
    PingRequest(u16, VmId),
    /// Reports that the target of an indirect probe has answered.
    #[serde(rename = "y")]
    IndirectAck(u16),
    /// Carries only updates.
    #[serde(rename = "g")]
    Gossip,
    /// Digests of the sender's member list by bucket; answered with the members of the buckets that differ.
    #[serde(rename = "d")]
    Digest(Vec<u32>),
    /// Part of a member list.
    #[serde(rename = "m")]
    List,
}

/// Input of [`Membership`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; expected every 100 ms.
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
    /// This balancer starts to drain: it hands its flows over.
    Leave,
    /// This balancer has drained and stops.
    Stop,
}

/// Output of [`Membership`], to be carried out by the code that runs it.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another member.
    Send {
        /// Address of the peer socket.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The members that own flows, their addresses or the reachability of zones changed.
    Changed,
}

/// Timing and limits of the membership protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two probe rounds.
    pub probe_interval: Duration,
    /// Time without an acknowledgement after which a probe is retransmitted and other members are asked to probe.
    pub direct_timeout: Duration,
    /// Time without any acknowledgement after which the member becomes suspect.
    pub probe_timeout: Duration,
    /// Time after which a suspect member is declared dead.
    pub suspicion_timeout: Duration,
    /// Time between two gossip rounds.
    pub gossip_interval: Duration,
    /// Members of the zone that receive pending updates in one gossip round.
    pub gossip_fanout: usize,
    /// Members that are asked to probe a member that has not answered (indirect probes).
    pub indirect_probes: usize,
    /// Time between two comparisons of the member list with another member.
    pub digest_interval: Duration,
    /// Members of each zone, the lowest identifiers first, that gossip and compare lists with other zones.
    pub delegates_per_zone: usize,
    /// Largest number of members of a zone that all probe each other, as the fence requires.
    pub fence_members: usize,
    /// Successors in the order of the identifiers that a member of a larger zone probes, in addition to a random one.
    pub successors: usize,
    /// Time without an acknowledgement after which another zone counts as unreachable.
    pub zone_timeout: Duration,
    /// Time after which a dead or stopped member is removed from the member list.
    pub forget_after: Duration,
    /// Mean rate at which this balancer may send, in bytes per second.
    pub bytes_per_second: usize,
    /// Bytes that a burst of updates or a joining member may use at once.
    pub burst_bytes: usize,
    /// Addresses through which to join, in addition to the VM list.
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

    /// Returns whether a member in this state is expected to answer probes.
    pub fn is_live(self) -> bool {
        !matches!(self, State::Dead | State::Left)
    }
}

impl Member {
    /// Returns an update with the state and place of this member.
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
    /// Returns an upper bound of the encoded size in bytes.
    pub fn encoded_bytes(&self) -> usize {
        // 9 bytes for the identifier, then the incarnation, 2 for the state and 2 for the framing of the tuple.
        let place =
            |place: &Place| place.zone.len() + if place.address.is_ipv4() { 20 } else { 44 };
        9 + integer_bytes(self.incarnation) + 2 + 2 + self.place.as_ref().map_or(0, place)
    }
}

impl Message {
    /// Returns an upper bound of the size in bytes when encoded as CBOR.
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

/// Returns the size of an unsigned integer when encoded as CBOR.
fn integer_bytes(value: u64) -> usize {
    match value {
        0..=23 => 1,
        24..=0xff => 2,
        0x100..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}

/// [`Update`] encoded as a tuple, because field names would double its size.
#[derive(Deserialize, Serialize)]
struct UpdateWire(VmId, Incarnation, State, Option<Place>);

/// [`Message`] encoded as a tuple.
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
