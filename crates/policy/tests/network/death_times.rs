//! The time from the last answered probe of a member to its declaration as dead.

use {
    skylarkflow_policy::{
        VmId, id,
        member::{Body, Membership, State},
        node::Message,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Answered probes and declarations of death of a network.
#[derive(Default)]
pub struct DeathTimes {
    probes_sent: BTreeMap<(VmId, u16), Duration>,
    last_answered: BTreeMap<VmId, Duration>,
    shortest: Option<Duration>,
}

impl DeathTimes {
    /// Records when a probe is first sent; a repetition has the same sequence number and does not extend the fence.
    pub fn record_sent(&mut self, now: Duration, name: &str, message: &Message) {
        if let Message::Member(message) = message
            && let Body::Ping(sequence, _) = message.body
        {
            let key = (id::from_name(name), sequence);
            self.probes_sent.entry(key).or_insert(now);
        }
    }

    /// Records an answer that reaches the member that probed.
    pub fn record_received(&mut self, name: &str, message: &Message) {
        if let Message::Member(message) = message
            && let Body::Ack(sequence, ..) = message.body
        {
            let id = id::from_name(name);
            let sent = self.probes_sent.get(&(id, sequence)).copied();
            let answered = self.last_answered.entry(id).or_default();
            *answered = sent.map_or(*answered, |sent| sent.max(*answered));
        }
    }

    /// Records the members that a member has just declared dead.
    pub fn record_deaths(&mut self, now: Duration, membership: &Membership) {
        let members = membership.members();
        let dead = members.filter(|it| it.state == State::Dead && it.since == now);
        let answered = dead.filter_map(|member| self.last_answered.get(&member.id));
        let times = answered.map(|&at| now.saturating_sub(at));
        self.shortest = times.chain(self.shortest).min();
    }

    /// Returns the shortest time from a member's last answered probe, from when it was sent, to its declaration as
    /// dead by any other.
    pub fn shortest(&self) -> Option<Duration> {
        self.shortest
    }
}
