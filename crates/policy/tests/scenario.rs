//! Scripted scenarios with several balancers. The scripts are in `scenarios/`; each says which failure it guards
//! against.

mod harness;

use {
    datadriven::{TestCase, walk},
    harness::{SimEvent, Simulation, fleet::Step},
    skylarkflow_policy::exchange::Effect,
    std::{
        collections::BTreeMap,
        str::FromStr,
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Parses the argument `name` of a directive or of a line of a script.
fn argument<T: FromStr>(arguments: &[(String, String)], name: &str) -> Option<T> {
    let mut arguments = arguments.iter();
    let (_, value) = arguments.find(|(key, _)| key == name)?;
    value.parse().ok()
}

/// Number of seeds that run concurrently.
const PARALLEL_SEEDS: usize = 4;

type Arguments = Vec<(String, String)>;

fn arguments(case: &TestCase) -> Arguments {
    let lists = case.args.iter();
    lists
        .flat_map(|(key, values)| values.iter().map(|value| (key.clone(), value.clone())))
        .collect()
}

fn start_simulation(arguments: &Arguments, seed: u64) -> Simulation {
    let get = |name: &str, default: f64| argument(arguments, name).unwrap_or(default);
    let mut simulation = Simulation::new(seed);
    simulation.zones = get("zones", 1.0) as usize;
    simulation.non_idempotent_share = get("posts", 0.5);
    simulation.think_time = Duration::from_secs_f64(get("think", 1.0));
    let deadline = Duration::from_secs_f64(get("deadline", 10.0));
    simulation.add_service("dispatch", get("upstreams", 4.0) as usize, 2, deadline);
    if let Some(count) = argument::<usize>(arguments, "other") {
        simulation.add_service("manifests", count, 2, deadline);
    }
    simulation.publish_tables();
    for index in 0..get("balancers", 3.0) as usize {
        let zone = format!("z{}", index % simulation.zones);
        simulation.join(&format!("b{index}"), &zone);
    }
    // All balancers have the first view before the callers start.
    simulation.run(simulation.now + Duration::from_secs(5));
    for service in 0..simulation.routes.len() {
        simulation.add_callers(service, get("flows", 10.0) as usize);
    }
    simulation.faults.skew = Duration::from_secs_f64(get("skew", 0.0));
    simulation.faults.loss = get("loss", 0.0);
    simulation.faults.duplication = get("double", 0.0);
    simulation.faults.late = get("late", 0.0);
    let without = arguments.iter().filter(|(key, _)| key == "without");
    let without = without.map(|(_, value)| value.replace('-', " "));
    simulation.faults.disabled_mechanisms.extend(without);
    simulation
}

/// Parses a line such as `5 leave name=b1`: the time in seconds, the step and its arguments.
fn parse_step(line: &str) -> (Duration, Step) {
    let mut words = line.split_whitespace();
    let at: f64 = words.next().unwrap().parse().unwrap();
    let verb = words.next().unwrap();
    let arguments: Vec<(String, String)> = words
        .map(|word| word.split_once('=').unwrap())
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect();
    let text = |name: &str| argument::<String>(&arguments, name).unwrap_or_default();
    let number = |name: &str| argument::<f64>(&arguments, name).unwrap_or_default();
    let name = text("name");
    let pool = text("pool");
    let period = Duration::from_secs_f64(number("for"));
    let step = match verb {
        "join" => Step::Join {
            name,
            zone: text("zone"),
        },
        "leave" => Step::Leave {
            name,
            limit: Duration::from_secs_f64(number("limit")),
        },
        "crash" => Step::Crash { name },
        "pause" => Step::Pause { name, period },
        "add" => Step::AddUpstreams {
            pool,
            count: number("count") as usize,
        },
        "drain" => Step::DrainUpstream { pool, name },
        "weight" => Step::SetWeight {
            pool,
            name,
            weight: number("weight") as u32,
        },
        "move" => Step::MoveUpstream {
            from: pool,
            name,
            to: text("to"),
        },
        "restart" => Step::RestartUpstream { name, period },
        "shed" => Step::ShedRequests {
            name,
            share: number("share"),
        },
        "work" => Step::SetServiceTime {
            name,
            max_service_time: Duration::from_secs_f64(number("longest")),
        },
        "fresh" => Step::OpenFlows {
            count: number("count") as usize,
            over: Duration::from_secs_f64(number("over")),
        },
        "silence" => Step::SuspendRequests { period },
        "freeze" => Step::FreezeTables { name },
        other => panic!("unknown step {other}"),
    };
    (Duration::from_secs_f64(at), step)
}

/// Totals over all seeds of a scenario.
#[derive(Debug, Default)]
struct Totals {
    requests: usize,
    broken_flows: usize,
    /// Flows that would break if a hash of the flow alone selected the upstream.
    plain_hash_broken_flows: usize,
    /// Non-idempotent requests that would run twice without deduplication.
    runs_without_deduplication: usize,
    violations: Vec<String>,
    counters: BTreeMap<&'static str, u64>,
}

impl Totals {
    fn add(&mut self, seed: u64, simulation: &Simulation) {
        let requests = simulation.requests.values();
        let posts = requests.filter(|one| one.effect == Effect::NonIdempotent);
        self.requests += simulation.requests.len();
        self.broken_flows += simulation.broken_flows.len();
        self.plain_hash_broken_flows += simulation.plain_hash_broken_flows.len();
        self.runs_without_deduplication += posts.filter(|one| one.transmissions > 1).count();
        let violations = simulation.violations().into_iter();
        self.violations
            .extend(violations.map(|one| format!("seed {seed}: {one}")));
        for (name, value) in &simulation.counters {
            *self.counters.entry(name).or_default() += value;
        }
    }

    /// Returns the counters that scenarios check, and prints the others to the standard output.
    fn report(&self, file: &str) -> String {
        let Totals {
            requests,
            broken_flows,
            plain_hash_broken_flows,
            runs_without_deduplication,
            violations,
            counters,
        } = self;
        println!(
            "{file}: {requests} requests; a plain hash would break {plain_hash_broken_flows} flows; \
             without deduplication, {runs_without_deduplication} requests would run twice"
        );
        println!("    broken flows {broken_flows}, {counters:?}");
        let shown = violations.iter().take(10);
        shown.for_each(|one| println!("    {one}"));
        let counter = |name: &str| counters.get(name).copied().unwrap_or_default();
        format!(
            "broken flows: {broken_flows}\nunknown outcomes: {}\nno answer: {}\nviolations: {}\n\
             new flows on a leaving upstream: {}\n",
            counter("outcome unknown"),
            counter("no answer"),
            violations.len(),
            counter("new flows on a leaving upstream"),
        )
    }
}

fn run(arguments: &Arguments, seed: u64, case: &TestCase) -> Simulation {
    let mut simulation = start_simulation(arguments, seed);
    let begin = simulation.now;
    for text in case.input.lines().filter(|text| !text.starts_with('#')) {
        let (at, step) = parse_step(text);
        simulation.schedule(begin + at, SimEvent::Script(step));
    }
    let own = self::arguments(case);
    let period: f64 = argument(&own, "for").unwrap();
    let random_steps = argument(&own, "chaos").unwrap_or(0);
    simulation.schedule_random_steps(random_steps, Duration::from_secs_f64(period));
    simulation.stop_at = begin + Duration::from_secs_f64(period);
    simulation.run(simulation.stop_at + Duration::from_secs(100));
    simulation
}

fn run_seeds(arguments: &Arguments, case: &TestCase, file: &str) -> String {
    let seeds: u64 = argument(arguments, "seeds").unwrap_or(1);
    let totals = Mutex::new(Totals::default());
    let first = argument(arguments, "first").unwrap_or(1);
    let next = AtomicU64::new(first);
    thread::scope(|scope| {
        for _ in 0..PARALLEL_SEEDS {
            scope.spawn(|| {
                while let seed = next.fetch_add(1, Ordering::Relaxed)
                    && seed < first + seeds
                {
                    let simulation = run(arguments, seed, case);
                    totals.lock().unwrap().add(seed, &simulation);
                }
            });
        }
    });
    totals.into_inner().unwrap().report(file)
}

#[test]
fn scenarios() {
    run_files("tests/scenarios/requests");
}

fn run_files(directory: &str) {
    walk(directory, |file| {
        let name = file.filename.clone();
        let mut started = Arguments::new();
        file.run(|case| match case.directive.as_str() {
            "start" => {
                started = arguments(case);
                String::new()
            }
            "run" => {
                let report = run_seeds(&started, case, &name);
                // The argument `show` lists the counters that the scenario checks.
                let wanted = case.args.get("show").cloned().unwrap_or_default();
                let is_wanted = |line: &&str| {
                    wanted
                        .iter()
                        .any(|one| line.starts_with(&one.replace('-', " ")))
                };
                let lines = report.lines().filter(is_wanted);
                lines.map(|line| format!("{line}\n")).collect()
            }
            other => panic!("unknown directive {other}"),
        });
    });
}
