//! Load decisions of several balancers, measured against their baselines in a queueing model.

mod model;

use {
    datadriven::TestCase,
    model::{Fault, Place, Setup, Stats, mean},
    skylarkflow_policy::{
        health,
        path::{Change, Monitor, Settings},
        pool::{self, Signal},
        retry,
    },
    std::{fmt, thread, time::Duration},
};

/// Statistical noise of one run, as a share of capacity; a fall within it is not told from none.
const NOISE: f64 = 0.02;

struct Figures {
    requests: f64,
    work: f64,
    long: f64,
    stats: Stats,
}

impl Figures {
    fn new(setup: &Setup) -> Figures {
        let stats = setup.run();
        let seconds = setup.times.2 - setup.times.1;
        let capacity = setup.capacity() * seconds;
        let slots = f64::from(setup.slots) * setup.upstreams as f64;
        Figures {
            requests: (stats.good[0] + stats.good[1]) as f64 / capacity,
            work: stats.good_work / (slots * seconds),
            long: stats.good[1] as f64 / (capacity * setup.long_share.max(f64::MIN_POSITIVE)),
            stats,
        }
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Figures {
            requests,
            work,
            long,
            stats,
        } = self;
        let (short_p99, long_p99) = (stats.p99(false), stats.p99(true));
        write!(
            f,
            "goodput/capacity {requests:.3} work {work:.3} long {long:.3}, "
        )?;
        write!(f, "p99 short {short_p99:.3} s long {long_p99:.3} s, ")?;
        let Stats {
            offered,
            dispatches,
            early,
            refused,
            ..
        } = stats;
        write!(
            f,
            "offered {offered} sent {dispatches} early {early} refused {refused}"
        )
    }
}

fn setup(case: &TestCase) -> Setup {
    let number = |name: &str, default: f64| {
        let values = case.args.get(name);
        values.map_or(default, |values| values[0].parse().unwrap())
    };
    Setup {
        balancers: number("balancers", 9.0) as usize,
        upstreams: number("upstreams", 14.0) as usize,
        slots: number("slots", 2.0) as u32,
        flows: number("flows", 2_000.0) as usize,
        load: (0.5, number("load", 0.5)),
        long_share: number("long", 0.03),
        churn: number("churn", 0.0),
        times: (20.0, 25.0, number("seconds", 85.0)),
        place: Place::Policy,
        settings: Some(pool::Settings::default()),
        faults: Vec::new(),
        seed: number("seed", 1.0) as u64,
    }
}

fn with(setup: &Setup, change: impl Fn(&mut Setup, &mut pool::Settings)) -> Setup {
    let mut changed = setup.clone();
    let mut settings = pool::Settings::default();
    change(&mut changed, &mut settings);
    changed.settings = Some(settings);
    changed
}

fn baseline(setup: &Setup) -> Setup {
    Setup {
        settings: None,
        ..setup.clone()
    }
}

/// Guards against a goodput that collapses under overload.
fn goodput(setup: &Setup) -> String {
    let measure = |load| {
        let offered = with(setup, |setup, _| setup.load.1 = load);
        (
            load,
            Figures::new(&offered),
            Figures::new(&baseline(&offered)),
        )
    };
    let rows: Vec<_> = thread::scope(|scope| {
        let threads = [0.5, 0.7, 1.0, 1.5, 2.0, 3.0].map(|load| scope.spawn(move || measure(load)));
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let mut highest = 0.0_f64;
    let mut falls = 0;
    for (load, policy, baseline) in rows {
        println!("  load {load}: {policy}\n    baseline: {baseline}");
        falls += usize::from(policy.requests < highest - NOISE);
        highest = highest.max(policy.requests);
    }
    format!("falls: {falls}\n")
}

/// Shows how evenly flows and work are spread.
fn imbalance(setup: &Setup) -> String {
    let places = [
        Place::Policy,
        Place::Random,
        Place::RoundRobin,
        Place::PlainHash,
    ];
    for place in places {
        let stats = with(setup, |setup, _| setup.place = place).run();
        let (work, flows) = (mean(&stats.work_imbalance), mean(&stats.flow_imbalance));
        println!("  {place:?}: work {work:.3} flows {flows:.3} (goal 1.10)");
    }
    String::new()
}

/// Shows how much short requests wait for long ones, and that long ones are served.
fn mixed(setup: &Setup) -> String {
    let row = |name: &str, setup: &Setup| {
        let mixed = Figures::new(setup);
        let alone = Setup {
            long_share: 0.0,
            ..setup.clone()
        };
        let ratio = mixed.stats.p99(false) / alone.run().p99(false);
        println!("  {name}: p99 ratio {ratio:.2}; {mixed}");
    };
    row("policy", setup);
    row("baseline", &baseline(setup));
    String::new()
}

/// Guards against retries that multiply the load when most upstreams refuse everything.
fn retries(setup: &Setup) -> String {
    let failing = with(setup, |setup, _| {
        let most = 0..setup.upstreams - 2;
        setup.faults = most
            .map(|server| (setup.times.1, Fault::Shed(server)))
            .collect();
    });
    let unlimited = with(&failing, |_, settings| {
        settings.retry = retry::Settings {
            ratio: 100.0,
            burst: 1e9,
            ..retry::Settings::default()
        };
    });
    let ratio = |name: &str, setup: &Setup| {
        let stats = setup.run();
        let ratio = stats.dispatches as f64 / stats.offered as f64;
        println!("  {name}: {ratio:.3} dispatches per request");
        ratio
    };
    ratio("policy without budget", &unlimited);
    ratio("baseline", &baseline(&failing));
    format!("at most 1.1: {}\n", ratio("policy", &failing) <= 1.1)
}

/// Guards against health and load reports that take working upstreams away or overload them.
fn lies(setup: &Setup) -> String {
    let run = |name: &str, signal: fn(Duration) -> Signal, health| {
        let told = with(setup, |setup, settings| {
            settings.health = health;
            for second in 20..setup.times.2 as u64 {
                let signal = signal(Duration::from_secs(second));
                let told = (0..setup.upstreams).map(|server| Fault::Tell(server, signal));
                setup
                    .faults
                    .extend(told.map(|fault| (second as f64, fault)));
            }
        });
        let figures = Figures::new(&told);
        println!("  {name}: {figures}");
        figures.requests
    };
    let down = |observed| Signal::Health {
        is_up: false,
        observed,
    };
    let idle = |observed| Signal::Load {
        waiting: 0,
        observed,
    };
    let trusting = health::Settings {
        answer_age: Duration::ZERO,
        open_above: 1.0,
        ..health::Settings::default()
    };
    let honest = Figures::new(setup);
    println!("  no reports: {honest}");
    run("all down, reports trusted", down, trusting);
    let kept = |value: f64| value >= honest.requests - NOISE;
    let down = run("all down", down, health::Settings::default());
    let idle = run("all idle", idle, health::Settings::default());
    format!("kept: {} {}\n", kept(down), kept(idle))
}

/// Guards against new flows on an upstream that leaves.
fn drain(setup: &Setup) -> String {
    let opens = |faults: Vec<Fault>| {
        let faults = faults.into_iter().map(|fault| (30.0, fault)).collect();
        let draining = Setup {
            faults,
            ..setup.clone()
        };
        draining.run().late_opens
    };
    println!(
        "  nobody told: {} flows after 3 s",
        opens(vec![Fault::Drain(0)])
    );
    let told = opens(vec![Fault::Drain(0), Fault::Tell(0, Signal::Drain(true))]);
    format!("after 3 s: {told}\n")
}

/// Guards against a cold upstream that gets its full share at once.
fn cold(setup: &Setup) -> String {
    let failures = |seconds| {
        let stats = with(setup, |setup, settings| {
            setup.faults = vec![(25.0, Fault::Silent(0)), (45.0, Fault::Restart(0, 20.0))];
            settings.admission.slow_start = Duration::from_secs_f64(seconds);
        })
        .run();
        let failures = stats.offered - stats.good[0] - stats.good[1];
        println!(
            "  slow start {seconds} s: {failures} of {} failed",
            stats.offered
        );
        failures
    };
    format!("fewer failures: {}\n", failures(0.001) > failures(10.0))
}

/// Guards against a path that stays silent, and against a request that is sent again on the new path.
fn path(lanes: u8) -> String {
    let mut monitor = Monitor::new(Settings {
        lanes,
        ..Settings::default()
    });
    let mut changes = Vec::new();
    let fault = Duration::from_secs(10);
    let silent = monitor.path(0, 1);
    for step in 0..2_000_u64 {
        let now = Duration::from_millis(10 * step);
        let path = monitor.sent(now, step, step % 16, 1);
        if path != silent || now < fault {
            monitor.answered(now + Duration::from_millis(5), step);
        }
        monitor.tick(now, &mut changes);
        if let Some(Change::Socket { from, to }) = changes.first() {
            assert_eq!((*from, from.lane), (silent, to.lane));
            assert_ne!(from, to);
            let seconds = (now - fault).as_secs_f64();
            return format!("replaced after {seconds:.2} s\n");
        }
    }
    "never replaced\n".to_owned()
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/load", |file| {
        file.run(|case| {
            println!("{} {:?}", case.directive, case.args);
            let setup = setup(case);
            match &*case.directive {
                "goodput" => goodput(&setup),
                "imbalance" => imbalance(&setup),
                "mixed" => mixed(&setup),
                "retries" => retries(&setup),
                "lies" => lies(&setup),
                "drain" => drain(&setup),
                "cold" => cold(&setup),
                "path" => path(case.args["lanes"][0].parse().unwrap()),
                directive => panic!("unknown directive {directive}"),
            }
        });
    });
}
