//! The time from the last answered probe of a member to its declaration as dead.

use {
    skylarkflow_policy::{
        VmId, id,
        member::{Body, Membership, State},
        node::Message,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Measures the times from answered probes to declarations of death in a network.
#[derive(Default)]
pub struct DeathTimes {
    /// Times of first transmission, by the member that probes and the sequence number.
    probes_sent: BTreeMap<(VmId, u16), Duration>,
    /// Times at which members sent the latest of their probes that were answered.
    last_answered: BTreeMap<VmId, Duration>,
    shortest: Option<Duration>,
}

impl DeathTimes {
    /// Records when a probe is first sent. A retransmission has the same sequence number, and its answer does not
    /// extend the fence (the majority lease) any further.
    pub fn record_sent(&mut self, now: Duration, name: &str, message: &Message) {
        if let Message::Member(message) = message
            && let Body::Ping(sequence, _) = message.body
        {
            let key = (id::from_name(name), sequence);
            self.probes_sent.entry(key).or_insert(now);
        }
    }

    /// Records an acknowledgement that reaches the member that sent the probe.
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

    /// Records the members that the given member has declared dead at this time.
    pub fn record_deaths(&mut self, now: Duration, membership: &Membership) {
        let members = membership.members();
        let dead = members.filter(|it| it.state == State::Dead && it.since == now);
        let answered = dead.filter_map(|member| self.last_answered.get(&member.id));
        let times = answered.map(|&at| now.saturating_sub(at));
        self.shortest = times.chain(self.shortest).min();
    }

    /// Returns the shortest time from when a member sent the last of its probes that was answered until another member
    /// declared it dead.
    pub fn shortest(&self) -> Option<Duration> {
        self.shortest
    }
}
