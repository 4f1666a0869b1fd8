//! Log lines of one balancer, with a limit on lines that a sender of bad datagrams could cause.

use {
    crate::event::{self, Event},
    skylarkflow_policy::id::Map,
    std::{
        fmt::Arguments,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Writes the log lines of one balancer.
#[derive(Debug)]
pub struct EventLog {
    balancer: String,
    windows: Map<u16, Window>,
}

#[derive(Debug, Default)]
struct Window {
    /// Second after the start of the process in which the last line was written, plus one.
    second: AtomicU64,
    /// Lines of that second.
    written: AtomicU64,
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

    /// Returns whether a line of this kind is written at all, so that its text need not be prepared.
    pub fn is_enabled(&self, event: &Event) -> bool {
        log::log_enabled!(target: event.target, event.level)
    }

    /// Writes a line.
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

    /// Writes a line unless one of this kind was written within the same second; the next line counts those left out.
    pub fn record_limited(&self, now: Duration, event: &Event, text: Arguments<'_>) {
        self.record_sampled(now, event, 1, text);
    }

    /// Writes a line unless `limit` of this kind were written within the same second; the next line counts those left
    /// out.
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
