//! Handling of a caller's request from its arrival until it is submitted to the dispatcher of its pool.

use {
    crate::{
        config::{Resolved, Snapshot},
        dedupe::{LookupResult, QUARANTINE},
        dispatch::Dispatcher,
        event::{DropReason, LogEvent, RefusalReason, UnknownReason},
        event_context::EventContext,
        exchange::{Body, EMPTY_ACK_DELAY, Effect, Exchange, Kind, Received, Request},
        flow::{Entry, Key, shard_index},
        id::UpstreamId,
        shard::{HeldRequest, PendingRequest, Shard, UpstreamHints},
        view_history::PossibleHolders,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time after taking over a flow during which an upstream that is missing from the tables does not lead to a new
/// placement.
///
/// The previous owner may have had newer tables; the tables of two balancers differ for at most 3 s.
const TABLE_LAG_GRACE: Duration = Duration::from_secs(5);

/// Longest time between the crash of an owner and its removal from this balancer's view, plus the time for which the
/// tables of two balancers may differ: 3 s to declare it dead, 3 s for the view and 3 s for the tables.
const DEATH_DETECTION_LAG: Duration = Duration::from_secs(9);

/// Age up to which former tables are compared to decide whether a flow is an exception: [`DEATH_DETECTION_LAG`] plus
/// the 3 s for which the tables of two balancers may differ.
const EXCEPTION_WINDOW: Duration = Duration::from_secs(12);

/// Max-Age of a refusal whose wait cannot be estimated.
const DEFAULT_MAX_AGE_SECONDS: u32 = 1;

/// Which balancer holds the state of a flow.
enum Holder {
    /// This balancer holds it, or no balancer does.
    Local(PossibleHolders),
    /// One of the given balancers may hold it, so they have to be asked.
    PossiblyRemote(PossibleHolders),
    /// The current owner holds it, which is another balancer.
    Remote,
}

impl EventContext<'_> {
    pub(crate) fn receive_request(&mut self, fabric: SocketAddr, key: Key, request: Request) {
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
            return self.drop_datagram(key, DropReason::UnknownService);
        }
        if let Some(claim) = shard.claims.get_mut(&key) {
            if !claim.hold(held) {
                self.drop_datagram(key, DropReason::Full);
            }
            return;
        }
        match self.find_holder(shard, &key) {
            Holder::Local(holders) => {
                self.serve_as_owner(shard, held, holders, UpstreamHints::default())
            }
            Holder::PossiblyRemote(holders) => self.start_claim(shard, held, &holders),
            Holder::Remote => self.drop_datagram(key, DropReason::NotOwner),
        }
    }

    pub(crate) fn drop_datagram(&mut self, key: Key, reason: DropReason) {
        self.log(LogEvent::Dropped { key, reason });
    }

    fn find_holder(&self, shard: &Shard, key: &Key) -> Holder {
        let is_own = self.owns(key);
        if let Some(entry) = shard.flows.get(key)
            && entry.term == self.history.term()
        {
            let holds_flow = is_own || entry.view == self.history.view_number();
            return if holds_flow {
                Holder::Local(PossibleHolders::default())
            } else {
                Holder::Remote
            };
        }
        let holders = self.possible_holders(shard, key, is_own);
        if holders.candidates.is_empty() {
            Holder::Local(holders)
        } else {
            Holder::PossiblyRemote(holders)
        }
    }

    /// Returns the other balancers that may hold the state of a flow.
    pub(crate) fn possible_holders(
        &self,
        shard: &Shard,
        key: &Key,
        is_own: bool,
    ) -> PossibleHolders {
        let own = self.core.id();
        let mut holders = self.history.possible_holders(self.now, key.hash(), own);
        if let Some(moved) = shard.moved_flows.get(key) {
            if self.history.is_reachable(self.now, moved.to) {
                holders.candidates.push(moved.to)
            } else {
                let until = moved.last_used + QUARANTINE;
                holders.quarantined_until = holders.quarantined_until.max(until);
            }
        }
        // A balancer that forwards a datagram here although this one does not own the flow has a newer view.
        let owner = self.history.current().decide(key.hash()).balancer();
        holders.candidates.extend(owner.filter(|_| !is_own));
        holders.candidates.retain(|&id| id != own);
        holders
    }

    /// Serves a request of a flow that no other balancer holds, and creates its entry if there is none.
    pub(crate) fn serve_as_owner(
        &mut self,
        shard: &mut Shard,
        held: HeldRequest,
        holders: PossibleHolders,
        hints: UpstreamHints,
    ) {
        let key = held.key;
        if shard.flows.get(&key).is_none() {
            if !shard.flows.has_room() {
                return self.refuse_new_flow(shard, held);
            }
            let entry = self.new_entry(shard, &key, holders.quarantined_until, hints);
            shard.flows.insert(key, entry);
        }
        self.refresh_entry(shard, &held, holders.quarantined_until);
        self.serve(shard, held);
    }

    fn refuse_new_flow(&mut self, shard: &mut Shard, held: HeldRequest) {
        let body = Body::NotRun {
            max_age: DEFAULT_MAX_AGE_SECONDS,
        };
        self.drop_datagram(held.key, DropReason::Full);
        self.reply(shard, held.fabric, held.key, &held.request, body);
    }

    fn new_entry(
        &mut self,
        shard: &mut Shard,
        key: &Key,
        quarantined_until: Duration,
        hints: UpstreamHints,
    ) -> Entry {
        let moved = shard.moved_flows.remove(key);
        let epoch = moved.as_ref().map_or(0, |moved| moved.epoch + 1);
        let moved_upstream = moved.and_then(|moved| moved.record?.upstream);
        let replica = shard.replicas.remove(key).map(|replica| replica.upstream);
        let is_taken_over = quarantined_until > self.now;
        let former = hints
            .former_default
            .or_else(|| self.former_default(key, quarantined_until))
            .filter(|_| is_taken_over);
        let upstream = hints.replica.or(replica).or(moved_upstream).or(former);
        self.count_opened(key, upstream);
        if is_taken_over {
            self.log(LogEvent::Quarantined {
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

    /// Returns the default upstream according to the tables that a crashed owner had.
    ///
    /// Flows whose upstream differed from the default of these tables, or of any tables within [`EXCEPTION_WINDOW`],
    /// were replicated while the owner was alive.
    pub(crate) fn former_default(
        &self,
        key: &Key,
        quarantined_until: Duration,
    ) -> Option<UpstreamId> {
        let death_known_at = if quarantined_until > self.now {
            quarantined_until.saturating_sub(QUARANTINE)
        } else {
            self.now
        };
        let mut tables = self
            .table_history
            .active_since(death_known_at.saturating_sub(DEATH_DETECTION_LAG));
        default_upstream(tables.next()?, key)
    }

    fn refresh_entry(&self, shard: &mut Shard, held: &HeldRequest, quarantined_until: Duration) {
        let is_acting = self.history.is_acting(held.key.hash());
        let Some(entry) = shard.flows.get_mut(&held.key) else {
            return;
        };
        if entry.is_acting && !is_acting {
            // The home zone has been removed from the deployment; its balancers may have served the flow until now.
            entry.quarantined_until = self.now + QUARANTINE;
        }
        entry.is_acting = is_acting;
        entry.quarantined_until = entry.quarantined_until.max(quarantined_until);
        entry.term = self.history.term();
        entry.fabric = Some(held.fabric);
        entry.last_request_at = self.now;
    }

    /// Looks up a request in the deduplication window of its flow, then starts or answers it.
    fn serve(&mut self, shard: &mut Shard, held: HeldRequest) {
        let HeldRequest {
            fabric,
            key,
            request,
            arrived,
        } = held;
        let window = shard.windows.entry(key).or_default();
        window.expire(self.now, &self.core.cache);
        let body = match window.lookup(request.message_id, request.token) {
            LookupResult::New => None,
            LookupResult::Evicted if request.effect == Effect::Idempotent => None,
            LookupResult::Evicted => Some(self.answer_evicted(key, &request)),
            LookupResult::Answered(body) => Some(body),
            LookupResult::Conflict => Some(Body::NotRun {
                max_age: DEFAULT_MAX_AGE_SECONDS,
            }),
            LookupResult::InFlight(first) => {
                return self.retransmit_empty_ack(shard, fabric, key, &request, first);
            }
        };
        match body {
            Some(body) => self.reply(shard, fabric, key, &request, body),
            None => self.start_exchange(shard, fabric, key, request, arrived),
        }
    }

    fn answer_evicted(&mut self, key: Key, request: &Request) -> Body {
        self.log(LogEvent::Unknown {
            key,
            message_id: request.message_id,
            reason: UnknownReason::Evicted,
        });
        Body::Unknown
    }

    /// Retransmits the empty ACK for a retransmission of a request in flight, which first arrived at `first`.
    fn retransmit_empty_ack(
        &mut self,
        shard: &mut Shard,
        fabric: SocketAddr,
        key: Key,
        request: &Request,
        first: Duration,
    ) {
        let is_due = self.now >= first + EMPTY_ACK_DELAY;
        if is_due && request.kind == Kind::Confirmable {
            self.reply(shard, fabric, key, request, Body::Empty);
        }
    }

    fn start_exchange(
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
        window.insert(arrived, request.message_id, request.token, request.effect);
        let entry = shard.flows.get(&key);
        let reason_not_to_run =
            entry.and_then(|entry| self.reason_not_to_run(entry, request.effect));
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
        match reason_not_to_run {
            Some(reason) => self.finish_unknown(shard, exchange, reason),
            None => self.submit(shard, exchange),
        }
    }

    /// Submits a request to the dispatcher of its pool.
    pub(crate) fn submit(&mut self, shard: &mut Shard, exchange: Exchange<Received>) {
        let pool_id = exchange.route.pool_id();
        let Some(pool) = self.pool(pool_id) else {
            return self.finish_refused(
                shard,
                exchange,
                DEFAULT_MAX_AGE_SECONDS,
                RefusalReason::NoUpstream,
            );
        };
        let mut dispatcher = pool.lock();
        let Some(upstream) = self.assign_upstream(shard, &exchange, &mut **dispatcher) else {
            std::mem::drop(dispatcher);
            return self.handle_no_upstream(shard, exchange);
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

    fn handle_no_upstream(&mut self, shard: &mut Shard, exchange: Exchange<Received>) {
        let key = exchange.key;
        if !self.awaits_tables(shard, &key) {
            return self.finish_refused(
                shard,
                exchange,
                DEFAULT_MAX_AGE_SECONDS,
                RefusalReason::NoUpstream,
            );
        }
        // The caller's retransmission is treated as a new request.
        if let Some(window) = shard.windows.get_mut(&key) {
            window.remove(exchange.request.message_id);
        }
        self.drop_datagram(key, DropReason::UnknownUpstream);
    }

    /// Returns whether the upstream of a flow that was taken over may be in tables that have not arrived yet.
    fn awaits_tables(&self, shard: &Shard, key: &Key) -> bool {
        let entry = shard.flows.get(key);
        entry.is_some_and(|entry| {
            !entry.is_upstream_known && self.now < entry.acquired_at + TABLE_LAG_GRACE
        })
    }

    fn assign_upstream(
        &mut self,
        shard: &mut Shard,
        exchange: &Exchange<Received>,
        dispatcher: &mut dyn Dispatcher,
    ) -> Option<UpstreamId> {
        let key = exchange.key;
        let awaits_tables = self.awaits_tables(shard, &key);
        let Some(entry) = shard.flows.get_mut(&key) else {
            // The flow has moved to another balancer. The request is completed here, at its upstream or not at all.
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
            Some(from) => LogEvent::Replaced {
                key,
                from,
                to: upstream,
            },
            None => LogEvent::Opened {
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

    /// Returns whether another balancer's tables may give a flow a different default upstream, so that its entry has to
    /// be replicated.
    pub(crate) fn is_exception(&self, key: &Key, upstream: UpstreamId) -> bool {
        let mut tables = self
            .table_history
            .active_since(self.now.saturating_sub(EXCEPTION_WINDOW));
        tables.any(|tables| default_upstream(tables, key) != Some(upstream))
    }
}

/// Returns the upstream that the tables assign to a flow without an entry, or `None` if it is draining.
fn default_upstream(tables: &Snapshot, key: &Key) -> Option<UpstreamId> {
    let route = tables.routes.get(&key.service)?;
    let pool: &Arc<Resolved> = tables.pools.get(&route.pool_id())?;
    let upstream = pool.table.get(key.hash())?;
    let is_draining = pool.upstream(upstream).is_some_and(|one| one.drain);
    (!is_draining).then_some(upstream)
}
