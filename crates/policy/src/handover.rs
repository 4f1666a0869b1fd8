//! How flows move between balancers: the messages, and the order and pace of the background work.
//!
//! A flow has at most one holder. A holder gives a flow up when it sends the entry, and keeps a copy only to repeat the
//! message. See [membership changes and handover](../../../docs/design.md#7-membership-changes-and-handover).

use {
    crate::{
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

/// Background bytes per second; the share of handover in the 2 KB/s of control traffic.
const RATE_BYTES_PER_SECOND: f64 = 600.0;

/// Background bytes that may be sent at once.
const BURST_BYTES: f64 = 65_536.0;

/// Largest message in the background, so that it fits a datagram.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1_100;

/// Time after which an unconfirmed message is repeated; also the limit for a grant.
pub(crate) const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(300);

/// Balancers that pass an outcome on; more than that, and the flow is still on its way.
pub(crate) const MAX_OUTCOME_HOPS: u8 = 2;

/// Claims to one balancer before the flow is quarantined.
pub(crate) const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// Identifies a set of members or a set of tables by its content.
pub type Digest = u64;

/// Orders the transfers of one flow; a higher value is newer.
pub type Epoch = u32;

/// A message between two balancers.
///
/// All of them may be lost, late, doubled or reordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks for a flow.
    Claim {
        /// The flow.
        key: Key,
        /// Start of the claiming balancer, which tells a restarted balancer from its predecessor.
        incarnation: Incarnation,
        /// Address of the claiming balancer's peer socket, which an older view does not have.
        address: SocketAddr,
    },
    /// Answers a claim.
    Grant {
        /// The flow.
        key: Key,
        /// What the asked balancer knows.
        answer: Answer,
    },
    /// Hands flows over in the background.
    Push {
        /// Number of the message, unique to its sender.
        sequence: u64,
        /// The flows.
        records: Vec<Record>,
    },
    /// Keeps copies of exceptions at the balancer that would own them if the sender crashed.
    Replicate {
        /// Number of the message, unique to its sender.
        sequence: u64,
        /// The flows.
        records: Vec<Record>,
    },
    /// Confirms a push, a replication or an outcome.
    Stored {
        /// Number of the confirmed message.
        sequence: u64,
    },
    /// Says that every flow that belongs elsewhere has been pushed.
    Complete {
        /// Members of the sender's view.
        view: Digest,
        /// Pools of the sender, since a flow that was not pushed has the default of these pools.
        pools: Digest,
        /// Start of the sending balancer.
        incarnation: Incarnation,
        /// Remaining time in which flows without an entry are in quarantine.
        quarantine: Duration,
        /// Whether the sender waits for the completion of the receiver.
        awaits: bool,
    },
    /// Confirms a completion.
    Completed {
        /// View of the confirmed message.
        view: Digest,
        /// Pools of the confirmed message.
        pools: Digest,
    },
    /// Tells the new owner how a request ended that was in flight when the flow moved.
    Outcome {
        /// Number of the message, unique to its sender.
        sequence: u64,
        /// Balancers that have passed it on, so that it does not go round for ever.
        hops: u8,
        /// The flow.
        key: Key,
        /// The request and its response.
        mark: dedupe::Mark,
    },
}

/// What a balancer that was asked for a flow knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// It had the flow and has given it up.
    Entry(Record),
    /// It has nothing of the flow.
    None {
        /// Balancers that may have it.
        ask: Vec<VmId>,
        /// Remaining time in which a retransmission of a request that has run may arrive.
        quarantine: Duration,
        /// Upstream of the flow according to a copy.
        copy: Option<UpstreamId>,
        /// Default upstream by the tables that an owner had that has just crashed.
        former: Option<UpstreamId>,
    },
}

/// A flow as it moves from one balancer to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "WireRecord", into = "WireRecord")]
pub struct Record {
    /// The flow.
    pub key: Key,
    /// Its upstream, unless nothing could take it so far.
    pub upstream: Option<UpstreamId>,
    /// Whether it has had an answer.
    pub established: bool,
    /// Number of transfers, this one included.
    pub epoch: Epoch,
    /// Remaining time of its quarantine.
    pub quarantine: Duration,
    /// Its recent requests.
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

/// Which flows a background pass sends, in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Pass {
    /// Flows of other balancers that are exceptions.
    Exceptions,
    /// Flows of other balancers with recent requests that must not run again.
    Recent,
    /// Copies of own exceptions for the successor.
    Copies,
    /// All other flows of other balancers.
    Rest,
}

/// A bounded budget of bytes that refills at a constant rate.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    bytes: f64,
    refilled_at: Duration,
}

#[derive(Debug)]
struct UnconfirmedMessage {
    to: VmId,
    message: Message,
    retransmit_at: Duration,
    expires: Duration,
}

/// The background work of one balancer.
#[derive(Debug)]
pub(crate) struct HandoverState {
    pub(crate) bucket: TokenBucket,
    pub(crate) copy_queue: VecDeque<Key>,
    incarnation: Incarnation,
    sequence: u64,
    unconfirmed_messages: BTreeMap<u64, UnconfirmedMessage>,
    position: Option<(Pass, usize)>,
    completion_sent: bool,
    unconfirmed_completions: BTreeSet<VmId>,
    completion_due: Duration,
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
            Pass::Rest => None,
        }
    }
}

impl TokenBucket {
    fn new() -> TokenBucket {
        TokenBucket {
            bytes: BURST_BYTES,
            refilled_at: Duration::ZERO,
        }
    }

    /// Returns the bytes that may be sent now.
    pub(crate) fn available(&mut self, now: Duration) -> usize {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.bytes = (self.bytes + passed * RATE_BYTES_PER_SECOND).min(BURST_BYTES);
        self.bytes.max(0.0) as usize
    }

    /// Takes bytes, which may leave a debt.
    pub(crate) fn consume(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}

impl HandoverState {
    pub(crate) fn new(incarnation: Incarnation) -> HandoverState {
        HandoverState {
            bucket: TokenBucket::new(),
            copy_queue: VecDeque::new(),
            incarnation,
            sequence: 0,
            unconfirmed_messages: BTreeMap::new(),
            position: None,
            completion_sent: false,
            unconfirmed_completions: BTreeSet::new(),
            completion_due: Duration::ZERO,
            incarnations: Map::default(),
        }
    }

    /// Starts over, since flows may belong to other balancers than before.
    pub(crate) fn restart_passes(&mut self, history: &ViewHistory, own: VmId) {
        self.position = Some((Pass::Exceptions, 0));
        self.completion_sent = false;
        let others = history.current().members().iter().map(|member| member.id);
        self.unconfirmed_completions = others.filter(|&id| id != own).collect();
    }

    /// Looks for exceptions again, since the tables have changed.
    pub(crate) fn restart_copy_pass(&mut self) {
        if self.position.is_none_or(|(pass, _)| pass > Pass::Recent) {
            self.position = Some((Pass::Copies, 0));
        }
    }

    /// Returns the part of the flows that is to be sent next.
    pub(crate) fn position(&self) -> Option<(Pass, usize)> {
        self.position
    }

    /// Moves on after everything at a position has been sent.
    pub(crate) fn advance(&mut self, (pass, shard): (Pass, usize)) {
        if self.position != Some((pass, shard)) {
            return;
        }
        self.position = match shard + 1 {
            SHARDS => pass.next().map(|pass| (pass, 0)),
            shard => Some((pass, shard)),
        };
    }

    /// Returns whether no work is left.
    pub(crate) fn is_idle(&self) -> bool {
        self.position.is_none()
            && self.unconfirmed_messages.is_empty()
            && self.unconfirmed_completions.is_empty()
    }

    /// Returns a number for the next message that is repeated until it is confirmed.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        // The start of the balancer keeps a confirmation for its predecessor from matching.
        self.incarnation << u32::BITS | self.sequence
    }

    /// Keeps a message for repetition.
    pub(crate) fn track(&mut self, now: Duration, sequence: u64, to: VmId, message: Message) {
        // An outcome matters as long as the caller retransmits; flows must arrive however long it takes.
        let expires = match message {
            Message::Outcome { .. } => now + dedupe::QUARANTINE,
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

    /// Returns whether a flow has been pushed and its new owner has not confirmed it.
    pub(crate) fn is_push_unconfirmed(&self, key: &Key) -> bool {
        let mut messages = self.unconfirmed_messages.values().map(|one| &one.message);
        messages.any(|message| match message {
            Message::Push { records, .. } => records.iter().any(|record| record.key == *key),
            _ => false,
        })
    }

    /// Removes a confirmed message.
    pub(crate) fn confirm_message(&mut self, from: VmId, sequence: u64) {
        if self.unconfirmed_messages.get(&sequence).map(|one| one.to) == Some(from) {
            self.unconfirmed_messages.remove(&sequence);
        }
    }

    /// Returns the messages that are due for repetition.
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

    /// Removes the messages to balancers that cannot be reached any more.
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

    /// Returns whether everything that a claim could ask for has reached its new owner.
    fn is_push_complete(&self) -> bool {
        let has_passed_recent = self.position.is_none_or(|(pass, _)| pass > Pass::Recent);
        let is_push = |one: &UnconfirmedMessage| matches!(one.message, Message::Push { .. });
        has_passed_recent && !self.unconfirmed_messages.values().any(is_push)
    }

    /// Returns the balancers that are to hear of the completion now.
    ///
    /// A balancer with flows in quarantine waits, so that their new owners ask for each; one that is leaving cannot.
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

    /// Returns whether a completion has been sent for the present view.
    pub(crate) fn has_sent_completion(&self) -> bool {
        self.completion_sent
    }

    /// Records that a balancer has accepted the completion.
    pub(crate) fn confirm_completion(&mut self, from: VmId) {
        self.unconfirmed_completions.remove(&from);
    }

    /// Stops waiting for balancers that cannot be reached any more.
    pub(crate) fn forget_unreachable(&mut self, now: Duration, history: &ViewHistory) {
        self.unconfirmed_completions
            .retain(|&id| history.is_reachable(now, id));
    }

    /// Returns whether a balancer has restarted since its last message.
    pub(crate) fn record_incarnation(&mut self, id: VmId, incarnation: Incarnation) -> bool {
        let known = self.incarnations.insert(id, incarnation);
        known.is_some_and(|known| known != incarnation)
    }
}
