//! Requests and answers as the decisions see them, and the life cycle of a request.
//!
//! The codec packages convert CoAP messages from and to these types, so that the decisions stay independent of the
//! encoding. The stages of [`Exchange`] are types, so that a request cannot be answered twice or dispatched after its
//! answer.

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
    /// Retransmitted until acknowledged.
    Confirmable,
    /// Sent once.
    NonConfirmable,
    /// Acknowledges a confirmable message.
    Acknowledgement,
    /// Rejects a message.
    Reset,
}

/// Whether running a request twice has the effect of running it once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Effect {
    /// GET, PUT, DELETE, FETCH or iPATCH.
    Idempotent,
    /// POST or PATCH.
    NonIdempotent,
}

/// A request of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Message type.
    pub kind: Kind,
    /// Message ID that the caller chose.
    pub message_id: u16,
    /// Token that the caller chose.
    pub token: Token,
    /// Whether a second run is harmless.
    pub effect: Effect,
    /// Hash of the method and the first path segment, for the service time estimate.
    pub class: u64,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// What an upstream says about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran; this is the answer.
    Answered,
    /// It did not run (5.03).
    Refused,
    /// It has arrived and the response follows (an empty ACK, matched by Message ID since it carries no token).
    Accepted,
    /// The upstream no longer belongs to the service or is draining, and did not run it.
    Draining,
}

/// A message from an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Message type.
    pub kind: Kind,
    /// Message ID that the upstream chose, or that of the request if it is an acknowledgement.
    pub message_id: u16,
    /// Token of the dispatch.
    pub token: Token,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// What a caller is told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// The upstream's answer, to be sent with the caller's own token.
    Answer(Vec<u8>),
    /// The request did not run (5.03 with Max-Age in seconds).
    NotRun {
        /// Earliest useful time of another try, in seconds.
        max_age: u32,
    },
    /// The request may have run (5.04).
    Unknown,
    /// An empty message: the request has arrived, the answer follows.
    Empty,
}

/// A message to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Message type.
    pub kind: Kind,
    /// Message ID: the caller's in an acknowledgement, otherwise the owner's.
    pub message_id: u16,
    /// Token that the caller chose.
    pub token: Token,
    /// What the caller is told.
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
    /// Returns the value of a token that was made from one.
    pub fn value(&self) -> Option<u64> {
        let is_whole = usize::from(self.length) == Token::MAX_BYTES;
        is_whole.then(|| u64::from_be_bytes(self.bytes))
    }
}

impl Body {
    /// Returns the bytes that caching the body takes, besides the fixed size of its slot.
    pub fn len(&self) -> usize {
        match self {
            Body::Answer(bytes) => bytes.len(),
            _ => 0,
        }
    }

    /// Returns whether the body has no bytes of an upstream.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Time after which a confirmable request without a response gets an empty ACK; below ACK_TIMEOUT (2 s), so that the
/// caller does not retransmit.
pub const EMPTY_ACK_DELAY: Duration = Duration::from_millis(1_500);

/// ACK_TIMEOUT of RFC 7252, doubled with each retransmission.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// MAX_RETRANSMIT of RFC 7252.
pub const MAX_RETRANSMIT: u32 = 4;

/// A request in one stage of its life.
#[derive(Clone, Debug)]
pub struct Exchange<S> {
    /// Identifier of the present dispatch or of the next one.
    pub id: JobId,
    /// Fabric socket that delivered the request.
    pub fabric: SocketAddr,
    /// Flow of the request.
    pub key: Key,
    /// Route of the request.
    pub route: Arc<Route>,
    /// The request.
    pub request: Request,
    /// Time of arrival.
    pub arrived: Duration,
    /// Fence term in which the request arrived.
    pub term: u32,
    /// Whether the caller has had an empty ACK.
    pub is_acknowledged: bool,
    /// What belongs to the stage alone.
    pub stage: S,
}

/// The request waits for its first submission, or for another one after a refusal.
#[derive(Clone, Debug)]
pub struct Received {
    /// Upstream that served the flow before the refusal, if it should again.
    pub upstream: Option<UpstreamId>,
    /// Earliest time of the submission.
    pub not_before: Duration,
}

/// The dispatcher has the request.
#[derive(Clone, Debug)]
pub struct Queued {
    /// Upstream that will get it.
    pub upstream: UpstreamId,
}

/// The upstream has the request, as far as is known.
#[derive(Clone, Debug)]
pub struct Dispatched {
    /// Upstream that got it.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Message ID of the dispatch.
    pub message_id: u16,
    /// Time of the next retransmission to the upstream, for idempotent requests without a sign of arrival.
    pub resend_at: Option<Duration>,
}

/// The response is a separate message that the caller has not acknowledged.
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
    /// Returns the time at which the request must have been answered.
    pub fn deadline(&self) -> Duration {
        self.arrived + self.route.deadline
    }

    /// Returns the time of the empty ACK, or `None` if none is due any more.
    pub fn empty_ack_at(&self) -> Option<Duration> {
        let is_due = self.request.kind == Kind::Confirmable && !self.is_acknowledged;
        is_due.then(|| self.arrived + EMPTY_ACK_DELAY)
    }

    /// Acknowledges the request without an answer.
    pub fn acknowledge(&mut self) -> Reply {
        self.is_acknowledged = true;
        Reply {
            kind: Kind::Acknowledgement,
            message_id: self.request.message_id,
            token: Token::default(),
            body: Body::Empty,
        }
    }

    /// Ends the life of the request; `message_id` identifies the response if it is not piggybacked.
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
    /// Hands the request to the dispatcher under a new identifier.
    pub fn queue(mut self, id: JobId, upstream: UpstreamId) -> Exchange<Queued> {
        self.id = id;
        self.with_stage(Queued { upstream })
    }
}

impl Exchange<Queued> {
    /// Returns what the dispatcher needs to know.
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

    /// Records the dispatch.
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
            resend_at: is_idempotent.then(|| now + ACK_TIMEOUT),
        })
    }
}

impl Exchange<Queued> {
    /// Returns to the first stage, since the upstream has been removed.
    pub fn requeue(self, not_before: Duration) -> Exchange<Received> {
        self.with_stage(Received {
            upstream: None,
            not_before,
        })
    }
}

impl Exchange<Dispatched> {
    /// Returns to the first stage after a refusal, since the request certainly did not run.
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
    /// Returns whether the response is repeated until the caller acknowledges it.
    pub fn is_separate(&self) -> bool {
        self.stage.reply.kind == Kind::Confirmable
    }

    /// Returns the response for another transmission, or `None` after the last.
    pub fn retransmit(&mut self, now: Duration) -> Option<Reply> {
        if self.stage.retransmissions == MAX_RETRANSMIT {
            return None;
        }
        self.stage.retransmissions += 1;
        self.stage.retransmit_at = now + ACK_TIMEOUT * 2u32.pow(self.stage.retransmissions);
        Some(self.stage.reply.clone())
    }
}
