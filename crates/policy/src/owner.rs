//! Selection of the balancer that owns a flow.

use {
    crate::{
        flow::Hash,
        handover::Digest,
        id::{Map, VmId},
        lookup::{self, Input, Table},
        zone::Candidate,
    },
    std::{net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::Xxh3,
};

/// A balancer that may own flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Identifier of its VM.
    pub id: VmId,
    /// Availability zone.
    pub zone: String,
    /// Address of its peer socket.
    pub address: SocketAddr,
}

/// The balancer that serves a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A balancer of the flow's home zone.
    Owner(VmId),
    /// A balancer of another zone, because no balancer of the home zone is reachable.
    Acting(VmId),
    /// No balancer is known.
    NoBalancer,
}

/// The member balancers and the owner tables of all zones; immutable and replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    zones: Vec<Zone>,
    members: Vec<Member>,
    leaving: Vec<Member>,
    addresses: Map<VmId, SocketAddr>,
    digest: Digest,
}

#[derive(Clone, Debug)]
struct Zone {
    name: String,
    candidate: Candidate,
    table: Arc<Table>,
}

impl View {
    /// Builds the owner tables.
    ///
    /// `zones` lists every zone that may be a home zone, including those without a reachable member.
    pub fn new<'a>(zones: impl IntoIterator<Item = &'a str>, members: &'a [Member]) -> View {
        let mut names: Vec<&str> = zones
            .into_iter()
            .chain(members.iter().map(|member| &*member.zone))
            .collect();
        names.sort_unstable();
        names.dedup();
        let mut members = members.to_vec();
        members.sort_by_key(|member| member.id);
        View {
            digest: digest(&names, &members),
            addresses: members.iter().map(|one| (one.id, one.address)).collect(),
            zones: names
                .into_iter()
                .map(|name| Zone::new(name, &members))
                .collect(),
            leaving: Vec::new(),
            members,
        }
    }

    /// Adds draining balancers, which own no flows but still answer claims.
    pub fn with_leaving(mut self, leaving: &[Member]) -> View {
        let addresses = leaving.iter().map(|member| (member.id, member.address));
        self.addresses.extend(addresses);
        self.leaving = leaving.to_vec();
        self
    }

    /// Returns the view without a member, which would follow if that member crashed.
    pub fn without(&self, id: VmId) -> View {
        let mut view = self.clone();
        let Ok(at) = view.members.binary_search_by_key(&id, |member| member.id) else {
            return view;
        };
        let removed = view.members.remove(at);
        view.addresses.remove(&id);
        let names: Vec<&str> = self.zones.iter().map(|zone| &*zone.name).collect();
        view.digest = digest(&names, &view.members);
        // Only the table of the member's zone changes.
        for zone in view
            .zones
            .iter_mut()
            .filter(|zone| zone.name == removed.zone)
        {
            *zone = Zone::new(&removed.zone, &view.members);
        }
        view
    }

    /// Returns a digest of the zones and members; views with equal digests have equal tables.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the balancers that may own flows, in ascending order of their identifiers.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the draining balancers.
    pub fn leaving(&self) -> &[Member] {
        &self.leaving
    }

    /// Returns whether a balancer may own flows in this view.
    pub fn is_member(&self, id: VmId) -> bool {
        let found = self.members.binary_search_by_key(&id, |member| member.id);
        found.is_ok()
    }

    /// Returns whether `other` contains every zone of this view.
    pub fn zones_remain_in(&self, other: &View) -> bool {
        let is_in = |zone: &Zone| other.zones.iter().any(|one| one.name == zone.name);
        self.zones.iter().all(is_in)
    }

    /// Returns the balancer that serves a flow.
    pub fn decide(&self, flow: Hash) -> Decision {
        let rank = |zone: &&Zone| zone.candidate.rank(flow);
        let home = self.zones.iter().max_by_key(rank);
        if let Some(owner) = home.and_then(|zone| zone.table.get(flow)) {
            return Decision::Owner(owner);
        }
        let reachable = self
            .zones
            .iter()
            .filter(|zone| !zone.table.ids().is_empty());
        let acting = reachable.max_by_key(rank);
        let owner = acting.and_then(|zone| zone.table.get(flow));
        owner.map_or(Decision::NoBalancer, Decision::Acting)
    }

    /// Returns the address of the peer socket of a member or of a draining balancer.
    pub fn address(&self, id: VmId) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }
}

fn digest(zones: &[&str], members: &[Member]) -> Digest {
    let mut hasher = Xxh3::new();
    for name in zones {
        hasher.update(&(name.len() as u64).to_be_bytes());
        hasher.update(name.as_bytes());
    }
    for member in members {
        hasher.update(&member.id.to_be_bytes());
        hasher.update(member.zone.as_bytes());
    }
    hasher.digest()
}

impl Zone {
    fn new(name: &str, members: &[Member]) -> Zone {
        let members = members.iter().filter(|member| member.zone == name);
        let inputs: Vec<Input> = members
            .map(|member| Input {
                id: member.id,
                weight: 1,
            })
            .collect();
        Zone {
            name: name.to_owned(),
            candidate: Candidate::new(name),
            table: Arc::new(Table::new(&inputs, lookup::OWNER_SLOTS)),
        }
    }
}

impl Decision {
    /// Returns the balancer that serves the flow, if any.
    pub fn balancer(self) -> Option<VmId> {
        match self {
            Decision::Owner(id) | Decision::Acting(id) => Some(id),
            Decision::NoBalancer => None,
        }
    }
}
