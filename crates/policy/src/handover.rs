//! Handover of flows between balancers: the messages, and the order and rate of the background handover.
//!
//! A flow has at most one holder, which stops serving the flow when it sends the entry to another balancer. It keeps
//! the sent record only to retransmit the message. An *exception* is a flow whose upstream differs from the default
//! that the tables give, so that another balancer cannot derive it. See
//! [membership changes and handover](../../../docs/design.md#7-membership-changes-and-handover).

use {
    crate::{
        compact::CompactRecords,
        dedupe,
        flow::{Key, SHARDS},
        id::{Incarnation, Map, UpstreamId, VmId},
        view_history::ViewHistory,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// Rate limit of the background handover: its share of the 2 KB/s of control traffic.
const RATE_BYTES_PER_SECOND: f64 = 600.0;

/// Bytes that the background handover may send in one burst.
const BURST_BYTES: f64 = 65_536.0;

/// Size limit of a background message, so that it fits into a datagram.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1_100;

/// Time after which an unconfirmed message with compact records is given up.
///
/// A balancer of a version that does not know these messages never confirms them.
const COMPACT_EXPIRY: Duration = Duration::from_secs(10);

/// Interval at which flows that have the default upstream and no copy yet are looked for.
const DEFAULT_COPY_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which unconfirmed messages and unanswered claims are retransmitted; the time allowed for a grant.
pub(crate) const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of balancers that forward an outcome.
///
/// An outcome that reaches it is not confirmed, because the flow itself is still in transit; its sender retransmits it.
pub(crate) const MAX_OUTCOME_HOPS: u8 = 2;

/// Attempts to claim a flow from one balancer before the flow enters quarantine.
pub(crate) const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// Hash of the content of a set of members or tables.
pub type Digest = u64;

/// Orders the transfers of one flow; a higher value is newer.
pub type Epoch = u32;

/// A message between two balancers.
///
/// Messages may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks another balancer to hand over a flow.
    Claim {
        /// The flow.
        key: Key,
        /// Incarnation of the claiming balancer, which changes when it restarts.
        incarnation: Incarnation,
        /// Address of the claiming balancer's peer socket, which the receiver's view may not contain yet.
        address: SocketAddr,
    },
    /// Answers a claim.
    Grant {
        /// The flow.
        key: Key,
        /// What the asked balancer knows about the flow.
        answer: Answer,
    },
    /// Hands flows over in the background.
    Push {
        /// Sequence number of the message, unique to its sender.
        sequence: u64,
        /// The flows.
        records: Vec<Record>,
    },
    /// Stores copies of exceptions at the balancers that would own the flows if the sender crashed.
    Replicate {
        /// Sequence number of the message, unique to its sender.
        sequence: u64,
        /// The flows.
        records: Vec<Record>,
    },
    /// Hands over flows without recent requests in the background.
    PushCompact {
        /// Sequence number of the message, unique to its sender.
        sequence: u64,
        /// The flows.
        records: CompactRecords,
    },
    /// Stores copies of flows without recent requests, like `Replicate`.
    ReplicateCompact {
        /// Sequence number of the message, unique to its sender.
        sequence: u64,
        /// The flows.
        records: CompactRecords,
    },
    /// Confirms a push, a replication or an outcome.
    Stored {
        /// Sequence number of the confirmed message.
        sequence: u64,
    },
    /// Says that the sender has handed over all flows that it no longer owns.
    Complete {
        /// Digest of the sender's view.
        view: Digest,
        /// Digest of the sender's pools: a flow that was not handed over has the default upstream of these pools.
        pools: Digest,
        /// Incarnation of the sending balancer.
        incarnation: Incarnation,
        /// Remaining time for which flows without an entry are in quarantine at the sender.
        quarantine: Duration,
        /// Whether the sender waits for a completion message from the receiver.
        awaits: bool,
    },
    /// Confirms a completion message.
    Completed {
        /// View digest of the confirmed message.
        view: Digest,
        /// Pools digest of the confirmed message.
        pools: Digest,
    },
    /// Reports the outcome of a request that was in flight when its flow was handed over.
    Outcome {
        /// Sequence number of the message, unique to its sender.
        sequence: u64,
        /// Number of balancers that have forwarded it, which prevents forwarding loops.
        hops: u8,
        /// The flow.
        key: Key,
        /// The request and its response.
        mark: dedupe::Mark,
    },
}

/// Answer to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The balancer held the flow and hands it over.
    Entry(Record),
    /// The balancer has no entry of the flow.
    None {
        /// Other balancers that may hold the flow.
        ask: Vec<VmId>,
        /// Remaining quarantine, in which a retransmission of a request that has already run may arrive.
        quarantine: Duration,
        /// Upstream of the flow according to a copy of its entry.
        copy: Option<UpstreamId>,
        /// Default upstream of the flow in the tables of an owner that has just crashed.
        former: Option<UpstreamId>,
    },
}

/// State of a flow that is handed over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "WireRecord", into = "WireRecord")]
pub struct Record {
    /// The flow.
    pub key: Key,
    /// Its upstream, or `None` while no upstream has been able to accept it.
    pub upstream: Option<UpstreamId>,
    /// Whether a request of the flow has been answered, or may have run.
    pub established: bool,
    /// Number of transfers, including this one.
    pub epoch: Epoch,
    /// Remaining time of its quarantine.
    pub quarantine: Duration,
    /// Its recent requests, for deduplication.
    pub marks: Vec<dedupe::Mark>,
}

#[derive(Deserialize, Serialize)]
struct WireRecord(
    SocketAddr,
    SocketAddr,
    Option<UpstreamId>,
    bool,
    Epoch,
    u32,
    Vec<dedupe::Mark>,
);

/// The passes of the background handover, in order, each of which sends some of the flows.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Pass {
    /// Flows owned by other balancers that are exceptions.
    Exceptions,
    /// Flows owned by other balancers with recent requests, which must not run again.
    Recent,
    /// Copies of this balancer's exceptions, to the balancers that would own the flows if it crashed.
    Copies,
    /// The remaining flows owned by other balancers.
    Rest,
    /// Copies of this balancer's flows that are no exceptions.
    DefaultCopies,
}

/// Byte budget of the background handover.
///
/// Unlike [`TokenBucket`](crate::token_bucket::TokenBucket), which allows or denies one message, it returns the number
/// of bytes that may be sent and is charged for the bytes that were sent.
#[derive(Debug)]
pub(crate) struct HandoverBudget {
    bytes: f64,
    refilled_at: Duration,
}

/// A message that is retransmitted until it is confirmed or expires.
#[derive(Debug)]
struct UnconfirmedMessage {
    to: VmId,
    message: Message,
    retransmit_at: Duration,
    expires: Duration,
}

/// Progress of the background handover of one balancer, and its unconfirmed messages.
#[derive(Debug)]
pub(crate) struct HandoverState {
    pub(crate) budget: HandoverBudget,
    /// New exceptions that are to be copied to another balancer.
    pub(crate) copy_queue: VecDeque<Key>,
    incarnation: Incarnation,
    sequence: u64,
    unconfirmed_messages: BTreeMap<u64, UnconfirmedMessage>,
    /// Pass and shard that are handed over next, or `None` after the last pass.
    position: Option<(Pass, usize)>,
    completion_sent: bool,
    unconfirmed_completions: BTreeSet<VmId>,
    completion_due: Duration,
    default_copies_due: Duration,
    /// Last known incarnations of other balancers.
    incarnations: Map<VmId, Incarnation>,
}

impl Record {
    /// Returns an estimate of the encoded size, in bytes.
    pub fn size(&self) -> usize {
        const FIXED_BYTES: usize = 64;
        FIXED_BYTES + self.marks.iter().map(dedupe::Mark::size).sum::<usize>()
    }
}

impl From<WireRecord> for Record {
    fn from(wire: WireRecord) -> Record {
        let WireRecord(caller, service, upstream, established, epoch, quarantine, marks) = wire;
        Record {
            key: Key { caller, service },
            upstream,
            established,
            epoch,
            quarantine: Duration::from_millis(quarantine.into()),
            marks,
        }
    }
}

impl From<Record> for WireRecord {
    fn from(record: Record) -> WireRecord {
        let Key { caller, service } = record.key;
        let quarantine = record.quarantine.as_millis() as u32;
        WireRecord(
            caller,
            service,
            record.upstream,
            record.established,
            record.epoch,
            quarantine,
            record.marks,
        )
    }
}

impl Pass {
    fn next(self) -> Option<Pass> {
        match self {
            Pass::Exceptions => Some(Pass::Recent),
            Pass::Recent => Some(Pass::Copies),
            Pass::Copies => Some(Pass::Rest),
            Pass::Rest => Some(Pass::DefaultCopies),
            Pass::DefaultCopies => None,
        }
    }

    /// Returns whether the pass sends copies of flows that stay with this balancer.
    pub(crate) fn is_copying(self) -> bool {
        matches!(self, Pass::Copies | Pass::DefaultCopies)
    }

    /// Returns whether the pass sends compact records, which balancers of older versions do not understand.
    ///
    /// Such a balancer loses flows of these passes only if the tables of their pool change.
    pub(crate) fn is_compact(self) -> bool {
        matches!(self, Pass::Rest | Pass::DefaultCopies)
    }
}

impl HandoverBudget {
    fn new() -> HandoverBudget {
        HandoverBudget {
            bytes: BURST_BYTES,
            refilled_at: Duration::ZERO,
        }
    }

    /// Adds the bytes that have accrued and returns the number of bytes that may be sent now.
    pub(crate) fn available(&mut self, now: Duration) -> usize {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.bytes = (self.bytes + passed * RATE_BYTES_PER_SECOND).min(BURST_BYTES);
        self.bytes.max(0.0) as usize
    }

    /// Removes bytes; the balance may become negative.
    pub(crate) fn consume(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}

impl HandoverState {
    pub(crate) fn new(incarnation: Incarnation) -> HandoverState {
        HandoverState {
            budget: HandoverBudget::new(),
            copy_queue: VecDeque::new(),
            incarnation,
            sequence: 0,
            unconfirmed_messages: BTreeMap::new(),
            position: None,
            completion_sent: false,
            unconfirmed_completions: BTreeSet::new(),
            completion_due: Duration::ZERO,
            default_copies_due: Duration::ZERO,
            incarnations: Map::default(),
        }
    }

    /// Restarts with the first pass, because the owners of flows may have changed.
    pub(crate) fn restart_passes(&mut self, history: &ViewHistory, own: VmId) {
        self.position = Some((Pass::Exceptions, 0));
        self.completion_sent = false;
        let others = history.current().members().iter().map(|member| member.id);
        self.unconfirmed_completions = others.filter(|&id| id != own).collect();
    }

    /// Restarts the pass that copies exceptions, because a change of the tables changes which flows are exceptions.
    pub(crate) fn restart_copy_pass(&mut self) {
        if self.position.is_none_or(|(pass, _)| pass > Pass::Recent) {
            self.position = Some((Pass::Copies, 0));
        }
    }

    /// Starts the pass that copies flows with the default upstream if it is due and no other pass is running.
    pub(crate) fn start_default_copies(&mut self, now: Duration) {
        if self.position.is_none() && self.default_copies_due <= now {
            self.position = Some((Pass::DefaultCopies, 0));
            self.default_copies_due = now + DEFAULT_COPY_INTERVAL;
        }
    }

    /// Returns the pass and shard that are handed over next.
    pub(crate) fn position(&self) -> Option<(Pass, usize)> {
        self.position
    }

    /// Moves on to the next shard or pass once all flows at the given position were sent.
    pub(crate) fn advance(&mut self, (pass, shard): (Pass, usize)) {
        if self.position != Some((pass, shard)) {
            return;
        }
        self.position = match shard + 1 {
            SHARDS => pass.next().map(|pass| (pass, 0)),
            shard => Some((pass, shard)),
        };
    }

    /// Returns whether all passes are finished and all messages confirmed.
    pub(crate) fn is_idle(&self) -> bool {
        self.position.is_none()
            && self.unconfirmed_messages.is_empty()
            && self.unconfirmed_completions.is_empty()
    }

    /// Returns the sequence number of a new message that is retransmitted until it is confirmed.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        // The incarnation prevents a confirmation for a message sent before a restart from matching.
        self.incarnation << u32::BITS | self.sequence
    }

    /// Stores a sent message for retransmission until it is confirmed.
    pub(crate) fn track(&mut self, now: Duration, sequence: u64, to: VmId, message: Message) {
        // An outcome is needed only while the caller may retransmit its request. Flows must arrive in any case.
        let expires = match message {
            Message::Outcome { .. } => now + dedupe::QUARANTINE,
            Message::PushCompact { .. } | Message::ReplicateCompact { .. } => now + COMPACT_EXPIRY,
            _ => Duration::MAX,
        };
        let unconfirmed = UnconfirmedMessage {
            to,
            message,
            retransmit_at: now + RETRANSMIT_INTERVAL,
            expires,
        };
        self.unconfirmed_messages.insert(sequence, unconfirmed);
    }

    /// Returns whether a flow has been pushed and the push is not confirmed.
    pub(crate) fn is_push_unconfirmed(&self, key: &Key) -> bool {
        let mut messages = self.unconfirmed_messages.values().map(|one| &one.message);
        messages.any(|message| match message {
            Message::Push { records, .. } => records.iter().any(|record| record.key == *key),
            Message::PushCompact { records, .. } => records.contains(key),
            _ => false,
        })
    }

    /// Removes a confirmed message.
    pub(crate) fn confirm_message(&mut self, from: VmId, sequence: u64) {
        if self.unconfirmed_messages.get(&sequence).map(|one| one.to) == Some(from) {
            self.unconfirmed_messages.remove(&sequence);
        }
    }

    /// Returns the messages that are due for retransmission.
    pub(crate) fn due_retransmissions(&mut self, now: Duration) -> Vec<(VmId, Message)> {
        self.unconfirmed_messages.retain(|_, one| one.expires > now);
        let due = self
            .unconfirmed_messages
            .values_mut()
            .filter(|one| one.retransmit_at <= now);
        due.map(|one| {
            one.retransmit_at = now + RETRANSMIT_INTERVAL;
            (one.to, one.message.clone())
        })
        .collect()
    }

    /// Removes and returns the messages to balancers that can no longer be reached.
    pub(crate) fn remove_undeliverable(
        &mut self,
        now: Duration,
        history: &ViewHistory,
    ) -> Vec<Message> {
        let gone = self
            .unconfirmed_messages
            .extract_if(.., |_, one| !history.is_reachable(now, one.to));
        gone.map(|(_, one)| one.message).collect()
    }

    /// Returns whether the new owners have confirmed all exceptions and all flows with recent requests, so that no
    /// balancer needs to claim flows from this one.
    fn is_push_complete(&self) -> bool {
        let has_passed_recent = self.position.is_none_or(|(pass, _)| pass > Pass::Recent);
        let is_push = |one: &UnconfirmedMessage| matches!(one.message, Message::Push { .. });
        has_passed_recent && !self.unconfirmed_messages.values().any(is_push)
    }

    /// Returns the balancers to which a completion message is due.
    ///
    /// With `must_wait`, the first completion is delayed. A balancer with flows in quarantine waits, so that the new
    /// owners claim each of these flows from it; a draining balancer cannot wait.
    pub(crate) fn due_completions(&mut self, now: Duration, must_wait: bool) -> Vec<VmId> {
        if !self.completion_sent && self.is_push_complete() && !must_wait {
            self.completion_sent = true;
            self.completion_due = now;
        }
        if !self.completion_sent || self.completion_due > now {
            return Vec::new();
        }
        self.completion_due = now + RETRANSMIT_INTERVAL;
        self.unconfirmed_completions.iter().copied().collect()
    }

    /// Returns whether a completion has been sent for the current view.
    pub(crate) fn has_sent_completion(&self) -> bool {
        self.completion_sent
    }

    /// Records that a balancer has confirmed the completion.
    pub(crate) fn confirm_completion(&mut self, from: VmId) {
        self.unconfirmed_completions.remove(&from);
    }

    /// Stops waiting for confirmations from balancers that can no longer be reached.
    pub(crate) fn forget_unreachable(&mut self, now: Duration, history: &ViewHistory) {
        self.unconfirmed_completions
            .retain(|&id| history.is_reachable(now, id));
    }

    /// Records the incarnation of a balancer, and returns whether it has restarted since its last message.
    pub(crate) fn record_incarnation(&mut self, id: VmId, incarnation: Incarnation) -> bool {
        let known = self.incarnations.insert(id, incarnation);
        known.is_some_and(|known| known != incarnation)
    }
}
