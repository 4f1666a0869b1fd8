//! The decisions of one balancer, put together.

use {
    crate::{
        config::Snapshot,
        dispatch::Factory,
        exchange::{Body, Kind, Outcome, Reply, Request, Response, Token},
        flow::Key,
        id::{Incarnation, Map, VmId},
        owner::{Decision, View},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError, RwLock,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
};

#[derive(Debug)]
struct Dispatched {
    fabric: SocketAddr,
    key: Key,
    upstream: SocketAddr,
    kind: Kind,
    message_id: u16,
    token: Token,
}

pub use crate::event::{Action, Event, Note, Step};

/// The decisions of one balancer.
pub struct Core {
    #[expect(dead_code, reason = "requests are dispatched without queues so far")]
    factory: Factory,
    held_until: Mutex<Duration>,
    id: VmId,
    incarnation: Incarnation,
    view: RwLock<Arc<View>>,
    tables: RwLock<Arc<Snapshot>>,
    dispatched: Mutex<Map<Token, Dispatched>>,
    counter: AtomicU32,
}

impl Core {
    /// Creates the decisions of a balancer that knows neither members nor tables.
    ///
    /// `incarnation` differs at each start of the balancer, so that no token is used twice.
    pub fn new(id: VmId, incarnation: Incarnation, factory: Factory) -> Core {
        Core {
            factory,
            held_until: Mutex::default(),
            id,
            incarnation,
            view: RwLock::default(),
            tables: RwLock::default(),
            dispatched: Mutex::default(),
            counter: AtomicU32::default(),
        }
    }

    /// Puts a view of the members in force.
    ///
    /// Previous views are kept until each of their members has handed over its flows or has died. A member that is
    /// leaving and still answers claims is named by [`View::with_leaving`].
    pub fn set_view(&self, _now: Duration, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    /// Puts routes and pools in force.
    pub fn set_tables(&self, _now: Duration, tables: Arc<Snapshot>) {
        *self.tables.write().unwrap_or_else(PoisonError::into_inner) = tables;
    }

    /// Allows dispatches of non-idempotent requests until `held_until`, on the balancer's clock.
    ///
    /// The quorum base extends it with each message from a majority of the zone.
    pub fn set_fence(&self, _now: Duration, held_until: Duration) {
        *self
            .held_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = held_until;
    }

    /// Starts a planned leave: hands every flow over.
    ///
    /// The view that follows no longer names this balancer as a member.
    pub fn leave(&self, _now: Duration) {}

    /// Returns whether every flow is handed over and no request is in flight.
    pub fn is_drained(&self) -> bool {
        self.dispatched
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_empty()
    }

    /// Returns the routes and pools in force.
    pub fn tables(&self) -> Arc<Snapshot> {
        self.tables
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Decides where a datagram of a flow is handled.
    pub fn route(&self, key: &Key) -> Step {
        if !self.tables().routes.contains_key(&key.service) {
            return Step::UnknownService;
        }
        let view = self
            .view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        match view.decide(key.hash()) {
            Decision::Owner(id) | Decision::Acting(id) if id == self.id => Step::Local,
            decision => forward(&view, decision),
        }
    }

    /// Handles an event and appends what is to be done.
    pub fn handle(&self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request {
                fabric,
                key,
                request,
            } => actions.extend(self.dispatch(now, fabric, key, request)),
            Event::Response { source, response } => actions.extend(self.answer(source, response)),
            Event::Acknowledgement { .. } | Event::Peer { .. } | Event::Tick => {}
        }
    }

    fn dispatch(
        &self,
        now: Duration,
        fabric: SocketAddr,
        key: Key,
        request: Request,
    ) -> Option<Action> {
        let tables = self.tables();
        let route = tables.routes.get(&key.service)?;
        let pool = tables.pools.get(&route.pool_id())?;
        let upstream = pool.table.get(key.hash())?;
        let address = pool.upstream(upstream)?.address;
        let counter = self.counter.fetch_add(1, Ordering::Relaxed);
        let token = Token::from(self.incarnation << u32::BITS | u64::from(counter));
        let Request {
            kind,
            message_id,
            token: caller_token,
            bytes,
            ..
        } = request;
        let dispatched = Dispatched {
            fabric,
            key,
            upstream: address,
            kind,
            message_id,
            token: caller_token,
        };
        self.dispatched
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(token, dispatched);
        Some(Action::Dispatch {
            upstream,
            address,
            service: Arc::from(&*route.name),
            token,
            message_id: counter as u16,
            deadline: now + route.deadline,
            bytes,
        })
    }

    fn answer(&self, source: SocketAddr, response: Response) -> Option<Action> {
        let mut dispatched = self
            .dispatched
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if dispatched.get(&response.token)?.upstream != source {
            return None;
        }
        let request = dispatched.remove(&response.token)?;
        let kind = match request.kind {
            Kind::Confirmable => Kind::Acknowledgement,
            _ => Kind::NonConfirmable,
        };
        let body = match response.outcome {
            Outcome::Answered => Body::Answer(response.bytes),
            Outcome::Refused | Outcome::Draining => Body::NotRun { max_age: 1 },
        };
        let reply = Reply {
            kind,
            message_id: request.message_id,
            token: request.token,
            body,
        };
        Some(Action::Reply {
            fabric: request.fabric,
            key: request.key,
            reply,
        })
    }
}

fn forward(view: &View, decision: Decision) -> Step {
    let Some(to) = decision.balancer() else {
        return Step::NoOwner;
    };
    match view.address(to) {
        Some(address) => Step::Forward { to, address },
        None => Step::NoOwner,
    }
}
