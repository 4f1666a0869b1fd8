//! Errors of the platform side.

use derive_more::{Display, Error};

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// A call to the platform that failed or whose effect is not known.
#[derive(Debug, Display, Error)]
#[display("{code}")]
pub struct Error {
    code: Code,
}

/// What the caller of the platform can do about an error.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Category {
    /// Somebody else has changed the object: read it again.
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
pub(crate) enum Code {
    #[display("no usable answer from the platform: {}", cause(_0))]
    Transport(reqwest::Error),
    #[display("{}", refusal(*_0))]
    Status(u16),
    #[display("the platform's answer cannot be read: {_0}")]
    Body(serde_json::Error),
}

impl Error {
    /// Returns the status of an answer that is no success.
    pub fn status(&self) -> Option<u16> {
        match self.code {
            Code::Status(status) => Some(status),
            Code::Transport(_) | Code::Body(_) => None,
        }
    }

    /// Returns what can be done about the error.
    pub fn category(&self) -> Category {
        match self.code {
            Code::Status(PRECONDITION_FAILED) => Category::Conflict,
            Code::Transport(_) | Code::Body(_) => Category::Unknown,
            Code::Status(status) if is_transient(status) => Category::Unknown,
            Code::Status(_) => Category::Refused,
        }
    }
}

/// Status of a conditional write that found another version.
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
        PRECONDITION_FAILED => "the object has another version".to_owned(),
        status => format!("the platform refused the call with status {status}"),
    }
}

/// Statuses of a platform that is down or overloaded; a gateway may send them after the write has taken effect.
fn is_transient(status: u16) -> bool {
    status >= 500 || [408, 429].contains(&status)
}

impl From<Code> for Error {
    fn from(code: Code) -> Error {
        Error { code }
    }
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Error {
        Code::Transport(error).into()
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Error {
        Code::Body(error).into()
    }
}
