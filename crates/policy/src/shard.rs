//! Flows, requests and claims of one shard.

use {
    crate::{
        dedupe::{CacheLimit, QUARANTINE, Window},
        dispatch::JobId,
        exchange::{Dispatched, Exchange, Finished, Queued, Received, Request},
        flow::{FlowTable, Key, SHARDS},
        handover::{Epoch, Record},
        id::{Map, Set, UpstreamId, VmId},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Maximum number of requests per flow that wait for the answer to a claim.
const MAX_HELD_REQUESTS: usize = 16;

/// Maximum number of claims in progress per shard.
const MAX_CLAIMS: usize = 1_024;

/// Time for which the record of a flow that was handed over is kept, so that it can be sent again if the message is
/// lost.
pub(crate) const RECORD_RETENTION: Duration = Duration::from_secs(5);

/// A request that has not been completed, by stage.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    /// Waits to be submitted again, after a refusal or because its upstream was removed or began to drain.
    Waiting(Exchange<Received>),
    /// Waits in the queue of its dispatcher.
    Queued(Exchange<Queued>),
    /// Was sent to an upstream that has not answered yet.
    Dispatched(Exchange<Dispatched>),
    /// Was answered with a separate response (RFC 7252) that the caller has not acknowledged yet.
    Separate(Exchange<Finished>),
}

/// A request that waits for the answer to a claim.
#[derive(Debug)]
pub(crate) struct HeldRequest {
    pub(crate) fabric: SocketAddr,
    pub(crate) key: Key,
    pub(crate) request: Request,
    pub(crate) arrived: Duration,
}

/// What other balancers reported about the upstream of a flow that none of them holds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamHints {
    /// Upstream in a copy of the flow's entry.
    pub(crate) replica: Option<UpstreamId>,
    /// Default upstream by the tables of the crashed owner.
    pub(crate) former_default: Option<UpstreamId>,
}

/// A claim in progress: a search for the balancer that holds a flow.
#[derive(Debug, Default)]
pub(crate) struct Claim {
    /// Balancers that have not answered, with the number of attempts.
    pub(crate) unanswered: BTreeMap<VmId, u32>,
    /// All balancers that were asked.
    pub(crate) targets: Set<VmId>,
    pub(crate) retry_at: Duration,
    pub(crate) quarantined_until: Duration,
    pub(crate) hints: UpstreamHints,
    /// Requests to serve once the claim is answered.
    pub(crate) held: Vec<HeldRequest>,
}

/// A flow that was handed over to another balancer, kept to forward late messages to it.
#[derive(Debug)]
pub(crate) struct MovedFlow {
    pub(crate) to: VmId,
    pub(crate) epoch: Epoch,
    /// Number of the view in which the flow was handed over.
    pub(crate) view: u32,
    pub(crate) handed_over_at: Duration,
    pub(crate) last_used: Duration,
    /// The record that was sent; `None` if this balancer had no entry or the record has expired.
    pub(crate) record: Option<Record>,
}

/// A copy of another balancer's entry for a flow whose upstream differs from the default that the tables give.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) upstream: UpstreamId,
    pub(crate) stored: Duration,
}

/// State of the flows of one shard.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) flows: FlowTable,
    pub(crate) windows: Map<Key, Window>,
    pub(crate) requests: Map<JobId, PendingRequest>,
    /// Unacknowledged separate responses by Message ID.
    pub(crate) separate: Map<(Key, u16), JobId>,
    pub(crate) claims: Map<Key, Claim>,
    pub(crate) moved_flows: Map<Key, MovedFlow>,
    pub(crate) replicas: Map<Key, Replica>,
    pub(crate) sweep_at: Duration,
    timers: BinaryHeap<Reverse<(Duration, JobId)>>,
    id_prefix: JobId,
    sequence: u32,
    message_id: u16,
}

impl PendingRequest {
    /// Returns the time of the next timeout or retransmission.
    pub(crate) fn due(&self) -> Duration {
        match self {
            PendingRequest::Waiting(one) => next_due(one).min(one.stage.not_before),
            PendingRequest::Queued(one) => next_due(one),
            PendingRequest::Dispatched(one) => {
                next_due(one).min(one.stage.retransmit_at.unwrap_or(Duration::MAX))
            }
            PendingRequest::Separate(one) => one.stage.retransmit_at,
        }
    }
}

fn next_due<S>(exchange: &Exchange<S>) -> Duration {
    let empty_ack_at = exchange.empty_ack_at().unwrap_or(Duration::MAX);
    exchange.deadline().min(empty_ack_at)
}

impl Claim {
    /// Holds a request until the claim is answered, and returns whether there was room.
    ///
    /// A retransmission of a held request is accepted and dropped, as the original will be served.
    pub(crate) fn hold(&mut self, held: HeldRequest) -> bool {
        let message_id = held.request.message_id;
        let is_known = |held: &HeldRequest| held.request.message_id == message_id;
        if self.held.iter().any(is_known) {
            return true;
        }
        let fits = self.held.len() < MAX_HELD_REQUESTS;
        if fits {
            self.held.push(held);
        }
        fits
    }

    /// Adds the balancers that have not been asked yet, and returns them.
    pub(crate) fn add_targets(&mut self, ids: &[VmId]) -> Vec<VmId> {
        let ids = ids.iter().copied();
        let new: Vec<VmId> = ids.filter(|&id| self.targets.insert(id)).collect();
        self.unanswered.extend(new.iter().map(|&id| (id, 1)));
        new
    }
}

impl Shard {
    pub(crate) fn new(index: usize, incarnation: u64, seed: u64, limit: usize) -> Shard {
        Shard {
            flows: FlowTable::new(limit),
            windows: Map::default(),
            requests: Map::default(),
            separate: Map::default(),
            claims: Map::default(),
            moved_flows: Map::default(),
            replicas: Map::default(),
            sweep_at: Duration::ZERO,
            timers: BinaryHeap::new(),
            id_prefix: incarnation << u32::BITS | index as u64,
            sequence: 0,
            message_id: (seed as u16).wrapping_mul(31).wrapping_add(index as u16),
        }
    }

    /// Returns a new job identifier, whose low bits are the shard index.
    ///
    /// It is not used again in this incarnation.
    pub(crate) fn next_id(&mut self) -> JobId {
        self.sequence = self.sequence.wrapping_add(1);
        let shard_bits = SHARDS.ilog2();
        self.id_prefix | u64::from(self.sequence << shard_bits)
    }

    /// Returns a Message ID for a message from this balancer to a caller.
    pub(crate) fn next_message_id(&mut self) -> u16 {
        self.message_id = self.message_id.wrapping_add(1);
        self.message_id
    }

    /// Stores a request and sets its timer.
    pub(crate) fn insert_request(&mut self, id: JobId, request: PendingRequest) {
        self.timers.push(Reverse((request.due(), id)));
        self.requests.insert(id, request);
    }

    /// Returns a request whose timer has expired.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<JobId> {
        while let Some(&Reverse((due, id))) = self.timers.peek()
            && due <= now
        {
            self.timers.pop();
            if self
                .requests
                .get(&id)
                .is_some_and(|request| request.due() <= now)
            {
                return Some(id);
            }
        }
        None
    }

    /// Returns whether the number of claims is below the limit.
    pub(crate) fn has_room_for_claim(&self) -> bool {
        self.claims.len() < MAX_CLAIMS
    }

    /// Removes expired state and returns the flows that were idle for longer than `idle_timeout`, with their upstreams.
    pub(crate) fn sweep(
        &mut self,
        now: Duration,
        idle_timeout: Duration,
        limit: &CacheLimit,
    ) -> Vec<(Key, Option<UpstreamId>)> {
        let oldest = now.saturating_sub(idle_timeout);
        let ended = self.flows.expire(oldest);
        self.windows.retain(|_, window| {
            window.expire(now, limit);
            !window.is_empty()
        });
        self.moved_flows
            .retain(|_, moved| now < moved.last_used + QUARANTINE + RECORD_RETENTION);
        for moved in self
            .moved_flows
            .values_mut()
            .filter(|one| one.handed_over_at + RECORD_RETENTION <= now)
        {
            moved.record = None;
        }
        self.replicas.retain(|_, replica| replica.stored >= oldest);
        let ended = ended.into_iter();
        ended.map(|(key, entry)| (key, entry.upstream)).collect()
    }
}
