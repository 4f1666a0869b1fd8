//! Probes of other zones, which detect whether a zone is reachable.

use {
    crate::{
        id::VmId,
        member::{Action, Body, Member, State},
        swim::Membership,
    },
    rand::seq::IndexedRandom,
    std::{collections::BTreeMap, time::Duration},
};

impl Membership {
    /// Returns one member of each other zone. A suspect member is chosen only if all live members of the zone are
    /// suspect.
    ///
    /// Otherwise unanswered probes of a few crashed members would make their zone count as unreachable.
    pub(crate) fn remote_targets(&mut self) -> Vec<VmId> {
        let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
        for member in self.member_list.iter().filter(|it| it.state.is_live()) {
            if member.place.zone != self.zone {
                zones.entry(&member.place.zone).or_default().push(member);
            }
        }
        for members in zones.values_mut() {
            if members.iter().any(|it| it.state != State::Suspect) {
                members.retain(|it| it.state != State::Suspect);
            }
        }
        let members = zones.into_values();
        members
            .filter_map(|members| members.choose(&mut self.rng).map(|it| it.id))
            .collect()
    }

    /// Sends a probe of another zone to a second member of that zone, since the first one may have crashed.
    ///
    /// Both probes have the same sequence number, so the first acknowledgement answers both.
    pub(crate) fn probe_other_in_zone(
        &mut self,
        now: Duration,
        sequence: u16,
        target: VmId,
        actions: &mut Vec<Action>,
    ) {
        let others = self.live().filter(|it| {
            let is_answering = it.id != target && it.state != State::Suspect;
            is_answering && self.share_remote_zone(it.id, target)
        });
        let others: Vec<_> = others.map(|it| (it.id, it.place.address)).collect();
        if let Some(&(id, address)) = others.choose(&mut self.rng) {
            let body = Body::Ping(sequence, self.quorum.report());
            self.send(now, Some(id), address, body, actions);
        }
    }

    /// Returns whether two members are in the same zone and this is not the zone of this balancer.
    pub(crate) fn share_remote_zone(&self, one: VmId, other: VmId) -> bool {
        let zone = |id| self.member_list.get(id).map(|member| &member.place.zone);
        zone(one).is_some_and(|it| *it != self.zone && zone(other) == Some(it))
    }
}
