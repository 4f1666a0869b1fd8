//! Handling of handover messages from other balancers, and claims of flows that another balancer may hold.

use {
    crate::{
        dedupe::{Mark, QUARANTINE, State},
        event::{DropReason, LogEvent},
        event_context::EventContext,
        flow::{Entry, Key, shard_index},
        handover::{
            Answer, MAX_CLAIM_ATTEMPTS, MAX_OUTCOME_HOPS, Message, Pass, RETRANSMIT_INTERVAL,
            Record,
        },
        id::{Incarnation, UpstreamId, VmId},
        shard::{Claim, HeldRequest, MovedFlow, RECORD_RETENTION, Replica, Shard, UpstreamHints},
        view_history::PossibleHolders,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Time allowed for a record that was handed over to reach its new holder.
///
/// Meanwhile a claim from a third balancer is not answered.
const RECORD_TRANSIT: Duration = Duration::from_millis(600);

impl EventContext<'_> {
    /// Handles a message from another balancer.
    pub(crate) fn handle_peer_message(&mut self, from: VmId, message: Message) {
        match message {
            Message::Claim {
                key,
                incarnation,
                address,
            } => {
                self.record_contact(from, address);
                self.handle_claim(from, key, incarnation);
            }
            Message::Grant { key, answer } => self.handle_grant(from, key, answer),
            Message::Push { sequence, records } => self.handle_push(from, sequence, records),
            Message::Replicate { sequence, records } => {
                self.handle_replicate(from, sequence, records)
            }
            Message::PushCompact { sequence, records } => {
                self.handle_push(from, sequence, records.into_records())
            }
            Message::ReplicateCompact { sequence, records } => {
                self.handle_replicate(from, sequence, records.into_records())
            }
            Message::Stored { sequence } => self.core.handover().confirm_message(from, sequence),
            Message::Outcome {
                sequence,
                hops,
                key,
                mark,
            } => {
                if self.handle_outcome(from, hops, key, mark) {
                    self.send(from, Message::Stored { sequence });
                }
            }
            Message::Complete { .. } | Message::Completed { .. } => {
                self.handle_completion_message(from, message)
            }
        }
    }

    /// Claims a flow from the balancers that may hold it, and holds the request until they answer.
    pub(crate) fn start_claim(
        &mut self,
        shard: &mut Shard,
        held: HeldRequest,
        holders: &PossibleHolders,
    ) {
        let key = held.key;
        if !shard.has_room_for_claim() {
            return self.drop_datagram(key, DropReason::Full);
        }
        let mut claim = Claim {
            retry_at: self.now + RETRANSMIT_INTERVAL,
            quarantined_until: holders.quarantined_until,
            ..Claim::default()
        };
        claim.hold(held);
        let ask = claim.add_targets(&holders.candidates);
        shard.claims.insert(key, claim);
        self.send_claims(key, &ask);
    }

    fn send_claims(&mut self, key: Key, balancers: &[VmId]) {
        let Some(address) = self.history.current().address(self.core.id()) else {
            return;
        };
        let incarnation = self.core.incarnation();
        for &to in balancers {
            let claim = Message::Claim {
                key,
                incarnation,
                address,
            };
            self.send(to, claim);
        }
    }

    /// Retries unanswered claims, and gives up on balancers that do not respond.
    pub(crate) fn retry_claims(&mut self, shard: &mut Shard) {
        let due = shard.claims.iter();
        let due = due.filter(|(_, claim)| claim.retry_at <= self.now);
        let keys: Vec<Key> = due.map(|(&key, _)| key).collect();
        for key in keys {
            self.retry_claim(shard, key);
        }
    }

    fn retry_claim(&mut self, shard: &mut Shard, key: Key) {
        let Some(claim) = shard.claims.get(&key) else {
            return;
        };
        let waiting = claim.unanswered.iter();
        let unresponsive = waiting.filter(|&(_, &attempts)| attempts >= MAX_CLAIM_ATTEMPTS);
        let unresponsive: Vec<VmId> = unresponsive.map(|(&id, _)| id).collect();
        for &id in &unresponsive {
            if self.history.needs_unresponsive_mark(id) {
                self.history = self
                    .core
                    .update_history(|history| history.mark_unresponsive(id));
            }
        }
        // The view may have changed since the claim was started.
        let holders = self.possible_holders(shard, &key, true);
        let Some(claim) = shard.claims.get_mut(&key) else {
            return;
        };
        claim.retry_at = self.now + RETRANSMIT_INTERVAL;
        claim.quarantined_until = claim.quarantined_until.max(holders.quarantined_until);
        claim.unanswered.retain(|&id, attempts| {
            *attempts < MAX_CLAIM_ATTEMPTS && self.history.is_reachable(self.now, id)
        });
        if unresponsive
            .iter()
            .any(|&id| self.history.is_reachable(self.now, id))
        {
            claim.quarantined_until = self.now + QUARANTINE;
        }
        claim
            .unanswered
            .values_mut()
            .for_each(|attempts| *attempts += 1);
        claim.add_targets(&holders.candidates);
        let ask: Vec<VmId> = claim.unanswered.keys().copied().collect();
        if ask.is_empty() {
            self.resolve_claim(shard, key)
        } else {
            self.send_claims(key, &ask)
        }
    }

    /// Ends a claim of a flow that no other balancer holds, and serves its held requests.
    fn resolve_claim(&mut self, shard: &mut Shard, key: Key) {
        let Some(claim) = shard.claims.remove(&key) else {
            return;
        };
        let holders = PossibleHolders {
            candidates: Vec::new(),
            quarantined_until: claim.quarantined_until,
        };
        for held in claim.held {
            self.serve_as_owner(shard, held, holders.clone(), claim.hints);
        }
    }

    fn record_contact(&mut self, from: VmId, address: SocketAddr) {
        let now = self.now;
        if self.history.needs_contact_update(now, from) {
            self.history = self
                .core
                .update_history(|history| history.record_contact(now, from, address));
        }
    }

    fn handle_claim(&mut self, from: VmId, key: Key, incarnation: Incarnation) {
        self.detect_restart(from, incarnation);
        let core = self.core;
        let mut shard = core.shards.lock(shard_index(&key));
        if self.is_claim_deferred(&shard, from, &key) {
            return;
        }
        let answer = match self.relinquish(&mut shard, &key, from) {
            Some(record) => Answer::Entry(record),
            None => self.answer_without_entry(&mut shard, from, &key),
        };
        if shard.claims.remove(&key).is_some() {
            self.drop_datagram(key, DropReason::NotOwner);
        }
        self.send(from, Message::Grant { key, answer });
    }

    /// Returns whether to leave a claim unanswered, so that the claiming balancer retries it.
    fn is_claim_deferred(&self, shard: &Shard, from: VmId, key: &Key) -> bool {
        // Of two balancers that claim a flow from each other, the one with the higher identifier yields.
        let claim = shard.claims.get(key);
        let is_mutual = claim.is_some_and(|claim| claim.unanswered.contains_key(&from));
        if is_mutual && self.core.id() < from {
            return true;
        }
        let moved = shard.moved_flows.get(key);
        shard.flows.get(key).is_none()
            && moved.is_some_and(|moved| {
                let is_in_transit =
                    self.now < moved.handed_over_at + RECORD_TRANSIT && moved.record.is_some();
                is_in_transit && moved.to != from && self.history.is_reachable(self.now, moved.to)
            })
    }

    /// Removes a flow that this balancer holds, and returns the record for its new holder.
    ///
    /// If the flow was handed over to the same balancer recently, it returns the retained record again.
    pub(crate) fn relinquish(&mut self, shard: &mut Shard, key: &Key, to: VmId) -> Option<Record> {
        let Some(entry) = shard.flows.remove(key) else {
            return self.retained_record(shard, key, to);
        };
        let mut window = shard.windows.remove(key).unwrap_or_default();
        let record = self.new_record(key, &entry, window.marks(self.now));
        window.clear(&self.core.cache);
        self.count_closed(key, entry.upstream);
        self.log(LogEvent::Granted { key: *key, to });
        let moved = self.moved_flow(to, record.epoch, Some(record.clone()));
        shard.moved_flows.insert(*key, moved);
        Some(record)
    }

    fn retained_record(&self, shard: &Shard, key: &Key, to: VmId) -> Option<Record> {
        let moved = shard.moved_flows.get(key)?;
        let is_fresh = moved.to == to && self.now < moved.handed_over_at + RECORD_RETENTION;
        moved.record.clone().filter(|_| is_fresh)
    }

    fn new_record(&self, key: &Key, entry: &Entry, marks: Vec<Mark>) -> Record {
        let quarantined_until = match entry.is_acting {
            // A balancer of the home zone may have served the flow at the same time.
            true => self.now + QUARANTINE,
            false => entry.quarantined_until,
        };
        let in_flight = marks.iter().any(|mark| mark.state == State::InFlight);
        Record {
            key: *key,
            upstream: entry.upstream,
            established: entry.established || in_flight,
            epoch: entry.epoch + 1,
            quarantine: quarantined_until.saturating_sub(self.now),
            marks,
        }
    }

    fn moved_flow(&self, to: VmId, epoch: u32, record: Option<Record>) -> MovedFlow {
        MovedFlow {
            to,
            epoch,
            view: self.history.view_number(),
            handed_over_at: self.now,
            last_used: self.now,
            record,
        }
    }

    fn answer_without_entry(&mut self, shard: &mut Shard, from: VmId, key: &Key) -> Answer {
        let mut holders = self.history.possible_holders(self.now, key.hash(), from);
        let previous = shard.moved_flows.get(key);
        if let Some(moved) =
            previous.filter(|one| one.to != from && self.history.is_reachable(self.now, one.to))
        {
            holders.candidates.push(moved.to);
        }
        if let Some(claim) = shard.claims.get(key) {
            holders.candidates.extend(claim.targets.iter());
            let until = claim.quarantined_until;
            holders.quarantined_until = holders.quarantined_until.max(until);
        }
        let own = self.core.id();
        holders.candidates.retain(|&id| id != from && id != own);
        let epoch = previous.map_or(0, |moved| moved.epoch);
        let moved = self.moved_flow(from, epoch, None);
        shard.moved_flows.insert(*key, moved);
        let replica = shard.replicas.get(key).map(|replica| replica.upstream);
        // The claiming balancer may have joined after the tables of the crashed owner were replaced.
        let former = self.former_default(key, holders.quarantined_until);
        Answer::None {
            ask: holders.candidates,
            quarantine: holders.quarantined_until.saturating_sub(self.now),
            copy: replica,
            former,
        }
    }

    fn handle_grant(&mut self, from: VmId, key: Key, answer: Answer) {
        let core = self.core;
        let mut shard = core.shards.lock(shard_index(&key));
        match answer {
            Answer::Entry(record) => self.accept_record(&mut shard, from, record),
            Answer::None {
                ask,
                quarantine,
                copy,
                former,
            } => {
                let Some(claim) = shard.claims.get_mut(&key) else {
                    return;
                };
                if claim.unanswered.remove(&from).is_none() {
                    return;
                }
                let until = self.now + quarantine;
                if !quarantine.is_zero() {
                    claim.quarantined_until = claim.quarantined_until.max(until);
                }
                claim.hints.replica = claim.hints.replica.or(copy);
                claim.hints.former_default = claim.hints.former_default.or(former);
                self.extend_claim(&mut shard, key, ask);
            }
        }
    }

    fn extend_claim(&mut self, shard: &mut Shard, key: Key, mut ask: Vec<VmId>) {
        let Some(claim) = shard.claims.get_mut(&key) else {
            return;
        };
        let own = self.core.id();
        ask.retain(|&id| id != own && self.history.is_reachable(self.now, id));
        let ask = claim.add_targets(&ask);
        let is_resolved = claim.unanswered.is_empty();
        self.send_claims(key, &ask);
        if is_resolved {
            self.resolve_claim(shard, key);
        }
    }

    /// Takes over a flow from its previous holder.
    pub(crate) fn accept_record(&mut self, shard: &mut Shard, from: VmId, record: Record) {
        let key = record.key;
        if let Some(entry) = shard.flows.get(&key)
            && entry.term == self.history.term()
        {
            return self.merge_record(shard, record);
        }
        let claim = shard.claims.remove(&key);
        if claim.is_none() && self.forward_if_moved(shard, from, &record) {
            return;
        }
        self.log(LogEvent::Claimed { key, from });
        self.insert_flow(shard, record);
        for held in claim.map(|claim| claim.held).unwrap_or_default() {
            self.serve_as_owner(
                shard,
                held,
                PossibleHolders::default(),
                UpstreamHints::default(),
            );
        }
    }

    /// Handles the record of a flow that this balancer has since granted to another one.
    ///
    /// Returns whether the flow is not taken over here: an outdated record is dropped, a newer one is forwarded.
    fn forward_if_moved(&mut self, shard: &mut Shard, from: VmId, record: &Record) -> bool {
        let Some(moved) = shard.moved_flows.get_mut(&record.key) else {
            return false;
        };
        if moved.epoch >= record.epoch {
            return true;
        }
        let was_unknown =
            moved.record.is_none() && self.now < moved.handed_over_at + RECORD_RETENTION;
        let to = moved.to;
        if !was_unknown || to == from || !self.history.is_reachable(self.now, to) {
            return false;
        }
        let mut record = record.clone();
        record.epoch += 1;
        moved.epoch = record.epoch;
        moved.record = Some(record.clone());
        let key = record.key;
        let answer = Answer::Entry(record);
        self.send(to, Message::Grant { key, answer });
        true
    }

    fn insert_flow(&mut self, shard: &mut Shard, record: Record) {
        let key = record.key;
        shard.moved_flows.remove(&key);
        shard.replicas.remove(&key);
        let former = shard.flows.remove(&key);
        self.count_closed(&key, former.and_then(|entry| entry.upstream));
        self.count_opened(&key, record.upstream);
        let entry = Entry {
            fabric: former.and_then(|entry| entry.fabric),
            upstream: record.upstream,
            last_request_at: self.now,
            acquired_at: self.now,
            quarantined_until: self.now + record.quarantine,
            copy_holder: 0,
            epoch: record.epoch,
            view: self.history.view_number(),
            term: self.history.term(),
            established: record.established,
            is_acting: false,
            is_upstream_known: false,
        };
        shard.flows.insert(key, entry);
        let window = shard.windows.entry(key).or_default();
        window.merge(self.now, record.marks, &self.core.cache);
        self.queue_copy_of_exception(&key, record.upstream);
    }

    fn queue_copy_of_exception(&self, key: &Key, upstream: Option<UpstreamId>) {
        if let Some(upstream) = upstream
            && self.is_exception(key, upstream)
        {
            self.core.handover().copy_queue.push_back(*key);
        }
    }

    fn merge_record(&mut self, shard: &mut Shard, record: Record) {
        let key = record.key;
        let window = shard.windows.entry(key).or_default();
        window.merge(self.now, record.marks, &self.core.cache);
        if let Some(entry) = shard.flows.get_mut(&key) {
            entry.epoch = entry.epoch.max(record.epoch);
        }
    }

    fn handle_push(&mut self, from: VmId, sequence: u64, records: Vec<Record>) {
        let core = self.core;
        let mut is_stored = true;
        for record in records {
            let key = record.key;
            let mut shard = core.shards.lock(shard_index(&key));
            self.accept_record(&mut shard, from, record);
            self.forward_to_owner(&mut shard, from, &key);
            is_stored &= !core.handover().is_push_unconfirmed(&key);
        }
        // The sender may report completion only after a flow that was forwarded from here has arrived.
        if is_stored {
            self.send(from, Message::Stored { sequence });
        }
    }

    /// Forwards a flow that a balancer with an older view has sent here.
    fn forward_to_owner(&mut self, shard: &mut Shard, from: VmId, key: &Key) {
        let owner = self.history.current().decide(key.hash()).balancer();
        let Some(to) = owner.filter(|&to| to != from && to != self.core.id()) else {
            return;
        };
        if shard.flows.get(key).is_some()
            && let Some(record) = self.relinquish(shard, key, to)
        {
            self.send_tracked(Pass::Recent, to, vec![record]);
        }
    }

    fn handle_replicate(&mut self, from: VmId, sequence: u64, records: Vec<Record>) {
        let core = self.core;
        for record in records {
            let mut shard = core.shards.lock(shard_index(&record.key));
            // The copy is kept beside an entry, which may be one that is still to be handed over to the sender.
            if let Some(upstream) = record.upstream {
                let stored = self.now;
                let replica = Replica { upstream, stored };
                shard.replicas.insert(record.key, replica);
            }
        }
        self.send(from, Message::Stored { sequence });
    }

    /// Records or forwards the outcome of a request; returns false if its flow has not arrived here yet.
    fn handle_outcome(&mut self, from: VmId, hops: u8, key: Key, mark: Mark) -> bool {
        let core = self.core;
        let mut shard = core.shards.lock(shard_index(&key));
        if shard.flows.get(&key).is_some() {
            let window = shard.windows.entry(key).or_default();
            window.merge(self.now, vec![mark], &self.core.cache);
            return true;
        }
        let to = shard.moved_flows.get(&key).map(|moved| moved.to);
        let Some(to) = to.filter(|&to| to != from && hops < MAX_OUTCOME_HOPS) else {
            return false;
        };
        self.send_outcome(to, hops + 1, key, mark);
        true
    }
}
