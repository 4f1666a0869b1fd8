//! Check of both tables together, before anything is written.

use {
    crate::{
        finding::{Code, Finding},
        table::{self, Pools, Routes, Value},
        wire,
    },
    serde::Serialize,
    serde_saphyr::{Location, Spanned},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        ops::RangeInclusive,
        time::Duration,
    },
};

/// Longest name, in bytes: with its prefix a key stays below 128 bytes.
const NAME_BYTES: usize = 63;

/// Largest value of an object, in bytes, as the store accepts it.
pub const OBJECT_BYTES: usize = 1_000_000;

/// Room in an object for the edit id and the largest generation, which the check does not know yet.
const ENVELOPE_BYTES: usize = 128;

/// Most upstreams of a pool: a lookup table has `u16` entries and two reserved values.
pub const POOL_UPSTREAMS: usize = 65_534;

const SLOTS: RangeInclusive<i128> = 1..=1_024;
const CONNECTIONS: RangeInclusive<i128> = 1..=1_000_000;
const WEIGHTS: RangeInclusive<i128> = 0..=1_000;
const SHORTEST_DEADLINE: Duration = Duration::from_millis(100);
const LONGEST_DEADLINE: Duration = Duration::from_secs(600);

/// Both tables without findings. The generations are 0 until they are written.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Routes in the order of the table.
    pub routes: Vec<wire::Route>,
    /// Pools in the order of the table.
    pub pools: Vec<wire::Pool>,
    places: Places,
}

/// Where the addresses of the tables stand.
#[derive(Clone, Debug, Default)]
struct Places {
    routes: HashMap<SocketAddr, Place>,
    upstreams: HashMap<SocketAddr, Place>,
}

#[derive(Clone, Debug)]
struct Place {
    file: String,
    at: Location,
}

/// Checks both tables together.
///
/// # Errors
///
/// Returns all findings, ordered by file, line and column.
pub fn check(routes: &Routes, pools: &Pools) -> Result<Tables, Vec<Finding>> {
    let (routes, pools) = (&routes.0, &pools.0);
    let mut findings = [&routes.findings[..], &pools.findings[..]].concat();
    let mut routes_check = Check::new(&routes.file);
    let mut pools_check = Check::new(&pools.file);
    let route_rows = routes.rows.as_deref().unwrap_or_default();
    let pool_rows = pools.rows.as_deref().unwrap_or_default();
    let services = routes_check.routes(route_rows);
    pools_check.pools(pool_rows, &services);
    if pools.rows.is_some() {
        routes_check.pool_names(route_rows, pool_rows);
    }
    pools_check.loops(&routes_check.places);
    findings.append(&mut routes_check.findings);
    findings.append(&mut pools_check.findings);
    findings.sort();
    findings.dedup();
    if !findings.is_empty() {
        return Err(findings);
    }
    Ok(Tables {
        routes: route_rows.iter().filter_map(wire_route).collect(),
        pools: pool_rows.iter().filter_map(wire_pool).collect(),
        places: Places {
            routes: routes_check.places,
            upstreams: pools_check.places,
        },
    })
}

/// Finds addresses that belong to another service than in the store.
///
/// Datagrams and requests of the old service may still be on their way, and balancers that have not adopted the edit
/// would send them to the new one. The removal has to be in force everywhere first.
pub fn moves(tables: &Tables, routes: &[wire::Route], pools: &[wire::Pool]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let before = upstream_services(routes, pools);
    let after = upstream_services(&tables.routes, &tables.pools);
    findings.extend(moved(&before, &after, &tables.places.upstreams));
    let before = route_services(routes);
    let after = route_services(&tables.routes);
    findings.extend(moved(&before, &after, &tables.places.routes));
    findings.sort();
    findings
}

/// Finds upstream addresses that are in more than one service.
///
/// Two operators who write different objects at the same moment do not conflict with each other, so the store has to be
/// looked at as a whole after the writes.
pub fn overlaps(routes: &[wire::Route], pools: &[wire::Pool]) -> Vec<String> {
    let services = upstream_services(routes, pools);
    let shared = services.iter().filter(|(_, names)| names.len() > 1);
    shared
        .map(|(address, names)| format!("{address} is in the services `{}`", joined(names)))
        .collect()
}

type Services<'a> = BTreeMap<SocketAddr, BTreeSet<&'a str>>;

fn route_services(routes: &[wire::Route]) -> Services<'_> {
    let mut services = Services::new();
    for route in routes {
        let names = services.entry(route.address).or_default();
        names.insert(&route.name);
    }
    services
}

fn upstream_services<'a>(routes: &'a [wire::Route], pools: &'a [wire::Pool]) -> Services<'a> {
    let mut services = Services::new();
    let by_name: HashMap<&str, &wire::Pool> =
        pools.iter().map(|pool| (&*pool.name, pool)).collect();
    for route in routes {
        let pool = by_name.get(&*route.pool);
        for upstream in pool.iter().flat_map(|pool| &pool.upstreams) {
            let names = services.entry(upstream.address).or_default();
            names.insert(&route.name);
        }
    }
    services
}

fn moved(
    before: &Services<'_>,
    after: &Services<'_>,
    places: &HashMap<SocketAddr, Place>,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (address, new) in after {
        let Some(old) = before.get(address).filter(|old| *old != new) else {
            continue;
        };
        let (old, new) = (joined(old), joined(new));
        let message = format!(
            "{address} moves from service `{old}` to `{new}`: remove it first and apply that"
        );
        if let Some(place) = places.get(address) {
            findings.push(finding(&place.file, place.at, Code::Move, message));
        }
    }
    findings
}

fn joined(names: &BTreeSet<&str>) -> String {
    let names: Vec<&str> = names.iter().copied().collect();
    names.join(", ")
}

fn finding(file: &str, at: Location, code: Code, message: String) -> Finding {
    Finding {
        file: file.to_owned(),
        line: at.line(),
        column: at.column(),
        code,
        message,
    }
}

/// The check of one table.
struct Check<'a> {
    file: &'a str,
    findings: Vec<Finding>,
    places: HashMap<SocketAddr, Place>,
}

impl<'a> Check<'a> {
    fn new(file: &'a str) -> Check<'a> {
        Check {
            file,
            findings: Vec::new(),
            places: HashMap::new(),
        }
    }

    fn report(&mut self, at: Location, code: Code, message: String) {
        self.findings.push(finding(self.file, at, code, message));
    }

    /// Checks the rows of the table of routes and returns the services by pool.
    fn routes<'r>(&mut self, rows: &'r [table::Route]) -> HashMap<&'r str, Vec<&'r str>> {
        let mut names = HashMap::new();
        let mut services: HashMap<&str, Vec<&str>> = HashMap::new();
        for row in rows {
            self.name(row.name.as_ref(), "route", &mut names);
            self.address(row.address.as_ref());
            self.deadline(row.deadline.as_ref());
            if let (Some(name), Some(pool)) = (&row.name, &row.pool) {
                services.entry(&pool.value).or_default().push(&name.value);
            }
            if let Some(route) = wire_route(row) {
                self.size(row.at, &route);
            }
        }
        services
    }

    fn pools(&mut self, rows: &[table::Pool], services: &HashMap<&str, Vec<&str>>) {
        let mut names = HashMap::new();
        for row in rows {
            self.name(row.name.as_ref(), "pool", &mut names);
            self.range("slots", row.slots.as_ref(), &SLOTS);
            self.range("connections", row.connections.as_ref(), &CONNECTIONS);
            if let Some(upstreams) = &row.upstreams {
                self.upstreams(row, upstreams);
            }
            if let Some(pool) = wire_pool(row) {
                self.size(row.at, &pool);
            }
            let name = row.name.as_ref().map(|name| &*name.value);
            let services = name.and_then(|name| services.get(name));
            if let Some([first, rest @ ..]) = services.map(Vec::as_slice) {
                self.one_service(row, first, rest);
            }
        }
    }

    /// The upstreams of a pool with two routes would get the requests of both services.
    fn one_service(&mut self, row: &table::Pool, first: &str, rest: &[&str]) {
        for other in rest.iter().filter(|other| **other != first) {
            let message = format!(
                "the pool serves both `{first}` and `{other}`: its upstreams would be in two services"
            );
            self.report(row.at, Code::TwoServices, message);
        }
    }

    fn upstreams(&mut self, row: &table::Pool, upstreams: &[table::Upstream]) {
        let mut names = HashMap::new();
        let mut own = HashMap::new();
        for upstream in upstreams {
            self.name(upstream.name.as_ref(), "upstream", &mut names);
            self.zone(upstream.zone.as_ref());
            self.range("weight", upstream.weight.as_ref(), &WEIGHTS);
            if let Some(address) = &upstream.address {
                self.upstream_address(address, &mut own);
            }
        }
        let count = upstreams.len();
        if count > POOL_UPSTREAMS {
            let message = format!("the pool has {count} upstreams; the limit is {POOL_UPSTREAMS}");
            self.report(row.at, Code::PoolSize, message);
        }
        let takes_flows = |upstream: &table::Upstream| {
            let weight = upstream.weight.as_ref();
            weight.is_none_or(|weight| weight.value != 0)
        };
        if !upstreams.iter().any(takes_flows) {
            let message = "the pool has no upstream with a weight above 0".to_owned();
            self.report(row.at, Code::PoolSize, message);
        }
    }

    fn upstream_address(
        &mut self,
        address: &Spanned<SocketAddr>,
        own: &mut HashMap<SocketAddr, Location>,
    ) {
        let value = address.value;
        if let Some(first) = own.insert(value, address.referenced) {
            let message = format!("{value} is already on line {}", first.line());
            self.report(address.referenced, Code::DuplicateAddress, message);
            return;
        }
        let Some(place) = self.place(address) else {
            return;
        };
        let message = format!(
            "{value} is already in another pool on line {}",
            place.line()
        );
        self.report(address.referenced, Code::TwoServices, message);
    }

    /// Notes the place of an address and returns an earlier one.
    fn place(&mut self, address: &Spanned<SocketAddr>) -> Option<Location> {
        if let Some(place) = self.places.get(&address.value) {
            return Some(place.at);
        }
        let place = Place {
            file: self.file.to_owned(),
            at: address.referenced,
        };
        self.places.insert(address.value, place);
        None
    }

    fn address(&mut self, address: Given<'_, SocketAddr>) {
        let Some(address) = address else { return };
        if let Some(first) = self.place(address) {
            let message = format!("{} is already on line {}", address.value, first.line());
            self.report(address.referenced, Code::DuplicateAddress, message);
        }
    }

    /// A balancer that sends to the address of a service sends to balancers.
    fn loops(&mut self, routes: &HashMap<SocketAddr, Place>) {
        let places = self.places.iter();
        let both: Vec<(SocketAddr, Location)> = places
            .filter(|(address, _)| routes.contains_key(address))
            .map(|(address, place)| (*address, place.at))
            .collect();
        for (address, at) in both {
            let message = format!("{address} is also the address of a route");
            self.report(at, Code::DuplicateAddress, message);
        }
    }

    fn name<'r>(
        &mut self,
        name: Given<'r, String>,
        what: &str,
        names: &mut HashMap<&'r str, Location>,
    ) {
        let Some(name) = name else { return };
        self.characters(name, what);
        let first = *names.entry(&name.value).or_insert(name.referenced);
        if first != name.referenced {
            let message = format!(
                "{what} `{}` is already on line {}",
                name.value,
                first.line()
            );
            self.report(name.referenced, Code::DuplicateName, message);
        }
    }

    fn zone(&mut self, zone: Given<'_, String>) {
        if let Some(zone) = zone {
            self.characters(zone, "zone");
        }
    }

    fn characters(&mut self, name: &Spanned<String>, what: &str) {
        if !is_name(&name.value) {
            let message = format!(
                "{what} {:?} is not 1 to {NAME_BYTES} letters, digits, `-`, `_` or `.`, the first a letter or digit",
                name.value
            );
            self.report(name.referenced, Code::Name, message);
        }
    }

    fn range(&mut self, key: &str, value: Given<'_, i128>, range: &RangeInclusive<i128>) {
        let Some(value) = value else { return };
        if !range.contains(&value.value) {
            let (low, high) = (range.start(), range.end());
            let message = format!("`{key}` must be {low} to {high}, not {}", value.value);
            self.report(value.referenced, Code::Limit, message);
        }
    }

    fn deadline(&mut self, value: Given<'_, Duration>) {
        let Some(value) = value else { return };
        if !(SHORTEST_DEADLINE..=LONGEST_DEADLINE).contains(&value.value) {
            let message = format!(
                "`deadline` must be {SHORTEST_DEADLINE:?} to {LONGEST_DEADLINE:?}, not {:?}",
                value.value
            );
            self.report(value.referenced, Code::Limit, message);
        }
    }

    fn size(&mut self, at: Location, value: &impl Serialize) {
        let bytes = serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len());
        let bytes = bytes.saturating_add(ENVELOPE_BYTES);
        if bytes > OBJECT_BYTES {
            let message = format!("the object has {bytes} bytes; the limit is {OBJECT_BYTES}");
            self.report(at, Code::ObjectSize, message);
        }
    }

    fn pool_names(&mut self, routes: &[table::Route], pools: &[table::Pool]) {
        let names = pools.iter().filter_map(|pool| pool.name.as_ref());
        let names: BTreeSet<&str> = names.map(|name| &*name.value).collect();
        let named = routes.iter().filter_map(|route| route.pool.as_ref());
        for pool in named.filter(|pool| !names.contains(&*pool.value)) {
            let message = format!("there is no pool `{}`", pool.value);
            self.report(pool.referenced, Code::DanglingPool, message);
        }
    }
}

/// A value that may be missing.
type Given<'a, T> = Option<&'a Spanned<T>>;

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let starts = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_alphanumeric());
    starts && text.len() <= NAME_BYTES && text.bytes().all(allowed)
}

fn wire_route(row: &table::Route) -> Option<wire::Route> {
    Some(wire::Route {
        name: row.name.clone()?.value,
        generation: 0,
        address: row.address.as_ref()?.value,
        pool: row.pool.clone()?.value,
        deadline: row.deadline.as_ref()?.value,
        edit: None,
    })
}

fn wire_pool(row: &table::Pool) -> Option<wire::Pool> {
    let upstreams = row.upstreams.as_ref()?.iter();
    let upstreams: Option<Vec<wire::Upstream>> = upstreams.map(wire_upstream).collect();
    Some(wire::Pool {
        name: row.name.clone()?.value,
        generation: 0,
        slots: number(&row.slots)?,
        connections: number(&row.connections)?,
        upstreams: upstreams?,
        edit: None,
    })
}

fn wire_upstream(row: &table::Upstream) -> Option<wire::Upstream> {
    Some(wire::Upstream {
        name: row.name.clone()?.value,
        address: row.address.as_ref()?.value,
        zone: row.zone.clone()?.value,
        weight: number(&row.weight)?,
        drain: row.drain.as_ref()?.value,
    })
}

fn number(value: &Value<i128>) -> Option<u32> {
    value.as_ref()?.value.try_into().ok()
}
