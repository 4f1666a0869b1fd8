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
    #[display("the object has another version")]
    Version,
    #[display("no usable answer from the platform: {_0}")]
    Transport(reqwest::Error),
    #[display("the platform refused the call with status {_0}")]
    Status(u16),
}

impl Error {
    /// Returns what can be done about the error.
    pub fn category(&self) -> Category {
        match self.code {
            Code::Version => Category::Conflict,
            Code::Transport(_) => Category::Unknown,
            Code::Status(status) if is_transient(status) => Category::Unknown,
            Code::Status(_) => Category::Refused,
        }
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
