//! The context in which [`Core`](crate::balancer::Core) handles one event.

use {
    crate::{
        balancer::{Core, SharedDispatcher, TableHistory},
        config::{Route, Snapshot},
        dedupe::{Mark, State},
        dispatch::{JobId, JobResult, Verdict},
        event::{Action, LogEvent, RefusalReason, UnknownReason},
        exchange::{Body, Effect, Exchange, Kind, Reply, Request, Token},
        flow::{Entry, Key},
        handover::Message,
        id::{PoolId, UpstreamId, VmId},
        shard::{PendingRequest, Shard},
        view_history::ViewHistory,
    },
    std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration},
};

/// The time, the tables and the views with which one event is handled, and the resulting actions.
pub(crate) struct EventContext<'a> {
    pub(crate) core: &'a Core,
    pub(crate) now: Duration,
    pub(crate) table_history: Arc<TableHistory>,
    pub(crate) history: Arc<ViewHistory>,
    pub(crate) actions: &'a mut Vec<Action>,
    /// Dispatcher verdicts to apply once no lock is held.
    pub(crate) verdicts: VecDeque<(PoolId, Verdict)>,
}

impl EventContext<'_> {
    pub(crate) fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }

    pub(crate) fn send(&mut self, to: VmId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    pub(crate) fn tables(&self) -> &Snapshot {
        &self.table_history.tables
    }

    pub(crate) fn route(&self, key: &Key) -> Option<Arc<Route>> {
        self.tables().routes.get(&key.service).cloned()
    }

    pub(crate) fn pool(&self, id: PoolId) -> Option<Arc<SharedDispatcher>> {
        self.core.pool(id)
    }

    /// Returns whether this balancer is the owner of a flow in the current view.
    pub(crate) fn owns(&self, key: &Key) -> bool {
        let decision = self.history.current().decide(key.hash());
        decision.balancer() == Some(self.core.id())
    }

    /// Adds a flow to the flow count of its upstream.
    pub(crate) fn count_opened(&self, key: &Key, upstream: Option<UpstreamId>) {
        if let Some(upstream) = upstream
            && let Some(route) = self.route(key)
            && let Some(pool) = self.pool(route.pool_id())
        {
            pool.lock().flow_opened(upstream);
        }
    }

    /// Removes a flow from the flow count of its upstream.
    pub(crate) fn count_closed(&self, key: &Key, upstream: Option<UpstreamId>) {
        if let Some(upstream) = upstream
            && let Some(route) = self.route(key)
            && let Some(pool) = self.pool(route.pool_id())
        {
            pool.lock().flow_closed(upstream);
        }
    }

    /// Reports the result of a job to its dispatcher.
    pub(crate) fn end_job(&mut self, pool: PoolId, id: JobId, result: JobResult) {
        let Some(dispatcher) = self.pool(pool) else {
            return;
        };
        let mut verdicts = Vec::new();
        dispatcher
            .lock()
            .finished(self.now, id, result, &mut verdicts);
        self.queue_verdicts(pool, verdicts);
    }

    pub(crate) fn queue_verdicts(&mut self, pool: PoolId, verdicts: Vec<Verdict>) {
        let verdicts = verdicts.into_iter().map(|verdict| (pool, verdict));
        self.verdicts.extend(verdicts);
    }

    /// Returns why a request must not run, or `None` if it may; idempotent requests always may.
    pub(crate) fn reason_not_to_run(&self, entry: &Entry, effect: Effect) -> Option<UnknownReason> {
        if effect == Effect::Idempotent {
            return None;
        }
        if entry.is_acting {
            return Some(UnknownReason::ActingOwner);
        }
        if self.now < entry.quarantined_until {
            return Some(UnknownReason::Quarantine);
        }
        (!self.core.holds_fence(self.now)).then_some(UnknownReason::Fence)
    }

    pub(crate) fn finish_unknown<S>(
        &mut self,
        shard: &mut Shard,
        exchange: Exchange<S>,
        reason: UnknownReason,
    ) {
        self.log(LogEvent::Unknown {
            key: exchange.key,
            message_id: exchange.request.message_id,
            reason,
        });
        self.finish(shard, exchange, Body::Unknown);
    }

    pub(crate) fn finish_refused<S>(
        &mut self,
        shard: &mut Shard,
        exchange: Exchange<S>,
        max_age: u32,
        reason: RefusalReason,
    ) {
        self.log(LogEvent::Refused {
            key: exchange.key,
            message_id: exchange.request.message_id,
            reason,
        });
        self.finish(shard, exchange, Body::NotRun { max_age });
    }

    /// Responds to a request and records the response for retransmissions, here or at the balancer that now holds the
    /// flow.
    pub(crate) fn finish<S>(&mut self, shard: &mut Shard, exchange: Exchange<S>, body: Body) {
        self.record_answer(shard, &exchange, &body);
        let message_id = shard.next_message_id();
        let finished = exchange.finish(self.now, body, message_id);
        let entry = shard.flows.get(&finished.key);
        let fabric = entry.and_then(|entry| entry.fabric);
        self.actions.push(Action::Reply {
            fabric: fabric.unwrap_or(finished.fabric),
            key: finished.key,
            reply: finished.stage.reply.clone(),
        });
        if finished.is_separate() {
            let id = finished.id;
            shard.separate.insert((finished.key, message_id), id);
            shard.insert_request(id, PendingRequest::Separate(finished));
        }
    }

    fn record_answer<S>(&mut self, shard: &mut Shard, exchange: &Exchange<S>, body: &Body) {
        let message_id = exchange.request.message_id;
        if shard.flows.get(&exchange.key).is_some() {
            if let Some(window) = shard.windows.get_mut(&exchange.key) {
                window.record_answer(message_id, body, &self.core.cache);
            }
            return;
        }
        let Some(moved) = shard.moved_flows.get(&exchange.key) else {
            return;
        };
        let mark = Mark {
            message_id,
            token: exchange.request.token,
            effect: exchange.request.effect,
            age: self.now.saturating_sub(exchange.arrived),
            state: State::Answered(Some(body.clone())),
        };
        self.send_outcome(moved.to, 0, exchange.key, mark);
    }

    /// Sends the outcome of a request to the balancer that now holds the flow, and retransmits it until it is
    /// confirmed.
    pub(crate) fn send_outcome(&mut self, to: VmId, hops: u8, key: Key, mark: Mark) {
        let mut handover = self.core.handover();
        let sequence = handover.next_sequence();
        let message = Message::Outcome {
            sequence,
            hops,
            key,
            mark,
        };
        handover.budget.consume(estimated_size(&message));
        handover.track(self.now, sequence, to, message.clone());
        drop(handover);
        self.send(to, message);
    }

    /// Responds to a datagram without starting a request.
    pub(crate) fn reply(
        &mut self,
        shard: &mut Shard,
        fabric: SocketAddr,
        key: Key,
        request: &Request,
        body: Body,
    ) {
        let (kind, message_id) = match request.kind {
            Kind::Confirmable => (Kind::Acknowledgement, request.message_id),
            _ => (Kind::NonConfirmable, shard.next_message_id()),
        };
        let token = match body {
            Body::Empty => Token::default(),
            _ => request.token,
        };
        let reply = Reply {
            kind,
            message_id,
            token,
            body,
        };
        self.actions.push(Action::Reply { fabric, key, reply });
    }

    /// Applies the queued verdicts of the dispatchers.
    ///
    /// It takes shard locks, so none may be held when it is called.
    pub(crate) fn apply_verdicts(&mut self) {
        while let Some((pool, verdict)) = self.verdicts.pop_front() {
            match verdict {
                Verdict::Dispatch(id) => self.dispatch_job(pool, id),
                Verdict::Refuse { id, max_age } => self.refuse(id, max_age),
            }
        }
    }

    fn refuse(&mut self, id: JobId, max_age: u32) {
        let mut shard = self.core.shards.lock(id as usize);
        match shard.requests.remove(&id) {
            Some(PendingRequest::Queued(exchange)) => {
                self.finish_refused(&mut shard, exchange, max_age, RefusalReason::Admission);
            }
            Some(other) => shard.insert_request(id, other),
            None => {}
        }
    }
}

fn estimated_size(message: &Message) -> usize {
    const FIXED_BYTES: usize = 60;
    match message {
        Message::Outcome { mark, .. } => FIXED_BYTES + mark.size(),
        _ => FIXED_BYTES,
    }
}
