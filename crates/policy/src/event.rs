//! Events that a balancer handles, and the actions that result.

use {
    crate::{
        exchange::{Kind, Reply, Request, Response, Token},
        flow::Key,
        handover::Message,
        id::{UpstreamId, VmId},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// An input of the balancer's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request from a caller.
    Request {
        /// Address of the fabric socket that delivered the datagram, to this balancer or to one that forwarded it.
        fabric: SocketAddr,
        /// Flow of the request.
        key: Key,
        /// The request.
        request: Request,
    },
    /// An acknowledgement or reset from a caller.
    Acknowledgement {
        /// Flow of the message.
        key: Key,
        /// Acknowledgement or reset.
        kind: Kind,
        /// Message ID of the balancer's message that it refers to.
        message_id: u16,
    },
    /// A message from an upstream.
    Response {
        /// Source address of the datagram.
        source: SocketAddr,
        /// The message.
        response: Response,
    },
    /// A handover message from another balancer.
    Peer {
        /// Balancer that sent it.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// Runs timers; sent every few milliseconds.
    Tick,
}

/// An output of the balancer's state machine, to be carried out by the code that calls
/// [`Core::handle`](crate::balancer::Core::handle).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message to a caller.
    Reply {
        /// Address of the fabric socket to which the datagram is sent.
        fabric: SocketAddr,
        /// Flow of the message.
        key: Key,
        /// The message.
        reply: Reply,
    },
    /// Send a request to an upstream.
    Dispatch {
        /// Upstream that receives the request.
        upstream: UpstreamId,
        /// Address of the upstream.
        address: SocketAddr,
        /// Name of the service, sent as Uri-Host.
        service: Arc<str>,
        /// Token of the dispatch.
        token: Token,
        /// Message ID of the dispatch.
        message_id: u16,
        /// Time from which the upstream must not run the request, on the balancer's clock.
        deadline: Duration,
        /// The encoded message of the caller.
        bytes: Vec<u8>,
    },
    /// Cancel a dispatch with a reset message.
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
    /// Log and count an event.
    Log(LogEvent),
}

/// How to route a datagram from the fabric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteDecision {
    /// Decode it and pass it to [`Core::handle`](crate::balancer::Core::handle).
    Local,
    /// Forward it to the balancer that owns its flow.
    Forward {
        /// The balancer.
        to: VmId,
        /// Address of its peer socket.
        address: SocketAddr,
    },
    /// Drop it: no route has its destination address.
    UnknownService,
    /// Drop it: no balancer owns its flow.
    NoOwner,
}

/// An event that is logged and counted in the metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogEvent {
    /// A flow without an upstream was assigned one.
    Opened {
        /// The flow.
        key: Key,
        /// Its upstream.
        upstream: UpstreamId,
        /// Whether the upstream differs from the default of the pool's table.
        exception: bool,
    },
    /// A flow was assigned another upstream because its own is down or removed.
    Replaced {
        /// The flow.
        key: Key,
        /// Its previous upstream.
        from: UpstreamId,
        /// Its new upstream.
        to: UpstreamId,
    },
    /// A flow was closed after the idle timeout, or evicted to make room for another one.
    Closed {
        /// The flow.
        key: Key,
    },
    /// This balancer took over a flow from its previous owner.
    Claimed {
        /// The flow.
        key: Key,
        /// Previous owner.
        from: VmId,
    },
    /// This balancer handed over a flow to another one.
    Granted {
        /// The flow.
        key: Key,
        /// New owner.
        to: VmId,
    },
    /// A flow was quarantined because a previous owner did not hand it over: until the end of the quarantine its
    /// non-idempotent requests are answered with "outcome unknown".
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
    /// A request will be retried.
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
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
    /// An upstream refused a request because it is draining or no longer belongs to the service.
    Draining {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A message from an upstream matched no dispatch.
    UnmatchedResponse {
        /// Source address of the message.
        source: SocketAddr,
    },
    /// A datagram was dropped without a response.
    Dropped {
        /// Flow of the datagram.
        key: Key,
        /// Why it was dropped.
        reason: DropReason,
    },
    /// A balancer has completed the handover of all flows that this one now owns.
    Completed {
        /// Previous owner.
        from: VmId,
    },
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No upstream can take the flow.
    NoUpstream,
    /// The dispatcher refused it: the queue is full or the wait would be too long.
    Admission,
    /// The upstream refused it.
    Upstream,
    /// Its deadline passed before it was dispatched.
    Deadline,
}

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownReason {
    /// Its deadline passed after it was dispatched.
    Deadline,
    /// The flow is in quarantine.
    Quarantine,
    /// This balancer does not hold the fence, because it has not heard from a majority of its zone, or has lost it
    /// since the request arrived.
    Fence,
    /// This balancer acts for the flow's home zone, which may still be alive.
    ActingOwner,
    /// It ran, but the response is no longer cached.
    Evicted,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// No route has its destination address.
    UnknownService,
    /// The flow belongs to another balancer.
    NotOwner,
    /// The upstream of the flow is not in this balancer's tables yet.
    UnknownUpstream,
    /// A bounded table or queue is full.
    Full,
}
