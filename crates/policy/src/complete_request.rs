//! Handling of a request from its dispatch to the reply: responses, refusals, retries and timeouts.

use {
    crate::{
        dispatch::{JobId, JobResult},
        event::{Action, LogEvent, RefusalReason, UnknownReason},
        event_context::EventContext,
        exchange::{
            ACK_TIMEOUT, Body, Dispatched, Effect, Exchange, Finished, Kind, Outcome, Queued,
            Received, Response, Token,
        },
        flow::{Key, shard_index},
        id::{PoolId, UpstreamId},
        shard::{PendingRequest, Shard},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Delay before a request is submitted again after its upstream was removed or began to drain.
const RESUBMIT_DELAY: Duration = Duration::from_millis(50);

/// Max-Age of a refusal whose wait cannot be estimated.
const DEFAULT_MAX_AGE_SECONDS: u32 = 1;

impl EventContext<'_> {
    /// Dispatches a job to which the dispatcher has assigned a slot.
    pub(crate) fn dispatch_job(&mut self, pool: PoolId, id: JobId) {
        let core = self.core;
        let mut shard = core.shards.lock(id as usize);
        match shard.requests.remove(&id) {
            Some(PendingRequest::Queued(exchange)) => self.dispatch(&mut shard, exchange),
            Some(other) => shard.insert_request(id, other),
            None => {
                std::mem::drop(shard);
                self.end_job(pool, id, JobResult::Cancelled);
            }
        }
    }

    fn dispatch(&mut self, shard: &mut Shard, exchange: Exchange<Queued>) {
        let pool = exchange.route.pool_id();
        let id = exchange.id;
        if exchange.deadline() <= self.now {
            self.end_job(pool, id, JobResult::Cancelled);
            return self.finish_refused(
                shard,
                exchange,
                DEFAULT_MAX_AGE_SECONDS,
                RefusalReason::Deadline,
            );
        }
        if self.may_have_run_elsewhere(&exchange) {
            self.end_job(pool, id, JobResult::Cancelled);
            return self.finish_unknown(shard, exchange, UnknownReason::Fence);
        }
        let Some(address) = self.upstream_address(pool, exchange.stage.upstream) else {
            self.end_job(pool, id, JobResult::Cancelled);
            return self.resubmit(shard, exchange);
        };
        if self.began_to_drain(shard, &exchange) {
            self.end_job(pool, id, JobResult::Cancelled);
            self.unassign_upstream(shard, &exchange.key, exchange.stage.upstream);
            return self.resubmit(shard, exchange);
        }
        let message_id = self.core.message_ids().allocate(address, id);
        let exchange = exchange.dispatch(self.now, address, message_id);
        self.transmit(&exchange);
        shard.insert_request(id, PendingRequest::Dispatched(exchange));
    }

    /// Returns whether another balancer may have served the request while it was queued.
    ///
    /// Once the fence term has changed, this includes idempotent requests, because another owner may have told the
    /// caller that the request did not run.
    fn may_have_run_elsewhere(&self, exchange: &Exchange<Queued>) -> bool {
        let is_fenced = !self.core.holds_fence(self.now);
        let is_idempotent = exchange.request.effect == Effect::Idempotent;
        exchange.term != self.history.term() || is_fenced && !is_idempotent
    }

    /// Returns whether the upstream began to drain while the first request of a flow was queued for it.
    fn began_to_drain(&self, shard: &Shard, exchange: &Exchange<Queued>) -> bool {
        let entry = shard.flows.get(&exchange.key);
        let is_new = entry.is_some_and(|entry| !entry.established);
        let pool = self.tables().pools.get(&exchange.route.pool_id());
        let upstream = pool.and_then(|pool| pool.upstream(exchange.stage.upstream));
        is_new && upstream.is_some_and(|upstream| upstream.drain)
    }

    fn resubmit(&mut self, shard: &mut Shard, exchange: Exchange<Queued>) {
        let not_before = self.now + RESUBMIT_DELAY;
        let exchange = exchange.requeue(not_before);
        shard.insert_request(exchange.id, PendingRequest::Waiting(exchange));
    }

    fn upstream_address(&self, pool: PoolId, upstream: UpstreamId) -> Option<SocketAddr> {
        let pool = self.tables().pools.get(&pool)?;
        pool.upstream(upstream).map(|upstream| upstream.address)
    }

    fn transmit(&mut self, exchange: &Exchange<Dispatched>) {
        self.actions.push(Action::Dispatch {
            upstream: exchange.stage.upstream,
            address: exchange.stage.address,
            service: Arc::from(&*exchange.route.name),
            token: Token::from(exchange.id),
            message_id: exchange.stage.message_id,
            deadline: exchange.deadline(),
            bytes: exchange.request.bytes.clone(),
        });
    }

    /// Handles a message from an upstream.
    pub(crate) fn receive_response(&mut self, source: SocketAddr, response: Response) {
        if response.outcome == Outcome::Accepted {
            return self.receive_empty_ack(source, response.message_id);
        }
        let Some(id) = self.job_id(response.token) else {
            return self.log(LogEvent::UnmatchedResponse { source });
        };
        if response.kind == Kind::Confirmable {
            // Duplicates are acknowledged as well, since the upstream retransmits until it gets an acknowledgement.
            self.actions.push(Action::Acknowledge {
                address: source,
                message_id: response.message_id,
            });
        }
        let core = self.core;
        let mut shard = core.shards.lock(id as usize);
        match shard.requests.remove(&id) {
            Some(PendingRequest::Dispatched(exchange)) if exchange.stage.address == source => {
                self.end_dispatch(&mut shard, exchange, response);
            }
            other => {
                if let Some(other) = other {
                    shard.insert_request(id, other);
                }
                self.log(LogEvent::UnmatchedResponse { source });
            }
        }
    }

    /// Returns the job of a token, or `None` if this incarnation of the balancer has not issued it.
    fn job_id(&self, token: Token) -> Option<JobId> {
        let id = token.value()?;
        let prefix = self.core.incarnation() as u32;
        (id >> u32::BITS == u64::from(prefix)).then_some(id)
    }

    fn receive_empty_ack(&mut self, source: SocketAddr, message_id: u16) {
        let Some(id) = self.core.message_ids().find(source, message_id) else {
            return;
        };
        let core = self.core;
        let mut shard = core.shards.lock(id as usize);
        if let Some(PendingRequest::Dispatched(exchange)) = shard.requests.get_mut(&id) {
            exchange.stage.retransmit_at = None;
        }
    }

    /// Ends a dispatch to which the upstream has responded: the request is answered, retried or refused.
    fn end_dispatch(
        &mut self,
        shard: &mut Shard,
        exchange: Exchange<Dispatched>,
        response: Response,
    ) {
        self.release_message_id(&exchange);
        let pool = exchange.route.pool_id();
        match response.outcome {
            Outcome::Refused => self.handle_refusal(shard, exchange),
            Outcome::Draining => self.handle_draining(shard, exchange),
            Outcome::Answered | Outcome::Accepted => {
                self.end_job(pool, exchange.id, JobResult::Answered);
                if let Some(entry) = shard.flows.get_mut(&exchange.key) {
                    entry.established = true;
                }
                self.finish(shard, exchange, Body::Answer(response.bytes));
            }
        }
    }

    fn release_message_id(&self, exchange: &Exchange<Dispatched>) {
        let stage = &exchange.stage;
        self.core
            .message_ids()
            .release(stage.address, stage.message_id);
    }

    /// Handles a refusal due to load: an established flow keeps its upstream, while a new flow may be placed on another
    /// one.
    fn handle_refusal(&mut self, shard: &mut Shard, exchange: Exchange<Dispatched>) {
        let upstream = exchange.stage.upstream;
        let entry = shard.flows.get(&exchange.key);
        if entry.is_none_or(|entry| entry.established) {
            self.retry(shard, exchange, Some(upstream))
        } else {
            self.unassign_upstream(shard, &exchange.key, upstream);
            self.retry(shard, exchange, None);
        }
    }

    /// Handles a refusal by an upstream that is draining or no longer belongs to the service.
    fn handle_draining(&mut self, shard: &mut Shard, exchange: Exchange<Dispatched>) {
        let upstream = exchange.stage.upstream;
        self.log(LogEvent::Draining { upstream });
        self.unassign_upstream(shard, &exchange.key, upstream);
        self.retry(shard, exchange, None);
    }

    /// Clears the upstream of a flow, so that its next request is placed again.
    fn unassign_upstream(&mut self, shard: &mut Shard, key: &Key, upstream: UpstreamId) {
        let Some(entry) = shard.flows.get_mut(key) else {
            return;
        };
        if entry.upstream == Some(upstream) {
            entry.upstream = None;
            self.count_closed(key, Some(upstream));
        }
    }

    fn retry(
        &mut self,
        shard: &mut Shard,
        exchange: Exchange<Dispatched>,
        upstream: Option<UpstreamId>,
    ) {
        let id = exchange.id;
        self.end_job(exchange.route.pool_id(), id, JobResult::Refused);
        let at = self.reserve_retry(&exchange);
        let is_placeable = upstream.is_some() || shard.flows.get(&exchange.key).is_some();
        match at.filter(|&at| is_placeable && at < exchange.deadline()) {
            Some(at) => {
                self.log(LogEvent::Retried {
                    key: exchange.key,
                    message_id: exchange.request.message_id,
                });
                shard.insert_request(
                    id,
                    PendingRequest::Waiting(exchange.requeue_after_refusal(upstream, at)),
                );
            }
            None => self.finish_refused(
                shard,
                exchange,
                DEFAULT_MAX_AGE_SECONDS,
                RefusalReason::Upstream,
            ),
        }
    }

    /// Takes a retry from the budget of the pool and returns its earliest time, or `None` if a retry is not allowed.
    fn reserve_retry<S>(&self, exchange: &Exchange<S>) -> Option<Duration> {
        let pool = self.pool(exchange.route.pool_id())?;
        pool.lock().retry(self.now, exchange.id)
    }

    /// Handles an acknowledgement or reset from a caller: the response is no longer retransmitted.
    pub(crate) fn receive_acknowledgement(&mut self, key: Key, message_id: u16) {
        let core = self.core;
        let mut shard = core.shards.lock(shard_index(&key));
        if let Some(id) = shard.separate.remove(&(key, message_id)) {
            shard.requests.remove(&id);
        }
    }

    /// Handles the requests of a shard whose timers are due: deadlines, empty ACKs and retransmissions.
    pub(crate) fn handle_due_requests(&mut self, shard: &mut Shard) {
        while let Some(id) = shard.pop_due(self.now) {
            match shard.requests.remove(&id) {
                Some(PendingRequest::Waiting(exchange)) => self.handle_due_waiting(shard, exchange),
                Some(PendingRequest::Queued(exchange)) => self.handle_due_queued(shard, exchange),
                Some(PendingRequest::Dispatched(exchange)) => {
                    self.handle_due_dispatched(shard, exchange)
                }
                Some(PendingRequest::Separate(exchange)) => {
                    self.handle_due_separate(shard, exchange);
                }
                None => {}
            }
        }
    }

    fn handle_due_waiting(&mut self, shard: &mut Shard, mut exchange: Exchange<Received>) {
        if exchange.deadline() <= self.now {
            return self.finish_refused(
                shard,
                exchange,
                DEFAULT_MAX_AGE_SECONDS,
                RefusalReason::Deadline,
            );
        }
        self.send_due_empty_ack(&mut exchange);
        if exchange.stage.not_before <= self.now {
            return self.submit(shard, exchange);
        }
        shard.insert_request(exchange.id, PendingRequest::Waiting(exchange));
    }

    fn handle_due_queued(&mut self, shard: &mut Shard, mut exchange: Exchange<Queued>) {
        if exchange.deadline() <= self.now {
            let pool = exchange.route.pool_id();
            self.end_job(pool, exchange.id, JobResult::Cancelled);
            return self.finish_refused(
                shard,
                exchange,
                DEFAULT_MAX_AGE_SECONDS,
                RefusalReason::Deadline,
            );
        }
        self.send_due_empty_ack(&mut exchange);
        shard.insert_request(exchange.id, PendingRequest::Queued(exchange));
    }

    fn handle_due_dispatched(&mut self, shard: &mut Shard, mut exchange: Exchange<Dispatched>) {
        if exchange.deadline() <= self.now {
            return self.time_out(shard, exchange);
        }
        self.send_due_empty_ack(&mut exchange);
        if exchange
            .stage
            .retransmit_at
            .is_some_and(|at| at <= self.now)
        {
            self.retransmit(&mut exchange);
        }
        shard.insert_request(exchange.id, PendingRequest::Dispatched(exchange));
    }

    /// Retransmits an idempotent request that may not have reached the upstream, if the retry budget allows it.
    fn retransmit(&mut self, exchange: &mut Exchange<Dispatched>) {
        exchange.stage.retransmit_at = None;
        if self.reserve_retry(exchange).is_some() {
            self.transmit(exchange);
            exchange.stage.retransmit_at = Some(self.now + 2 * ACK_TIMEOUT);
        }
    }

    fn time_out(&mut self, shard: &mut Shard, exchange: Exchange<Dispatched>) {
        self.release_message_id(&exchange);
        self.end_job(exchange.route.pool_id(), exchange.id, JobResult::TimedOut);
        self.actions.push(Action::Cancel {
            address: exchange.stage.address,
            message_id: exchange.stage.message_id,
        });
        // The request may have run, so the upstream may hold state of the flow.
        if let Some(entry) = shard.flows.get_mut(&exchange.key) {
            entry.established = true;
        }
        self.finish_unknown(shard, exchange, UnknownReason::Deadline);
    }

    fn handle_due_separate(&mut self, shard: &mut Shard, mut exchange: Exchange<Finished>) {
        let key = exchange.key;
        let Some(reply) = exchange.retransmit(self.now) else {
            let message_id = exchange.stage.reply.message_id;
            shard.separate.remove(&(key, message_id));
            return;
        };
        let entry = shard.flows.get(&key);
        let fabric = entry.and_then(|entry| entry.fabric);
        let fabric = fabric.unwrap_or(exchange.fabric);
        self.actions.push(Action::Reply { fabric, key, reply });
        shard.insert_request(exchange.id, PendingRequest::Separate(exchange));
    }

    fn send_due_empty_ack<S>(&mut self, exchange: &mut Exchange<S>) {
        if exchange.empty_ack_at().is_none_or(|at| at > self.now) {
            return;
        }
        let reply = exchange.acknowledge();
        self.actions.push(Action::Reply {
            fabric: exchange.fabric,
            key: exchange.key,
            reply,
        });
    }
}
