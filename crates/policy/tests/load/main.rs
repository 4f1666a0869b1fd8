//! Load decisions of several balancers, measured against their baselines in a queueing model.

mod model;

use {
    datadriven::TestCase,
    model::{Fault, Place, Setup, mean},
    skylarkflow_policy::{
        health,
        path::{Change, Monitor, Settings},
        pool, retry,
    },
    std::{thread, time::Duration},
};

/// Statistical noise of one run, as a share of capacity; a fall within it is not told from none.
const NOISE: f64 = 0.02;

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

/// Guards against a goodput that collapses under overload.
fn goodput(setup: &Setup) -> String {
    let mut highest = 0.0_f64;
    let mut falls = 0;
    let loads = [0.5, 0.7, 1.0, 1.5, 2.0, 3.0];
    let measure = |load| {
        let offered = Setup {
            load: (0.5, load),
            ..setup.clone()
        };
        let policy = share(&offered);
        let baseline = share(&Setup {
            settings: None,
            ..offered
        });
        (load, policy, baseline)
    };
    let rows: Vec<_> = thread::scope(|scope| {
        let threads = loads.map(|load| scope.spawn(move || measure(load)));
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    for (load, policy, baseline) in rows {
        println!("  load {load}: {policy}");
        println!("    baseline: {baseline}");
        falls += usize::from(policy.requests < highest - NOISE);
        highest = highest.max(policy.requests);
    }
    format!("falls: {falls}\n")
}

struct Share {
    requests: f64,
    work: f64,
    long: f64,
    p99: [f64; 2],
    stats: String,
}

impl std::fmt::Display for Share {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "requests {:.3} work {:.3} long {:.3} of capacity, p99 short {:.3} s long {:.3} s {}",
            self.requests, self.work, self.long, self.p99[0], self.p99[1], self.stats
        )
    }
}

fn share(setup: &Setup) -> Share {
    let stats = setup.run();
    let seconds = setup.times.2 - setup.times.1;
    let capacity = setup.capacity() * seconds;
    let slots = f64::from(setup.slots) * setup.upstreams as f64;
    Share {
        requests: (stats.good[0] + stats.good[1]) as f64 / capacity,
        work: stats.good_work / (slots * seconds),
        long: stats.good[1] as f64 / (capacity * setup.long_share),
        p99: [stats.p99(false), stats.p99(true)],
        stats: format!(
            "offered {} dispatched {} early {} lost {} refused {}",
            stats.offered, stats.dispatches, stats.early, stats.lost, stats.refused
        ),
    }
}

fn imbalance(setup: &Setup) -> String {
    for place in [
        Place::Policy,
        Place::Random,
        Place::RoundRobin,
        Place::PlainHash,
    ] {
        let stats = Setup {
            place,
            ..setup.clone()
        }
        .run();
        println!(
            "  {place:?}: work {:.3} flows {:.3} (goal 1.10)",
            mean(&stats.work_imbalance),
            mean(&stats.flow_imbalance)
        );
    }
    String::new()
}

fn mixed(setup: &Setup) -> String {
    let alone = Setup {
        long_share: 0.0,
        ..setup.clone()
    };
    let baseline = |setup: &Setup| Setup {
        settings: None,
        ..setup.clone()
    };
    let ratio = |mixed: &Share, alone: &Share| mixed.p99[0] / alone.p99[0];
    let policy = share(setup);
    let fifo = share(&baseline(setup));
    println!("  policy {:.2}: {policy}", ratio(&policy, &share(&alone)));
    println!(
        "  fifo {:.2}: {fifo}",
        ratio(&fifo, &share(&baseline(&alone)))
    );
    String::new()
}

/// Guards against retries that multiply the load when most upstreams refuse everything.
fn retries(setup: &Setup) -> String {
    let unlimited = retry::Settings {
        ratio: 100.0,
        burst: 1e9,
        ..retry::Settings::default()
    };
    let ratio = |name: &str, settings| {
        let stats = Setup {
            settings,
            faults: (0..setup.upstreams - 2)
                .map(|server| (setup.times.1, Fault::Shed(server)))
                .collect(),
            ..setup.clone()
        }
        .run();
        let ratio = stats.dispatches as f64 / stats.offered as f64;
        println!("  {name}: {ratio:.3} dispatches per request");
        ratio
    };
    let policy = ratio("policy", setup.settings);
    ratio("unlimited", with(|settings| settings.retry = unlimited));
    ratio("fifo", None);
    format!("at most 1.1: {}\n", policy <= 1.1)
}

fn with(change: impl Fn(&mut pool::Settings)) -> Option<pool::Settings> {
    let mut settings = pool::Settings::default();
    change(&mut settings);
    Some(settings)
}

/// Guards against health and load reports that take working upstreams away or overload them.
fn lies(setup: &Setup) -> String {
    let trusting = health::Settings {
        answer_age: Duration::ZERO,
        open_above: 1.0,
        ..health::Settings::default()
    };
    let run = |name: &str, lie: Option<Fault>, settings| {
        let share = share(&Setup {
            settings,
            faults: lie.map(|lie| (20.0, lie)).into_iter().collect(),
            ..setup.clone()
        });
        println!("  {name}: {share}");
        share.requests
    };
    let honest = run("no reports", None, setup.settings);
    let down = run("all down", Some(Fault::AllDown), setup.settings);
    let idle = run("all idle", Some(Fault::AllIdle), setup.settings);
    run(
        "all down, reports trusted",
        Some(Fault::AllDown),
        with(|settings| settings.health = trusting),
    );
    let kept = |value: f64| value >= honest - NOISE;
    format!("kept: {} {}\n", kept(down), kept(idle))
}

/// Guards against new flows on an upstream that leaves.
fn drain(setup: &Setup) -> String {
    let opens = |is_told| {
        let stats = Setup {
            faults: vec![(30.0, Fault::Drain(0, is_told))],
            ..setup.clone()
        }
        .run();
        println!(
            "  told {is_told}: {} within 3 s, {} after",
            stats.early_opens, stats.late_opens
        );
        stats.late_opens
    };
    opens(false);
    format!("after 3 s: {}\n", opens(true))
}

/// Shows what a slow start spares the requests that reach a cold upstream.
fn cold(setup: &Setup) -> String {
    for seconds in [0.001, 10.0] {
        let share = share(&Setup {
            faults: vec![(25.0, Fault::Silent(0)), (45.0, Fault::Restart(0, 20.0))],
            settings: with(|settings| {
                settings.admission.slow_start = Duration::from_secs_f64(seconds);
            }),
            ..setup.clone()
        });
        println!("  slow start {seconds} s: {share}");
    }
    String::new()
}

/// Guards against a path that stays silent, and against a request that is sent again on the new path.
fn path(lanes: u8) -> String {
    let settings = Settings {
        lanes,
        ..Settings::default()
    };
    let mut monitor = Monitor::new(settings);
    let mut changes = Vec::new();
    let fault = Duration::from_secs(10);
    let silent = monitor.path(0, 1);
    let mut lost = 0;
    for step in 0..2_000_u64 {
        let now = Duration::from_millis(10 * step);
        let path = monitor.sent(now, step, step % 16, 1);
        if path != silent || now < fault {
            monitor.answered(now + Duration::from_millis(5), step);
        } else {
            lost += 1;
        }
        monitor.tick(now, &mut changes);
        if let Some(Change::Socket { from, to }) = changes.first() {
            assert_eq!((*from, from.lane), (silent, to.lane));
            assert_ne!(from, to);
            let seconds = (now - fault).as_secs_f64();
            println!("  replaced after {seconds:.2} s, {lost} requests lost");
            let bound = if lanes > 1 { 3.0 } else { 6.0 };
            return format!("within {bound} s: {}\n", seconds <= bound);
        }
    }
    "never\n".to_owned()
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
