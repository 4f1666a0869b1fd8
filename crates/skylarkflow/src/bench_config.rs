//! Benchmarks of the configuration: cost of its objects and of a change, and the time until a change is active.

use {
    crate::{
        bench_config_gossip::{self, ConfigGossip},
        bench_fleet::{self, MirroredNode},
        bench_series::{self, Report, Series},
        bench_simulator::{self, Network, StateMachine, ZONES},
    },
    skylarkflow_policy::{
        config::{Pool, Route, Upstream},
        config_object::Object,
        config_relay,
        node::{Event, Message},
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Numbers of pools, with as many routes; the last is the size expected in two years.
const POOL_COUNTS: [usize; 3] = [72, 700, 3_700];

const UPSTREAMS_PER_POOL: usize = 10;

/// Nodes created at each size for the memory measurement, so that rounding to memory pages does not matter.
const NODES_PER_SAMPLE: [usize; 3] = [20, 8, 3];

/// Members of the deployment in all benchmarks except those of propagation.
const MEMBERS: usize = 9;

/// Changes measured at each size, of which the fastest counts.
const TIMED_CHANGES: u64 = 20;

/// Balancers in one simulated network.
const NETWORK_SIZES: [usize; 4] = [9, 90, 880, 5_300];

/// Changes that are written in each network.
const CHANGES_PER_NETWORK: usize = 5;

/// Configuration changes per day, as expected in two years.
const CHANGES_PER_DAY: f64 = 8_000.0;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Virtual time between two changes, long enough for the gossip of the earlier one to end.
const CHANGE_INTERVAL: Duration = Duration::from_millis(5_300);

/// Resolution of the time until a change is active.
const RESOLUTION: Duration = Duration::from_millis(5);

/// Virtual time until the readers of the store are known and all balancers have the same configuration.
const SETTLING_TIME: Duration = Duration::from_secs(10);

/// Runs the configuration benchmarks.
pub fn run(report: &mut Report) {
    measure_memory(report);
    measure_adoption(report);
    measure_steady_load(report);
    measure_propagation(report);
}

fn measure_memory(report: &mut Report) {
    let mut memory = Series::new(
        "configuration: resident memory of one node with its tables in force, 9 members",
        "pools",
        "MB",
    );
    let mut retained = Vec::new();
    for (pools, copies) in POOL_COUNTS.into_iter().zip(NODES_PER_SAMPLE) {
        let objects = objects(pools);
        let before = bench_series::resident_bytes();
        let nodes = (0..copies).map(|_| {
            let mut node = MirroredNode::new(0, MEMBERS, &objects).node;
            let tables = node.tables(Duration::from_secs(1));
            (node, tables)
        });
        retained.extend(nodes);
        let bytes = bench_series::resident_bytes() - before;
        memory.push(pools, bytes / copies as f64 / 1e6);
    }
    drop(retained);
    report.push(memory);
}

/// Measures the adoption of single changed pools by one balancer.
fn measure_adoption(report: &mut Report) {
    let mut adoption = Series::new(
        "configuration: time to decode and adopt one changed pool",
        "pools",
        "us",
    );
    let mut tables = Series::new(
        "configuration: time to derive the tables in force after one change",
        "pools",
        "ms",
    );
    for pools in POOL_COUNTS {
        let mut node = MirroredNode::new(0, MEMBERS, &objects(pools)).node;
        let now = Duration::from_secs(1);
        node.tables(now);
        let mut fastest = [f64::INFINITY; 2];
        for change in 0..TIMED_CHANGES {
            let object = Object::from_pool(pool(change as usize, change + 2));
            let message = Message::Config(config_relay::Message::Objects(vec![object]));
            let bytes = bench_simulator::encode(1, message);
            let start = Instant::now();
            let message = bench_simulator::decode(&bytes);
            let from = bench_simulator::record(1).address;
            StateMachine::handle(
                &mut node,
                now,
                Event::Received { from, message },
                &mut Vec::new(),
            );
            fastest[0] = fastest[0].min(start.elapsed().as_secs_f64());
            let start = Instant::now();
            node.tables(now);
            fastest[1] = fastest[1].min(start.elapsed().as_secs_f64());
        }
        adoption.push(pools, fastest[0] * 1e6);
        tables.push(pools, fastest[1] * 1e3);
    }
    report.push(adoption);
    report.push(tables);
}

/// Measures the CPU load of one balancer with all objects and without changes, see [`MirroredNode`].
fn measure_steady_load(report: &mut Report) {
    for (role, rank) in [("highest rank", 1), ("rank 0 (reader)", 0)] {
        let name = format!("configuration: steady load with 9 members, {role}");
        let mut load = Series::new(&name, "pools", "% of a core");
        for pools in POOL_COUNTS {
            let zone = bench_fleet::ranks(MEMBERS);
            let mut mirror = MirroredNode::new(zone[rank], MEMBERS, &objects(pools));
            mirror.run_for(bench_fleet::settling_time(2 * pools));
            let window = Duration::from_secs(60);
            let loads = (0..3).map(|_| mirror.cpu_percent(window));
            load.push(pools, loads.fold(f64::INFINITY, f64::min));
        }
        report.push(load);
    }
}

/// Measures how a change spreads over the relays, the parts of the balancers that gossip the configuration.
fn measure_propagation(report: &mut Report) {
    let mut mean = Series::new(
        "change: time from the write to the last relay, mean of 5",
        "relays",
        "s",
    );
    let mut longest = Series::new(
        "change: time from the write to the last relay, longest of 5",
        "relays",
        "s",
    );
    let mut bytes = Series::new(
        "change: bytes sent by one relay above the steady state, mean of all",
        "relays",
        "bytes per change",
    );
    let mut rate = Series::new(
        "change: bytes per change times 8,000 changes a day",
        "relays",
        "B/s",
    );
    let mut steady = Series::new("relay without changes: bytes sent, mean", "relays", "B/s");
    for relays in NETWORK_SIZES {
        let propagation = propagate_changes(relays);
        let mean_time = propagation.times.iter().sum::<f64>() / propagation.times.len() as f64;
        mean.push(relays, mean_time);
        longest.push(
            relays,
            propagation.times.iter().copied().fold(0.0, f64::max),
        );
        bytes.push(relays, propagation.bytes);
        rate.push(
            relays,
            propagation.bytes * CHANGES_PER_DAY / SECONDS_PER_DAY,
        );
        steady.push(relays, propagation.steady);
    }
    [mean, longest, bytes, rate, steady]
        .into_iter()
        .for_each(|series| report.push(series));
}

struct Propagation {
    times: Vec<f64>,
    bytes: f64,
    steady: f64,
}

fn propagate_changes(relays: usize) -> Propagation {
    let mut network = bench_config_gossip::network(relays);
    network.put(Object::from_pool(pool(0, 1)));
    network.run_until(SETTLING_TIME);
    let steady_end = SETTLING_TIME + CHANGE_INTERVAL * CHANGES_PER_NETWORK as u32;
    let before = total_sent_bytes(&network);
    network.run_until(steady_end);
    let steady = (total_sent_bytes(&network) - before) / (relays as f64);
    let before = total_sent_bytes(&network);
    let mut times = Vec::new();
    for change in 0..CHANGES_PER_NETWORK {
        let start = steady_end + CHANGE_INTERVAL * change as u32;
        times.push(propagation_time(&mut network, 2 + change as u64).as_secs_f64());
        network.run_until(start + CHANGE_INTERVAL);
    }
    let bytes = (total_sent_bytes(&network) - before) / relays as f64 - steady;
    Propagation {
        times,
        bytes: bytes / CHANGES_PER_NETWORK as f64,
        steady: steady / (CHANGE_INTERVAL * CHANGES_PER_NETWORK as u32).as_secs_f64(),
    }
}

/// Writes a generation of a pool and returns the time until it is active on all balancers, at most
/// [`CHANGE_INTERVAL`].
fn propagation_time(network: &mut Network<ConfigGossip>, generation: u64) -> Duration {
    let object = Object::from_pool(pool(0, generation));
    let key = object.id();
    let start = network.now;
    network.put(object);
    let mut pending: Vec<usize> = (0..network.balancers.len()).collect();
    while !pending.is_empty() && network.now < start + CHANGE_INTERVAL {
        let next = network.now + RESOLUTION;
        network.run_until(next);
        let store = |at: usize| network.balancers[at].node.relay.store();
        let lacks = |at: &usize| {
            let version = store(*at).version(key);
            version.is_none_or(|version| version.generation < generation)
        };
        pending.retain(lacks);
    }
    network.now - start
}

fn total_sent_bytes(network: &Network<ConfigGossip>) -> f64 {
    let balancers = network.balancers.iter();
    balancers
        .flat_map(|balancer| &balancer.bytes_per_second)
        .map(|&bytes| f64::from(bytes))
        .sum()
}

fn objects(pools: usize) -> Vec<Object> {
    let pools_and_routes = |index| {
        [
            Object::from_pool(pool(index, 1)),
            Object::from_route(route(index)),
        ]
    };
    (0..pools).flat_map(pools_and_routes).collect()
}

fn route(index: usize) -> Route {
    Route {
        name: format!("service-{index}"),
        generation: 1,
        address: SocketAddr::from((Ipv4Addr::from(0x0c00_0000 + index as u32), 5_683)),
        pool: format!("service-{index}"),
        deadline: Duration::from_secs(10),
    }
}

/// Returns a pool whose weights differ between successive generations.
fn pool(index: usize, generation: u64) -> Pool {
    let upstream = |position: usize| {
        let number = index * UPSTREAMS_PER_POOL + position;
        Upstream {
            name: format!("service-{index}-{position}"),
            address: SocketAddr::from((Ipv4Addr::from(0x0d00_0000 + number as u32), 5_683)),
            zone: format!("zone-{}", position % ZONES),
            weight: 1 + generation as u32 % 7,
            drain: false,
        }
    };
    Pool {
        name: format!("service-{index}"),
        generation,
        slots: 2,
        connections: 2_000,
        upstreams: (0..UPSTREAMS_PER_POOL).map(upstream).collect(),
    }
}
