//! Load distribution of several balancers in a queueing model, compared with simpler policies.

mod model;

use {
    datadriven::TestCase,
    model::{Fault, MEASUREMENT_START, PlacementFunction, Setup, mean},
    skylarkflow_policy::{
        dispatch::{Dispatcher, Job, JobResult, Verdict},
        exchange::Effect,
        health,
        path::{Change, Monitor, Settings},
        pool::{self, Signal},
        retry,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Difference of goodput, as a share of capacity, that is within the statistical noise of one run.
const GOODPUT_TOLERANCE: f64 = 0.02;

fn setup(case: &TestCase) -> Setup {
    let number = |name: &str, default: f64| {
        let values = case.args.get(name);
        values.map_or(default, |values| values[0].parse().unwrap())
    };
    Setup {
        balancers: number("balancers", 9.0) as usize,
        upstreams: 14,
        slots: number("slots", 2.0) as u32,
        flows: number("flows", 2_000.0) as usize,
        load: number("load", 0.5),
        long_share: number("long", 0.03),
        churn: number("churn", 0.0),
        seconds: number("seconds", 85.0) as u64,
        placement: None,
        settings: Some(pool::Settings::default()),
        faults: Vec::new(),
    }
}

fn with_changes(setup: &Setup, change: impl FnOnce(&mut Setup, &mut pool::Settings)) -> Setup {
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

/// Returns the goodput as a share of capacity, the p99 latency of short requests in seconds, and a line of statistics.
fn measure(setup: &Setup) -> (f64, f64, String) {
    let stats = setup.run();
    let seconds = setup.seconds as f64 - MEASUREMENT_START.as_secs_f64();
    let capacity = setup.capacity() * seconds;
    let requests = (stats.answered_in_time[0] + stats.answered_in_time[1]) as f64 / capacity;
    let work =
        stats.answered_work_seconds / (f64::from(setup.slots) * setup.upstreams as f64 * seconds);
    let long =
        stats.answered_in_time[1] as f64 / (capacity * setup.long_share.max(f64::MIN_POSITIVE));
    let (short_p99, long_p99) = (stats.p99(false), stats.p99(true));
    let long_mean = mean(&stats.latencies[1]);
    let (offered, sent) = (stats.offered, stats.dispatches);
    let line = format!(
        "goodput/capacity {requests:.3} work {work:.3} long {long:.3}, \
         p99 short {short_p99:.3} s long {long_p99:.3} s mean {long_mean:.3} s, \
         offered {offered} sent {sent} early {} refused {}",
        stats.refused_early, stats.refused_by_upstream
    );
    (requests, short_p99, line)
}

/// Guards against a goodput that falls as the offered load rises.
fn check_goodput(setup: &Setup) -> String {
    let row = |load| {
        let offered = with_changes(setup, |setup, _| setup.load = load);
        let unlimited = with_changes(&offered, |_, settings| {
            settings.max_queued = usize::MAX;
            settings.max_wait_shares = [f64::INFINITY; 2];
        });
        (
            load,
            measure(&offered),
            [measure(&unlimited), measure(&baseline(&offered))],
        )
    };
    let rows = thread::scope(|scope| {
        let loads = [0.5, 0.7, 1.0, 1.5, 2.0, 3.0];
        loads
            .map(|load| scope.spawn(move || row(load)))
            .map(|thread| thread.join().unwrap())
    });
    let mut highest = 0.0_f64;
    let mut falls = 0;
    for (load, (goodput, _, policy), [(_, _, unlimited), (_, _, fifo)]) in rows {
        println!(
            "  load {load}: {policy}\n    no early refusal: {unlimited}\n    baseline: {fifo}"
        );
        falls += usize::from(goodput < highest - GOODPUT_TOLERANCE);
        highest = highest.max(goodput);
    }
    format!("falls: {falls}\n")
}

/// Prints the imbalance of flows and work, the ratio of the maximum to the mean over all upstreams.
fn print_imbalance(setup: &Setup) -> String {
    let placements: [(&str, Option<PlacementFunction>); 4] = [
        ("policy", None),
        ("random", Some(|random, _, _, count| random % count)),
        ("round robin", Some(|_, turn, _, count| turn % count)),
        ("plain hash", Some(|_, _, hash, count| hash % count)),
    ];
    for (name, placement) in placements {
        let stats = with_changes(setup, |setup, _| setup.placement = placement).run();
        let (work, flows) = (mean(&stats.work_imbalance), mean(&stats.flow_imbalance));
        println!("  {name}: work {work:.3} flows {flows:.3} (goal 1.10)");
    }
    String::new()
}

/// Prints by how much long requests raise the p99 latency of short ones, and the latency of the long ones.
fn print_mixed_latency(setup: &Setup) -> String {
    let row = |mixed: Setup| {
        let alone = Setup {
            long_share: 0.0,
            ..mixed.clone()
        };
        let (_, with_long, line) = measure(&mixed);
        (with_long / measure(&alone).1, line)
    };
    let (policy, fifo) = thread::scope(|scope| {
        let fifo = scope.spawn(|| row(baseline(setup)));
        (row(setup.clone()), fifo.join().unwrap())
    });
    for (name, (ratio, line)) in [("policy", policy), ("baseline", fifo)] {
        println!("  {name}: p99 ratio {ratio:.2}; {line}");
    }
    String::new()
}

/// Guards against retries that multiply the load while 12 of 14 upstreams refuse every request.
fn check_retry_ratio(setup: &Setup) -> String {
    let failing = with_changes(setup, |setup, _| {
        setup.faults = (2..14).map(|server| (25, server, Fault::Shed)).collect();
    });
    let unlimited = with_changes(&failing, |_, settings| {
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

/// Guards against false health and load reports that exclude working upstreams or overload them.
fn check_false_reports(setup: &Setup) -> String {
    let run = |name: &str, signal: fn(Duration) -> Signal, health| {
        let reporting = with_changes(setup, |setup, settings| {
            settings.health = health;
            let all = (20..setup.seconds).flat_map(|at| (0..14).map(move |server| (at, server)));
            let report = |at| Fault::Report(signal(Duration::from_secs(at)));
            setup.faults = all.map(|(at, server)| (at, server, report(at))).collect();
        });
        let (goodput, _, line) = measure(&reporting);
        println!("  {name}: {line}");
        goodput
    };
    let down = |observed| Signal::Health {
        is_up: false,
        observed,
    };
    let idle = |observed| Signal::Load {
        waiting: 0,
        observed,
    };
    let trusted = health::Settings {
        max_answer_age: Duration::ZERO,
        fail_open_above: 1.0,
        ..health::Settings::default()
    };
    let (without_reports, _, line) = measure(setup);
    println!("  no reports: {line}");
    run("all down, reports trusted", down, trusted);
    let is_kept = |goodput: f64| goodput >= without_reports - GOODPUT_TOLERANCE;
    let down = run("all down", down, health::Settings::default());
    let idle = run("all idle", idle, health::Settings::default());
    format!("kept: {} {}\n", is_kept(down), is_kept(idle))
}

/// Guards against new flows on a draining upstream.
fn check_drain(setup: &Setup) -> String {
    let late_flows = |faults: &[Fault]| {
        let faults = faults.iter().map(|&fault| (30, 0, fault));
        with_changes(setup, |setup, _| setup.faults = faults.collect())
            .run()
            .flows_after_drain
    };
    println!(
        "  without a report: {} flows after 3 s",
        late_flows(&[Fault::Drain])
    );
    format!(
        "after 3 s: {}\n",
        late_flows(&[Fault::Drain, Fault::Report(Signal::Drain(true))])
    )
}

/// Guards against a restarted upstream that gets its full share of requests before it has warmed up.
fn check_slow_start(setup: &Setup) -> String {
    let failures = |seconds| {
        let stats = with_changes(setup, |setup, settings| {
            setup.faults = vec![(25, 0, Fault::Silent), (45, 0, Fault::Restart(20.0))];
            settings.concurrency.slow_start = Duration::from_secs_f64(seconds);
        })
        .run();
        let failures = stats.offered - stats.answered_in_time[0] - stats.answered_in_time[1];
        println!(
            "  slow start {seconds} s: {failures} of {} failed",
            stats.offered
        );
        failures
    };
    format!("fewer failures: {}\n", failures(0.001) > failures(10.0))
}

/// Guards against a socket that stays in use although its path to the upstream delivers no more answers.
fn check_silent_path(case: &TestCase) -> String {
    let sockets = case.args["lanes"][0].parse().unwrap();
    let mut monitor = Monitor::new(Settings {
        sockets_per_upstream: sockets,
        ..Settings::default()
    });
    let mut changes = Vec::new();
    let fault = Duration::from_secs(10);
    let silent = monitor.path(0, 1);
    for step in 0..2_000_u64 {
        let now = Duration::from_millis(10 * step);
        let path = monitor.record_request(now, step, step % 16, 1);
        if path != silent || now < fault {
            monitor.record_answer(now + Duration::from_millis(5), step);
        }
        monitor.tick(now, &mut changes);
        if let Some(Change::Socket { from, to }) = changes.first() {
            assert_eq!((*from, from.socket), (silent, to.socket));
            assert_ne!(from, to);
            return format!("replaced after {:?}\n", now - fault);
        }
    }
    "never replaced\n".to_owned()
}

/// Prints the time to place a flow, which should not grow with the number of upstreams.
fn print_placement_cost() -> String {
    const FLOWS: u64 = 20_000;
    for upstreams in [10, 100, 1_000, 10_000] {
        let pool = model::resolve(upstreams, 2);
        let mut dispatcher = pool::PoolDispatcher::new(pool::Settings::default(), &pool, 9);
        let start = Instant::now();
        for flow in 0..FLOWS {
            let now = Duration::from_micros(100 * flow);
            let placement = dispatcher.place(now, flow.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let upstream = placement.unwrap().upstream;
            dispatcher.flow_opened(upstream);
        }
        let each = start.elapsed() / FLOWS as u32;
        println!("  {upstreams} upstreams: {each:?} for a new flow");
    }
    String::new()
}

/// Guards against a second run of a non-idempotent request. A request without an answer may have run, so it is retried
/// only if it is idempotent.
#[test]
fn unknown_outcome_is_not_retried() {
    let settings = pool::Settings::default();
    let mut dispatcher = pool::PoolDispatcher::new(settings, &model::resolve(1, 3), 1);
    let mut verdicts = Vec::new();
    let mut retry = |id, effect, result| {
        let job = Job {
            id,
            flow: id,
            upstream: model::id(0),
            class: 0,
            established: true,
            arrived: Duration::ZERO,
            deadline: Duration::from_secs(10),
            effect,
        };
        dispatcher.submit(Duration::ZERO, job, &mut verdicts);
        dispatcher.finished(Duration::from_millis(1), id, result, &mut verdicts);
        dispatcher.retry(Duration::from_millis(1), id).is_some()
    };
    // Answered requests fill the retry budget.
    (0..100).for_each(|id| assert!(!retry(id, Effect::NonIdempotent, JobResult::Answered)));
    assert!(!retry(100, Effect::NonIdempotent, JobResult::TimedOut));
    assert!(retry(101, Effect::NonIdempotent, JobResult::Refused));
    assert!(retry(102, Effect::Idempotent, JobResult::TimedOut));
}

/// Guards against callers that return all at once, or before there is room: Max-Age is one to two times the wait.
#[test]
fn refusals_that_come_together_have_different_max_ages() {
    let settings = pool::Settings::default();
    let mut dispatcher = pool::PoolDispatcher::new(settings, &model::resolve(1, 3), 1);
    let mut verdicts = Vec::new();
    let job = |id, now| Job {
        id,
        flow: id,
        upstream: model::id(0),
        class: 0,
        established: true,
        arrived: now,
        deadline: now + Duration::from_secs(10),
        effect: Effect::Idempotent,
    };
    let mut now = Duration::ZERO;
    for id in 0..20 {
        dispatcher.submit(now, job(id, now), &mut verdicts);
        dispatcher.tick(now, &mut verdicts);
        now += Duration::from_secs(1);
        dispatcher.finished(now, id, JobResult::Answered, &mut verdicts);
    }
    verdicts.clear();
    // Requests take a second, so many more than the slots cannot be answered within the deadline.
    for id in 100..200 {
        dispatcher.submit(now, job(id, now), &mut verdicts);
    }
    dispatcher.tick(now + Duration::from_secs(10), &mut verdicts);
    let max_ages: Vec<u32> = verdicts
        .iter()
        .filter_map(|verdict| match verdict {
            Verdict::Refuse { max_age, .. } => Some(*max_age),
            Verdict::Dispatch(_) => None,
        })
        .collect();
    println!("{max_ages:?}");
    assert!(max_ages.len() > 50, "{max_ages:?}");
    assert!(max_ages.iter().all(|max_age| (1..=30).contains(max_age)));
    let mut distinct = max_ages.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() >= 3, "{distinct:?}");
}

#[test]
fn goodput_under_overload() {
    scenarios("goodput");
}

#[test]
fn spread_of_load() {
    scenarios("spread");
}

#[test]
fn upstream_and_path_faults() {
    scenarios("faults");
}

fn scenarios(name: &str) {
    let file = format!("tests/scenarios/load/{name}.txt");
    // `datadriven::walk` ignores a missing file.
    assert!(std::path::Path::new(&file).exists());
    datadriven::walk(&file, |file| {
        file.run(|case| {
            println!("{} {:?}", case.directive, case.args);
            let setup = setup(case);
            match &*case.directive {
                "goodput" => check_goodput(&setup),
                "imbalance" => print_imbalance(&setup),
                "mixed" => print_mixed_latency(&setup),
                "retries" => check_retry_ratio(&setup),
                "lies" => check_false_reports(&setup),
                "drain" => check_drain(&setup),
                "cold" => check_slow_start(&setup),
                "path" => check_silent_path(case),
                "cost" => print_placement_cost(),
                directive => panic!("unknown directive {directive}"),
            }
        });
    });
}
