//! Log of numbered events of one balancer, with a rate limit for events that a sender of bad datagrams could trigger.

use {
    crate::event::{self, Event},
    skylarkflow_policy::id::Map,
    std::{
        fmt::Arguments,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Writes the events of one balancer to the log.
#[derive(Debug)]
pub struct EventLog {
    balancer: String,
    /// State of the rate limit for each event number.
    windows: Map<u16, Window>,
}

#[derive(Debug, Default)]
struct Window {
    /// Second since the start of the process to which `written` refers, plus one; 0 before the first line.
    second: AtomicU64,
    /// Lines written or suppressed in that second.
    written: AtomicU64,
    /// Lines suppressed since the last one that was written.
    suppressed: AtomicU64,
}

impl EventLog {
    /// Creates the event log of a balancer, whose name is part of every line.
    pub fn new(balancer: &str) -> EventLog {
        let windows = event::ALL.iter();
        EventLog {
            balancer: balancer.to_owned(),
            windows: windows
                .map(|event| (event.number, Window::default()))
                .collect(),
        }
    }

    /// Returns whether the log level lets this event through. Callers use it to skip formatting an unused text.
    pub fn is_enabled(&self, event: &Event) -> bool {
        log::log_enabled!(target: event.target, event.level)
    }

    /// Writes a line without a rate limit.
    pub fn record(&self, event: &Event, text: Arguments<'_>) {
        if !self.is_enabled(event) {
            return;
        }
        let code = event.code();
        log::log!(
            target: event.target,
            event.level,
            event = code.as_str(),
            balancer = self.balancer.as_str();
            "{text}"
        );
    }

    /// Writes a line, at most one a second for each event. The next line states how many were suppressed.
    pub fn record_limited(&self, now: Duration, event: &Event, text: Arguments<'_>) {
        self.record_sampled(now, event, 1, text);
    }

    /// Writes a line, at most `limit` a second for each event. The next line states how many were suppressed.
    pub fn record_sampled(&self, now: Duration, event: &Event, limit: u64, text: Arguments<'_>) {
        let Some(window) = self.windows.get(&event.number) else {
            return self.record(event, text);
        };
        let second = now.as_secs() + 1;
        if window.second.swap(second, Ordering::Relaxed) != second {
            window.written.store(0, Ordering::Relaxed);
        }
        if window.written.fetch_add(1, Ordering::Relaxed) >= limit {
            window.suppressed.fetch_add(1, Ordering::Relaxed);
            return;
        }
        match window.suppressed.swap(0, Ordering::Relaxed) {
            0 => self.record(event, text),
            count => self.record(event, format_args!("{text} ({count} more before)")),
        }
    }
}
