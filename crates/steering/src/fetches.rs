//! Fetches of the tables of peers: those in progress, and those that have failed.
//!
//! A frozen process still accepts connections, so only the missing response shows it. Another peer is then asked as well,
//! and the one that has failed is avoided for a while.

use {
    skylarkflow_policy::id::Map,
    std::{net::SocketAddr, time::Duration},
};

/// Settings of [`Fetches`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Timeout of a fetch.
    pub timeout: Duration,
    /// Time without a response after which another source is tried as well; longer than the pauses of a balancer whose
    /// CPU quota is used up.
    pub hedge_delay: Duration,
    /// Maximum number of fetches at a time.
    pub max_in_progress: usize,
    /// Time for which a peer is avoided after a fetch from it has failed, if others have newer tables.
    pub failure_memory: Duration,
    /// Minimum time between a failed fetch from a peer and the next one.
    pub retry_delay: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            timeout: Duration::from_millis(1_500),
            hedge_delay: Duration::from_millis(400),
            max_in_progress: 3,
            failure_memory: Duration::from_secs(3),
            retry_delay: Duration::from_millis(600),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Fetch {
    started_at: Duration,
    /// Whether the response has begun, so that the peer is alive and only the transfer takes time.
    has_response: bool,
}

/// Fetches of one balancer, by the address of the peer.
#[derive(Debug, Default)]
pub struct Fetches {
    settings: Settings,
    in_progress: Map<SocketAddr, Fetch>,
    /// Time of the last failure.
    failed: Map<SocketAddr, Duration>,
}

impl Fetches {
    /// Creates the state of a balancer that has fetched nothing yet.
    pub fn new(settings: Settings) -> Fetches {
        Fetches {
            settings,
            ..Fetches::default()
        }
    }

    /// Records the start of a fetch.
    pub fn start(&mut self, now: Duration, address: SocketAddr) {
        let fetch = Fetch {
            started_at: now,
            has_response: false,
        };
        self.in_progress.insert(address, fetch);
    }

    /// Records that the response has begun.
    pub fn record_response(&mut self, address: SocketAddr) {
        if let Some(fetch) = self.in_progress.get_mut(&address) {
            fetch.has_response = true;
        }
    }

    /// Records that a fetch has succeeded or failed.
    pub fn finish(&mut self, now: Duration, address: SocketAddr, has_succeeded: bool) {
        self.in_progress.remove(&address);
        if has_succeeded {
            self.failed.remove(&address);
        } else {
            self.failed.insert(address, now);
        }
    }

    /// Counts fetches that have timed out as failed, and forgets old failures.
    pub fn expire(&mut self, now: Duration) {
        let Settings {
            timeout,
            failure_memory,
            ..
        } = self.settings;
        let is_over = |_: &SocketAddr, fetch: &mut Fetch| now >= fetch.started_at + timeout;
        let expired = self.in_progress.extract_if(is_over);
        self.failed
            .extend(expired.map(|(address, _)| (address, now)));
        self.failed
            .retain(|_, failed_at| now < *failed_at + failure_memory);
    }

    /// Returns whether a fetch has failed recently or is in progress, so that the next one must not wait.
    pub fn is_retrying(&self) -> bool {
        !self.in_progress.is_empty() || !self.failed.is_empty()
    }

    /// Returns whether no other source may be tried yet. With `may_hedge`, it may as soon as a response is late.
    pub fn is_waiting(&self, now: Duration, may_hedge: bool) -> bool {
        let Settings {
            hedge_delay,
            max_in_progress,
            ..
        } = self.settings;
        let is_promising =
            |fetch: &Fetch| fetch.has_response || now < fetch.started_at + hedge_delay;
        let mut in_progress = self.in_progress.values();
        in_progress.any(|fetch| !may_hedge || is_promising(fetch))
            || self.in_progress.len() >= max_in_progress
    }

    /// Returns whether a peer may be asked now.
    pub fn is_available(&self, now: Duration, address: SocketAddr) -> bool {
        let retry_delay = self.settings.retry_delay;
        let failed_at = self.failed_at(address);
        !self.in_progress.contains_key(&address)
            && failed_at.is_none_or(|at| now >= at + retry_delay)
    }

    /// Returns the time at which a fetch from a peer has failed recently.
    pub fn failed_at(&self, address: SocketAddr) -> Option<Duration> {
        self.failed.get(&address).copied()
    }
}
