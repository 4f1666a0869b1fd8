//! Script commands on configuration, drains and calls to the platform.

use {
    super::{STEP, Script},
    skylarkflow_policy::{
        config::{Pool, Upstream},
        config_object::Object,
        config_reader::{Answer, Call, Reader},
        config_relay::Action,
        config_store::Store,
        id,
        node::Event,
        vm,
    },
    std::{fmt::Write, net::SocketAddr, time::Duration},
};

const UPSTREAMS: u16 = 4;

fn address(upstream: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, upstream as u8], 5683))
}

/// Returns a pool with the upstreams `u1` to `u4`, which differ between generations only in the one that drains.
fn pool(name: &str, generation: u64, drain: Option<&str>) -> Object {
    let upstream = |number: u16| Upstream {
        name: format!("u{number}"),
        address: address(number),
        zone: "a".to_owned(),
        weight: 1,
        drain: drain == Some(&*format!("u{number}")),
    };
    Object::from_pool(Pool {
        name: name.to_owned(),
        generation,
        slots: 2,
        connections: 2_000,
        upstreams: (1..=UPSTREAMS).map(upstream).collect(),
    })
}

impl Script {
    /// Writes a pool. The words are `NAME GENERATION EXPECTED [DRAINING]`, where `EXPECTED` is the generation that the
    /// writer has read and `DRAINING` an upstream, or `deleted` to delete the pool.
    pub fn write_pool(&mut self, words: &[&str]) {
        let name = words[0];
        let expected: u64 = words[2].parse().expect("a generation");
        let object = match words.get(3) {
            Some(&"deleted") => Object::deleted(&format!("pools/{name}"), super::number(words[1])),
            drain => pool(name, super::number(words[1]), drain.copied()),
        };
        let stored = self.network.objects.get(&object.key);
        let read = stored.filter(|it| it.object.generation == expected);
        let version = read.map_or(u64::from(expected > 0) * u64::MAX, |it| it.version);
        let result = if self.network.put(object, version) {
            "written"
        } else {
            "conflict"
        };
        writeln!(self.output, "{name}: {result}").unwrap();
    }

    /// Counts objects whose generation has decreased on a balancer.
    pub fn record_generations(&mut self) {
        for (name, balancer) in &self.network.balancers {
            let objects = balancer.node.relay().store().iter();
            for object in objects.filter(|it| it.is_configuration()) {
                let key = (name.clone(), object.key.clone());
                let highest = self.highest_generations.entry(key).or_default();
                self.reverted_generations += usize::from(object.generation < *highest);
                *highest = object.generation.max(*highest);
            }
        }
    }

    /// Runs until a condition holds, or for three times the bound, and prints the time that it took.
    fn run_until(&mut self, bound: Duration, what: &str, mut is_done: impl FnMut(&Script) -> bool) {
        let start = self.network.now;
        while !is_done(self) && self.network.now < start + bound * 3 {
            self.run(STEP);
        }
        let time = self.network.now - start;
        let verdict = if time > bound { " EXCEEDED" } else { "" };
        writeln!(
            self.output,
            "{what} after {:.2} s{verdict}",
            time.as_secs_f64()
        )
        .unwrap();
    }

    fn all_balancers(&self, is_done: impl Fn(&super::network::Balancer) -> bool) -> bool {
        let balancers = self.network.balancers.iter();
        balancers
            .filter(|(name, balancer)| balancer.running && !self.unchecked.contains(*name))
            .all(|(_, balancer)| is_done(balancer))
    }

    pub fn check_active(&mut self, bound: Duration, name: &str, generation: u64) {
        let id = id::from_name(name);
        let what = format!("{name} {generation} in force");
        self.run_until(bound, &what, |script| {
            script.all_balancers(|balancer| {
                let pool = balancer.tables.pools.get(&id);
                pool.is_some_and(|it| it.pool.generation == generation)
            })
        });
    }

    pub fn check_drained(&mut self, bound: Duration, upstream: &str) {
        let what = format!("{upstream} drains everywhere");
        self.run_until(bound, &what, |script| {
            script.all_balancers(|balancer| {
                let pools = balancer.tables.pools.values();
                let mut upstreams = pools.flat_map(|it| &it.pool.upstreams);
                upstreams.any(|it| it.name == upstream && it.drain)
            })
        });
    }

    pub fn observe_drain(&mut self, name: &str, upstream: &str, draining: bool) {
        let upstream = id::from_upstream("p", upstream);
        self.network
            .handle_event(name, Event::Upstream { upstream, draining });
    }

    /// Puts an upstream's VM on the platform's list, as live or leaving.
    pub fn list_vm(&mut self, upstream: &str, state: &str) {
        let number: u16 = upstream[1..].parse().expect("a number");
        self.network.unlist_vm(upstream);
        self.network.vms.push(vm::Record {
            name: upstream.to_owned(),
            address: address(number),
            zone: "a".to_owned(),
            role: vm::Role::Upstream,
            state: match state {
                "leaving" => vm::State::Leaving,
                _ => vm::State::Live,
            },
        });
    }

    pub fn print_stored(&mut self, name: &str) {
        let stored = self.network.objects.get(&format!("pools/{name}"));
        let generation = stored.map_or(0, |stored| stored.object.generation);
        writeln!(self.output, "store holds {name} {generation}").unwrap();
    }

    pub fn print_older_store(&mut self) {
        let is_reported = self.network.older_store_reports > 0;
        writeln!(self.output, "older store reported: {is_reported}").unwrap();
    }

    pub fn check_reverts(&mut self) {
        let reverts = self.reverted_generations;
        let verdict = if reverts > 0 { " VIOLATED" } else { "" };
        writeln!(self.output, "reverts: {reverts}{verdict}").unwrap();
    }

    pub fn check_calls(&mut self, time: Duration, bound: f64) {
        let before = self.network.platform_calls;
        self.run(time);
        let calls = self.network.platform_calls - before;
        let balancers = self.network.balancers.values();
        let own: u64 = balancers
            .map(|balancer| balancer.node.relay().reader().calls())
            .sum();
        let agrees = own == self.network.platform_calls as u64;
        self.print_rate(calls as f64 / time.as_secs_f64(), bound);
        writeln!(self.output, "own count agrees: {agrees}").unwrap();
    }

    /// Measures the rate of platform calls of readers whose peers send messages all the time. The words are `ZONES
    /// BALANCERS SECONDS BOUND`, with `BALANCERS` in each zone.
    pub fn check_reader_calls(&mut self, words: &[&str]) {
        let [zones, balancers, time] = [0, 1, 2].map(|at| super::number(words[at]));
        let mut calls = 0;
        let store = Store::default();
        for seed in 0..zones * balancers {
            let mut reader = Reader::new(seed);
            reader.set_rank((seed % balancers) as usize);
            for second in 0..time {
                tick_reader(&mut reader, Duration::from_secs(second), &store);
            }
            calls += reader.calls();
        }
        let bound = words[3].parse().expect("calls per second");
        write!(self.output, "{} balancers: ", zones * balancers).unwrap();
        self.print_rate(calls as f64 / time as f64, bound);
    }

    fn print_rate(&mut self, rate: f64, bound: f64) {
        let verdict = if rate > bound { " EXCEEDED" } else { "" };
        writeln!(self.output, "{rate:.2} calls/s{verdict}").unwrap();
    }
}

fn tick_reader(reader: &mut Reader, now: Duration, store: &Store) {
    let mut actions = Vec::new();
    reader.tick(now, now, false, &mut actions);
    let ends_watch = now.as_secs().is_multiple_of(30);
    let watched = Answer::Watched {
        revision: 1,
        objects: Vec::new(),
    };
    let mut answers: Vec<Answer> = ends_watch.then_some(watched).into_iter().collect();
    for action in actions {
        answers.extend(match action {
            Action::Call(Call::List) => Some(Answer::Listed {
                revision: 1,
                objects: Vec::new(),
            }),
            Action::Call(Call::Vms) => Some(Answer::Vms(Vec::new())),
            _ => None,
        });
    }
    for answer in answers {
        reader.handle_answer(now, answer, store, &mut Vec::new());
    }
}
