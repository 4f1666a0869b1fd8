//! Inputs and outputs of the decisions of one balancer.

use {
    crate::{
        exchange::{Kind, Reply, Request, Response, Token},
        flow::Key,
        handover::Message,
        id::{UpstreamId, VmId},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
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
    /// A handover message of another balancer.
    Peer {
        /// Balancer that sent it.
        from: VmId,
        /// The message.
        message: Message,
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
    /// Cancel a dispatch with an empty message of type reset.
    Cancel {
        /// Address of the upstream.
        address: SocketAddr,
        /// Message ID of the dispatch.
        message_id: u16,
    },
    /// Acknowledge a confirmable message of an upstream.
    Acknowledge {
        /// Address of the upstream.
        address: SocketAddr,
        /// Message ID of the upstream's message.
        message_id: u16,
    },
    /// Send a message to another balancer.
    Send {
        /// The balancer.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Record a decision.
    Log(LogEvent),
}

/// What to do with a datagram that has just arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteDecision {
    /// Decode it and pass it to [`Core::handle`](crate::balancer::Core::handle).
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

/// A decision worth a log line and a count.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogEvent {
    /// A flow got its first upstream here.
    Opened {
        /// The flow.
        key: Key,
        /// Its upstream.
        upstream: UpstreamId,
        /// Whether the upstream differs from the default of the pool's table.
        exception: bool,
    },
    /// An established flow got another upstream because its own is down or removed.
    Replaced {
        /// The flow.
        key: Key,
        /// Its previous upstream.
        from: UpstreamId,
        /// Its new upstream.
        to: UpstreamId,
    },
    /// A flow was idle for too long, or made room for another one.
    Closed {
        /// The flow.
        key: Key,
    },
    /// A flow was claimed from its previous owner.
    Claimed {
        /// The flow.
        key: Key,
        /// Previous owner.
        from: VmId,
    },
    /// A flow was handed over to another balancer.
    Granted {
        /// The flow.
        key: Key,
        /// New owner.
        to: VmId,
    },
    /// Non-idempotent requests of a flow end as unknown until a time, because a previous owner did not hand it over.
    Quarantined {
        /// The flow.
        key: Key,
        /// End of the quarantine, on the balancer's clock.
        until: Duration,
    },
    /// A request was answered with "did not run".
    Refused {
        /// Flow of the request.
        key: Key,
        /// Message ID of the request.
        message_id: u16,
        /// Why it did not run.
        reason: RefusalReason,
    },
    /// A request is to be dispatched again.
    Retried {
        /// Flow of the request.
        key: Key,
        /// Message ID of the request.
        message_id: u16,
    },
    /// A request was answered with "outcome unknown".
    Unknown {
        /// Flow of the request.
        key: Key,
        /// Message ID of the request.
        message_id: u16,
        /// Why nothing is known.
        reason: UnknownReason,
    },
    /// An upstream said that it is draining.
    Draining {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A message of an upstream matched no dispatch.
    UnmatchedResponse {
        /// Source address of the message.
        source: SocketAddr,
    },
    /// A datagram was dropped without an answer.
    Dropped {
        /// Flow of the datagram.
        key: Key,
        /// Why it was dropped.
        reason: DropReason,
    },
    /// A balancer has handed over every flow that this one now owns.
    Completed {
        /// The balancer.
        from: VmId,
    },
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No upstream can take the flow.
    NoUpstream,
    /// The dispatcher refused it.
    Admission,
    /// The upstream refused it.
    Upstream,
    /// Its deadline passed before a dispatch.
    Deadline,
}

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownReason {
    /// Its deadline passed after a dispatch.
    Deadline,
    /// The flow is in quarantine.
    Quarantine,
    /// This balancer has not heard from a majority of its zone.
    Fence,
    /// The home zone of the flow may be alive.
    ActingOwner,
    /// It ran, but the response is no longer cached.
    Evicted,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// No route has its address.
    UnknownService,
    /// The flow belongs to another balancer.
    NotOwner,
    /// The upstream of the flow is not in the tables yet.
    UnknownUpstream,
    /// A bounded table or queue is full.
    Full,
}
