//! From a request's arrival to its submission.

use {
    crate::{
        config::{Resolved, Snapshot},
        dedupe::{Found, QUARANTINE},
        dispatch::Dispatcher,
        event::{Doubt, Drop, Note, Refusal},
        event_context::EventContext,
        exchange::{Body, EMPTY_ACK, Effect, Exchange, Kind, Received, Request},
        flow::{Entry, Key, shard_index},
        id::UpstreamId,
        shard::{HeldRequest, PendingRequest, Shard, UpstreamHints},
        view_history::PossibleHolders,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time for which a request of a handed over flow is not placed anew although its upstream is not in the tables.
///
/// The previous owner may have had newer tables; the bound on differing tables is 3 s.
const TABLES_LAG: Duration = Duration::from_secs(5);

/// Longest time from the death of an owner until this balancer drops it from its view, plus the bound on differing
/// tables: 3 s to declare it dead, 3 s for the view and 3 s for the tables.
const DEATH_LAG: Duration = Duration::from_secs(9);

/// Time for which flows that differ from former tables count as exceptions; above [`DEATH_LAG`] by the bound on
/// differing tables.
const COPIED: Duration = Duration::from_secs(12);

/// Max-Age of a refusal without a better estimate, in seconds.
const MAX_AGE: u32 = 1;

/// Who holds a flow.
enum Standing {
    /// This balancer, or nobody.
    Here(PossibleHolders),
    /// Possibly one of these.
    Elsewhere(PossibleHolders),
    /// Another balancer, which is the owner.
    Gone,
}

impl EventContext<'_> {
    pub(crate) fn request(&mut self, fabric: SocketAddr, key: Key, request: Request) {
        let core = self.core;
        let mut shard = core.shards.lock(shard_index(&key));
        let held = HeldRequest {
            fabric,
            key,
            request,
            arrived: self.now,
        };
        self.admit(&mut shard, held);
    }

    fn admit(&mut self, shard: &mut Shard, held: HeldRequest) {
        let key = held.key;
        if self.route(&key).is_none() {
            return self.drop_datagram(key, Drop::UnknownService);
        }
        if let Some(claim) = shard.claims.get_mut(&key) {
            if !claim.hold(held) {
                self.drop_datagram(key, Drop::Full);
            }
            return;
        }
        match self.standing(shard, &key) {
            Standing::Here(trace) => self.take(shard, held, trace, UpstreamHints::default()),
            Standing::Elsewhere(trace) => self.start_claim(shard, held, &trace),
            Standing::Gone => self.drop_datagram(key, Drop::NotOwner),
        }
    }

    pub(crate) fn drop_datagram(&mut self, key: Key, reason: Drop) {
        self.log(Note::Dropped { key, reason });
    }

    fn standing(&self, shard: &Shard, key: &Key) -> Standing {
        let is_own = self.owns(key);
        if let Some(entry) = shard.flows.get(key)
            && entry.term == self.history.term()
        {
            let is_held = is_own || entry.view == self.history.view_number();
            return if is_held {
                Standing::Here(PossibleHolders::default())
            } else {
                Standing::Gone
            };
        }
        let trace = self.trace(shard, key, is_own);
        if trace.candidates.is_empty() {
            Standing::Here(trace)
        } else {
            Standing::Elsewhere(trace)
        }
    }

    /// Returns who may hold a flow that this balancer does not.
    pub(crate) fn trace(&self, shard: &Shard, key: &Key, is_own: bool) -> PossibleHolders {
        let own = self.core.id();
        let mut trace = self.history.possible_holders(self.now, key.hash(), own);
        if let Some(moved) = shard.moved_flows.get(key) {
            if self.history.is_reachable(self.now, moved.to) {
                trace.candidates.push(moved.to)
            } else {
                let until = moved.last_used + QUARANTINE;
                trace.quarantined_until = trace.quarantined_until.max(until);
            }
        }
        // A datagram that was passed on to a balancer that does not own the flow comes from one with a newer view.
        let owner = self.history.current().decide(key.hash()).balancer();
        trace.candidates.extend(owner.filter(|_| !is_own));
        trace.candidates.retain(|&id| id != own);
        trace
    }

    /// Serves a request of a flow that nobody else holds.
    pub(crate) fn take(
        &mut self,
        shard: &mut Shard,
        held: HeldRequest,
        trace: PossibleHolders,
        copies: UpstreamHints,
    ) {
        let key = held.key;
        if shard.flows.get(&key).is_none() {
            if !shard.flows.has_room() {
                return self.refuse_new(shard, held);
            }
            let entry = self.new_entry(shard, &key, trace.quarantined_until, copies);
            shard.flows.insert(key, entry);
        }
        self.refresh(shard, &held, trace.quarantined_until);
        self.serve(shard, held);
    }

    fn refuse_new(&mut self, shard: &mut Shard, held: HeldRequest) {
        let body = Body::NotRun { max_age: MAX_AGE };
        self.drop_datagram(held.key, Drop::Full);
        self.reply(shard, held.fabric, held.key, &held.request, body);
    }

    fn new_entry(
        &mut self,
        shard: &mut Shard,
        key: &Key,
        quarantined_until: Duration,
        copies: UpstreamHints,
    ) -> Entry {
        let moved = shard.moved_flows.remove(key);
        let epoch = moved.as_ref().map_or(0, |moved| moved.epoch + 1);
        let kept = moved.and_then(|moved| moved.record?.upstream);
        let replica = shard.replicas.remove(key).map(|replica| replica.upstream);
        let is_taken_over = quarantined_until > self.now;
        let former = copies
            .former_default
            .or_else(|| self.former_default(key, quarantined_until))
            .filter(|_| is_taken_over);
        let upstream = copies.replica.or(replica).or(kept).or(former);
        self.count_opened(key, upstream);
        if is_taken_over {
            self.log(Note::Quarantined {
                key: *key,
                until: quarantined_until,
            });
        }
        Entry {
            fabric: None,
            upstream,
            last_request_at: self.now,
            acquired_at: self.now,
            quarantined_until,
            copy_holder: 0,
            epoch,
            view: self.history.view_number(),
            term: self.history.term(),
            established: upstream.is_some(),
            is_acting: self.history.is_acting(key.hash()),
            is_upstream_known: true,
        }
    }

    /// Returns the default upstream by the tables that a crashed owner had.
    ///
    /// What differed from these, or from any tables within [`COPIED`], was copied in advance.
    pub(crate) fn former_default(
        &self,
        key: &Key,
        quarantined_until: Duration,
    ) -> Option<UpstreamId> {
        let known_dead = if quarantined_until > self.now {
            quarantined_until.saturating_sub(QUARANTINE)
        } else {
            self.now
        };
        let mut tables = self
            .table_history
            .in_force_since(known_dead.saturating_sub(DEATH_LAG));
        default_upstream(tables.next()?, key)
    }

    fn refresh(&self, shard: &mut Shard, held: &HeldRequest, quarantined_until: Duration) {
        let is_acting = self.history.is_acting(held.key.hash());
        let Some(entry) = shard.flows.get_mut(&held.key) else {
            return;
        };
        if entry.is_acting && !is_acting {
            // The home zone is gone for good; it may have served the flow until now.
            entry.quarantined_until = self.now + QUARANTINE;
        }
        entry.is_acting = is_acting;
        entry.quarantined_until = entry.quarantined_until.max(quarantined_until);
        entry.term = self.history.term();
        entry.fabric = Some(held.fabric);
        entry.last_request_at = self.now;
    }

    /// Handles a request of a flow that this balancer holds.
    fn serve(&mut self, shard: &mut Shard, held: HeldRequest) {
        let HeldRequest {
            fabric,
            key,
            request,
            arrived,
        } = held;
        let window = shard.windows.entry(key).or_default();
        window.expire(self.now, &self.core.cache);
        let body = match window.find(request.message_id, request.token) {
            Found::New => None,
            Found::Evicted if request.effect == Effect::Idempotent => None,
            Found::Evicted => Some(self.evicted(key, &request)),
            Found::Answered(body) => Some(body),
            Found::Conflict => Some(Body::NotRun { max_age: MAX_AGE }),
            Found::InFlight(first) => return self.remind(shard, fabric, key, &request, first),
        };
        match body {
            Some(body) => self.reply(shard, fabric, key, &request, body),
            None => self.begin(shard, fabric, key, request, arrived),
        }
    }

    fn evicted(&mut self, key: Key, request: &Request) -> Body {
        self.log(Note::Unknown {
            key,
            message_id: request.message_id,
            reason: Doubt::Evicted,
        });
        Body::Unknown
    }

    /// Repeats the empty ACK of a request in flight.
    fn remind(
        &mut self,
        shard: &mut Shard,
        fabric: SocketAddr,
        key: Key,
        request: &Request,
        first: Duration,
    ) {
        let is_due = self.now >= first + EMPTY_ACK;
        if is_due && request.kind == Kind::Confirmable {
            self.reply(shard, fabric, key, request, Body::Empty);
        }
    }

    fn begin(
        &mut self,
        shard: &mut Shard,
        fabric: SocketAddr,
        key: Key,
        request: Request,
        arrived: Duration,
    ) {
        let Some(route) = self.route(&key) else {
            return;
        };
        let window = shard.windows.entry(key).or_default();
        window.open(arrived, request.message_id, request.token, request.effect);
        let entry = shard.flows.get(&key);
        let doubt = entry.and_then(|entry| self.reason_not_to_run(entry, request.effect));
        let exchange = Exchange {
            id: shard.next_id(),
            fabric,
            key,
            route,
            request,
            arrived,
            term: self.history.term(),
            is_acknowledged: false,
            stage: Received {
                upstream: None,
                not_before: Duration::MAX,
            },
        };
        match doubt {
            Some(reason) => self.finish_unknown(shard, exchange, reason),
            None => self.submit(shard, exchange),
        }
    }

    /// Hands a request to the dispatcher of its pool.
    pub(crate) fn submit(&mut self, shard: &mut Shard, exchange: Exchange<Received>) {
        let pool_id = exchange.route.pool_id();
        let Some(pool) = self.pool(pool_id) else {
            return self.finish_refused(shard, exchange, MAX_AGE, Refusal::NoUpstream);
        };
        let mut dispatcher = pool.lock();
        let Some(upstream) = self.upstream(shard, &exchange, &mut **dispatcher) else {
            std::mem::drop(dispatcher);
            return self.without_upstream(shard, exchange);
        };
        let entry = shard.flows.get(&exchange.key);
        let established = entry.is_none_or(|entry| entry.established);
        let id = shard.next_id();
        let exchange = exchange.queue(id, upstream);
        let job = exchange.job(established);
        shard.insert_request(id, PendingRequest::Queued(exchange));
        let mut verdicts = Vec::new();
        dispatcher.submit(self.now, job, &mut verdicts);
        self.queue_verdicts(pool_id, verdicts);
    }

    fn without_upstream(&mut self, shard: &mut Shard, exchange: Exchange<Received>) {
        let key = exchange.key;
        if !self.awaits_tables(shard, &key) {
            return self.finish_refused(shard, exchange, MAX_AGE, Refusal::NoUpstream);
        }
        // The caller retransmits, and the request is new again then.
        if let Some(window) = shard.windows.get_mut(&key) {
            window.forget(exchange.request.message_id);
        }
        self.drop_datagram(key, Drop::UnknownUpstream);
    }

    /// Returns whether the upstream of a handed over flow may still appear in the tables.
    fn awaits_tables(&self, shard: &Shard, key: &Key) -> bool {
        let entry = shard.flows.get(key);
        entry.is_some_and(|entry| {
            !entry.is_upstream_known && self.now < entry.acquired_at + TABLES_LAG
        })
    }

    fn upstream(
        &mut self,
        shard: &mut Shard,
        exchange: &Exchange<Received>,
        dispatcher: &mut dyn Dispatcher,
    ) -> Option<UpstreamId> {
        let key = exchange.key;
        let awaits_tables = self.awaits_tables(shard, &key);
        let Some(entry) = shard.flows.get_mut(&key) else {
            // The flow has moved; its request is finished here, at the same upstream or not at all.
            return exchange.stage.upstream;
        };
        if let Some(upstream) = entry.upstream {
            if dispatcher.is_usable(upstream) {
                entry.is_upstream_known = true;
                return Some(upstream);
            }
            if awaits_tables {
                return None;
            }
        }
        let placement = dispatcher.place(self.now, key.hash())?;
        let upstream = placement.upstream;
        let from = entry.upstream.replace(upstream);
        entry.is_upstream_known = true;
        entry.copy_holder = 0;
        if let Some(from) = from {
            dispatcher.flow_closed(from);
        }
        dispatcher.flow_opened(upstream);
        self.log(match from {
            Some(from) => Note::Replaced {
                key,
                from,
                to: upstream,
            },
            None => Note::Opened {
                key,
                upstream,
                exception: placement.exception,
            },
        });
        if self.is_exception(&key, upstream) {
            self.core.handover().copy_queue.push_back(key);
        }
        Some(upstream)
    }

    /// Returns whether another balancer could not derive the upstream of a flow from its tables.
    pub(crate) fn is_exception(&self, key: &Key, upstream: UpstreamId) -> bool {
        let mut tables = self
            .table_history
            .in_force_since(self.now.saturating_sub(COPIED));
        tables.any(|tables| default_upstream(tables, key) != Some(upstream))
    }
}

/// Returns the upstream that a flow without an entry gets, unless that one is draining.
fn default_upstream(tables: &Snapshot, key: &Key) -> Option<UpstreamId> {
    let route = tables.routes.get(&key.service)?;
    let pool: &Arc<Resolved> = tables.pools.get(&route.pool_id())?;
    let upstream = pool.table.get(key.hash())?;
    let is_draining = pool.upstream(upstream).is_some_and(|one| one.drain);
    (!is_draining).then_some(upstream)
}
