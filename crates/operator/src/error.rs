//! Errors of requests to the administration API.

use derive_more::{Display, Error};

/// Result of a request to the administration API.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed request to the administration API.
#[derive(Debug, Display, Error)]
#[display("{code}")]
pub struct Error {
    code: ErrorCode,
}

/// Class of an error.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Category {
    /// No valid response: the balancer is stopped, the network is down, or another server listens at the address.
    #[display("unreachable")]
    Unreachable,
    /// The balancer refused the request, for example because the token was missing.
    #[display("refused")]
    Refused,
}

#[derive(Debug, Display)]
enum ErrorCode {
    #[display("no valid response: {}", transport_reason(_0))]
    Transport(reqwest::Error),
    #[display("the balancer refused the request with status {_0}")]
    Status(u16),
}

impl Error {
    /// Returns the class of the error.
    pub fn category(&self) -> Category {
        match self.code {
            ErrorCode::Transport(_) => Category::Unreachable,
            ErrorCode::Status(_) => Category::Refused,
        }
    }

    pub(crate) fn from_status(status: u16) -> Error {
        let code = ErrorCode::Status(status);
        Error { code }
    }
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Error {
        let code = ErrorCode::Transport(error);
        Error { code }
    }
}

fn transport_reason(error: &reqwest::Error) -> &'static str {
    match error {
        error if error.is_timeout() => "timeout",
        error if error.is_connect() => "connection refused",
        error if error.is_decode() => "the body is not JSON of the administration API",
        _ => "connection lost",
    }
}
