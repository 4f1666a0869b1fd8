//! Detection of upstreams that have ended, so that their flows can be reset.
//!
//! If an upstream has crashed, its callers would wait until their deadlines; a reset lets them retry at once. A reset
//! of a flow whose upstream is alive would break the flow. Missing answers alone are therefore no proof: they only
//! cause a probe, and any answer of the upstream overrides them.

use {
    crate::upstream::UpstreamId,
    skylarkflow_policy::id::Map,
    std::{mem, time::Duration},
};

/// Settings of a [`LivenessTracker`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Minimum time between two probes of an upstream that is dead or has just answered one.
    pub probe_interval: Duration,
    /// Time for which an answer on one flow overrides missing answers on others: callers retransmit after 200 ms, also
    /// if the upstream is still processing a slow request.
    pub answer_validity: Duration,
    /// Age of a probe from which its timeout is ignored: a probe takes half a second at most, so this process must
    /// have been paused meanwhile.
    pub probe_validity: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            probe_interval: Duration::from_secs(1),
            answer_validity: Duration::from_millis(100),
            probe_validity: Duration::from_secs(1),
        }
    }
}

/// Outcome of a probe, an HTTP health check of the upstream; the status code of the response does not matter.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ProbeOutcome {
    /// No response arrived in time.
    TimedOut,
    /// The address refused the connection.
    Refused,
    /// Another upstream responded at the address.
    Stranger,
    /// The upstream responded.
    Answered,
}

impl ProbeOutcome {
    /// Combines the outcomes of two attempts; a response of the upstream overrides any other outcome.
    pub fn or(self, other: ProbeOutcome) -> ProbeOutcome {
        self.max(other)
    }
}

/// Action that concerns an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Probe it and report the outcome to [`LivenessTracker::record_probe`].
    Probe(UpstreamId),
    /// It is dead: reset its flows.
    ResetFlows(UpstreamId, ProbeOutcome),
    /// It was considered dead, but is alive.
    Restored(UpstreamId),
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Status {
    #[default]
    Alive,
    Suspect,
    Dead,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    status: Status,
    is_probing: bool,
    probed_at: Option<Duration>,
    answered_at: Option<Duration>,
}

/// Liveness of the upstreams of one balancer.
#[derive(Debug, Default)]
pub struct LivenessTracker {
    settings: Settings,
    entries: Map<UpstreamId, Entry>,
    actions: Vec<Action>,
}

impl LivenessTracker {
    /// Creates a tracker in which every upstream is considered alive.
    pub fn new(settings: Settings) -> LivenessTracker {
        LivenessTracker {
            settings,
            ..LivenessTracker::default()
        }
    }

    /// Removes and returns the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Returns whether an upstream is considered dead.
    pub fn is_dead(&self, id: UpstreamId) -> bool {
        let entry = self.entries.get(&id);
        entry.is_some_and(|entry| entry.status == Status::Dead)
    }

    /// Returns whether an upstream is considered dead or is suspected to be, so that it gets no new flows.
    pub fn is_suspect_or_dead(&self, id: UpstreamId) -> bool {
        let entry = self.entries.get(&id);
        entry.is_some_and(|entry| entry.status != Status::Alive)
    }

    /// Records that an upstream answered on a flow.
    pub fn record_answer(&mut self, now: Duration, id: UpstreamId) {
        let entry = self.entries.entry(id).or_default();
        entry.answered_at = Some(now);
        self.mark_alive(id);
    }

    /// Records that an upstream did not answer a packet in time.
    pub fn record_missing_answer(&mut self, now: Duration, id: UpstreamId) {
        let settings = self.settings;
        let entry = self.entries.entry(id).or_default();
        let has_recent_answer = entry
            .answered_at
            .is_some_and(|at| now < at + settings.answer_validity);
        if entry.status == Status::Alive && !has_recent_answer {
            self.suspect(now, id);
        }
    }

    /// Records that the entry of an upstream was removed, which happens after a crash and after a drain.
    pub fn record_removal(&mut self, now: Duration, id: UpstreamId) {
        self.suspect(now, id);
    }

    /// Records that another upstream has registered itself at the address of the given one.
    pub fn record_replacement(&mut self, id: UpstreamId) {
        self.mark_dead(id, ProbeOutcome::Stranger);
    }

    /// Records that an upstream has registered itself, for the first time or again.
    pub fn record_registration(&mut self, id: UpstreamId) {
        self.mark_alive(id);
    }

    /// Removes all state of an upstream.
    pub fn forget(&mut self, id: UpstreamId) {
        self.entries.remove(&id);
    }

    /// Records the outcome of a probe that was sent at `sent`.
    pub fn record_probe(
        &mut self,
        now: Duration,
        sent: Duration,
        id: UpstreamId,
        outcome: ProbeOutcome,
    ) {
        let is_stale =
            outcome == ProbeOutcome::TimedOut && now >= sent + self.settings.probe_validity;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.is_probing = false;
        if outcome == ProbeOutcome::Answered {
            return self.mark_alive(id);
        }
        let has_answered = entry.answered_at.is_some_and(|at| at >= sent);
        if entry.status == Status::Suspect && (has_answered || is_stale) {
            entry.status = Status::Alive;
        } else if entry.status == Status::Suspect {
            self.mark_dead(id, outcome);
        }
    }

    /// Probes dead upstreams again at intervals while `is_registered` returns `true` for them.
    pub fn tick(&mut self, now: Duration, is_registered: impl Fn(UpstreamId) -> bool) {
        let probe_interval = self.settings.probe_interval;
        for (&id, entry) in &mut self.entries {
            let is_due = entry.probed_at.is_none_or(|at| now >= at + probe_interval);
            if entry.status == Status::Dead && is_due && !entry.is_probing && is_registered(id) {
                entry.is_probing = true;
                entry.probed_at = Some(now);
                self.actions.push(Action::Probe(id));
            }
        }
    }

    fn suspect(&mut self, now: Duration, id: UpstreamId) {
        let probe_interval = self.settings.probe_interval;
        let entry = self.entries.entry(id).or_default();
        let is_recently_probed = entry.probed_at.is_some_and(|at| now < at + probe_interval);
        if entry.status != Status::Alive || entry.is_probing || is_recently_probed {
            return;
        }
        entry.status = Status::Suspect;
        entry.is_probing = true;
        entry.probed_at = Some(now);
        self.actions.push(Action::Probe(id));
    }

    fn mark_dead(&mut self, id: UpstreamId, outcome: ProbeOutcome) {
        let entry = self.entries.entry(id).or_default();
        if entry.status != Status::Dead {
            entry.status = Status::Dead;
            self.actions.push(Action::ResetFlows(id, outcome));
        }
    }

    fn mark_alive(&mut self, id: UpstreamId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.status == Status::Dead {
            self.actions.push(Action::Restored(id));
        }
        entry.status = Status::Alive;
    }
}
