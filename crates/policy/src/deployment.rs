//! Zones and the members that own flows, derived from the membership as the input of the owner tables.

use {
    crate::{
        member::Membership,
        owner::{self, View},
    },
    std::collections::BTreeSet,
};

/// Zones of a deployment and the members that own flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Deployment {
    /// All zones that may be a home zone, including those without a reachable member, in ascending order.
    pub zones: Vec<String>,
    /// Alive and suspect members of the reachable zones, in ascending order of their identifiers.
    pub members: Vec<owner::Member>,
    removed: BTreeSet<String>,
}

impl Deployment {
    /// Derives zones and owners from the membership of a balancer.
    pub fn new(membership: &Membership) -> Deployment {
        let mut zones: BTreeSet<&str> = membership.ever_listed().map(|(_, zone)| zone).collect();
        zones.extend(membership.members().map(|member| &*member.place.zone));
        let owner = |member: &crate::member::Member| owner::Member {
            id: member.id,
            zone: member.place.zone.clone(),
            address: member.place.address,
        };
        let members: Vec<owner::Member> = membership
            .members()
            .filter(|it| it.state.owns_flows() && membership.is_reachable(&it.place.zone))
            .map(owner)
            .collect();
        let listed_zones: BTreeSet<&str> = membership.ever_listed().map(|(_, zone)| zone).collect();
        let removed = listed_zones
            .into_iter()
            .filter(|zone| is_removed(membership, &members, zone));
        Deployment {
            removed: removed.map(str::to_owned).collect(),
            zones: zones.into_iter().map(str::to_owned).collect(),
            members,
        }
    }

    /// Builds the owner tables.
    pub fn view(&self) -> View {
        View::new(self.zones.iter().map(String::as_str), &self.members)
    }

    /// Returns whether the VM list confirms that a zone has no balancers left.
    ///
    /// A list that does not contain this balancer is outdated and confirms nothing.
    pub fn is_removed(&self, zone: &str) -> bool {
        self.removed.contains(zone)
    }
}

fn is_removed(membership: &Membership, members: &[owner::Member], zone: &str) -> bool {
    let mut listed_in_zone = membership.ever_listed().filter(|&(_, name)| name == zone);
    let unlisted = listed_in_zone.all(|(id, _)| membership.is_unlisted(id));
    unlisted && !members.iter().any(|member| member.zone == zone)
}
