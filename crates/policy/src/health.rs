//! Passive and active health checks of the upstreams of a pool.
//!
//! Health endpoints lag and can be wrong, so the results of requests take precedence: an upstream that answers is up,
//! whatever its health endpoint reports. See [health](../../../docs/design.md#9-configuration).

use {
    crate::id::{Map, UpstreamId},
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// Settings of a [`Monitor`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Number of consecutive requests without an answer after which an upstream is down.
    pub failure_threshold: u32,
    /// Time after an answer for which reports of the health endpoint are ignored.
    pub max_answer_age: Duration,
    /// Age from which a report of the health endpoint is ignored.
    pub max_report_age: Duration,
    /// Time for which an upstream is down after its first ejection. It doubles with each further ejection until the
    /// upstream answers.
    pub base_ejection: Duration,
    /// Maximum time for which an ejected upstream is down.
    pub max_ejection: Duration,
    /// The pool fails open when a larger share of its upstreams than this looks down.
    pub fail_open_above: f64,
}

/// An observation of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// It answered or refused a request.
    Answered,
    /// A request got no answer before its deadline.
    TimedOut,
    /// A probe of its health endpoint ended.
    Report {
        /// Whether the endpoint reported that it is up.
        is_up: bool,
        /// Time of the probe.
        observed: Duration,
    },
}

/// A change of an upstream's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is now down.
    Down(UpstreamId),
    /// It is up again after failed requests. It may have restarted and needs a slow start.
    Cold(UpstreamId),
    /// It is up again; it was down only according to its health endpoint.
    Up(UpstreamId),
}

/// The health of the upstreams of one pool.
#[derive(Clone, Debug)]
pub struct Monitor {
    settings: Settings,
    records: Map<UpstreamId, UpstreamHealth>,
    down_count: usize,
    down_until: BinaryHeap<Reverse<(Duration, UpstreamId)>>,
}

#[derive(Clone, Debug, Default)]
struct UpstreamHealth {
    failures: u32,
    answered: Option<Duration>,
    ejections: u32,
    down: Option<Down>,
}

#[derive(Clone, Copy, Debug)]
struct Down {
    until: Duration,
    /// Whether failed requests caused it (passive check) and not a report of the health endpoint (active check).
    is_passive: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            failure_threshold: 3,
            max_answer_age: Duration::from_secs(10),
            max_report_age: Duration::from_secs(5),
            base_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(30),
            fail_open_above: 0.5,
        }
    }
}

impl Monitor {
    /// Creates a monitor without upstreams.
    pub fn new(settings: Settings) -> Monitor {
        Monitor {
            settings,
            records: Map::default(),
            down_count: 0,
            down_until: BinaryHeap::new(),
        }
    }

    /// Adds an upstream in the state up.
    pub fn add(&mut self, upstream: UpstreamId) {
        self.records.entry(upstream).or_default();
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: UpstreamId) {
        let record = self.records.remove(&upstream);
        self.down_count -= usize::from(record.is_some_and(|record| record.down.is_some()));
    }

    /// Returns whether an upstream looks down, regardless of [`fails_open`](Monitor::fails_open).
    pub fn looks_down(&self, upstream: UpstreamId) -> bool {
        let record = self.records.get(&upstream);
        record.is_some_and(|record| record.down.is_some())
    }

    /// Returns whether all upstreams are to be used because too many look down.
    ///
    /// In that case this balancer may itself have lost its network.
    pub fn fails_open(&self) -> bool {
        self.down_count as f64 > self.records.len() as f64 * self.settings.fail_open_above
    }

    /// Records a signal and returns the resulting change of state, if any.
    pub fn observe(
        &mut self,
        now: Duration,
        upstream: UpstreamId,
        signal: Signal,
    ) -> Option<Change> {
        let settings = self.settings;
        let record = self.records.get_mut(&upstream)?;
        let was_down = record.down.is_some();
        let was_passive = record.down.is_some_and(|down| down.is_passive);
        record.apply(&settings, now, signal);
        if let Some(down) = record.down {
            self.down_until.push(Reverse((down.until, upstream)));
        }
        match (was_down, record.down.is_some()) {
            (false, true) => {
                self.down_count += 1;
                Some(Change::Down(upstream))
            }
            (true, false) => {
                self.down_count -= 1;
                Some(recovery(upstream, was_passive))
            }
            _ => None,
        }
    }

    /// Returns upstreams to service whose ejection or report has expired, and appends the changes.
    ///
    /// Such an upstream is down again after one more failure.
    pub fn tick(&mut self, now: Duration, changes: &mut Vec<Change>) {
        while let Some(&Reverse((until, upstream))) = self.down_until.peek()
            && until <= now
        {
            self.down_until.pop();
            let Some(record) = self.records.get_mut(&upstream) else {
                continue;
            };
            let Some(down) = record.down.filter(|down| down.until <= now) else {
                continue;
            };
            record.down = None;
            self.down_count -= 1;
            changes.push(recovery(upstream, down.is_passive));
        }
    }
}

impl UpstreamHealth {
    fn apply(&mut self, settings: &Settings, now: Duration, signal: Signal) {
        match signal {
            Signal::Answered => {
                *self = UpstreamHealth {
                    answered: Some(now),
                    ..UpstreamHealth::default()
                };
            }
            Signal::TimedOut => self.record_failure(settings, now),
            Signal::Report { is_up, observed } => {
                self.record_report(settings, now, is_up, observed)
            }
        }
    }

    fn record_failure(&mut self, settings: &Settings, now: Duration) {
        self.failures += 1;
        let is_down = self.down.is_some_and(|down| down.is_passive);
        if is_down || self.failures < settings.failure_threshold {
            return;
        }
        let ejection = settings
            .base_ejection
            .saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.down = Some(Down {
            until: now + ejection.min(settings.max_ejection),
            is_passive: true,
        });
    }

    fn record_report(
        &mut self,
        settings: &Settings,
        now: Duration,
        is_up: bool,
        observed: Duration,
    ) {
        let until = observed + settings.max_report_age;
        let has_answered = self
            .answered
            .is_some_and(|at| now.saturating_sub(at) < settings.max_answer_age);
        let is_passive = self.down.is_some_and(|down| down.is_passive);
        if now >= until || has_answered || is_passive {
            return;
        }
        self.down = (!is_up).then_some(Down {
            until,
            is_passive: false,
        });
    }
}

fn recovery(upstream: UpstreamId, is_passive: bool) -> Change {
    if is_passive {
        Change::Cold(upstream)
    } else {
        Change::Up(upstream)
    }
}
