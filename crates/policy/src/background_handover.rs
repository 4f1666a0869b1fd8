//! Flows that move between balancers in the background, and everything else that time alone causes.

use {
    crate::{
        context::Context,
        dedupe::QUARANTINE,
        event::Note,
        flow::{Entry, Key, SHARDS, shard_index},
        handover::{Class, MESSAGE_BYTES, Message, Record},
        id::{Incarnation, VmId},
        shard::Shard,
    },
    std::{collections::BTreeMap, mem, time::Duration},
};

/// Time between two searches of a shard for idle flows.
const SWEEP: Duration = Duration::from_secs(10);

/// Shards that one tick searches for flows to hand over, which bounds its duration.
const SHARDS_PER_TICK: usize = 32;

impl Context<'_> {
    /// Does what is due.
    pub(crate) fn tick(&mut self) {
        let core = self.core;
        for index in 0..SHARDS {
            let mut shard = core.shards.lock(index);
            self.wake(&mut shard);
            self.repeat_claims(&mut shard);
            self.sweep(&mut shard);
        }
        self.tick_pools();
        self.repeat_messages();
        self.send_copies();
        for _ in 0..SHARDS_PER_TICK {
            self.hand_over();
        }
        self.announce();
    }

    fn tick_pools(&mut self) {
        for (id, pool) in self.core.all_pools() {
            let mut verdicts = Vec::new();
            pool.lock().tick(self.now, &mut verdicts);
            self.collect(id, verdicts);
        }
    }

    fn sweep(&mut self, shard: &mut Shard) {
        if self.now < shard.sweep_at {
            return;
        }
        shard.sweep_at = self.now + SWEEP;
        let core = self.core;
        for (key, upstream) in shard.sweep(self.now, core.settings.idle, &core.cache) {
            self.count_closed(&key, upstream);
            self.note(Note::Closed { key });
        }
    }

    fn repeat_messages(&mut self) {
        let mut machine = self.core.machine();
        machine.forget_unreachable(self.now, &self.history);
        let undeliverable = machine.undeliverable(self.now, &self.history);
        let repeats = machine.repeats(self.now);
        mem::drop(machine);
        for message in undeliverable {
            if let Message::Push { records, .. } = message {
                records.into_iter().for_each(|record| self.restore(record));
            }
        }
        for (to, message) in repeats {
            self.send(to, message);
        }
    }

    /// Takes a flow back whose new owner died; it may have run requests before.
    fn restore(&mut self, mut record: Record) {
        let core = self.core;
        let mut shard = core.shards.lock(shard_index(&record.key));
        let moved = shard.moved.get(&record.key);
        if moved.is_some_and(|moved| moved.epoch == record.epoch) {
            shard.moved.remove(&record.key);
            record.quarantine = QUARANTINE;
            record.epoch += 1;
            let id = core.id();
            self.accept(&mut shard, id, record);
            core.machine().restart(&self.history, id);
        }
    }

    /// Sends the flows of one shard that belong to another balancer.
    fn hand_over(&mut self) {
        let mut machine = self.core.machine();
        let Some((class, index)) = machine.position() else {
            return;
        };
        let mut budget = machine.bucket.available(self.now);
        mem::drop(machine);
        let core = self.core;
        let mut shard = core.shards.lock(index);
        let flows = self.select(&shard, class);
        let total = flows.len();
        let mut sent = 0;
        let mut records: BTreeMap<VmId, Vec<Record>> = BTreeMap::new();
        for (key, to) in flows {
            let Some(record) = self.extract(&mut shard, class, &key, to, &mut budget) else {
                break;
            };
            sent += 1;
            records.entry(to).or_default().push(record);
        }
        mem::drop(shard);
        self.dispatch_records(class, records);
        if sent == total {
            core.machine().advance((class, index));
        }
    }

    fn select(&self, shard: &Shard, class: Class) -> Vec<(Key, VmId)> {
        let flows = shard.flows.iter();
        flows
            .filter_map(|(key, entry)| Some((key, self.target(shard, class, &key, entry)?)))
            .collect()
    }

    /// Returns the balancer that is to get a flow in a pass.
    fn target(&self, shard: &Shard, class: Class, key: &Key, entry: &Entry) -> Option<VmId> {
        let own = self.core.id();
        let owner = self.history.current().decide(key.hash()).balancer()?;
        if class == Class::Copies {
            return self.copy_target(key, entry).filter(|_| owner == own);
        }
        let is_leaving = !self.history.current().is_member(own);
        // A flow that was claimed in this view stays, since its claimer knows a newer view.
        let is_settled = entry.view == self.history.number() && !is_leaving;
        if owner == own || is_settled {
            return None;
        }
        let window = shard.windows.get(key);
        let is_wanted = match class {
            Class::Exceptions => entry
                .upstream
                .is_some_and(|one| self.is_exception(key, one)),
            Class::Recent => window.is_some_and(|window| window.has_marks(self.now)),
            Class::Copies | Class::Rest => true,
        };
        is_wanted.then_some(owner)
    }

    fn copy_target(&self, key: &Key, entry: &Entry) -> Option<VmId> {
        let to = self.history.successor().decide(key.hash()).balancer()?;
        let is_copied = entry.copy == to;
        let is_exception = entry
            .upstream
            .is_some_and(|one| self.is_exception(key, one));
        (is_exception && !is_copied).then_some(to)
    }

    fn extract(
        &mut self,
        shard: &mut Shard,
        class: Class,
        key: &Key,
        to: VmId,
        budget: &mut usize,
    ) -> Option<Record> {
        if *budget == 0 {
            return None;
        }
        let record = match class {
            Class::Copies => self.copy(shard, key, to)?,
            _ => self.give_up(shard, key, to)?,
        };
        *budget = budget.saturating_sub(record.size());
        Some(record)
    }

    fn copy(&self, shard: &mut Shard, key: &Key, to: VmId) -> Option<Record> {
        let entry = shard.flows.get_mut(key)?;
        entry.copy = to;
        Some(Record {
            key: *key,
            upstream: entry.upstream,
            established: entry.established,
            epoch: entry.epoch,
            quarantine: Duration::ZERO,
            marks: Vec::new(),
        })
    }

    /// Sends copies of the exceptions that were made since the last tick.
    fn send_copies(&mut self) {
        let core = self.core;
        let mut machine = core.machine();
        let mut budget = machine.bucket.available(self.now);
        let keys: Vec<Key> = machine.copies.drain(..).collect();
        mem::drop(machine);
        let mut records: BTreeMap<VmId, Vec<Record>> = BTreeMap::new();
        let mut late = Vec::new();
        for key in keys {
            let mut shard = core.shards.lock(shard_index(&key));
            let entry = shard.flows.get(&key).copied();
            let Some(to) = entry.and_then(|entry| self.copy_target(&key, &entry)) else {
                continue;
            };
            match self.extract(&mut shard, Class::Copies, &key, to, &mut budget) {
                Some(record) => records.entry(to).or_default().push(record),
                None => late.push(key),
            }
        }
        core.machine().copies.extend(late);
        self.dispatch_records(Class::Copies, records);
    }

    fn dispatch_records(&mut self, class: Class, records: BTreeMap<VmId, Vec<Record>>) {
        for (to, records) in records {
            for records in split(records) {
                self.dispatch_message(class, to, records);
            }
        }
    }

    pub(crate) fn dispatch_message(&mut self, class: Class, to: VmId, records: Vec<Record>) {
        let bytes = records.iter().map(Record::size).sum();
        let mut machine = self.core.machine();
        let sequence = machine.number();
        let message = match class {
            Class::Copies => Message::Replicate { sequence, records },
            _ => Message::Push { sequence, records },
        };
        machine.bucket.take(bytes);
        machine.keep(self.now, sequence, to, message.clone());
        mem::drop(machine);
        self.send(to, message);
    }

    /// Tells the others that everything that belongs to them has been sent.
    fn announce(&mut self) {
        let is_member = self.history.current().is_member(self.core.id());
        let must_wait = is_member && !self.history.quarantine(self.now).is_zero();
        let to = self.core.machine().announce(self.now, must_wait);
        for id in to {
            self.send_complete(id);
        }
    }

    fn send_complete(&mut self, to: VmId) {
        let message = Message::Complete {
            view: self.history.digest(),
            pools: self.config.digest,
            incarnation: self.core.incarnation(),
            quarantine: self.history.quarantine(self.now),
            awaits: self.history.is_pending(to),
        };
        self.send(to, message);
    }

    /// Handles a completion or its confirmation.
    pub(crate) fn completion(&mut self, from: VmId, message: Message) {
        match message {
            Message::Complete {
                view,
                pools,
                incarnation,
                quarantine,
                awaits,
            } => {
                self.meet(from, incarnation);
                let is_equal = view == self.history.digest() && pools == self.config.digest;
                if is_equal {
                    self.completed(from, quarantine, awaits);
                }
            }
            Message::Completed { view, .. } if view == self.history.digest() => {
                self.core.machine().confirmed(from);
            }
            _ => {}
        }
    }

    fn completed(&mut self, from: VmId, quarantine: Duration, awaits: bool) {
        if self.history.is_pending(from) {
            self.note(Note::Completed { from });
            let now = self.now;
            self.history = self.core.update(|history| {
                if quarantine.is_zero() {
                    history.complete(now, from)
                } else {
                    history.complete_in_quarantine(now, from, quarantine)
                }
            });
        }
        let message = Message::Completed {
            view: self.history.digest(),
            pools: self.config.digest,
        };
        self.send(from, message);
        if awaits && self.core.machine().is_announced() {
            self.send_complete(from);
        }
    }

    /// Recognizes a balancer that has lost its flows in a restart.
    pub(crate) fn meet(&mut self, id: VmId, incarnation: Incarnation) {
        if self.core.machine().meet(id, incarnation) {
            let now = self.now;
            self.history = self.core.update(|history| history.restarted(now, id));
        }
    }
}

/// Divides records into messages that fit a datagram.
fn split(records: Vec<Record>) -> Vec<Vec<Record>> {
    let mut messages: Vec<Vec<Record>> = Vec::new();
    let mut room = 0;
    for record in records {
        let size = record.size();
        if size > room || messages.is_empty() {
            messages.push(Vec::new());
            room = MESSAGE_BYTES;
        }
        room = room.saturating_sub(size);
        if let Some(message) = messages.last_mut() {
            message.push(record);
        }
    }
    messages
}
