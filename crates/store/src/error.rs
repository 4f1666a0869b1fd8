//! Errors of calls to the platform.

use derive_more::{Display, Error};

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to the platform; a failed write may still have taken effect, see [`Error::category`].
#[derive(Debug, Display, Error)]
#[display("{code}")]
pub struct Error {
    code: ErrorCode,
}

/// How to react to an error.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Category {
    /// Another writer has changed the object: read it again.
    #[display("conflict")]
    Conflict,
    /// The call may or may not have taken effect: read the object back.
    #[display("unknown")]
    Unknown,
    /// The platform refused the call.
    #[display("refused")]
    Refused,
}

#[derive(Debug, Display)]
pub(crate) enum ErrorCode {
    #[display("no usable response from the platform: {}", cause(_0))]
    Transport(reqwest::Error),
    #[display("{}", refusal(*_0))]
    Status(u16),
    #[display("the platform's response cannot be decoded: {_0}")]
    Body(serde_json::Error),
}

impl Error {
    /// Returns the HTTP status if the platform responded with one that is not a success.
    pub fn status(&self) -> Option<u16> {
        match self.code {
            ErrorCode::Status(status) => Some(status),
            ErrorCode::Transport(_) | ErrorCode::Body(_) => None,
        }
    }

    /// Returns how to react to the error.
    pub fn category(&self) -> Category {
        match self.code {
            ErrorCode::Status(PRECONDITION_FAILED) => Category::Conflict,
            ErrorCode::Transport(_) | ErrorCode::Body(_) => Category::Unknown,
            ErrorCode::Status(status) if is_transient(status) => Category::Unknown,
            ErrorCode::Status(_) => Category::Refused,
        }
    }
}

/// HTTP status of a conditional write to an object whose version has changed.
const PRECONDITION_FAILED: u16 = 412;

/// Returns the innermost cause, such as a refused connection; the outer ones only name the URL.
fn cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

fn refusal(status: u16) -> String {
    match status {
        PRECONDITION_FAILED => "the version of the object has changed since it was read".to_owned(),
        status => format!("the platform refused the call with status {status}"),
    }
}

/// Returns whether the platform may be down or overloaded. A gateway may send such a status although the write took
/// effect.
fn is_transient(status: u16) -> bool {
    status >= 500 || [408, 429].contains(&status)
}

impl From<ErrorCode> for Error {
    fn from(code: ErrorCode) -> Error {
        Error { code }
    }
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Error {
        ErrorCode::Transport(error).into()
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Error {
        ErrorCode::Body(error).into()
    }
}
