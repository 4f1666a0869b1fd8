//! CONFIG: all processes are killed at the same moment and start again, and the configuration changes half a second after
//! the start, or just before the kill.

use {
    crate::{
        Outcome,
        site::{OTHER_SERVICE, SERVICE, Site, seconds},
    },
    std::{
        collections::BTreeMap,
        fmt::Write,
        thread,
        time::{Duration, Instant},
    },
};

/// Age of the copies from which the store serves calls with `Serializable` = 1: seconds.
const LAG: Duration = Duration::from_millis(5_000);

/// `ConfigApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

/// `ContactMs`.
const CONTACT: Duration = Duration::from_millis(4_000);

/// Time without trouble before the kill.
const CALM: Duration = Duration::from_millis(6_000);

/// When the configuration changes, and which machines there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// After the start.
    ChangeAfterStart,
    /// Just before the kill; each machine has taken the place of one that was removed permanently.
    ChangeBeforeKill,
}

/// Time from the kill to the start.
const DOWN: Duration = Duration::from_millis(600);

/// Time from the start to the change.
const CHANGE_DELAY: Duration = Duration::from_millis(500);

/// Time for which clients go on after the change.
const SERVING: Duration = Duration::from_millis(9_000);

pub fn run(order: Order, has_trouble: bool) -> Option<Outcome> {
    let is_after_start = order == Order::ChangeAfterStart;
    let mut site = Site::start([[3, 3, 2], [1, 1, 1]], LAG, usize::from(!is_after_start))?;
    site.start_clients();
    site.settle()?;
    thread::sleep(CALM);
    let count = site.processes.len();
    let change = |site: &Site| site.configure(7, OTHER_SERVICE);
    let changed_before = (!is_after_start).then(|| change(&site));
    if has_trouble {
        for at in 0..count {
            site.kill_process(at);
        }
        thread::sleep(DOWN);
        for at in 0..count {
            site.start_process(at)?;
        }
    }
    let started = Instant::now();
    let acknowledged = changed_before.unwrap_or_else(|| {
        thread::sleep(CHANGE_DELAY);
        change(&site)
    });
    let event = format!("version 7 acknowledged: the route leads to {OTHER_SERVICE}");
    site.events.push((acknowledged, event));
    thread::sleep(SERVING);
    site.stop_clients();

    let openings = site.openings.lock().unwrap().clone();
    let attempts = site.attempts.lock().unwrap().clone();
    let since = |at: Instant| at.saturating_duration_since(acknowledged).as_secs_f64();
    let mut record = String::new();
    let _ = writeln!(
        record,
        "trouble: {has_trouble}; order: {order:?}; without trouble, none of the {count} processes is killed\n\
         times below are seconds after the store has acknowledged version 7, by which the route leads to {OTHER_SERVICE}\n\
         start of the processes: {:.3}",
        seconds(acknowledged, started)
    );
    let _ = write!(record, "{}", site.record(acknowledged));
    let service_of = |id: u64| {
        let mut endpoints = site.endpoints.iter();
        endpoints
            .find(|endpoint| endpoint.id == id)
            .map(|endpoint| &*endpoint.service)
    };
    let mut late = 0;
    let mut last_by_machine = BTreeMap::new();
    let mut new_runs = 0;
    for opening in openings.iter().filter(|opening| opening.at > acknowledged) {
        // The clients open flows from ports that they have not used before.
        let attempt = attempts
            .iter()
            .find(|attempt| attempt.source == opening.source);
        let process = site
            .processes
            .iter()
            .find(|process| process.ip == opening.machine);
        let (Some(attempt), Some(process)) = (attempt, process) else {
            continue;
        };
        if service_of(opening.endpoint) == Some(OTHER_SERVICE) {
            new_runs += opening.runs;
            continue;
        }
        if service_of(opening.endpoint) != Some(SERVICE) || opening.runs == 0 {
            continue;
        }
        last_by_machine.insert(process.name.clone(), since(attempt.sent));
        let is_in_touch = attempt.sent >= started + CONTACT;
        if is_in_touch && attempt.sent > acknowledged + CONFIG_APPLY {
            late += 1;
            let _ = writeln!(
                record,
                "late: request of {} sent {:.3}, {:.3} after the start, run by {SERVICE}, endpoint i-{:x}, from {}",
                opening.source,
                since(attempt.sent),
                attempt.sent.duration_since(started).as_secs_f64(),
                opening.endpoint,
                process.name
            );
        }
    }
    let _ = writeln!(record, "requests run by {OTHER_SERVICE}: {new_runs}");
    for (name, last) in last_by_machine {
        let _ = writeln!(
            record,
            "last request that {name} sent to {SERVICE}: {last:.3}"
        );
    }
    let _ = writeln!(record, "requests run by {SERVICE} too late: {late}");
    Some(Outcome {
        is_broken: late > 0,
        record,
    })
}
