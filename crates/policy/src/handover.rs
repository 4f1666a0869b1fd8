//! Messages that move flows between balancers.
//!
//! See [membership changes and handover](../../../docs/design.md#7-membership-changes-and-handover).

use {
    crate::{
        dedupe,
        flow::Key,
        id::{Incarnation, UpstreamId, VmId},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

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
    /// Confirms a push or a replication.
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
    },
}

/// A flow as it moves from one balancer to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The flow.
    pub key: Key,
    /// Its upstream.
    pub upstream: UpstreamId,
    /// Number of transfers, this one included.
    pub epoch: Epoch,
    /// Remaining time of its quarantine.
    pub quarantine: Duration,
    /// Its recent requests.
    pub marks: Vec<dedupe::Mark>,
}
