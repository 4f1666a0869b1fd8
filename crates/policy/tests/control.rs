//! Scenarios of membership and the fence, written in `tests/scenarios/`.
//!
//! A script has one command per line. A command that checks a bound prints the figure, and `EXCEEDED` or `VIOLATED`
//! where the bound does not hold.

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

/// Seed of the scripts without a range.
const SEED: u64 = 7;

const STEP: Duration = Duration::from_millis(50);

/// Time after a bound for which a converged state has to last.
const SETTLED: Duration = Duration::from_secs(3);

struct Script {
    network: Network,
    /// Balancers that the others are right to miss.
    without: BTreeSet<String>,
    /// Balancers whose own view is not checked.
    unchecked: BTreeSet<String>,
    saved: Option<(BTreeMap<String, Stored>, u64)>,
    /// Highest generation of each object that each balancer had in force.
    seen: BTreeMap<(String, String), u64>,
    reverts: usize,
    output: String,
}

#[test]
fn scenarios() {
    walk("tests/scenarios/control");
}

/// Runs beside the others, because it takes most of the time.
#[test]
fn large_zone() {
    walk("tests/scenarios/large");
}

/// Guards against a bound that holds at one seed only: the start phases and losses differ with each seed.
#[test]
fn seed_ranges() {
    walk("tests/scenarios/seeds");
}

fn walk(directory: &str) {
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
        return run_seed(input, Network::new(Settings::default(), SEED));
    };
    let (range, script) = rest.split_once('\n').expect("commands after the range");
    let (first, last) = range.split_once("..").expect("a range");
    let outputs = (number(first)..=number(last)).map(|seed| {
        let mut network = Network::new(Settings::default(), seed);
        network.variant = seed;
        (seed, run_seed(script, network))
    });
    seeds::worst(&outputs.collect::<Vec<_>>())
}

fn run_seed(input: &str, network: Network) -> String {
    let mut script = Script {
        network,
        without: BTreeSet::new(),
        unchecked: BTreeSet::new(),
        saved: None,
        seen: BTreeMap::new(),
        reverts: 0,
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
                let time = self.network.between(seconds(words[0]), seconds(words[1]));
                self.run(time);
            }
            "loss" => self.network.loss = words[0].parse().expect("a share"),
            "crash" => {
                let names: Vec<String> = words.iter().flat_map(|word| self.select(word)).collect();
                names.iter().for_each(|name| self.network.crash(name));
            }
            "unlist" => names().for_each(|name| self.network.unlist(&name)),
            "leave" => names().for_each(|name| {
                self.network.event(&name, Event::Leave);
                self.without.insert(name);
            }),
            "stop" => names().for_each(|name| {
                self.network.event(&name, Event::Stop);
                self.network.crash(&name);
            }),
            "pause" => names().for_each(|name| self.pause(&name)),
            "resume" => names().for_each(|name| self.resume(&name)),
            "without" => self.without = names().collect(),
            "unchecked" => self.unchecked = names().collect(),
            "cut" => self.cut(words[0], words[1]),
            "partition" => {
                self.cut(words[0], words[1]);
                self.cut(words[1], words[0]);
            }
            "heal" => self.network.cuts.clear(),
            "stale-list" => self.network.stale = Some(self.network.vms.clone()),
            "empty-list" => self.network.stale = Some(Vec::new()),
            "current-list" => self.network.stale = None,
            "platform-outage" => {
                let words = if words.is_empty() { &["*"] } else { words };
                let cuts = words.iter().flat_map(|word| self.select(word)).collect();
                self.network.platform_cuts = cuts;
                self.network.answer_watches();
            }
            "platform-back" => self.network.platform_cuts.clear(),
            "lose-answers" => self.network.loses_answers = true,
            "introduce" => self.network.introduce(),
            "seeds" => {
                let names = words.iter().flat_map(|word| self.select(word));
                let seeds = names.map(|name| self.network.hosts[&name].address);
                self.network.settings.member.seeds = seeds.collect();
            }
            "write" => self.write(words),
            "in-force" => self.in_force(seconds(words[0]), words[1], number(words[2])),
            "save" => self.saved = Some((self.network.objects.clone(), self.network.revision)),
            "restore" => {
                let (objects, revision) = self.saved.clone().expect("a saved store");
                self.network.objects = objects;
                self.network.revision = revision;
            }
            "older" => self.older(),
            "stored" => self.stored(words[0]),
            "reverts" => self.reverts(),
            "observe" => self.observe(words[0], words[1], words[2] == "draining"),
            "vm" => self.vm(words[0], words[1]),
            "drained" => self.drained(seconds(words[0]), words[1]),
            "calls" => self.calls(
                seconds(words[0]),
                words[1].parse().expect("calls per second"),
            ),
            "readers" => self.readers(words),
            "converge" => self.converge(seconds(words[0])),
            "steady" => self.steady(seconds(words[0])),
            "deaths-after" => self.deaths_after(seconds(words[0])),
            "fence" => self.fence(seconds(words[0])),
            "owners-hold" => self.owners_hold(seconds(words[0])),
            "holding" => self.holding(),
            "voters" => self.voters(),
            "bytes" => {
                let bounds = [1, 2].map(|at| number(words[at]) as usize);
                self.bytes(seconds(words[0]), bounds);
            }
            _ => panic!("unknown command {command}"),
        }
    }

    /// Starts balancers: a name, or a zone with a range as in `a:1-3`.
    fn start(&mut self, words: &[&str]) {
        for word in words {
            for name in self.select(word) {
                let zone: String = name.chars().take_while(|c| c.is_alphabetic()).collect();
                self.network.start(&name, &zone);
                self.without.remove(&name);
            }
        }
    }

    /// Returns the names that a word stands for: a list, a range as in `a:1-3`, or all balancers of a zone.
    fn select(&self, word: &str) -> Vec<String> {
        let mut names = Vec::new();
        for part in word.split(',') {
            if let Some((zone, range)) = part.split_once(':') {
                let (first, last) = range.split_once('-').expect("a range");
                let range = first.parse::<u32>().unwrap()..=last.parse::<u32>().unwrap();
                names.extend(range.map(|number| format!("{zone}{number}")));
            } else if part.ends_with(|c: char| c.is_numeric()) {
                names.push(part.to_owned());
            } else {
                let hosts = self.network.hosts.iter();
                let zone = hosts.filter(|(_, host)| host.zone == part || part == "*");
                names.extend(zone.map(|(name, _)| name.clone()));
            }
        }
        names
    }

    fn cut(&mut self, from: &str, to: &str) {
        let (from, to) = (self.select(from), self.select(to));
        for one in &from {
            for other in to.iter().filter(|&other| other != one) {
                let cut = (one.clone(), other.clone());
                self.network.cuts.insert(cut);
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.network.now + time;
        while self.network.now < end {
            let next = self.network.now + STEP;
            self.network.run_until(next.min(end));
            self.watch_generations();
        }
    }

    /// Pauses a balancer while an answer to one of its probes is on its way.
    fn pause(&mut self, name: &str) {
        while !self.network.is_acknowledged(name) {
            self.run(Duration::from_micros(100));
        }
        self.network.host(name).paused = true;
    }

    fn resume(&mut self, name: &str) {
        let now = self.network.now;
        self.network.resume(name);
        let host = self.network.host(name);
        let verdict = if host.node.has_majority(now) {
            "VIOLATED: holds"
        } else {
            "fenced"
        };
        writeln!(self.output, "{name} on wake-up: {verdict}").unwrap();
    }

    /// Returns whether a balancer should name another one as an owner.
    fn is_expected(&self, name: &str, other: &str) -> bool {
        let hosts = &self.network.hosts;
        let zone = &hosts[other].zone;
        if !hosts[other].running || self.without.contains(other) {
            return false;
        }
        if self.network.cuts.is_empty() {
            return true;
        }
        let mut peers = hosts
            .iter()
            .filter(|(_, it)| it.zone == *zone && it.running);
        let via = |peer: &str| self.network.connected(name, peer);
        if hosts[name].zone != *zone {
            return peers.any(|(peer, _)| via(peer));
        }
        peers.any(|(peer, _)| via(peer) && self.network.connected(peer, other))
    }

    /// Counts owners that a view lacks or wrongly names, over all views.
    fn differences(&self) -> usize {
        let hosts = &self.network.hosts;
        let checked = hosts
            .iter()
            .filter(|(name, host)| host.running && !host.paused && !self.unchecked.contains(*name));
        let expected = |name: &str| -> BTreeSet<u64> {
            let others = hosts.keys().filter(|other| self.is_expected(name, other));
            others.map(|other| id::from_name(other)).collect()
        };
        let is_uniform = self.network.cuts.is_empty();
        let all = is_uniform.then(|| expected(""));
        let differences = checked.map(|(name, host)| match &all {
            Some(all) if *all == host.owners => 0,
            Some(all) => all.symmetric_difference(&host.owners).count(),
            None => expected(name).symmetric_difference(&host.owners).count(),
        });
        differences.sum()
    }

    fn converge(&mut self, bound: Duration) {
        let start = self.network.now;
        let mut last = Duration::ZERO;
        while self.network.now < start + bound + SETTLED {
            self.run(STEP);
            if self.differences() > 0 {
                last = self.network.now - start;
            }
        }
        let verdict = if last > bound { " EXCEEDED" } else { "" };
        let last = last.as_secs_f64();
        writeln!(self.output, "views equal after {last:.2} s{verdict}").unwrap();
    }

    /// Counts differences over a time in which there should be none.
    fn steady(&mut self, time: Duration) {
        let end = self.network.now + time;
        let mut most = 0;
        while self.network.now < end {
            self.run(STEP);
            most = most.max(self.differences());
        }
        let verdict = if most > 0 { " VIOLATED" } else { "" };
        writeln!(self.output, "wrong view entries: {most}{verdict}").unwrap();
    }

    /// Counts instants at which some view names an owner that would refuse requests, since it does not hold.
    fn owners_hold(&mut self, time: Duration) {
        let end = self.network.now + time;
        let mut fenced = 0;
        while self.network.now < end {
            self.run(STEP);
            let now = self.network.now;
            let hosts = || self.network.hosts.values().filter(|it| it.running);
            let is_owner = |id: u64| hosts().any(|host| host.owners.contains(&id));
            let refusing = hosts().filter(|host| !host.node.has_majority(now));
            fenced += refusing
                .filter(|host| is_owner(host.node.membership().me().id))
                .count();
        }
        let verdict = if fenced > 0 { " VIOLATED" } else { "" };
        writeln!(self.output, "owners without the fence: {fenced}{verdict}").unwrap();
    }

    /// Checks that the fence of every member had expired when it was declared dead.
    fn deaths_after(&mut self, bound: Duration) {
        let shortest = self.network.deaths.shortest().expect("a death");
        let verdict = if shortest > bound { "" } else { " VIOLATED" };
        let shortest = shortest.as_secs_f64();
        writeln!(
            self.output,
            "shortest time from an answered probe to death: {shortest:.2} s{verdict}"
        )
        .unwrap();
    }

    /// Counts instants at which two sides of a partition hold, or at which a member holds that a holder declared dead.
    fn fence(&mut self, time: Duration) {
        let start = self.network.now;
        let (mut both, mut dead, mut first) = (0, 0, None);
        while self.network.now < start + time {
            self.run(Duration::from_millis(20));
            let now = self.network.now;
            let hosts = self
                .network
                .hosts
                .iter()
                .filter(|(_, it)| it.running && !it.paused);
            let holding: Vec<_> = hosts
                .filter(|(_, host)| host.node.has_majority(now))
                .collect();
            let pairs = holding
                .iter()
                .flat_map(|a| holding.iter().map(move |b| (a, b)));
            for ((one, a), (other, b)) in pairs.filter(|((_, a), (_, b))| a.zone == b.zone) {
                let cut = !self.network.connected(one, other);
                both += usize::from(cut && now > start + Duration::from_secs(2));
                let id = b.node.membership().me().id;
                let mut members = a.node.membership().members();
                let is_dead = members.any(|it| it.id == id && !it.state.is_live());
                dead += usize::from(is_dead);
            }
            if holding.len() < self.network.hosts.values().filter(|it| it.running).count() {
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

    /// Prints the number of voters that each balancer counts, and the member that it is about to add.
    fn voters(&mut self) {
        for (name, host) in &self.network.hosts {
            let base = host.node.membership().quorum();
            let count = base.voters().count();
            let names = self.network.hosts.keys();
            let joining = base.report().joining;
            let joining = joining.and_then(|id| names.clone().find(|it| id::from_name(it) == id));
            let joining = joining.map_or("none", |name| name.as_str());
            writeln!(self.output, "{name}: {count} voters, adding {joining}").unwrap();
        }
    }

    fn holding(&mut self) {
        let now = self.network.now;
        let hosts = self.network.hosts.iter();
        let holding = hosts.filter(|(_, host)| host.running && host.node.has_majority(now));
        let names: Vec<&str> = holding.map(|(name, _)| &**name).collect();
        writeln!(self.output, "holding: {}", names.join(" ")).unwrap();
    }

    /// Prints the bytes that each balancer sends, of membership and of all control messages.
    fn bytes(&mut self, time: Duration, bounds: [usize; 2]) {
        let hosts = self.network.hosts.values_mut();
        hosts.for_each(|host| host.bytes = [0; 2]);
        self.run(time);
        let running = self.network.hosts.values().filter(|host| host.running);
        let rates = running.map(|it| it.bytes.map(|bytes| bytes as f64 / time.as_secs_f64()));
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
