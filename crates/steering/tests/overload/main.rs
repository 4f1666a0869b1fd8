//! Replay of load beyond the capacity of a pool, with and without admission.
//!
//! Guards against an admission that wastes capacity, lets upstreams refuse most of what reaches them, starves a
//! priority, flaps, or resets flows while there is room. The bounds are the goals of [crowded
//! deployments](../../../../docs/crowded-deployments.md); the [design note](../../../../docs/design/admission.md) says
//! which are missed. All figures: `cargo test -p skylarkflow-steering --test overload -- --ignored --nocapture`.

mod figures;
mod simulation;
#[path = "../support/mod.rs"]
mod support;

use {
    figures::Outcome,
    simulation::{Course, Scenario, Simulation, Work},
    skylarkflow_steering::admission,
};

/// Goal for the work that is served in time, relative to what the slots can do.
const MIN_SERVED: f64 = 0.95;

/// Goal for the share of arrivals that upstreams refuse.
const MAX_REFUSED: f64 = 0.05;

/// Goal for the share of urgent requests in time while the capacity suffices for them alone.
const MIN_URGENT: f64 = 0.98;

/// Index of the urgent kind of request.
const URGENT: usize = 1;

const BALANCERS: u64 = 60;

fn run_with(
    course: Course,
    retries: bool,
    work: Work,
    admission: Option<admission::Settings>,
) -> Outcome {
    let scenario = Scenario {
        course,
        retries,
        work,
        refusal_ms: (50, 50),
        admission,
        seed: 1,
    };
    Simulation::new(scenario).run()
}

fn run(course: Course, retries: bool, work: Work, is_adaptive: bool) -> Outcome {
    let admission = is_adaptive.then(admission::Settings::default);
    run_with(course, retries, work, admission)
}

/// Returns the share of arrivals that are refused from the third second of a step on.
fn refused_after_onset(outcome: &Outcome) -> f64 {
    let seconds = &outcome.arrivals_by_second[3..9];
    let arrivals: u64 = seconds.iter().map(|(arrivals, _)| arrivals).sum();
    let refused: u64 = seconds.iter().map(|(_, refused)| refused).sum();
    refused as f64 / arrivals as f64
}

fn print(name: &str, outcome: &Outcome) {
    let [usual, urgent] = outcome.kinds;
    let resets = outcome.resets().max(1) as f64;
    let in_vain = usual.in_vain + urgent.in_vain;
    println!(
        "{name:40} served {:.3}, refused {:.3} (after onset {:.3}), in time {:.3} urgent {:.3}, reset {:.3} urgent \
         {:.4}, needless {:.3} with {:.3} of the slots free, in vain {:.3}, {:.2} of attempts opened, starts {}",
        outcome.served,
        outcome.refused(),
        refused_after_onset(outcome),
        outcome.in_time(0),
        outcome.in_time(URGENT),
        outcome.reset(0),
        outcome.reset(URGENT),
        (usual.needless + urgent.needless) as f64 / resets,
        outcome.free_slots,
        in_vain as f64 / (usual.arrivals + urgent.arrivals) as f64,
        outcome.opened as f64 / outcome.attempts as f64,
        outcome.limited,
    );
    let zones: Vec<String> = outcome
        .zones
        .iter()
        .map(|kinds| {
            let share = |kind: usize| kinds[kind].in_time as f64 / kinds[kind].requests as f64;
            format!("{:.3} {:.3}", share(0), share(URGENT))
        })
        .collect();
    println!("{:40} by zone {}", "", zones.join(", "));
}

fn name(course: Course, retries: bool, work: Work, is_adaptive: bool) -> String {
    let callers = if retries { "retries" } else { "once" };
    let admission = if is_adaptive { "adaptive" } else { "none" };
    format!("{work:?} {course:?} {callers} {admission}")
}

/// Prints the figures of the design note for one kind of work and of callers.
fn print_figures(work: Work, retries: bool) {
    let steps = [0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0].map(Course::Step);
    for course in steps.into_iter().chain([Course::Wave]) {
        for is_adaptive in [false, true] {
            let outcome = run(course, retries, work, is_adaptive);
            print(&name(course, retries, work, is_adaptive), &outcome);
        }
    }
}

#[test]
#[ignore = "prints figures of the design note"]
fn figures_with_exponential_work_and_retries() {
    print_figures(Work::Exponential, true);
}

#[test]
#[ignore = "prints figures of the design note"]
fn figures_with_exponential_work_without_retries() {
    print_figures(Work::Exponential, false);
}

#[test]
#[ignore = "prints figures of the design note"]
fn figures_with_constant_work_and_retries() {
    print_figures(Work::Constant, true);
}

#[test]
#[ignore = "prints figures of the design note"]
fn figures_with_constant_work_without_retries() {
    print_figures(Work::Constant, false);
}

/// Prints the figures of other settings, and of refusals that come as late as was measured.
#[test]
#[ignore = "prints figures of the design note"]
fn figures_of_alternatives() {
    let settings = admission::Settings::default();
    let with_target = |refusal_target| admission::Settings {
        refusal_target,
        ..settings
    };
    let alternatives = [
        ("as built", settings),
        ("target 0.02", with_target(0.02)),
        ("target 0.08", with_target(0.08)),
        (
            "not bound to processed rate",
            admission::Settings {
                min_processed: 0.0,
                max_processed: f64::INFINITY,
                ..settings
            },
        ),
        (
            "response time 100 ms",
            admission::Settings {
                response_time: support::ms(100),
                ..settings
            },
        ),
        (
            "no growth without refusals",
            admission::Settings {
                max_growth: 0.0,
                ..settings
            },
        ),
    ];
    for work in [Work::Exponential, Work::Constant] {
        for refusal_ms in [(50, 50), (45, 150)] {
            for (name, settings) in alternatives {
                let scenario = Scenario {
                    course: Course::Step(2.0),
                    retries: true,
                    work,
                    refusal_ms,
                    admission: Some(settings),
                    seed: 1,
                };
                let outcome = Simulation::new(scenario).run();
                print(&format!("{work:?} {refusal_ms:?} {name}"), &outcome);
            }
        }
    }
}

/// Below the capacity, nothing is reset, and the figures stay as they are without admission.
#[test]
fn nothing_is_reset_while_there_is_room() {
    for load in [0.5, 0.8] {
        let outcome = run(Course::Step(load), true, Work::Exponential, true);
        print(&format!("{load}"), &outcome);
        assert_eq!(outcome.resets(), 0, "{load}");
    }
}

/// Checks the goals at one load, with callers that retry. With exponential work, the goals for served requests and for
/// refusals exclude each other while balancers place flows without knowing each other's; the figure is printed.
fn check_goals(load: f64) {
    for work in [Work::Constant, Work::Exponential] {
        let today = run(Course::Step(load), true, work, false);
        let outcome = run(Course::Step(load), true, work, true);
        print(&name(Course::Step(load), true, work, true), &outcome);
        if work == Work::Constant {
            assert!(outcome.served >= MIN_SERVED, "served {}", outcome.served);
        }
        assert!(outcome.served > today.served, "served {}", outcome.served);
        assert!(outcome.in_time(URGENT) >= MIN_URGENT);
        assert!(outcome.in_time(URGENT) > today.in_time(URGENT));
        for (zone, kinds) in outcome.zones.iter().enumerate() {
            let urgent = kinds[URGENT].in_time as f64 / kinds[URGENT].requests as f64;
            assert!(urgent >= MIN_URGENT || load > 2.0, "zone {zone}: {urgent}");
            assert!(kinds[0].in_time > 0, "zone {zone} is starved");
        }
        // The goal is missed in the first two seconds, before the balancers know of the overload, and at 3 times the
        // capacity by flows that were opened then.
        println!("refused, goal {MAX_REFUSED}: {:.3}", outcome.refused());
        assert!(refused_after_onset(&outcome) <= MAX_REFUSED || load > 2.0);
        assert!(outcome.refused() < today.refused() / 4.0);
        check_end(&outcome);
    }
}

/// Guards against a control that stays closed after the overload, or that opens and closes during it.
fn check_end(outcome: &Outcome) {
    let end = Course::Step(1.0).end().as_secs() as usize;
    let late: u64 = outcome.resets_by_second.iter().skip(end + 2).sum();
    assert_eq!(late, 0, "{:?}", outcome.resets_by_second);
    assert!(
        outcome.limited <= 2 * BALANCERS,
        "{} starts",
        outcome.limited
    );
}

#[test]
fn goals_at_1_2_times_the_capacity() {
    check_goals(1.2);
}

#[test]
fn goals_at_1_5_times_the_capacity() {
    check_goals(1.5);
}

#[test]
fn goals_at_2_times_the_capacity() {
    check_goals(2.0);
}

#[test]
fn goals_at_3_times_the_capacity() {
    check_goals(3.0);
}
