//! Intervals between the probes, contact attempts and digest comparisons of the membership protocol.
//!
//! They are shorter while a balancer joins and after a change, so that a lost datagram delays it little: the tables of
//! a connected zone have to agree within 5 s. See [membership](../../../docs/design.md#8-membership).

use {
    crate::{member::State, swim::Membership},
    std::time::Duration,
};

/// Interval between attempts to contact members that are dead or unknown.
const CONTACT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between the probes of a joining balancer, which waits for its first majority, and between its attempts to
/// contact a first member. A lost datagram delays its activation by this time.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Time after a change during which member lists are compared more often, since the datagram that announced the change
/// may have been lost.
const UNSETTLED_PERIOD: Duration = Duration::from_secs(5);

/// Interval between comparisons of member lists while a change is recent.
const UNSETTLED_INTERVAL: Duration = Duration::from_millis(500);

impl Membership {
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

    /// Returns the interval until member lists are next compared.
    ///
    /// A large zone keeps the regular interval: after many changes at once nearly all parts of its list differ, and
    /// more comparisons would use up the byte budget that the updates need.
    pub(crate) fn digest_interval(&self, now: Duration) -> Duration {
        let interval = self.settings.digest_interval;
        let changed = self.member_list.iter().map(|member| member.since).max();
        let is_settled = changed.is_none_or(|at| now.saturating_sub(at) > UNSETTLED_PERIOD);
        if is_settled || self.is_large() {
            interval
        } else {
            interval.min(UNSETTLED_INTERVAL)
        }
    }
}
