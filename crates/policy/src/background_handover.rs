//! Periodic work: background handover of flows, retransmission of messages, and removal of expired state.

use {
    crate::{
        compact::CompactRecords,
        dedupe::QUARANTINE,
        event::LogEvent,
        event_context::EventContext,
        flow::{Entry, Key, SHARDS, shard_index},
        handover::{MAX_MESSAGE_BYTES, Message, Pass, Record},
        id::{Incarnation, VmId},
        shard::Shard,
    },
    std::{collections::BTreeMap, mem, time::Duration},
};

/// Interval at which expired state is removed from a shard.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Size of a compact record next to one of the same service and upstream.
const COMPACT_RECORD_BYTES: usize = 8;

/// Limit of shards that one tick searches for flows to hand over, which bounds the duration of the tick.
const HANDOVER_SHARDS_PER_TICK: usize = 32;

impl EventContext<'_> {
    /// Does the periodic work that is due.
    pub(crate) fn tick(&mut self) {
        let core = self.core;
        for index in 0..SHARDS {
            let mut shard = core.shards.lock(index);
            self.handle_due_requests(&mut shard);
            self.retry_claims(&mut shard);
            self.sweep(&mut shard);
        }
        self.tick_pools();
        self.retransmit_messages();
        self.send_copies();
        self.start_default_copies();
        self.hand_over_next_shards();
        self.send_completions();
    }

    fn tick_pools(&mut self) {
        for (id, pool) in self.core.all_pools() {
            let mut verdicts = Vec::new();
            pool.lock().tick(self.now, &mut verdicts);
            self.queue_verdicts(id, verdicts);
        }
    }

    fn sweep(&mut self, shard: &mut Shard) {
        if self.now < shard.sweep_at {
            return;
        }
        shard.sweep_at = self.now + SWEEP_INTERVAL;
        let core = self.core;
        for (key, upstream) in shard.sweep(self.now, core.settings.idle_timeout, &core.cache) {
            self.count_closed(&key, upstream);
            self.log(LogEvent::Closed { key });
        }
    }

    fn retransmit_messages(&mut self) {
        let mut handover = self.core.handover();
        handover.forget_unreachable(self.now, &self.history);
        let undeliverable = handover.remove_undeliverable(self.now, &self.history);
        let retransmissions = handover.due_retransmissions(self.now);
        mem::drop(handover);
        for message in undeliverable {
            let records = match message {
                Message::Push { records, .. } => records,
                Message::PushCompact { records, .. } => records.into_records(),
                _ => continue,
            };
            records
                .into_iter()
                .for_each(|record| self.take_back(record));
        }
        for (to, message) in retransmissions {
            self.send(to, message);
        }
    }

    /// Takes back a flow whose new owner became unreachable before it confirmed the handover.
    ///
    /// The new owner may have run requests, so the flow enters quarantine.
    fn take_back(&mut self, mut record: Record) {
        let core = self.core;
        let mut shard = core.shards.lock(shard_index(&record.key));
        let moved = shard.moved_flows.get(&record.key);
        if moved.is_some_and(|moved| moved.epoch == record.epoch) {
            shard.moved_flows.remove(&record.key);
            record.quarantine = QUARANTINE;
            record.epoch += 1;
            let id = core.id();
            self.accept_record(&mut shard, id, record);
            core.handover().restart_passes(&self.history, id);
        }
    }

    /// Starts to copy new flows that have the default upstream, unless this balancer is draining.
    fn start_default_copies(&self) {
        if self.history.current().is_member(self.core.id()) {
            self.core.handover().start_default_copies(self.now);
        }
    }

    /// Sends the flows of some shards that the passes select, as far as the byte budget allows.
    ///
    /// Compact records of all these shards are sent together, since they are shorter next to similar ones.
    fn hand_over_next_shards(&mut self) {
        let core = self.core;
        let mut budget = core.handover().budget.available(self.now);
        let mut compact: BTreeMap<(Pass, VmId), Vec<Record>> = BTreeMap::new();
        for _ in 0..HANDOVER_SHARDS_PER_TICK {
            let Some((pass, index)) = core.handover().position() else {
                break;
            };
            if !self.hand_over_shard(pass, index, &mut budget, &mut compact) {
                break;
            }
            core.handover().advance((pass, index));
        }
        for ((pass, to), records) in compact {
            self.send_compact(pass, to, records);
        }
    }

    /// Sends the flows of a shard that a pass selects and collects those with compact records; returns whether the
    /// budget was sufficient.
    fn hand_over_shard(
        &mut self,
        pass: Pass,
        index: usize,
        budget: &mut usize,
        compact: &mut BTreeMap<(Pass, VmId), Vec<Record>>,
    ) -> bool {
        let core = self.core;
        let mut shard = core.shards.lock(index);
        let flows = self.flows_to_send(&shard, pass);
        let total = flows.len();
        let mut sent = 0;
        let mut full: BTreeMap<VmId, Vec<Record>> = BTreeMap::new();
        for (key, to) in flows {
            let Some(record) = self.prepare_record(&mut shard, pass, &key, to, budget) else {
                break;
            };
            sent += 1;
            if is_sent_compact(pass, &record) {
                compact.entry((pass, to)).or_default().push(record);
            } else {
                full.entry(to).or_default().push(record);
            }
        }
        mem::drop(shard);
        self.send_records(pass, full);
        sent == total
    }

    fn send_compact(&mut self, pass: Pass, to: VmId, records: Vec<Record>) {
        for (records, bytes) in CompactRecords::split(records, MAX_MESSAGE_BYTES) {
            let mut handover = self.core.handover();
            let sequence = handover.next_sequence();
            let message = if pass.is_copying() {
                Message::ReplicateCompact { sequence, records }
            } else {
                Message::PushCompact { sequence, records }
            };
            handover.budget.consume(bytes);
            handover.track(self.now, sequence, to, message.clone());
            mem::drop(handover);
            self.send(to, message);
        }
    }

    fn flows_to_send(&self, shard: &Shard, pass: Pass) -> Vec<(Key, VmId)> {
        let flows = shard.flows.iter();
        flows
            .filter_map(|(key, entry)| Some((key, self.destination(shard, pass, &key, entry)?)))
            .collect()
    }

    /// Returns the balancer to which a pass sends a flow, or `None` if the pass does not send it.
    fn destination(&self, shard: &Shard, pass: Pass, key: &Key, entry: &Entry) -> Option<VmId> {
        let own = self.core.id();
        let owner = self.history.current().decide(key.hash()).balancer()?;
        if pass.is_copying() {
            return self
                .copy_destination(pass, key, entry)
                .filter(|_| owner == own);
        }
        let is_draining = !self.history.current().is_member(own);
        // A flow that this balancer acquired in this view stays, because the balancer that forwarded its datagram here
        // has a newer view.
        let was_acquired_in_view = entry.view == self.history.view_number() && !is_draining;
        if owner == own || was_acquired_in_view {
            return None;
        }
        let window = shard.windows.get(key);
        let is_in_pass = match pass {
            Pass::Exceptions => entry
                .upstream
                .is_some_and(|one| self.is_exception(key, one)),
            Pass::Recent => window.is_some_and(|window| window.has_marks(self.now)),
            Pass::Copies | Pass::Rest | Pass::DefaultCopies => true,
        };
        is_in_pass.then_some(owner)
    }

    fn copy_destination(&self, pass: Pass, key: &Key, entry: &Entry) -> Option<VmId> {
        let to = self.history.successor().decide(key.hash()).balancer()?;
        let upstream = entry.upstream.filter(|_| entry.copy_holder != to)?;
        let is_default_pass = pass == Pass::DefaultCopies;
        (self.is_exception(key, upstream) != is_default_pass).then_some(to)
    }

    fn prepare_record(
        &mut self,
        shard: &mut Shard,
        pass: Pass,
        key: &Key,
        to: VmId,
        budget: &mut usize,
    ) -> Option<Record> {
        if *budget == 0 {
            return None;
        }
        let record = match pass {
            _ if pass.is_copying() => self.copy_record(shard, key, to)?,
            _ => self.relinquish(shard, key, to)?,
        };
        let bytes = if is_sent_compact(pass, &record) {
            COMPACT_RECORD_BYTES
        } else {
            record.size()
        };
        *budget = budget.saturating_sub(bytes);
        Some(record)
    }

    fn copy_record(&self, shard: &mut Shard, key: &Key, to: VmId) -> Option<Record> {
        let entry = shard.flows.get_mut(key)?;
        entry.copy_holder = to;
        Some(Record {
            key: *key,
            upstream: entry.upstream,
            established: entry.established,
            epoch: entry.epoch,
            quarantine: Duration::ZERO,
            marks: Vec::new(),
        })
    }

    /// Sends copies of the exceptions that were created since the last tick.
    fn send_copies(&mut self) {
        let core = self.core;
        let mut handover = core.handover();
        let mut budget = handover.budget.available(self.now);
        let keys: Vec<Key> = handover.copy_queue.drain(..).collect();
        mem::drop(handover);
        let mut records: BTreeMap<VmId, Vec<Record>> = BTreeMap::new();
        let mut deferred = Vec::new();
        for key in keys {
            let mut shard = core.shards.lock(shard_index(&key));
            let entry = shard.flows.get(&key).copied();
            let Some(to) =
                entry.and_then(|entry| self.copy_destination(Pass::Copies, &key, &entry))
            else {
                continue;
            };
            match self.prepare_record(&mut shard, Pass::Copies, &key, to, &mut budget) {
                Some(record) => records.entry(to).or_default().push(record),
                None => deferred.push(key),
            }
        }
        core.handover().copy_queue.extend(deferred);
        self.send_records(Pass::Copies, records);
    }

    fn send_records(&mut self, pass: Pass, records: BTreeMap<VmId, Vec<Record>>) {
        for (to, records) in records {
            for records in split_into_batches(records) {
                self.send_tracked(pass, to, records);
            }
        }
    }

    /// Sends records in a message that is retransmitted until it is confirmed.
    pub(crate) fn send_tracked(&mut self, pass: Pass, to: VmId, records: Vec<Record>) {
        let bytes = records.iter().map(Record::size).sum();
        let mut handover = self.core.handover();
        let sequence = handover.next_sequence();
        let message = match pass {
            _ if pass.is_copying() => Message::Replicate { sequence, records },
            _ => Message::Push { sequence, records },
        };
        handover.budget.consume(bytes);
        handover.track(self.now, sequence, to, message.clone());
        mem::drop(handover);
        self.send(to, message);
    }

    /// Sends the due completion messages, which say that all flows that belong to other balancers were sent.
    fn send_completions(&mut self) {
        let is_member = self.history.current().is_member(self.core.id());
        let must_wait = is_member && !self.history.remaining_quarantine(self.now).is_zero();
        let to = self.core.handover().due_completions(self.now, must_wait);
        for id in to {
            self.send_complete(id);
        }
    }

    fn send_complete(&mut self, to: VmId) {
        let message = Message::Complete {
            view: self.history.digest(),
            pools: self.table_history.digest,
            incarnation: self.core.incarnation(),
            quarantine: self.history.remaining_quarantine(self.now),
            awaits: self.history.is_pending(to),
        };
        self.send(to, message);
    }

    /// Handles a completion message or its confirmation.
    pub(crate) fn handle_completion_message(&mut self, from: VmId, message: Message) {
        match message {
            Message::Complete {
                view,
                pools,
                incarnation,
                quarantine,
                awaits,
            } => {
                self.detect_restart(from, incarnation);
                let is_equal = view == self.history.digest() && pools == self.table_history.digest;
                if is_equal {
                    self.handle_complete(from, quarantine, awaits);
                }
            }
            Message::Completed { view, .. } if view == self.history.digest() => {
                self.core.handover().confirm_completion(from);
            }
            _ => {}
        }
    }

    fn handle_complete(&mut self, from: VmId, quarantine: Duration, awaits: bool) {
        if self.history.is_pending(from) {
            self.log(LogEvent::Completed { from });
            let now = self.now;
            self.history = self.core.update_history(|history| {
                if quarantine.is_zero() {
                    history.record_completion(now, from)
                } else {
                    history.record_completion_in_quarantine(now, from, quarantine)
                }
            });
        }
        let message = Message::Completed {
            view: self.history.digest(),
            pools: self.table_history.digest,
        };
        self.send(from, message);
        if awaits && self.core.handover().has_sent_completion() {
            self.send_complete(from);
        }
    }

    /// Records the restart of a balancer, which lost its flows, if its incarnation has changed.
    pub(crate) fn detect_restart(&mut self, id: VmId, incarnation: Incarnation) {
        if self.core.handover().record_incarnation(id, incarnation) {
            let now = self.now;
            self.history = self
                .core
                .update_history(|history| history.record_restart(now, id));
        }
    }
}

fn is_sent_compact(pass: Pass, record: &Record) -> bool {
    pass.is_compact() && CompactRecords::can_hold(record)
}

/// Splits records into batches that each fit into one datagram.
fn split_into_batches(records: Vec<Record>) -> Vec<Vec<Record>> {
    let mut batches: Vec<Vec<Record>> = Vec::new();
    let mut free_bytes = 0;
    for record in records {
        let size = record.size();
        if size > free_bytes || batches.is_empty() {
            batches.push(Vec::new());
            free_bytes = MAX_MESSAGE_BYTES;
        }
        free_bytes = free_bytes.saturating_sub(size);
        if let Some(batch) = batches.last_mut() {
            batch.push(record);
        }
    }
    batches
}
