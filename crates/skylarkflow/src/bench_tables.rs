//! Benchmarks of lookup tables and of the active configuration, against their size.

use {
    crate::bench_series::{self, Report, Series},
    skylarkflow_policy::{
        config::{Pool, Route, Snapshot, Upstream},
        flow::Key,
        id,
        lookup::{self, Input, OWNER_SLOTS, Table},
        owner::{Member, View},
    },
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Members of one zone: the present size, a tenth of the target, the target of a zone, half of a region, and a region.
const MEMBER_COUNTS: [usize; 5] = [9, 90, 440, 880, 2_650];

/// Upstreams of one pool.
const UPSTREAM_COUNTS: [usize; 4] = [10, 100, 1_000, 10_000];

/// Endpoints of all pools; the last is the size expected in two years.
const ENDPOINT_COUNTS: [usize; 4] = [36, 3_500, 17_500, 35_000];

/// Endpoints per service address at the size expected in two years (35,000 behind 3,700).
const ENDPOINTS_PER_ADDRESS: usize = 10;

/// Balancers that fail together with a rack.
const RACK_MEMBERS: usize = 40;

const LOOKUP_COUNT: u64 = 2_000_000;
const BUILD_COUNT: u64 = 5;

/// Runs the benchmarks.
pub fn run(report: &mut Report) {
    measure_owner_tables(report);
    measure_lookups(report);
    measure_snapshots(report);
}

fn measure_owner_tables(report: &mut Report) {
    let mut build = Series::new("owner table: build time", "members", "ms");
    let mut one = Series::new(
        "owner table: slots that move when one member leaves",
        "members",
        "%",
    );
    let mut rack = Series::new(
        "owner table: slots that move when 40 members leave",
        "members",
        "%",
    );
    for members in MEMBER_COUNTS {
        let inputs = inputs(members);
        let time =
            bench_series::nanoseconds_per_call(BUILD_COUNT, |_| Table::new(&inputs, OWNER_SLOTS));
        build.push(members, time / 1e6);
        let before = Table::new(&inputs, OWNER_SLOTS);
        one.push(members, moved_percent(&before, &inputs[1..]));
        if members > RACK_MEMBERS {
            rack.push(members, moved_percent(&before, &inputs[RACK_MEMBERS..]));
        }
    }
    report.push(build);
    report.push(one);
    report.push(rack);
}

fn moved_percent(before: &Table, inputs: &[Input]) -> f64 {
    let after = Table::new(inputs, OWNER_SLOTS);
    before.differing_slots(&after) as f64 * 100.0 / OWNER_SLOTS as f64
}

fn measure_lookups(report: &mut Report) {
    let mut owner = Series::new(
        "owner lookup: time of one decision, 6 zones",
        "members",
        "ns",
    );
    for members in MEMBER_COUNTS {
        let view = view(members);
        owner.push(
            members,
            bench_series::nanoseconds_per_call(LOOKUP_COUNT, |flow| {
                view.decide(scatter_hash(flow))
            }),
        );
    }
    report.push(owner);
    let mut default = Series::new("default upstream: time of one lookup", "upstreams", "ns");
    for upstreams in UPSTREAM_COUNTS {
        let table = Table::new(&inputs(upstreams), lookup::pool_slots(upstreams));
        default.push(
            upstreams,
            bench_series::nanoseconds_per_call(LOOKUP_COUNT, |flow| table.get(scatter_hash(flow))),
        );
    }
    report.push(default);
    let mut hash = Series::new("flow hash: time of one key", "keys", "ns");
    let key = key();
    hash.push(
        1,
        bench_series::nanoseconds_per_call(LOOKUP_COUNT, |_| std::hint::black_box(key).hash()),
    );
    report.push(hash);
}

fn measure_snapshots(report: &mut Report) {
    let mut build = Series::new(
        "tables in force: build time of all pools",
        "endpoints",
        "ms",
    );
    let mut memory = Series::new("tables in force: memory", "endpoints", "MB");
    let mut retained = Vec::new();
    for endpoints in ENDPOINT_COUNTS {
        let before = bench_series::resident_bytes();
        let start = Instant::now();
        let snapshot = snapshot(endpoints);
        build.push(endpoints, start.elapsed().as_secs_f64() * 1e3);
        memory.push(
            endpoints,
            (bench_series::resident_bytes() - before).max(0.0) / 1e6,
        );
        retained.push(snapshot);
    }
    report.push(build);
    report.push(memory);
}

fn inputs(count: usize) -> Vec<Input> {
    let input = |index| Input {
        id: id::from_name(&format!("member-{index}")),
        weight: 1,
    };
    let inputs: Vec<Input> = (0..count).map(input).collect();
    let distinct: BTreeSet<u64> = inputs.iter().map(|input| input.id).collect();
    debug_assert_eq!(distinct.len(), count);
    inputs
}

fn view(members: usize) -> View {
    let zones = ["zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6"];
    let member = |index: usize| Member {
        id: id::from_name(&format!("member-{index}")),
        zone: zones[index % zones.len()].to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    };
    let members: Vec<Member> = (0..members).map(member).collect();
    View::new(zones, &members)
}

fn key() -> Key {
    Key {
        caller: SocketAddr::from((Ipv4Addr::new(192, 0, 2, 7), 40_001)),
        service: SocketAddr::from((Ipv4Addr::new(198, 51, 100, 1), 5_683)),
    }
}

/// Maps consecutive numbers to distant hashes, so that successive lookups do not hit the same cache line.
fn scatter_hash(index: u64) -> u64 {
    index.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn snapshot(endpoints: usize) -> Snapshot {
    let addresses = endpoints.div_ceil(ENDPOINTS_PER_ADDRESS);
    let routes = (0..addresses).map(route).collect();
    let pools = (0..addresses).map(pool).collect();
    Snapshot::new(routes, pools)
}

fn route(index: usize) -> Route {
    Route {
        name: format!("service-{index}"),
        generation: 1,
        address: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index as u32), 5_683)),
        pool: format!("service-{index}"),
        deadline: Duration::from_secs(10),
    }
}

fn pool(index: usize) -> Pool {
    let upstream = |position: usize| {
        let number = index * ENDPOINTS_PER_ADDRESS + position;
        Upstream {
            name: format!("service-{index}-{position}"),
            address: SocketAddr::from((Ipv4Addr::from(0x0b00_0000 + number as u32), 5_683)),
            zone: "zone-1".to_owned(),
            weight: 1,
            drain: false,
        }
    };
    Pool {
        name: format!("service-{index}"),
        generation: 1,
        slots: 2,
        connections: 2_000,
        upstreams: (0..ENDPOINTS_PER_ADDRESS).map(upstream).collect(),
    }
}
