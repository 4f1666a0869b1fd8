//! Errors of decoding and encoding the traffic of callers.

use derive_more::{Display, Error};

/// Result of decoding or encoding a datagram.
pub type Result<T> = std::result::Result<T, Error>;

/// A datagram that cannot be decoded or encoded.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("{code}")]
pub struct Error {
    code: ErrorCode,
}

/// Part of a datagram that an error concerns; errors are counted by it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Category {
    /// The PROXY protocol header that the fabric adds.
    #[display("envelope")]
    ProxyHeader,
    /// The CoAP message of the caller.
    #[display("message")]
    Message,
}

#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum ErrorCode {
    #[display("the PROXY protocol header is missing or malformed")]
    Header,
    #[display("the PROXY protocol header needs two IP addresses of the same family")]
    Addresses,
    #[display("the CoAP message is malformed")]
    Message,
    #[display("the CoAP token is longer than 8 bytes")]
    Token,
    #[display("the CoAP message is not a request, a ping, an acknowledgement or a reset")]
    Class,
    #[display("the CoAP message cannot be encoded")]
    Encoding,
}

impl Error {
    /// Returns the part of the datagram that the error concerns.
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
