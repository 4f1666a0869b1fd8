//! Errors of decoding and encoding messages of upstreams.

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
    #[display("the CoAP message is malformed")]
    Message,
    #[display("the CoAP token is longer than 8 bytes")]
    Token,
    #[display("the CoAP message is not a response")]
    Class,
    #[display("the CoAP message cannot be encoded")]
    Encoding,
}

impl From<ErrorCode> for Error {
    fn from(code: ErrorCode) -> Error {
        Error { code }
    }
}
