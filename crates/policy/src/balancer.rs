//! The decisions of one balancer, put together.

use {
    crate::{
        config::Snapshot,
        exchange::{Body, Kind, Outcome, Reply, Request, Response, Token},
        flow::Key,
        id::{Incarnation, Map, UpstreamId, VmId},
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

/// Something that happened at a balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request of a flow that this balancer serves.
    Request {
        /// Fabric socket that delivered the datagram, possibly to another balancer.
        fabric: SocketAddr,
        /// Flow of the request.
        key: Key,
        /// The request.
        request: Request,
    },
    /// An acknowledgement or a reset of a caller.
    Acknowledgement {
        /// Flow of the message.
        key: Key,
        /// Acknowledgement or reset.
        kind: Kind,
        /// Message ID of the owner's message.
        message_id: u16,
    },
    /// A message of an upstream.
    Response {
        /// Source address of the datagram.
        source: SocketAddr,
        /// The message.
        response: Response,
    },
    /// Time has passed; due every few milliseconds.
    Tick,
}

/// Something that a balancer is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message to a caller.
    Reply {
        /// Fabric socket that takes the datagram.
        fabric: SocketAddr,
        /// Flow of the message.
        key: Key,
        /// The message.
        reply: Reply,
    },
    /// Send a request to an upstream.
    Dispatch {
        /// Upstream that gets the request.
        upstream: UpstreamId,
        /// Address of the upstream.
        address: SocketAddr,
        /// Name of the service, sent as Uri-Host.
        service: Arc<str>,
        /// Token of the dispatch.
        token: Token,
        /// Message ID of the dispatch.
        message_id: u16,
        /// Time at which the upstream must no longer run the request, on the balancer's clock.
        deadline: Duration,
        /// The caller's message.
        bytes: Vec<u8>,
    },
}

/// What to do with a datagram that has just arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Decode it and pass it to [`Core::handle`].
    Local,
    /// Pass it on to another balancer.
    Forward {
        /// The balancer.
        to: VmId,
        /// Address of its peer socket.
        address: SocketAddr,
    },
    /// Drop it: no route has its address.
    UnknownService,
    /// Drop it: no balancer serves the flow.
    NoOwner,
}

#[derive(Debug)]
struct Dispatched {
    fabric: SocketAddr,
    key: Key,
    upstream: SocketAddr,
    kind: Kind,
    message_id: u16,
    token: Token,
}

/// The decisions of one balancer.
#[derive(Debug)]
pub struct Core {
    id: VmId,
    incarnation: Incarnation,
    view: RwLock<Arc<View>>,
    tables: RwLock<Arc<Snapshot>>,
    dispatched: Mutex<Map<Token, Dispatched>>,
    counter: AtomicU32,
}

impl Core {
    /// Creates the decisions of a balancer that knows neither members nor tables.
    pub fn new(id: VmId, incarnation: Incarnation) -> Core {
        Core {
            id,
            incarnation,
            view: RwLock::default(),
            tables: RwLock::default(),
            dispatched: Mutex::default(),
            counter: AtomicU32::default(),
        }
    }

    /// Puts a view of the members in force.
    pub fn set_view(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    /// Puts routes and pools in force.
    pub fn set_tables(&self, tables: Arc<Snapshot>) {
        *self.tables.write().unwrap_or_else(PoisonError::into_inner) = tables;
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
            Event::Acknowledgement { .. } | Event::Tick => {}
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
