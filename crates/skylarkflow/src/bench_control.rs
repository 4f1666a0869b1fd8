//! Benchmarks of a balancer's control plane, against the number of members.

use {
    crate::{
        bench_config,
        bench_fleet::{self, MirroredNode, ranks},
        bench_series::{self, Report, Series},
    },
    std::{str::FromStr, time::Duration},
};

/// Members in 6 zones: the present size, a tenth of the target, the target of one zone, and the size expected in two
/// years.
const MEMBER_COUNTS: [usize; 4] = [9, 90, 880, 5_300];

/// Nodes created at each size for the memory measurement, so that rounding to memory pages does not matter.
const NODES_PER_SAMPLE: [usize; 4] = [400, 200, 40, 8];

/// Sizes at which all balancers run in one simulated network; at 5,300 the member lists alone would take over 10 GB.
const NETWORK_SIZES: [usize; 3] = [9, 90, 880];

/// Virtual time that one measurement covers.
const MEASUREMENT_TIME: Duration = Duration::from_secs(30);

/// Measurements of which the fastest counts, since preemption by other processes only adds time.
const REPETITIONS: usize = 3;

/// A part of the control benchmarks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Cost of a node against the number of members.
    Nodes,
    /// Cost of the configuration against the number of its objects.
    Objects,
}

impl FromStr for Part {
    type Err = String;

    fn from_str(text: &str) -> Result<Part, String> {
        match text {
            "nodes" => Ok(Part::Nodes),
            "objects" => Ok(Part::Objects),
            _ => Err(format!("unknown part `{text}`; expected nodes or objects")),
        }
    }
}

/// Runs all control benchmarks, or one part of them.
pub fn run(report: &mut Report, part: Option<Part>) {
    let is_selected = |it| part.is_none_or(|part| part == it);
    if is_selected(Part::Nodes) {
        measure_node(report);
        measure_networks(report);
    }
    if is_selected(Part::Objects) {
        bench_config::run(report);
    }
}

fn measure_node(report: &mut Report) {
    let mut memory = Series::new(
        "node: resident memory of one, with members and VM list, no pools",
        "members",
        "MB",
    );
    let mut retained = Vec::new();
    for (members, copies) in MEMBER_COUNTS.into_iter().zip(NODES_PER_SAMPLE) {
        let zone = ranks(members);
        let before = bench_series::resident_bytes();
        let nodes = (0..copies).map(|_| MirroredNode::new(zone[zone.len() / 2], members, &[]).node);
        retained.extend(nodes);
        let bytes = bench_series::resident_bytes() - before;
        memory.push(members, bytes / copies as f64 / 1e6);
    }
    drop(retained);
    report.push(memory);
    let role = "node with mirrored peers, highest rank";
    measure_mirrored_node(report, role, |zone| zone[zone.len() - 1]);
    let role = "node with mirrored peers, rank 0 (link and reader)";
    measure_mirrored_node(report, role, |zone| zone[0]);
}

fn measure_mirrored_node(report: &mut Report, role: &str, choose: fn(&[usize]) -> usize) {
    let name = format!("{role}: time of handle, encoding and decoding");
    let mut cpu = Series::new(&name, "members", "% of a core");
    let mut sent = Series::new(&format!("{role}: bytes sent"), "members", "B/s");
    for members in MEMBER_COUNTS {
        let mut mirror = MirroredNode::new(choose(&ranks(members)), members, &[]);
        mirror.run_for(bench_fleet::settling_time(members));
        let before = mirror.sent_bytes;
        let loads = (0..REPETITIONS).map(|_| mirror.cpu_percent(MEASUREMENT_TIME));
        cpu.push(members, loads.fold(f64::INFINITY, f64::min));
        let time = MEASUREMENT_TIME * REPETITIONS as u32;
        sent.push(
            members,
            (mirror.sent_bytes - before) as f64 / time.as_secs_f64(),
        );
    }
    report.push(cpu);
    report.push(sent);
}

fn measure_networks(report: &mut Report) {
    let mut mean = Series::new("network of all nodes: bytes sent, mean", "members", "B/s");
    let mut largest = Series::new(
        "network of all nodes: bytes sent, largest of all",
        "members",
        "B/s",
    );
    let mut highest_rank = Series::new(
        "network of all nodes: time of handle, encoding and decoding, highest rank",
        "members",
        "% of a core",
    );
    let mut rank_zero = Series::new(
        "network of all nodes: time of handle, encoding and decoding, rank 0",
        "members",
        "% of a core",
    );
    for members in NETWORK_SIZES {
        let [rates, loads] = measure_network(members);
        mean.push(members, rates[0]);
        largest.push(members, rates[1]);
        highest_rank.push(members, loads[0]);
        rank_zero.push(members, loads[1]);
    }
    [mean, largest, highest_rank, rank_zero]
        .into_iter()
        .for_each(|series| report.push(series));
}

/// Returns the mean and the largest rate in bytes per second, and the CPU load in percent of the highest rank and of
/// rank 0.
fn measure_network(members: usize) -> [[f64; 2]; 2] {
    let mut network = bench_fleet::network(members);
    let zone = ranks(members);
    let timed = [zone[zone.len() - 1], zone[0]];
    for at in timed {
        network.balancers[at].is_timed = true;
    }
    let first = network.now.as_secs() as usize + 1;
    let start = Duration::from_secs(first as u64);
    network.run_until(start);
    let before = timed.map(|at| network.balancers[at].busy_time);
    network.run_until(start + MEASUREMENT_TIME);
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let load = |at: usize| {
        let busy_time = network.balancers[timed[at]].busy_time - before[at];
        busy_time.as_secs_f64() / seconds * 100.0
    };
    let last = first + MEASUREMENT_TIME.as_secs() as usize;
    let rates = network.balancers.iter().map(|balancer| {
        let sent = &balancer.bytes_per_second
            [first.min(balancer.bytes_per_second.len())..last.min(balancer.bytes_per_second.len())];
        sent.iter().sum::<u32>() as f64 / seconds
    });
    let rates: Vec<f64> = rates.collect();
    let mean = rates.iter().sum::<f64>() / members as f64;
    let largest = rates.iter().copied().fold(0.0, f64::max);
    [[mean, largest], [load(0), load(1)]]
}
