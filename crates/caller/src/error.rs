//! Errors of the caller side.

use derive_more::{Display, Error};

/// Result of decoding or encoding a datagram.
pub type Result<T> = std::result::Result<T, Error>;

/// A datagram that cannot be decoded or encoded.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("{code}")]
pub struct Error {
    code: ErrorCode,
}

/// Whose fault an error is, for counting.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Category {
    /// The header that the fabric adds is malformed.
    #[display("envelope")]
    ProxyHeader,
    /// The caller's message is malformed.
    #[display("message")]
    Message,
}

#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum ErrorCode {
    #[display("the PROXY protocol header is missing or malformed")]
    Header,
    #[display("the PROXY protocol header does not carry two IP addresses")]
    Addresses,
    #[display("the CoAP message is malformed")]
    Message,
    #[display("the CoAP token is longer than 8 bytes")]
    Token,
    #[display("the CoAP message is neither a request nor an acknowledgement")]
    Class,
    #[display("the CoAP message cannot be encoded")]
    Encoding,
}

impl Error {
    /// Returns whose fault the error is.
    pub fn category(&self) -> Category {
        match self.code {
            ErrorCode::Header | ErrorCode::Addresses => Category::ProxyHeader,
            ErrorCode::Message | ErrorCode::Token | ErrorCode::Class | ErrorCode::Encoding => {
                Category::Message
            }
        }
    }
}

impl From<ErrorCode> for Error {
    fn from(code: ErrorCode) -> Error {
        Error { code }
    }
}
