//! DRAIN: the machines that read the current store are lost at the same moment, and an endpoint drains.

use {
    crate::{Outcome, site::Site},
    std::{
        fmt::Write,
        thread,
        time::{Duration, Instant},
    },
};

/// Age of the copies from which the store serves calls with `Serializable` = 1: seconds.
const LAG: Duration = Duration::from_millis(5_000);

/// What the case relies on besides the loss.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Setting {
    /// The copies are old.
    OldCopies,
    /// The copies are current, and each machine has taken the place of two earlier ones.
    ReplacedMachines,
}

/// `DrainMs`.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Time without trouble before the loss, longer than `ContactMs`: all machines are in touch.
const CALM: Duration = Duration::from_millis(6_000);

/// Time from the loss to the report of the endpoint.
const DRAIN_DELAY: Duration = Duration::from_millis(100);

/// Time for which the endpoint goes on serving.
const SERVING: Duration = Duration::from_millis(8_000);

pub fn run(setting: Setting, has_trouble: bool) -> Option<Outcome> {
    let (lag, replaced) = match setting {
        Setting::OldCopies => (LAG, 0),
        Setting::ReplacedMachines => (Duration::ZERO, 2),
    };
    let mut site = Site::start([[3, 3, 2], [0; 3]], lag, replaced)?;
    site.start_clients();
    site.settle()?;
    thread::sleep(CALM);
    let readers = site.readers();
    let lost_at = Instant::now();
    if has_trouble {
        for at in &readers {
            site.kill_process(*at);
        }
    }
    thread::sleep(DRAIN_DELAY);
    let leaving = &site.endpoints[0];
    let acknowledged = leaving.report(&site.store, "draining");
    let event = format!("endpoint i-{:x}: draining acknowledged", leaving.id);
    site.events.push((acknowledged, event));
    thread::sleep(SERVING);
    site.stop_clients();

    let leaving = site.endpoints[0].id;
    let openings = site.openings.lock().unwrap().clone();
    let attempts = site.attempts.lock().unwrap().clone();
    let since = |at: Instant| at.saturating_duration_since(acknowledged).as_secs_f64();
    let mut record = String::new();
    let lost: Vec<&str> = readers
        .iter()
        .map(|at| &*site.processes[*at].name)
        .collect();
    let _ = writeln!(
        record,
        "trouble: {has_trouble}; setting: {setting:?}; machines that read the current store: {lost:?}, lost {:.3} s before the acknowledgement\n\
         times below are seconds after the store has acknowledged that endpoint i-{leaving:x} is draining",
        acknowledged.duration_since(lost_at).as_secs_f64()
    );
    let _ = write!(record, "{}", site.record(acknowledged));
    let mut late = 0;
    let mut last_by_machine = std::collections::BTreeMap::new();
    for opening in openings
        .iter()
        .filter(|opening| opening.endpoint == leaving)
    {
        if !opening.is_open || opening.at < acknowledged {
            continue;
        }
        // The clients open flows from ports that they have not used before.
        let attempt = attempts
            .iter()
            .find(|attempt| attempt.source == opening.source);
        let Some(sent) = attempt.map(|attempt| attempt.sent) else {
            continue;
        };
        let process = site
            .processes
            .iter()
            .find(|process| process.ip == opening.machine);
        let Some(process) = process else {
            continue;
        };
        let is_late = sent >= acknowledged && opening.at > acknowledged + DRAIN;
        late += u32::from(is_late);
        last_by_machine.insert(process.name.clone(), since(opening.at));
        if is_late {
            let _ = writeln!(
                record,
                "late: flow of {} sent {:.3}, taken {:.3} from {}, requests run: {}",
                opening.source,
                since(sent),
                since(opening.at),
                process.name,
                opening.runs
            );
        }
    }
    for (name, last) in last_by_machine {
        let _ = writeln!(record, "last flow that {name} sent to it: {last:.3}");
    }
    let _ = writeln!(record, "flows sent to it later than {DRAIN:?}: {late}");
    Some(Outcome {
        is_broken: late > 0,
        record,
    })
}
