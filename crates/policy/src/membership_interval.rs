//! Times between the rounds of the membership.
//!
//! They are shorter while a balancer joins and after a change, so that a lost datagram then costs little of the 5 s in
//! which the tables of a connected zone have to agree. See [membership](../../../docs/design.md#8-membership).

use {
    crate::{member::State, swim::Machine},
    std::time::Duration,
};

/// Time between two attempts to reach members that are dead or not known.
const CONTACT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two probe rounds of a balancer that waits for its first majority, and between two of its attempts to
/// reach a first member. A lost datagram delays the activation by this time.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Time after a change in which member lists are compared more often, since the news of it may have been lost.
const UNSETTLED: Duration = Duration::from_secs(5);

/// Time between two comparisons while a change is recent.
const UNSETTLED_INTERVAL: Duration = Duration::from_millis(500);

impl Machine {
    pub(crate) fn probe_interval(&self) -> Duration {
        match self.me().state {
            State::Joining => self.settings.probe_interval.min(JOIN_INTERVAL),
            _ => self.settings.probe_interval,
        }
    }

    pub(crate) fn contact_interval(&self) -> Duration {
        match self.peers().next() {
            None if self.me().state == State::Joining => JOIN_INTERVAL,
            _ => CONTACT_INTERVAL,
        }
    }

    /// Returns the time until the member list is next compared.
    ///
    /// After a burst, nearly all parts of a large zone's list differ. More comparisons would use up the byte budget
    /// that the news need.
    pub(crate) fn digest_interval(&self, now: Duration) -> Duration {
        let interval = self.settings.digest_interval;
        let changed = self.roster.iter().map(|member| member.since).max();
        let is_settled = changed.is_none_or(|at| now.saturating_sub(at) > UNSETTLED);
        if is_settled || self.is_large() {
            interval
        } else {
            interval.min(UNSETTLED_INTERVAL)
        }
    }
}
