//! Ends a process in which a thread or task has panicked.

use {
    crate::{event, event_log::EventLog},
    std::{panic, process},
};

/// Exit code after a panic, as of a program without a panic hook.
const EXIT_CODE: i32 = 101;

/// Makes a panic in any thread or task log its place and end the whole process.
///
/// A process without the thread that handles packets, or without a task that follows the store, would still report that
/// it is ready. Whoever supervises the process starts it again.
pub fn install(balancer: &str) {
    let event_log = EventLog::new(balancer);
    panic::set_hook(Box::new(move |info| {
        event_log.record(&event::PANICKED, format_args!("{info}"));
        // The process may end before a buffered log is written.
        eprintln!("{info}");
        process::exit(EXIT_CODE);
    }));
}
