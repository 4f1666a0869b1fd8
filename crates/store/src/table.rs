//! Reads the two tables that operators edit, with the location of every value.
//!
//! Reading continues after an error: a row with an invalid value is kept without that value, so that one run of the
//! check reports all problems. See `docs/configuration.md`.

use {
    crate::{
        finding::{Code, Finding},
        yaml::{self, Node},
    },
    serde_saphyr::{Location, Spanned},
    std::{
        net::{SocketAddr, SocketAddrV4},
        time::Duration,
    },
};

/// Weight of an upstream whose row has none.
const DEFAULT_WEIGHT: i128 = 1;

/// A value with its location; `None` if it is missing or invalid, which is already reported as a finding.
pub(crate) type Value<T> = Option<Spanned<T>>;

/// A row of the table of routes.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    pub(crate) location: Location,
    pub(crate) name: Value<String>,
    pub(crate) address: Value<SocketAddr>,
    pub(crate) pool: Value<String>,
    pub(crate) deadline: Value<Duration>,
}

/// A row of the table of pools.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) location: Location,
    pub(crate) name: Value<String>,
    pub(crate) slots: Value<i128>,
    pub(crate) connections: Value<i128>,
    pub(crate) upstreams: Option<Vec<Upstream>>,
}

/// An upstream in a row of the table of pools.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) name: Value<String>,
    pub(crate) address: Value<SocketAddr>,
    pub(crate) zone: Value<String>,
    pub(crate) weight: Value<i128>,
    pub(crate) drain: Value<bool>,
}

/// The rows of a table that could be read, and the findings about the rest.
#[derive(Clone, Debug)]
pub struct Table<T> {
    pub(crate) file: String,
    pub(crate) rows: Option<Vec<T>>,
    pub(crate) findings: Vec<Finding>,
}

/// The routes of a file.
#[derive(Clone, Debug)]
pub struct Routes(pub(crate) Table<Route>);

/// The pools of a file.
#[derive(Clone, Debug)]
pub struct Pools(pub(crate) Table<Pool>);

impl Routes {
    /// Reads the table of routes; `file` is its name in findings.
    pub fn from_str(file: &str, text: &str) -> Routes {
        Routes::from_slice(file, text.as_bytes())
    }

    /// Reads the table of routes; `file` is its name in findings.
    pub fn from_slice(file: &str, bytes: &[u8]) -> Routes {
        Routes(read_table(file, bytes, "routes", read_route))
    }
}

impl Pools {
    /// Reads the table of pools; `file` is its name in findings.
    pub fn from_str(file: &str, text: &str) -> Pools {
        Pools::from_slice(file, text.as_bytes())
    }

    /// Reads the table of pools; `file` is its name in findings.
    pub fn from_slice(file: &str, bytes: &[u8]) -> Pools {
        Pools(read_table(file, bytes, "pools", read_pool))
    }
}

fn read_table<T>(
    file: &str,
    bytes: &[u8],
    key: &str,
    row: impl Fn(&mut TableReader, Spanned<Node>) -> Option<T>,
) -> Table<T> {
    let mut reader = TableReader {
        file: file.to_owned(),
        findings: Vec::new(),
    };
    let rows = match yaml::from_slice(file, bytes) {
        Ok(root) => reader.rows(root, key, row),
        Err(finding) => {
            reader.findings.push(finding);
            None
        }
    };
    Table {
        file: reader.file,
        rows,
        findings: reader.findings,
    }
}

fn read_route(reader: &mut TableReader, node: Spanned<Node>) -> Option<Route> {
    let mut row = reader.mapping(node, "a route")?;
    let route = Route {
        location: row.location,
        name: row.text(reader, "name"),
        address: row.address(reader),
        pool: row.text(reader, "pool"),
        deadline: row.duration(reader, "deadline"),
    };
    row.report_unknown_keys(reader);
    Some(route)
}

fn read_pool(reader: &mut TableReader, node: Spanned<Node>) -> Option<Pool> {
    let mut row = reader.mapping(node, "a pool")?;
    let name = row.text(reader, "name");
    let slots = row.integer(reader, "slots");
    let connections = row.integer(reader, "connections");
    let upstreams = row.take_required(reader, "upstreams");
    let upstreams = upstreams.and_then(|node| reader.list(node, "upstreams"));
    let upstreams = upstreams.map(|nodes| {
        let rows = nodes.into_iter();
        rows.filter_map(|node| read_upstream(reader, node))
            .collect()
    });
    let location = row.location;
    row.report_unknown_keys(reader);
    Some(Pool {
        location,
        name,
        slots,
        connections,
        upstreams,
    })
}

fn read_upstream(reader: &mut TableReader, node: Spanned<Node>) -> Option<Upstream> {
    let mut row = reader.mapping(node, "an upstream")?;
    let upstream = Upstream {
        name: row.text(reader, "name"),
        address: row.address(reader),
        zone: row.text(reader, "zone"),
        weight: row.integer_or(reader, "weight", DEFAULT_WEIGHT),
        drain: row.boolean_or(reader, "drain", false),
    };
    row.report_unknown_keys(reader);
    Some(upstream)
}

struct TableReader {
    file: String,
    findings: Vec<Finding>,
}

/// Reads the entries of a mapping; holds those that are not read yet.
struct RowReader {
    location: Location,
    what: &'static str,
    entries: Vec<(Spanned<String>, Spanned<Node>)>,
}

impl TableReader {
    fn report(&mut self, location: Location, code: Code, message: String) {
        self.findings.push(Finding {
            file: self.file.clone(),
            line: location.line(),
            column: location.column(),
            code,
            message,
        });
    }

    fn report_wrong_type(&mut self, node: &Spanned<Node>, what: &str, expected: &str) {
        let kind = node.value.type_name();
        let message = format!("{what} must be {expected}, not {kind}");
        self.report(node.referenced, Code::WrongType, message);
    }

    fn rows<T>(
        &mut self,
        root: Spanned<Node>,
        key: &str,
        row: impl Fn(&mut TableReader, Spanned<Node>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let mut table = self.mapping(root, "the file")?;
        let list = table.take_required(self, key);
        table.report_unknown_keys(self);
        let list = self.list(list?, key)?;
        let rows = list.into_iter();
        Some(rows.filter_map(|node| row(self, node)).collect())
    }

    fn mapping(&mut self, node: Spanned<Node>, what: &'static str) -> Option<RowReader> {
        let location = node.referenced;
        match node.value {
            Node::Mapping(entries) => Some(RowReader {
                location,
                what,
                entries,
            }),
            _ => {
                self.report_wrong_type(&node, what, "a mapping");
                None
            }
        }
    }

    fn list(&mut self, node: Spanned<Node>, key: &str) -> Option<Vec<Spanned<Node>>> {
        match node.value {
            Node::Sequence(items) => Some(items),
            _ => {
                self.report_wrong_type(&node, &format!("`{key}`"), "a list");
                None
            }
        }
    }
}

impl RowReader {
    fn take_optional(&mut self, key: &str) -> Option<Spanned<Node>> {
        let position = self.entries.iter().position(|(name, _)| name.value == key);
        position.map(|index| self.entries.swap_remove(index).1)
    }

    fn take_required(&mut self, reader: &mut TableReader, key: &str) -> Option<Spanned<Node>> {
        let node = self.take_optional(key);
        if node.is_none() {
            let message = format!("{} has no `{key}`", self.what);
            reader.report(self.location, Code::MissingKey, message);
        }
        node
    }

    fn text(&mut self, reader: &mut TableReader, key: &str) -> Value<String> {
        let node = self.take_required(reader, key)?;
        let text = match &node.value {
            Node::Text(text) => Some(text.clone()),
            _ => None,
        };
        expect_type(reader, &node, key, "text", text)
    }

    fn integer(&mut self, reader: &mut TableReader, key: &str) -> Value<i128> {
        let node = self.take_required(reader, key)?;
        expect_type(reader, &node, key, "an integer", node.value.integer())
    }

    fn integer_or(&mut self, reader: &mut TableReader, key: &str, default: i128) -> Value<i128> {
        let Some(node) = self.take_optional(key) else {
            return Some(Spanned::new(default, self.location, self.location));
        };
        expect_type(reader, &node, key, "an integer", node.value.integer())
    }

    fn boolean_or(&mut self, reader: &mut TableReader, key: &str, default: bool) -> Value<bool> {
        let Some(node) = self.take_optional(key) else {
            return Some(Spanned::new(default, self.location, self.location));
        };
        let value = match node.value {
            Node::Bool(value) => Some(value),
            _ => None,
        };
        expect_type(reader, &node, key, "true or false", value)
    }

    fn duration(&mut self, reader: &mut TableReader, key: &str) -> Value<Duration> {
        let text = self.text(reader, key)?;
        match humantime::parse_duration(&text.value) {
            Ok(value) => Some(Spanned::new(value, text.referenced, text.defined)),
            Err(error) => {
                let message = format!("`{key}` must be a duration such as `30s`: {error}");
                reader.report(text.referenced, Code::WrongType, message);
                None
            }
        }
    }

    fn address(&mut self, reader: &mut TableReader) -> Value<SocketAddr> {
        let text = self.text(reader, "address")?;
        match parse_address(&text.value) {
            Ok(value) => Some(Spanned::new(value, text.referenced, text.defined)),
            Err(reason) => {
                let message = format!("`{}` {reason}", text.value);
                reader.report(text.referenced, Code::Address, message);
                None
            }
        }
    }

    fn report_unknown_keys(self, reader: &mut TableReader) {
        for (key, _) in self.entries {
            let message = format!("{} has no key `{}`", self.what, key.value);
            reader.report(key.referenced, Code::UnknownKey, message);
        }
    }
}

impl Node {
    fn integer(&self) -> Option<i128> {
        match self {
            Node::Integer(value) => Some(*value),
            _ => None,
        }
    }
}

fn expect_type<T>(
    reader: &mut TableReader,
    node: &Spanned<Node>,
    key: &str,
    expected: &str,
    value: Option<T>,
) -> Value<T> {
    if value.is_none() {
        reader.report_wrong_type(node, &format!("`{key}`"), expected);
    }
    value.map(|value| Spanned::new(value, node.referenced, node.defined))
}

/// Parses an IPv4 address and port. The fabric's PROXY protocol headers carry no IPv6 addresses.
fn parse_address(text: &str) -> Result<SocketAddr, &'static str> {
    let parsed: Result<SocketAddrV4, _> = text.parse();
    let address = parsed.map_err(|_| "is not an IPv4 address and port such as `10.0.0.5:5683`")?;
    let ip = address.ip();
    if ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() {
        return Err("is not the address of one host");
    }
    if address.port() == 0 {
        return Err("has port 0");
    }
    Ok(address.into())
}
