//! Errors of the peer side.

use derive_more::{Display, Error};

/// Result of decoding or encoding a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// A frame that cannot be decoded or encoded.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("{code}")]
pub struct Error {
    code: Code,
}

#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Code {
    #[display("the frame is malformed")]
    Frame,
    #[display("the frame has an unknown version")]
    Version,
    #[display("the frame cannot be encoded")]
    Encoding,
}

impl From<Code> for Error {
    fn from(code: Code) -> Error {
        Error { code }
    }
}
