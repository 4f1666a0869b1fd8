//! Comparison of the configuration and membership of several balancers.

use {
    crate::{
        client::Client,
        wire::{Phase, Pool, Route, State},
    },
    serde::Serialize,
    skylarkflow_policy::id,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Write},
        net::SocketAddr,
    },
};

/// Membership state of the balancers that are in the owner tables.
const ALIVE: &str = "alive";

/// States of several balancers, queried at the same time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Balancers sorted by name; those whose query failed come last.
    pub balancers: Vec<Balancer>,
    /// Upstreams that at least one balancer sees as draining or down.
    pub upstreams: Vec<ImpairedUpstream>,
}

/// Summary of the state of one balancer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Balancer {
    /// Address of its administration API.
    pub address: SocketAddr,
    /// Name of the VM; empty if the query failed.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Lifecycle phase; absent if the query failed.
    pub phase: Option<Phase>,
    /// Whether it may dispatch non-idempotent requests.
    pub fence_held: bool,
    /// Number of members that it sees as alive, itself included.
    pub alive: usize,
    /// Number of entries in its flow table.
    pub flows: u64,
    /// Hash of the active configuration; balancers with the same configuration have the same hash.
    pub digest: String,
    /// Active generation by configuration key, such as `routes/NAME`.
    pub generations: BTreeMap<String, u64>,
    /// Differences from the other balancers, or the reason why the query failed.
    pub remarks: Vec<String>,
}

/// An upstream that a balancer sees as draining or down.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ImpairedUpstream {
    /// Name of the pool.
    pub pool: String,
    /// Name of the upstream.
    pub name: String,
    /// Names of the balancers that see it as draining.
    pub draining: Vec<String>,
    /// Names of the balancers that see it as down.
    pub down: Vec<String>,
    /// Flows assigned to it, summed over the balancers that responded.
    pub flows: u64,
}

/// Queries all balancers concurrently and compares their states.
pub async fn collect_report(clients: Vec<Client>) -> Report {
    let query =
        |client: Client| tokio::spawn(async move { (client.address(), client.state().await) });
    let tasks: Vec<_> = clients.into_iter().map(query).collect();
    let mut states = Vec::new();
    let mut failed = Vec::new();
    for task in tasks {
        match task.await {
            Ok((address, Ok(state))) => states.push((address, state)),
            Ok((address, Err(error))) => failed.push((address, error.to_string())),
            Err(_) => {}
        }
    }
    Report::new(states, failed)
}

impl Report {
    /// Compares the states of the balancers that responded; `failed` lists the others with the reason.
    pub fn new(mut states: Vec<(SocketAddr, State)>, failed: Vec<(SocketAddr, String)>) -> Report {
        states.sort_by(|(_, a), (_, b)| a.name.cmp(&b.name));
        let upstreams = impaired_upstreams(&states);
        let responded = states.iter();
        let mut balancers: Vec<Balancer> = responded
            .map(|(address, state)| Balancer::new(*address, state))
            .collect();
        check_generations(&mut balancers);
        check_contents(&mut balancers);
        check_members(&mut balancers, &states);
        let failed = failed.into_iter();
        balancers.extend(failed.map(|(address, reason)| Balancer::failed(address, reason)));
        Report {
            balancers,
            upstreams,
        }
    }

    /// Returns whether every balancer responded and no differences were found.
    pub fn is_consistent(&self) -> bool {
        let mut balancers = self.balancers.iter();
        balancers.all(|balancer| balancer.remarks.is_empty())
    }

    /// Returns the highest active generation of each configuration key.
    pub fn generations(&self) -> BTreeMap<String, u64> {
        highest_generations(&self.balancers)
    }
}

impl Balancer {
    fn new(address: SocketAddr, state: &State) -> Balancer {
        Balancer {
            address,
            name: state.name.clone(),
            zone: state.zone.clone(),
            phase: Some(state.drain.phase),
            fence_held: state.fence_held,
            alive: alive_members(state).len(),
            flows: state.flows,
            digest: config_digest(state),
            generations: generations(state),
            remarks: Vec::new(),
        }
    }

    fn failed(address: SocketAddr, reason: String) -> Balancer {
        Balancer {
            address,
            name: String::new(),
            zone: String::new(),
            phase: None,
            fence_held: false,
            alive: 0,
            flows: 0,
            digest: String::new(),
            generations: BTreeMap::new(),
            remarks: vec![reason],
        }
    }
}

fn generations(state: &State) -> BTreeMap<String, u64> {
    let routes = state.routes.iter();
    let routes = routes.map(|route| (format!("routes/{}", route.name), route.generation));
    let pools = state.pools.iter();
    let pools = pools.map(|pool| (format!("pools/{}", pool.name), pool.generation));
    routes.chain(pools).collect()
}

/// Hashes the configured part of the state. Health, drain state and counts are left out, because they legitimately
/// differ between balancers at any moment.
fn config_digest(state: &State) -> String {
    let mut lines: Vec<String> = state.routes.iter().map(route_line).collect();
    lines.extend(state.pools.iter().map(pool_line));
    lines.sort();
    let hash: u64 = id::from_name(&lines.concat());
    format!("{hash:016x}")
}

fn route_line(route: &Route) -> String {
    let Route {
        name,
        generation,
        address,
        pool,
        deadline_ms,
    } = route;
    format!("route {name} {generation} {address} {pool} {deadline_ms}\n")
}

fn pool_line(pool: &Pool) -> String {
    let Pool {
        name,
        generation,
        slots,
        connections,
        upstreams,
    } = pool;
    let mut line = format!("pool {name} {generation} {slots} {connections}\n");
    for upstream in upstreams {
        let (name, address) = (&upstream.name, upstream.address);
        let (zone, weight) = (&upstream.zone, upstream.weight);
        let _ = writeln!(line, "upstream {name} {address} {zone} {weight}");
    }
    line
}

fn highest_generations(balancers: &[Balancer]) -> BTreeMap<String, u64> {
    let mut highest = BTreeMap::new();
    for (key, generation) in balancers.iter().flat_map(|balancer| &balancer.generations) {
        let generation_seen = highest.entry(key.clone()).or_insert(0);
        *generation_seen = (*generation_seen).max(*generation);
    }
    highest
}

fn check_generations(balancers: &mut [Balancer]) {
    let highest = highest_generations(balancers);
    for balancer in balancers {
        for (key, newest) in &highest {
            let remark = match balancer.generations.get(key) {
                Some(generation) if generation == newest => continue,
                Some(generation) => {
                    format!("{key} has generation {generation}, others have {newest}")
                }
                None => format!("{key} is missing, others have generation {newest}"),
            };
            balancer.remarks.push(remark);
        }
    }
}

/// Adds a remark to balancers that have the newest generations but different contents, which means that two values
/// were written with the same generation.
fn check_contents(balancers: &mut [Balancer]) {
    let current = balancers
        .iter()
        .filter(|balancer| balancer.remarks.is_empty());
    let digests: BTreeSet<String> = current.map(|balancer| balancer.digest.clone()).collect();
    if digests.len() < 2 {
        return;
    }
    for balancer in balancers.iter_mut() {
        if digests.contains(&balancer.digest) {
            let remark = "same generations as another balancer, but different contents";
            balancer.remarks.push(remark.to_owned());
        }
    }
}

fn check_members(balancers: &mut [Balancer], states: &[(SocketAddr, State)]) {
    let seen: Vec<BTreeSet<&str>> = states
        .iter()
        .map(|(_, state)| alive_members(state))
        .collect();
    let known: BTreeSet<&str> = seen.iter().flatten().copied().collect();
    for (balancer, seen) in balancers.iter_mut().zip(&seen) {
        let missing: Vec<&str> = known.difference(seen).copied().collect();
        if !missing.is_empty() {
            let remark = format!("does not see alive: {}", missing.join(", "));
            balancer.remarks.push(remark);
        }
    }
}

/// Returns the names of the members that are alive. The balancer itself is included even if it does not list itself.
fn alive_members(state: &State) -> BTreeSet<&str> {
    let alive = state.members.iter().filter(|member| member.state == ALIVE);
    let names = alive.map(|member| &*member.name);
    names.chain([&*state.name]).collect()
}

fn impaired_upstreams(states: &[(SocketAddr, State)]) -> Vec<ImpairedUpstream> {
    let mut rows: BTreeMap<(&str, &str), ImpairedUpstream> = BTreeMap::new();
    for (_, state) in states {
        for pool in &state.pools {
            for upstream in &pool.upstreams {
                let key = (&*pool.name, &*upstream.name);
                let row = rows
                    .entry(key)
                    .or_insert_with(|| ImpairedUpstream::new(key));
                row.flows += upstream.flows;
                if upstream.draining {
                    row.draining.push(state.name.clone());
                }
                if !upstream.up {
                    row.down.push(state.name.clone());
                }
            }
        }
    }
    let rows = rows.into_values();
    rows.filter(|row| !row.draining.is_empty() || !row.down.is_empty())
        .collect()
}

impl ImpairedUpstream {
    fn new((pool, name): (&str, &str)) -> ImpairedUpstream {
        ImpairedUpstream {
            pool: pool.to_owned(),
            name: name.to_owned(),
            draining: Vec::new(),
            down: Vec::new(),
            flows: 0,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "  {:<20} {:<10} {:<9} {:<6} {:>6} {:>8}  {:<16}",
            "balancer", "zone", "phase", "fence", "alive", "flows", "digest"
        )?;
        for balancer in &self.balancers {
            write!(formatter, "{balancer}")?;
        }
        let highest = self.generations();
        for (key, generation) in &highest {
            writeln!(formatter, "{key} generation {generation}")?;
        }
        for upstream in &self.upstreams {
            writeln!(formatter, "{upstream}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Balancer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.remarks.is_empty() { ' ' } else { '!' };
        let Some(phase) = self.phase else {
            let reason = self.remarks.join("; ");
            return writeln!(formatter, "{mark} {:<20} {reason}", self.address);
        };
        let phase = format!("{phase:?}").to_lowercase();
        let fence = if self.fence_held { "held" } else { "lost" };
        writeln!(
            formatter,
            "{mark} {:<20} {:<10} {phase:<9} {fence:<6} {:>6} {:>8}  {}",
            self.name, self.zone, self.alive, self.flows, self.digest
        )?;
        let mut remarks = self.remarks.iter();
        remarks.try_for_each(|remark| writeln!(formatter, "    {remark}"))
    }
}

impl fmt::Display for ImpairedUpstream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ImpairedUpstream {
            pool, name, flows, ..
        } = self;
        write!(formatter, "upstream {pool}/{name} with {flows} flows:")?;
        let views = [("draining", &self.draining), ("down", &self.down)];
        for (what, balancers) in views.into_iter().filter(|(_, seen)| !seen.is_empty()) {
            write!(formatter, " {what} at {}", balancers.join(", "))?;
        }
        Ok(())
    }
}
