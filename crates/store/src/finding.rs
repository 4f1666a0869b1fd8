//! Findings: the problems that the check of the tables reports.

use {
    derive_more::Display,
    serde::{Serialize, Serializer},
    std::fmt,
};

/// Code of a finding. Codes are stable; `docs/configuration.md` lists them.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Code {
    /// The file is not readable.
    #[display("T001")]
    Unreadable,
    /// The file is not valid YAML.
    #[display("T002")]
    Syntax,
    /// A key is unknown.
    #[display("T003")]
    UnknownKey,
    /// A required key is missing.
    #[display("T004")]
    MissingKey,
    /// A value does not have the type of its key.
    #[display("T005")]
    WrongType,
    /// An address is not a unicast IPv4 address with a port.
    #[display("T006")]
    Address,
    /// A name has characters that a store key cannot hold.
    #[display("T007")]
    Name,
    /// Two rows have the same name.
    #[display("T008")]
    DuplicateName,
    /// Two rows have the same address.
    #[display("T009")]
    DuplicateAddress,
    /// A route names a pool that does not exist.
    #[display("T010")]
    DanglingPool,
    /// An upstream address serves more than one service.
    #[display("T011")]
    TwoServices,
    /// A number or duration is out of range.
    #[display("T012")]
    Limit,
    /// The object is larger than the store accepts.
    #[display("T013")]
    ObjectSize,
    /// A pool has no upstream that takes flows, or too many upstreams.
    #[display("T014")]
    PoolSize,
    /// An address moves from one service to another in one edit.
    #[display("T015")]
    Move,
    /// The settings of a balancer are invalid.
    #[display("T016")]
    Settings,
    /// The drain of a balancer would cut off requests of a route.
    #[display("T017")]
    DrainLimit,
}

/// A finding with its location in a file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Finding {
    /// File name as given by the operator.
    pub file: String,
    /// Line, from 1; 0 means the whole file.
    pub line: u64,
    /// Column, from 1; 0 means the whole file.
    pub column: u64,
    /// Code of the finding.
    pub code: Code,
    /// Message for the operator, one sentence.
    pub message: String,
}

impl Finding {
    /// Creates a finding about a file as a whole.
    pub fn for_file(file: &str, code: Code, message: impl Into<String>) -> Finding {
        Finding {
            file: file.to_owned(),
            line: 0,
            column: 0,
            code,
            message: message.into(),
        }
    }
}

impl Serialize for Code {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding {
            file,
            line,
            column,
            code,
            message,
        } = self;
        if *line == 0 {
            return write!(formatter, "{file}: {code}: {message}");
        }
        write!(formatter, "{file}:{line}:{column}: {code}: {message}")
    }
}
