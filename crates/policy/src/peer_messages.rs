//! Flows that move between balancers on demand.

use {
    crate::{
        context::Context,
        dedupe::{Mark, QUARANTINE, State},
        event::{Drop, Note},
        flow::{Entry, Key, shard_index},
        handover::{Answer, CLAIMS, Class, Message, OUTCOME_HOPS, REPEAT, Record},
        history::Trace,
        id::{Incarnation, UpstreamId, VmId},
        shard::{Claim, Copies, Held, KEPT, Moved, Replica, Shard},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Time in which an entry that was given up reaches its new owner; a claim of a third balancer waits for it.
const TRANSIT: Duration = Duration::from_millis(600);

impl Context<'_> {
    /// Handles a message of another balancer.
    pub(crate) fn peer(&mut self, from: VmId, message: Message) {
        match message {
            Message::Claim {
                key,
                incarnation,
                address,
            } => {
                self.hear(from, address);
                self.claimed(from, key, incarnation);
            }
            Message::Grant { key, answer } => self.granted(from, key, answer),
            Message::Push { sequence, records } => self.pushed(from, sequence, records),
            Message::Replicate { sequence, records } => self.replicated(from, sequence, records),
            Message::Stored { sequence } => self.core.machine().stored(from, sequence),
            Message::Outcome {
                sequence,
                hops,
                key,
                mark,
            } => {
                if self.outcome(from, hops, key, mark) {
                    self.send(from, Message::Stored { sequence });
                }
            }
            Message::Complete { .. } | Message::Completed { .. } => self.completion(from, message),
        }
    }

    /// Asks for a flow and holds the request.
    pub(crate) fn start_claim(&mut self, shard: &mut Shard, held: Held, trace: &Trace) {
        let key = held.key;
        if !shard.may_claim() {
            return self.drop_datagram(key, Drop::Full);
        }
        let mut claim = Claim {
            next: self.now + REPEAT,
            quarantined_until: trace.quarantined_until,
            ..Claim::default()
        };
        claim.hold(held);
        let ask = claim.ask(&trace.ask);
        shard.claims.insert(key, claim);
        self.ask(key, &ask);
    }

    fn ask(&mut self, key: Key, balancers: &[VmId]) {
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

    /// Repeats claims without an answer, and gives up on balancers that do not respond.
    pub(crate) fn repeat_claims(&mut self, shard: &mut Shard) {
        let due = shard.claims.iter();
        let due = due.filter(|(_, claim)| claim.next <= self.now);
        let keys: Vec<Key> = due.map(|(&key, _)| key).collect();
        for key in keys {
            self.repeat_claim(shard, key);
        }
    }

    fn repeat_claim(&mut self, shard: &mut Shard, key: Key) {
        let Some(claim) = shard.claims.get(&key) else {
            return;
        };
        let waiting = claim.waiting.iter();
        let silent = waiting.filter(|&(_, &tries)| tries >= CLAIMS);
        let silent: Vec<VmId> = silent.map(|(&id, _)| id).collect();
        for &id in &silent {
            if self.history.is_unsuspected(id) {
                self.history = self.core.update(|history| history.suspect(id));
            }
        }
        // The view may have changed since the claim was started.
        let trace = self.trace(shard, &key, true);
        let Some(claim) = shard.claims.get_mut(&key) else {
            return;
        };
        claim.next = self.now + REPEAT;
        claim.quarantined_until = claim.quarantined_until.max(trace.quarantined_until);
        claim
            .waiting
            .retain(|&id, tries| *tries < CLAIMS && self.history.reaches(self.now, id));
        if silent.iter().any(|&id| self.history.reaches(self.now, id)) {
            claim.quarantined_until = self.now + QUARANTINE;
        }
        claim.waiting.values_mut().for_each(|tries| *tries += 1);
        claim.ask(&trace.ask);
        let ask: Vec<VmId> = claim.waiting.keys().copied().collect();
        if ask.is_empty() {
            self.resolve(shard, key)
        } else {
            self.ask(key, &ask)
        }
    }

    /// Serves the requests of a flow that nobody holds.
    fn resolve(&mut self, shard: &mut Shard, key: Key) {
        let Some(claim) = shard.claims.remove(&key) else {
            return;
        };
        let trace = Trace {
            ask: Vec::new(),
            quarantined_until: claim.quarantined_until,
        };
        for held in claim.held {
            self.take(shard, held, trace.clone(), claim.copies);
        }
    }

    fn hear(&mut self, from: VmId, address: SocketAddr) {
        let now = self.now;
        if self.history.is_news(now, from) {
            self.history = self.core.update(|history| history.hear(now, from, address));
        }
    }

    fn claimed(&mut self, from: VmId, key: Key, incarnation: Incarnation) {
        self.meet(from, incarnation);
        let core = self.core;
        let mut shard = core.shards.lock(shard_index(&key));
        if self.is_claim_deferred(&shard, from, &key) {
            return;
        }
        let answer = match self.give_up(&mut shard, &key, from) {
            Some(record) => Answer::Entry(record),
            None => self.nothing(&mut shard, from, &key),
        };
        if shard.claims.remove(&key).is_some() {
            self.drop_datagram(key, Drop::NotOwner);
        }
        self.send(from, Message::Grant { key, answer });
    }

    /// Returns whether a claim is left without an answer, so that it is repeated.
    fn is_claim_deferred(&self, shard: &Shard, from: VmId, key: &Key) -> bool {
        // Of two balancers that claim a flow from each other, the one with the higher identifier gives way.
        let claim = shard.claims.get(key);
        let is_mutual = claim.is_some_and(|claim| claim.waiting.contains_key(&from));
        if is_mutual && self.core.id() < from {
            return true;
        }
        let moved = shard.moved.get(key);
        shard.flows.get(key).is_none()
            && moved.is_some_and(|moved| {
                let is_in_transit = self.now < moved.given + TRANSIT && moved.record.is_some();
                is_in_transit && moved.to != from && self.history.reaches(self.now, moved.to)
            })
    }

    /// Gives a flow up, if this balancer holds it, and returns what the new holder needs.
    pub(crate) fn give_up(&mut self, shard: &mut Shard, key: &Key, to: VmId) -> Option<Record> {
        let Some(entry) = shard.flows.remove(key) else {
            return self.given_before(shard, key, to);
        };
        let mut window = shard.windows.remove(key).unwrap_or_default();
        let record = self.record(key, &entry, window.marks(self.now));
        window.clear(&self.core.cache);
        self.count_closed(key, entry.upstream);
        self.note(Note::Granted { key: *key, to });
        let moved = self.moved(to, record.epoch, Some(record.clone()));
        shard.moved.insert(*key, moved);
        Some(record)
    }

    fn given_before(&self, shard: &Shard, key: &Key, to: VmId) -> Option<Record> {
        let moved = shard.moved.get(key)?;
        let is_fresh = moved.to == to && self.now < moved.given + KEPT;
        moved.record.clone().filter(|_| is_fresh)
    }

    fn record(&self, key: &Key, entry: &Entry, marks: Vec<Mark>) -> Record {
        let quarantined_until = match entry.acting {
            // The home zone may have served the flow until now.
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

    fn moved(&self, to: VmId, epoch: u32, record: Option<Record>) -> Moved {
        Moved {
            to,
            epoch,
            view: self.history.number(),
            given: self.now,
            used: self.now,
            record,
        }
    }

    fn nothing(&mut self, shard: &mut Shard, from: VmId, key: &Key) -> Answer {
        let mut trace = self.history.trace(self.now, key.hash(), from);
        let previous = shard.moved.get(key);
        if let Some(moved) =
            previous.filter(|one| one.to != from && self.history.reaches(self.now, one.to))
        {
            trace.ask.push(moved.to);
        }
        if let Some(claim) = shard.claims.get(key) {
            trace.ask.extend(claim.asked.iter());
            let until = claim.quarantined_until;
            trace.quarantined_until = trace.quarantined_until.max(until);
        }
        let own = self.core.id();
        trace.ask.retain(|&id| id != from && id != own);
        let epoch = previous.map_or(0, |moved| moved.epoch);
        let moved = self.moved(from, epoch, None);
        shard.moved.insert(*key, moved);
        let replica = shard.replicas.get(key).map(|replica| replica.upstream);
        // The claimer may have joined after the tables of the crashed owner were replaced.
        let former = self.former_default(key, trace.quarantined_until);
        Answer::None {
            ask: trace.ask,
            quarantine: trace.quarantined_until.saturating_sub(self.now),
            copy: replica,
            former,
        }
    }

    fn granted(&mut self, from: VmId, key: Key, answer: Answer) {
        let core = self.core;
        let mut shard = core.shards.lock(shard_index(&key));
        match answer {
            Answer::Entry(record) => self.accept(&mut shard, from, record),
            Answer::None {
                ask,
                quarantine,
                copy,
                former,
            } => {
                let Some(claim) = shard.claims.get_mut(&key) else {
                    return;
                };
                if claim.waiting.remove(&from).is_none() {
                    return;
                }
                let until = self.now + quarantine;
                if !quarantine.is_zero() {
                    claim.quarantined_until = claim.quarantined_until.max(until);
                }
                claim.copies.copy = claim.copies.copy.or(copy);
                claim.copies.former = claim.copies.former.or(former);
                self.pursue(&mut shard, key, ask);
            }
        }
    }

    fn pursue(&mut self, shard: &mut Shard, key: Key, mut ask: Vec<VmId>) {
        let Some(claim) = shard.claims.get_mut(&key) else {
            return;
        };
        let own = self.core.id();
        ask.retain(|&id| id != own && self.history.reaches(self.now, id));
        let ask = claim.ask(&ask);
        let is_resolved = claim.waiting.is_empty();
        self.ask(key, &ask);
        if is_resolved {
            self.resolve(shard, key);
        }
    }

    /// Takes a flow over from its previous holder.
    pub(crate) fn accept(&mut self, shard: &mut Shard, from: VmId, record: Record) {
        let key = record.key;
        if let Some(entry) = shard.flows.get(&key)
            && entry.term == self.history.term()
        {
            return self.merge(shard, record);
        }
        let claim = shard.claims.remove(&key);
        if claim.is_none() && self.is_passed(shard, from, &record) {
            return;
        }
        self.note(Note::Claimed { key, from });
        self.adopt(shard, record);
        for held in claim.map(|claim| claim.held).unwrap_or_default() {
            self.take(shard, held, Trace::default(), Copies::default());
        }
    }

    /// Handles an entry of a flow that this balancer has since passed on; returns whether it was one.
    fn is_passed(&mut self, shard: &mut Shard, from: VmId, record: &Record) -> bool {
        let Some(moved) = shard.moved.get_mut(&record.key) else {
            return false;
        };
        if moved.epoch >= record.epoch {
            return true;
        }
        let was_unknown = moved.record.is_none() && self.now < moved.given + KEPT;
        let to = moved.to;
        if !was_unknown || to == from || !self.history.reaches(self.now, to) {
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

    fn adopt(&mut self, shard: &mut Shard, record: Record) {
        let key = record.key;
        shard.moved.remove(&key);
        shard.replicas.remove(&key);
        let former = shard.flows.remove(&key);
        self.count_closed(&key, former.and_then(|entry| entry.upstream));
        self.count_opened(&key, record.upstream);
        let entry = Entry {
            fabric: former.and_then(|entry| entry.fabric),
            upstream: record.upstream,
            seen: self.now,
            acquired: self.now,
            quarantined_until: self.now + record.quarantine,
            copy: 0,
            epoch: record.epoch,
            view: self.history.number(),
            term: self.history.term(),
            established: record.established,
            acting: false,
            known: false,
        };
        shard.flows.insert(key, entry);
        let window = shard.windows.entry(key).or_default();
        window.merge(self.now, record.marks, &self.core.cache);
        self.note_exception(&key, record.upstream);
    }

    fn note_exception(&self, key: &Key, upstream: Option<UpstreamId>) {
        if let Some(upstream) = upstream
            && self.is_exception(key, upstream)
        {
            self.core.machine().copies.push_back(*key);
        }
    }

    fn merge(&mut self, shard: &mut Shard, record: Record) {
        let key = record.key;
        let window = shard.windows.entry(key).or_default();
        window.merge(self.now, record.marks, &self.core.cache);
        if let Some(entry) = shard.flows.get_mut(&key) {
            entry.epoch = entry.epoch.max(record.epoch);
        }
    }

    fn pushed(&mut self, from: VmId, sequence: u64, records: Vec<Record>) {
        let core = self.core;
        let mut is_stored = true;
        for record in records {
            let key = record.key;
            let mut shard = core.shards.lock(shard_index(&key));
            self.accept(&mut shard, from, record);
            self.relay(&mut shard, from, &key);
            is_stored &= !core.machine().is_outstanding(&key);
        }
        // The sender counts as complete only after a flow that was passed on has arrived.
        if is_stored {
            self.send(from, Message::Stored { sequence });
        }
    }

    /// Passes a flow on that a balancer with an older view has sent here.
    fn relay(&mut self, shard: &mut Shard, from: VmId, key: &Key) {
        let owner = self.history.current().decide(key.hash()).balancer();
        let Some(to) = owner.filter(|&to| to != from && to != self.core.id()) else {
            return;
        };
        if shard.flows.get(key).is_some()
            && let Some(record) = self.give_up(shard, key, to)
        {
            self.dispatch_message(Class::Recent, to, vec![record]);
        }
    }

    fn replicated(&mut self, from: VmId, sequence: u64, records: Vec<Record>) {
        let core = self.core;
        for record in records {
            let mut shard = core.shards.lock(shard_index(&record.key));
            let is_free = shard.flows.get(&record.key).is_none();
            if let Some(upstream) = record.upstream.filter(|_| is_free) {
                let stored = self.now;
                let replica = Replica { upstream, stored };
                shard.replicas.insert(record.key, replica);
            }
        }
        self.send(from, Message::Stored { sequence });
    }

    /// Records how a request ended; returns false if the entry of its flow is still on its way.
    fn outcome(&mut self, from: VmId, hops: u8, key: Key, mark: Mark) -> bool {
        let core = self.core;
        let mut shard = core.shards.lock(shard_index(&key));
        if shard.flows.get(&key).is_some() {
            let window = shard.windows.entry(key).or_default();
            window.merge(self.now, vec![mark], &self.core.cache);
            return true;
        }
        let to = shard.moved.get(&key).map(|moved| moved.to);
        let Some(to) = to.filter(|&to| to != from && hops < OUTCOME_HOPS) else {
            return false;
        };
        self.send_outcome(to, hops + 1, key, mark);
        true
    }
}
