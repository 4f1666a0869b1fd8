//! Scripted scenarios of membership, the fence and the distribution of configuration, in `tests/scenarios/`.
//!
//! The fence is a majority lease: a balancer holds it while a majority of its zone has recently acknowledged its
//! probes. A script has one command per line. A command that checks a bound prints the measured value, followed by
//! `EXCEEDED` or `VIOLATED` if the bound does not hold.

mod configuration;
mod network;
mod seeds;

use {
    network::Network,
    skylarkflow_policy::{
        config_reader::Stored,
        id,
        node::{Event, Settings},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write,
        time::Duration,
    },
};

/// Seed of scripts without a `seed-range`.
const DEFAULT_SEED: u64 = 7;

/// Interval at which checks look at the state of the network.
const STEP: Duration = Duration::from_millis(50);

/// Time for which a converged state has to last after the bound.
const STABLE_TIME: Duration = Duration::from_secs(3);

struct Script {
    network: Network,
    /// Balancers that should not be in the views of others.
    excluded: BTreeSet<String>,
    /// Balancers whose own view is not checked.
    unchecked: BTreeSet<String>,
    saved_store: Option<(BTreeMap<String, Stored>, u64)>,
    /// Highest generation of each object that each balancer has had, by balancer and object.
    highest_generations: BTreeMap<(String, String), u64>,
    reverted_generations: usize,
    output: String,
}

#[test]
fn scenarios() {
    run_files("tests/scenarios/control");
}

/// Runs in parallel with the other scenarios, since it takes most of the time.
#[test]
fn large_zone() {
    run_files("tests/scenarios/large");
}

/// Guards against a bound that holds with one seed only: timer phases and lost datagrams differ with each seed.
#[test]
fn seed_ranges() {
    run_files("tests/scenarios/seeds");
}

fn run_files(directory: &str) {
    datadriven::walk(directory, |file| {
        file.run(|case| {
            assert_eq!(case.directive, "script", "unknown directive");
            run(&case.input)
        });
    });
}

/// Runs a script once, or once for each seed if it begins with `seed-range FIRST..LAST`.
fn run(input: &str) -> String {
    let Some(rest) = input.strip_prefix("seed-range ") else {
        return run_seed(input, Network::new(Settings::default(), DEFAULT_SEED));
    };
    let (range, script) = rest.split_once('\n').expect("commands after the range");
    let (first, last) = range.split_once("..").expect("a range");
    let outputs = (number(first)..=number(last)).map(|seed| {
        let mut network = Network::new(Settings::default(), seed);
        network.seed_variant = seed;
        (seed, run_seed(script, network))
    });
    seeds::worst_lines(&outputs.collect::<Vec<_>>())
}

fn run_seed(input: &str, network: Network) -> String {
    let mut script = Script {
        network,
        excluded: BTreeSet::new(),
        unchecked: BTreeSet::new(),
        saved_store: None,
        highest_generations: BTreeMap::new(),
        reverted_generations: 0,
        output: String::new(),
    };
    for line in input.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        script.command(words[0], &words[1..]);
    }
    script.output
}

fn number(word: &str) -> u64 {
    word.parse().expect("a number")
}

fn seconds(word: &str) -> Duration {
    Duration::from_secs_f64(word.parse().expect("a number of seconds"))
}

impl Script {
    pub fn command(&mut self, command: &str, words: &[&str]) {
        let names = || words.iter().map(|&word| word.to_owned());
        match command {
            "start" => self.start(words),
            "run" => self.run(seconds(words[0])),
            "run-between" => {
                let time = self
                    .network
                    .random_duration(seconds(words[0]), seconds(words[1]));
                self.run(time);
            }
            "loss" => self.network.loss = words[0].parse().expect("a share"),
            "crash" => {
                let names: Vec<String> = words
                    .iter()
                    .flat_map(|word| self.select_names(word))
                    .collect();
                names.iter().for_each(|name| self.network.crash(name));
            }
            "unlist" => names().for_each(|name| self.network.unlist_vm(&name)),
            "leave" => names().for_each(|name| {
                self.network.handle_event(&name, Event::Leave);
                self.excluded.insert(name);
            }),
            "stop" => names().for_each(|name| {
                self.network.handle_event(&name, Event::Stop);
                self.network.crash(&name);
            }),
            "pause" => names().for_each(|name| self.pause(&name)),
            "resume" => names().for_each(|name| self.resume(&name)),
            "without" => self.excluded = names().collect(),
            "unchecked" => self.unchecked = names().collect(),
            "cut" => self.cut_links(words[0], words[1]),
            "partition" => {
                self.cut_links(words[0], words[1]);
                self.cut_links(words[1], words[0]);
            }
            "heal" => self.network.cut_links.clear(),
            "stale-list" => self.network.reported_vms = Some(self.network.vms.clone()),
            "empty-list" => self.network.reported_vms = Some(Vec::new()),
            "current-list" => self.network.reported_vms = None,
            "platform-outage" => {
                let words = if words.is_empty() { &["*"] } else { words };
                let cuts = words
                    .iter()
                    .flat_map(|word| self.select_names(word))
                    .collect();
                self.network.platform_outages = cuts;
                self.network.answer_watches();
            }
            "platform-back" => self.network.platform_outages.clear(),
            "lose-answers" => self.network.loses_answers = true,
            "introduce" => self.network.share_member_list(),
            "seeds" => {
                let names = words.iter().flat_map(|word| self.select_names(word));
                let seeds = names.map(|name| self.network.balancers[&name].address);
                self.network.settings.member.seeds = seeds.collect();
            }
            "write" => self.write_pool(words),
            "in-force" => self.check_active(seconds(words[0]), words[1], number(words[2])),
            "save" => {
                self.saved_store = Some((self.network.objects.clone(), self.network.revision))
            }
            "restore" => {
                let (objects, revision) = self.saved_store.clone().expect("a saved store");
                self.network.objects = objects;
                self.network.revision = revision;
            }
            "older" => self.print_older_store(),
            "stored" => self.print_stored(words[0]),
            "reverts" => self.check_reverts(),
            "observe" => self.observe_drain(words[0], words[1], words[2] == "draining"),
            "vm" => self.list_vm(words[0], words[1]),
            "drained" => self.check_drained(seconds(words[0]), words[1]),
            "calls" => self.check_calls(
                seconds(words[0]),
                words[1].parse().expect("calls per second"),
            ),
            "readers" => self.check_reader_calls(words),
            "converge" => self.check_convergence(seconds(words[0])),
            "steady" => self.check_steady(seconds(words[0])),
            "deaths-after" => self.check_death_times(seconds(words[0])),
            "fence" => self.check_fence(seconds(words[0])),
            "owners-hold" => self.check_owners_have_fence(seconds(words[0])),
            "holding" => self.print_fence_holders(),
            "voters" => self.print_voters(),
            "bytes" => {
                let bounds = [1, 2].map(|at| number(words[at]) as usize);
                self.check_bytes(seconds(words[0]), bounds);
            }
            _ => panic!("unknown command {command}"),
        }
    }

    /// Starts balancers by name, or by zone and range as in `a:1-3`.
    fn start(&mut self, words: &[&str]) {
        for word in words {
            for name in self.select_names(word) {
                let zone: String = name.chars().take_while(|c| c.is_alphabetic()).collect();
                self.network.start(&name, &zone);
                self.excluded.remove(&name);
            }
        }
    }

    /// Returns the names of the balancers that a word selects: a comma-separated list of names, of ranges as in
    /// `a:1-3`, of zones, and of `*` for all balancers.
    fn select_names(&self, word: &str) -> Vec<String> {
        let mut names = Vec::new();
        for part in word.split(',') {
            if let Some((zone, range)) = part.split_once(':') {
                let (first, last) = range.split_once('-').expect("a range");
                let range = first.parse::<u32>().unwrap()..=last.parse::<u32>().unwrap();
                names.extend(range.map(|number| format!("{zone}{number}")));
            } else if part.ends_with(|c: char| c.is_numeric()) {
                names.push(part.to_owned());
            } else {
                let balancers = self.network.balancers.iter();
                let zone = balancers.filter(|(_, balancer)| balancer.zone == part || part == "*");
                names.extend(zone.map(|(name, _)| name.clone()));
            }
        }
        names
    }

    fn cut_links(&mut self, from: &str, to: &str) {
        let (from, to) = (self.select_names(from), self.select_names(to));
        for one in &from {
            for other in to.iter().filter(|&other| other != one) {
                let cut = (one.clone(), other.clone());
                self.network.cut_links.insert(cut);
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.network.now + time;
        while self.network.now < end {
            let next = self.network.now + STEP;
            self.network.run_until(next.min(end));
            self.record_generations();
        }
    }

    /// Pauses a balancer while an acknowledgement of one of its probes is in transit.
    fn pause(&mut self, name: &str) {
        while !self.network.has_ack_in_transit(name) {
            self.run(Duration::from_micros(100));
        }
        self.network.balancer(name).paused = true;
    }

    fn resume(&mut self, name: &str) {
        let now = self.network.now;
        self.network.resume(name);
        let balancer = self.network.balancer(name);
        let verdict = if balancer.node.has_majority(now) {
            "VIOLATED: holds"
        } else {
            "fenced"
        };
        writeln!(self.output, "{name} on wake-up: {verdict}").unwrap();
    }

    /// Returns whether the view of a balancer should contain another one as an owner of flows.
    fn is_expected_owner(&self, name: &str, other: &str) -> bool {
        let balancers = &self.network.balancers;
        let zone = &balancers[other].zone;
        if !balancers[other].running || self.excluded.contains(other) {
            return false;
        }
        if self.network.cut_links.is_empty() {
            return true;
        }
        let mut peers = balancers
            .iter()
            .filter(|(_, it)| it.zone == *zone && it.running);
        let via = |peer: &str| self.network.is_connected(name, peer);
        if balancers[name].zone != *zone {
            return peers.any(|(peer, _)| via(peer));
        }
        peers.any(|(peer, _)| via(peer) && self.network.is_connected(peer, other))
    }

    /// Counts missing and unexpected owners over the views of all balancers.
    fn count_view_differences(&self) -> usize {
        let balancers = &self.network.balancers;
        let checked = balancers.iter().filter(|(name, balancer)| {
            balancer.running && !balancer.paused && !self.unchecked.contains(*name)
        });
        let expected = |name: &str| -> BTreeSet<u64> {
            let others = balancers
                .keys()
                .filter(|other| self.is_expected_owner(name, other));
            others.map(|other| id::from_name(other)).collect()
        };
        let is_uniform = self.network.cut_links.is_empty();
        let all = is_uniform.then(|| expected(""));
        let differences = checked.map(|(name, balancer)| match &all {
            Some(all) if *all == balancer.owners => 0,
            Some(all) => all.symmetric_difference(&balancer.owners).count(),
            None => expected(name)
                .symmetric_difference(&balancer.owners)
                .count(),
        });
        differences.sum()
    }

    /// Prints the time until all views are as expected, and checks that it is within a bound and that they stay so.
    fn check_convergence(&mut self, bound: Duration) {
        let start = self.network.now;
        let mut last = Duration::ZERO;
        while self.network.now < start + bound + STABLE_TIME {
            self.run(STEP);
            if self.count_view_differences() > 0 {
                last = self.network.now - start;
            }
        }
        let verdict = if last > bound { " EXCEEDED" } else { "" };
        let last = last.as_secs_f64();
        writeln!(self.output, "views equal after {last:.2} s{verdict}").unwrap();
    }

    /// Checks that all views stay as expected, and prints the highest number of differences.
    fn check_steady(&mut self, time: Duration) {
        let end = self.network.now + time;
        let mut most = 0;
        while self.network.now < end {
            self.run(STEP);
            most = most.max(self.count_view_differences());
        }
        let verdict = if most > 0 { " VIOLATED" } else { "" };
        writeln!(self.output, "wrong view entries: {most}{verdict}").unwrap();
    }

    /// Checks that no view contains an owner that would refuse requests because it does not hold the fence. Counts such
    /// owners at each step.
    fn check_owners_have_fence(&mut self, time: Duration) {
        let end = self.network.now + time;
        let mut fenced = 0;
        while self.network.now < end {
            self.run(STEP);
            let now = self.network.now;
            let balancers = || self.network.balancers.values().filter(|it| it.running);
            let is_owner = |id: u64| balancers().any(|balancer| balancer.owners.contains(&id));
            let refusing = balancers().filter(|balancer| !balancer.node.has_majority(now));
            fenced += refusing
                .filter(|balancer| is_owner(balancer.node.membership().me().id))
                .count();
        }
        let verdict = if fenced > 0 { " VIOLATED" } else { "" };
        writeln!(self.output, "owners without the fence: {fenced}{verdict}").unwrap();
    }

    /// Checks that more time than a bound passed from a member's last answered probe until it was declared dead. With
    /// the validity of an acknowledgement as the bound, its fence had expired by then.
    fn check_death_times(&mut self, bound: Duration) {
        let shortest = self.network.death_times.shortest().expect("a death");
        let verdict = if shortest > bound { "" } else { " VIOLATED" };
        let shortest = shortest.as_secs_f64();
        writeln!(
            self.output,
            "shortest time from an answered probe to death: {shortest:.2} s{verdict}"
        )
        .unwrap();
    }

    /// Checks that no two balancers on different sides of a partition hold the fence from 2 s after the start on, and
    /// that no holder has declared another one dead. Counts such pairs at each step, and prints when the first balancer
    /// lost the fence.
    fn check_fence(&mut self, time: Duration) {
        let start = self.network.now;
        let (mut both, mut dead, mut first) = (0, 0, None);
        while self.network.now < start + time {
            self.run(Duration::from_millis(20));
            let now = self.network.now;
            let balancers = self
                .network
                .balancers
                .iter()
                .filter(|(_, it)| it.running && !it.paused);
            let holding: Vec<_> = balancers
                .filter(|(_, balancer)| balancer.node.has_majority(now))
                .collect();
            let pairs = holding
                .iter()
                .flat_map(|a| holding.iter().map(move |b| (a, b)));
            for ((one, a), (other, b)) in pairs.filter(|((_, a), (_, b))| a.zone == b.zone) {
                let cut = !self.network.is_connected(one, other);
                both += usize::from(cut && now > start + Duration::from_secs(2));
                let id = b.node.membership().me().id;
                let mut members = a.node.membership().members();
                let is_dead = members.any(|it| it.id == id && !it.state.is_live());
                dead += usize::from(is_dead);
            }
            if holding.len()
                < self
                    .network
                    .balancers
                    .values()
                    .filter(|it| it.running)
                    .count()
            {
                first = first.or(Some(now - start));
            }
        }
        let verdict = if both + dead > 0 { " VIOLATED" } else { "" };
        let first = first.map_or("never".to_owned(), |it| {
            format!("after {:.2} s", it.as_secs_f64())
        });
        writeln!(
            self.output,
            "both sides hold: {both}, holds while declared dead: {dead}, first fenced {first}{verdict}"
        )
        .unwrap();
    }

    /// Prints the number of voters in the quorum of each balancer, and the member that it is adding as a voter.
    fn print_voters(&mut self) {
        for (name, balancer) in &self.network.balancers {
            let quorum = balancer.node.membership().quorum();
            let count = quorum.voters().count();
            let names = self.network.balancers.keys();
            let joining = quorum.report().joining;
            let joining = joining.and_then(|id| names.clone().find(|it| id::from_name(it) == id));
            let joining = joining.map_or("none", |name| name.as_str());
            writeln!(self.output, "{name}: {count} voters, adding {joining}").unwrap();
        }
    }

    /// Prints the names of the balancers that hold the fence.
    fn print_fence_holders(&mut self) {
        let now = self.network.now;
        let balancers = self.network.balancers.iter();
        let holding =
            balancers.filter(|(_, balancer)| balancer.running && balancer.node.has_majority(now));
        let names: Vec<&str> = holding.map(|(name, _)| &**name).collect();
        writeln!(self.output, "holding: {}", names.join(" ")).unwrap();
    }

    /// Prints the bytes per second that a balancer sends, of membership and of all control messages, and checks the
    /// highest rates.
    fn check_bytes(&mut self, time: Duration, bounds: [usize; 2]) {
        let balancers = self.network.balancers.values_mut();
        balancers.for_each(|balancer| balancer.sent_bytes = [0; 2]);
        self.run(time);
        let running = self
            .network
            .balancers
            .values()
            .filter(|balancer| balancer.running);
        let rates = running.map(|it| it.sent_bytes.map(|bytes| bytes as f64 / time.as_secs_f64()));
        let rates: Vec<[f64; 2]> = rates.collect();
        for (at, what) in ["membership", "all"].into_iter().enumerate() {
            let count = rates.len();
            let mean = rates.iter().map(|rate| rate[at]).sum::<f64>() / count as f64;
            let most = rates.iter().map(|rate| rate[at]).fold(0.0, f64::max);
            let verdict = if most > bounds[at] as f64 {
                " EXCEEDED"
            } else {
                ""
            };
            writeln!(
                self.output,
                "{count} balancers, {what}: {mean:.0} bytes/s on average, {most:.0} at most{verdict}"
            )
            .unwrap();
        }
    }
}
