//! Checks both tables together before anything is written to the store.

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

/// Maximum length of a name; with its prefix, a key stays below 128 bytes.
const MAX_NAME_BYTES: usize = 63;

/// Maximum length of an object's value that the store accepts.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;

/// Space reserved in an object for the edit ID and the largest generation, which are not known during the check.
const METADATA_BYTES: usize = 128;

/// Maximum number of upstreams in a pool: a lookup table has `u16` entries, of which two values are reserved.
pub const MAX_POOL_UPSTREAMS: usize = 65_534;

const SLOTS_RANGE: RangeInclusive<i128> = 1..=1_024;
const CONNECTIONS_RANGE: RangeInclusive<i128> = 1..=1_000_000;
const WEIGHT_RANGE: RangeInclusive<i128> = 0..=1_000;
const MIN_DEADLINE: Duration = Duration::from_millis(100);
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Both tables after a check without findings. The generations are 0 until they are written.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Routes in the order of the table.
    pub routes: Vec<wire::Route>,
    /// Pools in the order of the table.
    pub pools: Vec<wire::Pool>,
    locations: AddressLocations,
}

/// Locations of the addresses in the tables.
#[derive(Clone, Debug, Default)]
struct AddressLocations {
    routes: HashMap<SocketAddr, SourceLocation>,
    upstreams: HashMap<SocketAddr, SourceLocation>,
}

#[derive(Clone, Debug)]
struct SourceLocation {
    file: String,
    position: Location,
}

/// Checks both tables together.
///
/// # Errors
///
/// Returns all findings, ordered by file, line and column.
pub fn check(routes: &Routes, pools: &Pools) -> Result<Tables, Vec<Finding>> {
    let (routes, pools) = (&routes.0, &pools.0);
    let mut findings = [&routes.findings[..], &pools.findings[..]].concat();
    let mut routes_checker = TableChecker::new(&routes.file);
    let mut pools_checker = TableChecker::new(&pools.file);
    let route_rows = routes.rows.as_deref().unwrap_or_default();
    let pool_rows = pools.rows.as_deref().unwrap_or_default();
    let services = routes_checker.check_routes(route_rows);
    pools_checker.check_pools(pool_rows, &services);
    if pools.rows.is_some() {
        routes_checker.check_pool_references(route_rows, pool_rows);
    }
    pools_checker.check_route_addresses(&routes_checker.locations);
    findings.append(&mut routes_checker.findings);
    findings.append(&mut pools_checker.findings);
    findings.sort();
    findings.dedup();
    if !findings.is_empty() {
        return Err(findings);
    }
    Ok(Tables {
        routes: route_rows.iter().filter_map(to_wire_route).collect(),
        pools: pool_rows.iter().filter_map(to_wire_pool).collect(),
        locations: AddressLocations {
            routes: routes_checker.locations,
            upstreams: pools_checker.locations,
        },
    })
}

/// Finds addresses that the tables assign to a service other than the one in the store.
///
/// Datagrams and requests of the old service may still be in flight, and balancers that have not adopted the edit would
/// send them to the new service. The removal from the old service has to be active on all balancers first.
pub fn moved_addresses(
    tables: &Tables,
    routes: &[wire::Route],
    pools: &[wire::Pool],
) -> Vec<Finding> {
    let mut findings = Vec::new();
    let before = upstream_services(routes, pools);
    let after = upstream_services(&tables.routes, &tables.pools);
    findings.extend(find_moves(&before, &after, &tables.locations.upstreams));
    let before = route_services(routes);
    let after = route_services(&tables.routes);
    findings.extend(find_moves(&before, &after, &tables.locations.routes));
    findings.sort();
    findings
}

/// Finds upstream addresses that are in more than one service.
///
/// Two operators who write different objects at the same time do not conflict, so the store has to be checked as a
/// whole after the writes.
pub fn shared_addresses(routes: &[wire::Route], pools: &[wire::Pool]) -> Vec<String> {
    let services = upstream_services(routes, pools);
    let shared = services.iter().filter(|(_, names)| names.len() > 1);
    shared
        .map(|(address, names)| format!("{address} is in the services `{}`", join_names(names)))
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

fn find_moves(
    before: &Services<'_>,
    after: &Services<'_>,
    locations: &HashMap<SocketAddr, SourceLocation>,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (address, new) in after {
        let Some(old) = before.get(address).filter(|old| *old != new) else {
            continue;
        };
        let (old, new) = (join_names(old), join_names(new));
        let message = format!(
            "{address} moves from service `{old}` to `{new}`: remove it first and apply that"
        );
        if let Some(location) = locations.get(address) {
            findings.push(finding(
                &location.file,
                location.position,
                Code::Move,
                message,
            ));
        }
    }
    findings
}

fn join_names(names: &BTreeSet<&str>) -> String {
    let names: Vec<&str> = names.iter().copied().collect();
    names.join(", ")
}

fn finding(file: &str, location: Location, code: Code, message: String) -> Finding {
    Finding {
        file: file.to_owned(),
        line: location.line(),
        column: location.column(),
        code,
        message,
    }
}

/// Checks one table and collects its findings.
struct TableChecker<'a> {
    file: &'a str,
    findings: Vec<Finding>,
    locations: HashMap<SocketAddr, SourceLocation>,
}

impl<'a> TableChecker<'a> {
    fn new(file: &'a str) -> TableChecker<'a> {
        TableChecker {
            file,
            findings: Vec::new(),
            locations: HashMap::new(),
        }
    }

    fn report(&mut self, location: Location, code: Code, message: String) {
        self.findings
            .push(finding(self.file, location, code, message));
    }

    /// Checks the rows of the table of routes and returns the services by pool.
    fn check_routes<'r>(&mut self, rows: &'r [table::Route]) -> HashMap<&'r str, Vec<&'r str>> {
        let mut names = HashMap::new();
        let mut services: HashMap<&str, Vec<&str>> = HashMap::new();
        for row in rows {
            self.check_name(row.name.as_ref(), "route", &mut names);
            self.check_address(row.address.as_ref());
            self.check_deadline(row.deadline.as_ref());
            if let (Some(name), Some(pool)) = (&row.name, &row.pool) {
                services.entry(&pool.value).or_default().push(&name.value);
            }
            if let Some(route) = to_wire_route(row) {
                self.check_size(row.location, &route);
            }
        }
        services
    }

    fn check_pools(&mut self, rows: &[table::Pool], services: &HashMap<&str, Vec<&str>>) {
        let mut names = HashMap::new();
        for row in rows {
            self.check_name(row.name.as_ref(), "pool", &mut names);
            self.check_range("slots", row.slots.as_ref(), &SLOTS_RANGE);
            self.check_range("connections", row.connections.as_ref(), &CONNECTIONS_RANGE);
            if let Some(upstreams) = &row.upstreams {
                self.check_upstreams(row, upstreams);
            }
            if let Some(pool) = to_wire_pool(row) {
                self.check_size(row.location, &pool);
            }
            let name = row.name.as_ref().map(|name| &*name.value);
            let services = name.and_then(|name| services.get(name));
            if let Some([first, rest @ ..]) = services.map(Vec::as_slice) {
                self.check_single_service(row, first, rest);
            }
        }
    }

    /// Reports a pool with routes of several services, whose upstreams would get the requests of all of them.
    fn check_single_service(&mut self, row: &table::Pool, first: &str, rest: &[&str]) {
        for other in rest.iter().filter(|other| **other != first) {
            let message = format!(
                "the pool serves both `{first}` and `{other}`: its upstreams would be in two services"
            );
            self.report(row.location, Code::TwoServices, message);
        }
    }

    fn check_upstreams(&mut self, row: &table::Pool, upstreams: &[table::Upstream]) {
        let mut names = HashMap::new();
        let mut pool_addresses = HashMap::new();
        for upstream in upstreams {
            self.check_name(upstream.name.as_ref(), "upstream", &mut names);
            self.check_zone(upstream.zone.as_ref());
            self.check_range("weight", upstream.weight.as_ref(), &WEIGHT_RANGE);
            if let Some(address) = &upstream.address {
                self.check_upstream_address(address, &mut pool_addresses);
            }
        }
        let count = upstreams.len();
        if count > MAX_POOL_UPSTREAMS {
            let message =
                format!("the pool has {count} upstreams; the limit is {MAX_POOL_UPSTREAMS}");
            self.report(row.location, Code::PoolSize, message);
        }
        let has_weight = |upstream: &table::Upstream| {
            let weight = upstream.weight.as_ref();
            weight.is_none_or(|weight| weight.value != 0)
        };
        if !upstreams.iter().any(has_weight) {
            let message = "the pool has no upstream with a weight above 0".to_owned();
            self.report(row.location, Code::PoolSize, message);
        }
    }

    fn check_upstream_address(
        &mut self,
        address: &Spanned<SocketAddr>,
        pool_addresses: &mut HashMap<SocketAddr, Location>,
    ) {
        let value = address.value;
        if let Some(first) = pool_addresses.insert(value, address.referenced) {
            let message = format!("{value} is already on line {}", first.line());
            self.report(address.referenced, Code::DuplicateAddress, message);
            return;
        }
        let Some(location) = self.record_address(address) else {
            return;
        };
        let message = format!(
            "{value} is already in another pool on line {}",
            location.line()
        );
        self.report(address.referenced, Code::TwoServices, message);
    }

    /// Records the location of an address; returns the earlier location if the address is already recorded.
    fn record_address(&mut self, address: &Spanned<SocketAddr>) -> Option<Location> {
        if let Some(location) = self.locations.get(&address.value) {
            return Some(location.position);
        }
        let location = SourceLocation {
            file: self.file.to_owned(),
            position: address.referenced,
        };
        self.locations.insert(address.value, location);
        None
    }

    fn check_address(&mut self, address: OptionalValue<'_, SocketAddr>) {
        let Some(address) = address else { return };
        if let Some(first) = self.record_address(address) {
            let message = format!("{} is already on line {}", address.value, first.line());
            self.report(address.referenced, Code::DuplicateAddress, message);
        }
    }

    /// Reports upstreams at the address of a route, to which balancers would send requests in a loop.
    fn check_route_addresses(&mut self, routes: &HashMap<SocketAddr, SourceLocation>) {
        let locations = self.locations.iter();
        let shared: Vec<(SocketAddr, Location)> = locations
            .filter(|(address, _)| routes.contains_key(address))
            .map(|(address, location)| (*address, location.position))
            .collect();
        for (address, location) in shared {
            let message = format!("{address} is also the address of a route");
            self.report(location, Code::DuplicateAddress, message);
        }
    }

    fn check_name<'r>(
        &mut self,
        name: OptionalValue<'r, String>,
        what: &str,
        names: &mut HashMap<&'r str, Location>,
    ) {
        let Some(name) = name else { return };
        self.check_characters(name, what);
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

    fn check_zone(&mut self, zone: OptionalValue<'_, String>) {
        if let Some(zone) = zone {
            self.check_characters(zone, "zone");
        }
    }

    fn check_characters(&mut self, name: &Spanned<String>, what: &str) {
        if !is_name(&name.value) {
            let message = format!(
                "{what} {:?} is not 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`, \
                 the first a letter or digit",
                name.value
            );
            self.report(name.referenced, Code::Name, message);
        }
    }

    fn check_range(
        &mut self,
        key: &str,
        value: OptionalValue<'_, i128>,
        range: &RangeInclusive<i128>,
    ) {
        let Some(value) = value else { return };
        if !range.contains(&value.value) {
            let (low, high) = (range.start(), range.end());
            let message = format!("`{key}` must be {low} to {high}, not {}", value.value);
            self.report(value.referenced, Code::Limit, message);
        }
    }

    fn check_deadline(&mut self, value: OptionalValue<'_, Duration>) {
        let Some(value) = value else { return };
        if !(MIN_DEADLINE..=MAX_DEADLINE).contains(&value.value) {
            let message = format!(
                "`deadline` must be {MIN_DEADLINE:?} to {MAX_DEADLINE:?}, not {:?}",
                value.value
            );
            self.report(value.referenced, Code::Limit, message);
        }
    }

    fn check_size(&mut self, location: Location, value: &impl Serialize) {
        let bytes = serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len());
        let bytes = bytes.saturating_add(METADATA_BYTES);
        if bytes > MAX_OBJECT_BYTES {
            let message = format!("the object has {bytes} bytes; the limit is {MAX_OBJECT_BYTES}");
            self.report(location, Code::ObjectSize, message);
        }
    }

    fn check_pool_references(&mut self, routes: &[table::Route], pools: &[table::Pool]) {
        let names = pools.iter().filter_map(|pool| pool.name.as_ref());
        let names: BTreeSet<&str> = names.map(|name| &*name.value).collect();
        let references = routes.iter().filter_map(|route| route.pool.as_ref());
        for pool in references.filter(|pool| !names.contains(&*pool.value)) {
            let message = format!("there is no pool `{}`", pool.value);
            self.report(pool.referenced, Code::DanglingPool, message);
        }
    }
}

/// A value that may be missing.
type OptionalValue<'a, T> = Option<&'a Spanned<T>>;

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let starts_alphanumeric = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_alphanumeric());
    starts_alphanumeric && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

fn to_wire_route(row: &table::Route) -> Option<wire::Route> {
    Some(wire::Route {
        name: row.name.clone()?.value,
        generation: 0,
        address: row.address.as_ref()?.value,
        pool: row.pool.clone()?.value,
        deadline: row.deadline.as_ref()?.value,
        edit: None,
    })
}

fn to_wire_pool(row: &table::Pool) -> Option<wire::Pool> {
    let upstreams = row.upstreams.as_ref()?.iter();
    let upstreams: Option<Vec<wire::Upstream>> = upstreams.map(to_wire_upstream).collect();
    Some(wire::Pool {
        name: row.name.clone()?.value,
        generation: 0,
        slots: to_u32(&row.slots)?,
        connections: to_u32(&row.connections)?,
        upstreams: upstreams?,
        edit: None,
    })
}

fn to_wire_upstream(row: &table::Upstream) -> Option<wire::Upstream> {
    Some(wire::Upstream {
        name: row.name.clone()?.value,
        address: row.address.as_ref()?.value,
        zone: row.zone.clone()?.value,
        weight: to_u32(&row.weight)?,
        drain: row.drain.as_ref()?.value,
    })
}

fn to_u32(value: &Value<i128>) -> Option<u32> {
    value.as_ref()?.value.try_into().ok()
}
