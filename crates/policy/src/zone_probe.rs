//! Probes of other zones, which detect whether a zone is reachable, and the handling of unreachable zones.

use {
    crate::{
        id::{Set, VmId},
        member::{Action, Body, Member, State, Update},
        member_list::UpdateSource,
        swim::Membership,
    },
    rand::seq::IndexedRandom,
    std::{collections::BTreeMap, time::Duration},
};

impl Membership {
    /// Returns whether members of a zone have recently answered this balancer.
    pub fn is_reachable(&self, zone: &str) -> bool {
        !self.unreachable.iter().any(|name| name == zone)
    }

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

    pub(crate) fn update_unreachable_zones(&mut self, now: Duration) -> bool {
        let zones: Set<String> = self
            .live()
            .filter(|member| member.place.zone != self.zone)
            .map(|member| member.place.zone.clone())
            .collect();
        for zone in &zones {
            self.zone_acks.entry(zone.clone()).or_insert(now);
        }
        let timeout = self.settings.zone_timeout;
        let silent = |(_, at): &(&String, &Duration)| now.saturating_sub(**at) > timeout;
        let unreachable: Vec<String> = self
            .zone_acks
            .iter()
            .filter(silent)
            .map(|(zone, _)| zone.clone())
            .collect();
        let changed = unreachable != self.unreachable;
        self.unreachable = unreachable;
        changed | (!self.unreachable.is_empty() && self.declare_unlisted_dead(now))
    }

    /// Declares members of unreachable zones dead that the VM list no longer names.
    ///
    /// No other member of such a zone may be left to do so.
    fn declare_unlisted_dead(&mut self, now: Duration) -> bool {
        let is_unlisted = |member: &&Member| {
            !self.is_reachable(&member.place.zone) && self.is_unlisted(member.id)
        };
        let unlisted: Vec<Update> = self
            .live()
            .filter(is_unlisted)
            .map(Member::update)
            .collect();
        let mut changed = false;
        for update in unlisted {
            let update = Update {
                state: State::Dead,
                ..update
            };
            changed |= self
                .member_list
                .apply(now, update, UpdateSource::Gossip, false);
        }
        changed
    }
}
