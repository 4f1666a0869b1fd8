//! Requests and responses, independent of their encoding, and the life cycle of a request.
//!
//! The codec crates convert CoAP messages from and to these types. Each stage of an [`Exchange`] is a type of its own,
//! so that a request cannot be answered twice or dispatched after its response.

use {
    crate::{
        config::Route,
        dispatch::{Job, JobId},
        flow::Key,
        id::UpstreamId,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// A token of RFC 7252, at most 8 bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Token {
    bytes: [u8; Token::MAX_BYTES],
    length: u8,
}

/// The type of a message in RFC 7252.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Retransmitted until it is acknowledged.
    Confirmable,
    /// Sent once.
    NonConfirmable,
    /// Acknowledges a confirmable message.
    Acknowledgement,
    /// Rejects a message that the sender cannot process.
    Reset,
}

/// Whether a request is idempotent, so that running it twice has the same effect as running it once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Effect {
    /// GET, PUT, DELETE, FETCH or iPATCH.
    Idempotent,
    /// POST or PATCH.
    NonIdempotent,
}

/// A request from a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Message type.
    pub kind: Kind,
    /// Message ID that the caller chose.
    pub message_id: u16,
    /// Token that the caller chose.
    pub token: Token,
    /// Whether the request is idempotent.
    pub effect: Effect,
    /// Hash of the method and the first path segment, for the service time estimate.
    pub class: u64,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// What a response says about a request. The response to a request that ran is called its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran, and the response is its answer.
    Answered,
    /// It did not run (5.03).
    Refused,
    /// It has arrived, and a separate response follows (an empty ACK, matched by Message ID since it carries no token).
    Accepted,
    /// The upstream no longer belongs to the service or is draining, and did not run it.
    Draining,
}

/// A message from an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Message type.
    pub kind: Kind,
    /// Message ID of the request in an acknowledgement, otherwise one that the upstream chose.
    pub message_id: u16,
    /// Token of the dispatched request.
    pub token: Token,
    /// What the message says about the request.
    pub outcome: Outcome,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// Content of a message to a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// The encoded answer of the upstream, to be sent with the caller's own token.
    Answer(Vec<u8>),
    /// The request did not run (5.03 with Max-Age in seconds).
    NotRun {
        /// Time after which a retry is useful, in seconds.
        max_age: u32,
    },
    /// The outcome is unknown: the request may have run (5.04).
    Unknown,
    /// An empty message: the request has arrived, and a separate response follows.
    Empty,
}

/// A message to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Message type.
    pub kind: Kind,
    /// Message ID of the request in an acknowledgement, otherwise one that this balancer chose.
    pub message_id: u16,
    /// Token that the caller chose.
    pub token: Token,
    /// Content.
    pub body: Body,
}

impl Token {
    /// Longest token, in bytes.
    pub const MAX_BYTES: usize = 8;

    /// Returns the token, or `None` if it is longer than 8 bytes.
    pub fn from_slice(slice: &[u8]) -> Option<Token> {
        if slice.len() > Token::MAX_BYTES {
            return None;
        }
        let mut bytes = [0; Token::MAX_BYTES];
        bytes[..slice.len()].copy_from_slice(slice);
        Some(Token {
            bytes,
            length: slice.len() as u8,
        })
    }

    /// Returns the token's bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[..usize::from(self.length)]
    }
}

impl From<u64> for Token {
    fn from(value: u64) -> Token {
        Token {
            bytes: value.to_be_bytes(),
            length: Token::MAX_BYTES as u8,
        }
    }
}

impl Token {
    /// Returns the token as an integer, or `None` if it is shorter than 8 bytes.
    pub fn value(&self) -> Option<u64> {
        let is_whole = usize::from(self.length) == Token::MAX_BYTES;
        is_whole.then(|| u64::from_be_bytes(self.bytes))
    }
}

impl Body {
    /// Returns the number of bytes that a cached body occupies, besides its fixed size.
    pub fn len(&self) -> usize {
        match self {
            Body::Answer(bytes) => bytes.len(),
            _ => 0,
        }
    }

    /// Returns whether the body holds no bytes of an upstream's answer.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Time after which a confirmable request without a response gets an empty ACK. It is below ACK_TIMEOUT (2 s), so that
/// the caller does not retransmit.
pub const EMPTY_ACK_DELAY: Duration = Duration::from_millis(1_500);

/// ACK_TIMEOUT of RFC 7252, doubled with each retransmission.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// MAX_RETRANSMIT of RFC 7252.
pub const MAX_RETRANSMIT: u32 = 4;

/// A request in one stage of its life cycle.
#[derive(Clone, Debug)]
pub struct Exchange<S> {
    /// Identifier of the job of the current or the next dispatch.
    pub id: JobId,
    /// Fabric socket that delivered the request.
    pub fabric: SocketAddr,
    /// Flow of the request.
    pub key: Key,
    /// Route of the request.
    pub route: Arc<Route>,
    /// The request.
    pub request: Request,
    /// Time at which the request arrived.
    pub arrived: Duration,
    /// Fence term of this balancer when the request arrived.
    pub term: u32,
    /// Whether an empty ACK has been sent to the caller.
    pub is_acknowledged: bool,
    /// State of the current stage.
    pub stage: S,
}

/// Stage of a request that waits to be submitted to the dispatcher, for the first time or again.
#[derive(Clone, Debug)]
pub struct Received {
    /// Upstream that refused the request, if it has to be sent there again.
    pub upstream: Option<UpstreamId>,
    /// Earliest time at which it is submitted.
    pub not_before: Duration,
}

/// Stage of a request that was submitted to the dispatcher.
#[derive(Clone, Debug)]
pub struct Queued {
    /// Upstream to which it will be sent.
    pub upstream: UpstreamId,
}

/// Stage of a request that was sent to its upstream.
#[derive(Clone, Debug)]
pub struct Dispatched {
    /// Upstream to which it was sent.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Message ID of the dispatch.
    pub message_id: u16,
    /// Time of the next retransmission to the upstream, if the request is idempotent and not yet acknowledged.
    pub retransmit_at: Option<Duration>,
}

/// Stage of an answered request. A separate response is retransmitted until the caller acknowledges it.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The response.
    pub reply: Reply,
    /// Retransmissions so far.
    pub retransmissions: u32,
    /// Time of the next retransmission.
    pub retransmit_at: Duration,
}

impl<S> Exchange<S> {
    /// Returns the time by which the request must be answered.
    pub fn deadline(&self) -> Duration {
        self.arrived + self.route.deadline
    }

    /// Returns the time at which an empty ACK is due, or `None` if the request needs none.
    pub fn empty_ack_at(&self) -> Option<Duration> {
        let is_due = self.request.kind == Kind::Confirmable && !self.is_acknowledged;
        is_due.then(|| self.arrived + EMPTY_ACK_DELAY)
    }

    /// Marks the request as acknowledged and returns the empty ACK.
    pub fn acknowledge(&mut self) -> Reply {
        self.is_acknowledged = true;
        Reply {
            kind: Kind::Acknowledgement,
            message_id: self.request.message_id,
            token: Token::default(),
            body: Body::Empty,
        }
    }

    /// Answers the request. `message_id` is the Message ID of the response unless it is piggybacked on the ACK.
    pub fn finish(self, now: Duration, body: Body, message_id: u16) -> Exchange<Finished> {
        let (kind, message_id) = match self.request.kind {
            Kind::Confirmable if self.is_acknowledged => (Kind::Confirmable, message_id),
            Kind::Confirmable => (Kind::Acknowledgement, self.request.message_id),
            _ => (Kind::NonConfirmable, message_id),
        };
        let reply = Reply {
            kind,
            message_id,
            token: self.request.token,
            body,
        };
        self.with_stage(Finished {
            reply,
            retransmissions: 0,
            retransmit_at: now + ACK_TIMEOUT,
        })
    }

    fn with_stage<T>(self, stage: T) -> Exchange<T> {
        Exchange {
            id: self.id,
            fabric: self.fabric,
            key: self.key,
            route: self.route,
            request: self.request,
            arrived: self.arrived,
            term: self.term,
            is_acknowledged: self.is_acknowledged,
            stage,
        }
    }
}

impl Exchange<Received> {
    /// Moves the request to the stage [`Queued`], under a new identifier.
    pub fn queue(mut self, id: JobId, upstream: UpstreamId) -> Exchange<Queued> {
        self.id = id;
        self.with_stage(Queued { upstream })
    }
}

impl Exchange<Queued> {
    /// Returns the job for the dispatcher. `established` tells whether the flow has been answered before.
    pub fn job(&self, established: bool) -> Job {
        Job {
            id: self.id,
            flow: self.key.hash(),
            upstream: self.stage.upstream,
            class: self.request.class,
            established,
            arrived: self.arrived,
            deadline: self.deadline(),
            effect: self.request.effect,
        }
    }

    /// Moves the request to the stage [`Dispatched`].
    pub fn dispatch(
        self,
        now: Duration,
        address: SocketAddr,
        message_id: u16,
    ) -> Exchange<Dispatched> {
        let is_idempotent = self.request.effect == Effect::Idempotent;
        let upstream = self.stage.upstream;
        self.with_stage(Dispatched {
            upstream,
            address,
            message_id,
            retransmit_at: is_idempotent.then(|| now + ACK_TIMEOUT),
        })
    }
}

impl Exchange<Queued> {
    /// Moves the request back to the stage [`Received`] if its upstream was removed or is draining.
    pub fn requeue(self, not_before: Duration) -> Exchange<Received> {
        self.with_stage(Received {
            upstream: None,
            not_before,
        })
    }
}

impl Exchange<Dispatched> {
    /// Moves the request back to the stage [`Received`] after a refusal, which means that it did not run.
    pub fn requeue_after_refusal(
        self,
        upstream: Option<UpstreamId>,
        not_before: Duration,
    ) -> Exchange<Received> {
        self.with_stage(Received {
            upstream,
            not_before,
        })
    }
}

impl Exchange<Finished> {
    /// Returns whether the response is retransmitted until the caller acknowledges it.
    pub fn is_separate(&self) -> bool {
        self.stage.reply.kind == Kind::Confirmable
    }

    /// Returns the response to retransmit, or `None` after the last retransmission.
    pub fn retransmit(&mut self, now: Duration) -> Option<Reply> {
        if self.stage.retransmissions == MAX_RETRANSMIT {
            return None;
        }
        self.stage.retransmissions += 1;
        self.stage.retransmit_at = now + ACK_TIMEOUT * 2u32.pow(self.stage.retransmissions);
        Some(self.stage.reply.clone())
    }
}
