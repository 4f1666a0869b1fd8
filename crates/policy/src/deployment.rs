//! From the member list to the inputs of the owner tables.

use {
    crate::{
        member::Machine,
        owner::{self, View},
    },
    std::collections::BTreeSet,
};

/// Zones of a deployment and the members that own flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Deployment {
    /// Every zone that may be a home zone, also those without a reachable member, in ascending order.
    pub zones: Vec<String>,
    /// Alive and suspect members of the reachable zones, in ascending order of their identifiers.
    pub members: Vec<owner::Member>,
    gone: BTreeSet<String>,
}

impl Deployment {
    /// Derives zones and owners from what a balancer knows.
    pub fn new(machine: &Machine) -> Deployment {
        let mut zones: BTreeSet<&str> = machine.named().map(|(_, zone)| zone).collect();
        zones.extend(machine.members().map(|member| &*member.place.zone));
        let owner = |member: &crate::member::Member| owner::Member {
            id: member.id,
            zone: member.place.zone.clone(),
            address: member.place.address,
        };
        let members: Vec<owner::Member> = machine
            .members()
            .filter(|it| it.state.owns_flows() && machine.is_reachable(&it.place.zone))
            .map(owner)
            .collect();
        let named: BTreeSet<&str> = machine.named().map(|(_, zone)| zone).collect();
        let gone = named
            .into_iter()
            .filter(|zone| is_gone(machine, &members, zone));
        Deployment {
            gone: gone.map(str::to_owned).collect(),
            zones: zones.into_iter().map(str::to_owned).collect(),
            members,
        }
    }

    /// Builds the owner tables.
    pub fn view(&self) -> View {
        View::new(self.zones.iter().map(String::as_str), &self.members)
    }

    /// Returns whether the VM list confirms that every balancer of a zone is gone.
    ///
    /// A list that does not name this balancer is too old to confirm anything.
    pub fn is_gone(&self, zone: &str) -> bool {
        self.gone.contains(zone)
    }
}

fn is_gone(machine: &Machine, members: &[owner::Member], zone: &str) -> bool {
    let mut of_zone = machine.named().filter(|&(_, name)| name == zone);
    let unlisted = of_zone.all(|(id, _)| machine.is_unlisted(id));
    unlisted && !members.iter().any(|member| member.zone == zone)
}
