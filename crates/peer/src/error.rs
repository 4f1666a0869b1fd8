//! Errors of decoding and encoding messages between balancers.

use derive_more::{Display, Error};

/// Result of decoding or encoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// A message that cannot be decoded or encoded.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("{code}")]
pub struct Error {
    code: ErrorCode,
}

#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum ErrorCode {
    #[display("the datagram is truncated")]
    Truncated,
    #[display("the datagram has an unknown version")]
    Version,
    #[display("the datagram has an unknown kind")]
    Kind,
    #[display("the CBOR payload is malformed")]
    Cbor,
    #[display("the message cannot be encoded")]
    Encoding,
}

impl From<ErrorCode> for Error {
    fn from(code: ErrorCode) -> Error {
        Error { code }
    }
}
