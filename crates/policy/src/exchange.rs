//! Requests and answers as the decisions see them.
//!
//! The codec packages convert CoAP messages from and to these types, so that the decisions stay independent of the
//! encoding.

use serde::{Deserialize, Serialize};

/// A token of RFC 7252, at most 8 bytes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
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
