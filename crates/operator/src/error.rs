//! Errors of the operator side.

use derive_more::{Display, Error};

/// Result of a call to a balancer.
pub type Result<T> = std::result::Result<T, Error>;

/// A call to a balancer that failed.
#[derive(Debug, Display, Error)]
#[display("{code}")]
pub struct Error {
    code: ErrorCode,
}

/// What an operator can do about an error.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Category {
    /// The balancer does not answer: it is stopped, or the network is down.
    #[display("unreachable")]
    Unreachable,
    /// The balancer refused the call, such as one without its token.
    #[display("refused")]
    Refused,
}

#[derive(Debug, Display)]
enum ErrorCode {
    #[display("no usable answer: {}", transport_reason(_0))]
    Transport(reqwest::Error),
    #[display("the balancer refused the call with status {_0}")]
    Status(u16),
}

impl Error {
    /// Returns what can be done about the error.
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
        error if error.is_decode() => "not the answer of a balancer",
        _ => "connection lost",
    }
}
