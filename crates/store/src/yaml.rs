//! YAML values with their locations, so that a check can continue after the first invalid value.

use {
    crate::finding::{Code, Finding},
    serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor},
    serde_saphyr::{Budget, Location, Options, Spanned},
    std::fmt,
};

/// Maximum nesting depth of a file; a row of a pool is at depth 5.
const MAX_DEPTH: usize = 32;

/// Maximum number of values in a file: ten times 35,000 upstreams with 11 values each.
const MAX_NODES: usize = 4_000_000;

/// A value of a YAML file.
#[derive(Clone, Debug)]
pub(crate) enum Node {
    Null,
    Bool(bool),
    Integer(i128),
    Float,
    Text(String),
    Sequence(Vec<Spanned<Node>>),
    Mapping(Vec<(Spanned<String>, Spanned<Node>)>),
}

struct NodeVisitor;

impl Node {
    pub(crate) fn type_name(&self) -> &'static str {
        match self {
            Node::Null => "nothing",
            Node::Bool(_) => "a boolean",
            Node::Integer(_) => "an integer",
            Node::Float => "a fraction",
            Node::Text(_) => "text",
            Node::Sequence(_) => "a list",
            Node::Mapping(_) => "a mapping",
        }
    }
}

/// Parses a YAML file; `file` is its name in findings.
pub(crate) fn from_slice(file: &str, bytes: &[u8]) -> Result<Spanned<Node>, Finding> {
    let text = str::from_utf8(bytes)
        .map_err(|error| encoding_finding(file, bytes, error.valid_up_to()))?;
    let budget = Budget {
        max_depth: MAX_DEPTH,
        max_events: 2 * MAX_NODES,
        max_nodes: MAX_NODES,
        ..Budget::default()
    };
    let options = Options {
        budget: Some(budget),
        strict_booleans: true,
        with_snippet: false,
        ..Options::default()
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| syntax_finding(file, &error))
}

fn encoding_finding(file: &str, bytes: &[u8], valid: usize) -> Finding {
    let before = &bytes[..valid];
    let start = before.iter().rposition(|&byte| byte == b'\n');
    let line = before.iter().filter(|&&byte| byte == b'\n').count() + 1;
    let column = String::from_utf8_lossy(&before[start.map_or(0, |at| at + 1)..]);
    Finding {
        file: file.to_owned(),
        line: line as u64,
        column: column.chars().count() as u64 + 1,
        code: Code::Syntax,
        message: "the file is not UTF-8".to_owned(),
    }
}

fn syntax_finding(file: &str, error: &serde_saphyr::Error) -> Finding {
    let location = error.location().unwrap_or(Location::UNKNOWN);
    let text = error.to_string();
    let first = text.lines().next().unwrap_or_default();
    let first = first
        .rsplit_once(" at line ")
        .map_or(first, |(reason, _)| reason);
    Finding {
        file: file.to_owned(),
        line: location.line(),
        column: location.column(),
        code: Code::Syntax,
        message: first.to_owned(),
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Node, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Integer(value.into()))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Node, E> {
        Ok(Node::Float)
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Text(value.to_owned()))
    }

    fn visit_string<E>(self, value: String) -> Result<Node, E> {
        Ok(Node::Text(value))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Node::Sequence(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Mapping(entries))
    }
}
