//! Whether an upstream still exists, so that flows which it can no longer answer are ended.
//!
//! A caller waits for its deadline if its upstream has crashed, and a reset lets it try again at once. A reset of a flow
//! whose upstream lives would break the flow, so silence alone decides nothing: it only asks for a probe, and any answer
//! of the upstream outweighs it.

use {
    crate::upstream::UpstreamId,
    skylarkflow_policy::id::Map,
    std::{mem, time::Duration},
};

/// Settings of a [`Register`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time between two probes of an upstream that is dead or has just answered one.
    pub recheck: Duration,
    /// Time for which an answer on any flow outweighs silence on another one: a slow request is repeated after 200 ms
    /// although its upstream works on it.
    pub answer_age: Duration,
    /// Time after which the lack of an answer to a probe says nothing, since this process was paused meanwhile; a probe
    /// takes half a second at most.
    pub probe_age: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            recheck: Duration::from_secs(1),
            answer_age: Duration::from_millis(100),
            probe_age: Duration::from_secs(1),
        }
    }
}

/// Outcome of a probe: an HTTP request for the health of the upstream, whose status does not matter.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// Nothing came back in time.
    TimedOut,
    /// Nothing listens at the address.
    Refused,
    /// Another upstream answers at the address.
    Stranger,
    /// The upstream answered.
    Answered,
}

impl Outcome {
    /// Combines the outcomes of two attempts; an answer outweighs everything else.
    pub fn or(self, other: Outcome) -> Outcome {
        self.max(other)
    }
}

/// Something to do about an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Probe it and report the outcome.
    Probe(UpstreamId),
    /// It is dead: end its flows.
    Sever(UpstreamId, Outcome),
    /// It lives.
    Restore(UpstreamId),
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Status {
    #[default]
    Alive,
    Suspect,
    Dead,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    status: Status,
    is_probing: bool,
    probed: Option<Duration>,
    answered: Option<Duration>,
}

/// The upstreams of one balancer.
#[derive(Debug, Default)]
pub struct Register {
    settings: Settings,
    records: Map<UpstreamId, Record>,
    actions: Vec<Action>,
}

impl Register {
    /// Creates a register in which every upstream lives.
    pub fn new(settings: Settings) -> Register {
        Register {
            settings,
            ..Register::default()
        }
    }

    /// Returns and forgets what is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Returns whether an upstream is dead.
    pub fn is_dead(&self, id: UpstreamId) -> bool {
        let record = self.records.get(&id);
        record.is_some_and(|record| record.status == Status::Dead)
    }

    /// Returns whether an upstream is dead or being probed, so that it gets no new flows.
    pub fn is_doubtful(&self, id: UpstreamId) -> bool {
        let record = self.records.get(&id);
        record.is_some_and(|record| record.status != Status::Alive)
    }

    /// Records that an upstream answered on a flow.
    pub fn answered(&mut self, now: Duration, id: UpstreamId) {
        let record = self.records.entry(id).or_default();
        record.answered = Some(now);
        self.restore(id);
    }

    /// Records that a packet of a flow was repeated.
    pub fn silent(&mut self, now: Duration, id: UpstreamId) {
        let settings = self.settings;
        let record = self.records.entry(id).or_default();
        let is_busy = record
            .answered
            .is_some_and(|at| now < at + settings.answer_age);
        if record.status == Status::Alive && !is_busy {
            self.suspect(now, id);
        }
    }

    /// Records that the entry of an upstream is gone, as after a crash and after a planned end.
    pub fn removed(&mut self, now: Duration, id: UpstreamId) {
        self.suspect(now, id);
    }

    /// Records that another upstream has registered itself at the address of this one.
    pub fn replaced(&mut self, id: UpstreamId) {
        self.sever(id, Outcome::Stranger);
    }

    /// Records that the entry of an upstream is new or back.
    pub fn registered(&mut self, id: UpstreamId) {
        self.restore(id);
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, id: UpstreamId) {
        self.records.remove(&id);
    }

    /// Records the outcome of a probe that was sent at `sent`.
    pub fn probed(&mut self, now: Duration, sent: Duration, id: UpstreamId, outcome: Outcome) {
        let is_stale = outcome == Outcome::TimedOut && now >= sent + self.settings.probe_age;
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        record.is_probing = false;
        if outcome == Outcome::Answered {
            return self.restore(id);
        }
        let has_answered = record.answered.is_some_and(|at| at >= sent);
        if record.status == Status::Suspect && (has_answered || is_stale) {
            record.status = Status::Alive;
        } else if record.status == Status::Suspect {
            self.sever(id, outcome);
        }
    }

    /// Probes the dead upstreams that may be back; `is_registered` tells whether the entry of one still exists.
    pub fn tick(&mut self, now: Duration, is_registered: impl Fn(UpstreamId) -> bool) {
        let recheck = self.settings.recheck;
        for (&id, record) in &mut self.records {
            let is_due = record.probed.is_none_or(|at| now >= at + recheck);
            if record.status == Status::Dead && is_due && !record.is_probing && is_registered(id) {
                record.is_probing = true;
                record.probed = Some(now);
                self.actions.push(Action::Probe(id));
            }
        }
    }

    fn suspect(&mut self, now: Duration, id: UpstreamId) {
        let recheck = self.settings.recheck;
        let record = self.records.entry(id).or_default();
        let is_recent = record.probed.is_some_and(|at| now < at + recheck);
        if record.status != Status::Alive || record.is_probing || is_recent {
            return;
        }
        record.status = Status::Suspect;
        record.is_probing = true;
        record.probed = Some(now);
        self.actions.push(Action::Probe(id));
    }

    fn sever(&mut self, id: UpstreamId, outcome: Outcome) {
        let record = self.records.entry(id).or_default();
        if record.status != Status::Dead {
            record.status = Status::Dead;
            self.actions.push(Action::Sever(id, outcome));
        }
    }

    fn restore(&mut self, id: UpstreamId) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if record.status == Status::Dead {
            self.actions.push(Action::Restore(id));
        }
        record.status = Status::Alive;
    }
}
