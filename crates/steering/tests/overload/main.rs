//! Replay of load beyond the capacity of a pool, with and without admission.
//!
//! Guards against an admission that wastes capacity, lets upstreams refuse most of what reaches them, starves a
//! priority, or resets flows while there is room. All figures: `cargo test -p skylarkflow-steering --release --test
//! overload -- --ignored --nocapture`.

mod simulation;
#[path = "../support/mod.rs"]
mod support;

use {
    simulation::{Course, Outcome, Scenario, Simulation, Work},
    skylarkflow_steering::admission,
};

fn run(course: Course, retries: bool, work: Work, is_adaptive: bool) -> Outcome {
    let scenario = Scenario {
        course,
        retries,
        work,
        admission: is_adaptive.then(admission::Settings::default),
        seed: 1,
    };
    Simulation::new(scenario).run()
}

fn print(name: &str, outcome: &Outcome) {
    let [usual, urgent] = outcome.kinds;
    let by_second: Vec<String> = outcome
        .arrivals_by_second
        .iter()
        .map(|&(arrivals, refused)| format!("{:.3}", refused as f64 / arrivals.max(1) as f64))
        .collect();
    let resets = outcome.resets().max(1) as f64;
    println!(
        "{name:44} served {:.3} refused {:.3} in time {:.3} urgent {:.3} reset {:.3} urgent {:.4} needless {:.3} \
         free {:.3} vain {:.3} opened {:.2} starts {} resets {:?} refused {}",
        outcome.served,
        outcome.refused(),
        outcome.in_time(0),
        outcome.in_time(1),
        outcome.reset(0),
        outcome.reset(1),
        (usual.needless + urgent.needless) as f64 / resets,
        outcome.free_slots,
        (usual.in_vain + urgent.in_vain) as f64 / (usual.arrivals + urgent.arrivals) as f64,
        outcome.opened as f64 / outcome.attempts as f64,
        outcome.limited,
        &outcome.resets_by_second,
        by_second.join(" "),
    );
}

/// Prints the figures of the design note for one kind of caller and of work.
fn print_figures(work: Work, retries: bool) {
    let steps = [0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0].map(Course::Step);
    for course in steps.into_iter().chain([Course::Wave]) {
        for is_adaptive in [false, true] {
            let outcome = run(course, retries, work, is_adaptive);
            let callers = if retries { "retries" } else { "once" };
            let admission = if is_adaptive { "adaptive" } else { "none" };
            let name = format!("{work:?} {course:?} {callers} {admission}");
            print(&name, &outcome);
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
