//! Findings of the check of the tables.

use {
    derive_more::Display,
    serde::{Serialize, Serializer},
    std::fmt,
};

/// What is wrong with a row of a table. The number is stable; `docs/configuration.md` lists all of them.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Code {
    /// The file is not readable.
    #[display("T001")]
    Unreadable,
    /// The file is not YAML.
    #[display("T002")]
    Syntax,
    /// A key that no table has.
    #[display("T003")]
    UnknownKey,
    /// A required key is missing.
    #[display("T004")]
    MissingKey,
    /// A value has another type than the key.
    #[display("T005")]
    WrongType,
    /// An address is not an IPv4 address and port that a process can have.
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
    /// A limit is zero or absurd.
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
    /// The settings of a balancer are not usable.
    #[display("T016")]
    Settings,
    /// A planned stop of a balancer would cut requests of a route.
    #[display("T017")]
    DrainLimit,
}

/// One finding with its place in a file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Finding {
    /// File as given by the operator.
    pub file: String,
    /// Line, from 1; 0 means the whole file.
    pub line: u64,
    /// Column, from 1; 0 means the whole file.
    pub column: u64,
    /// Kind of the finding.
    pub code: Code,
    /// One sentence for the operator.
    pub message: String,
}

impl Finding {
    /// Returns a finding about a file as a whole.
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
