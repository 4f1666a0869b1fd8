//! Choice of the balancers that get a report.

use {
    crate::report::{Name, PeerInfo},
    skylarkflow_policy::id::{Map, Set},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Returns the addresses of the balancers of a zone at distances 1, 2, 4 and so on in a ring of members.
pub fn in_zone(ring: &[&PeerInfo], zone: &str, fanout: usize) -> Vec<SocketAddr> {
    let own = ring.iter().filter(|member| member.zone == zone);
    own.enumerate()
        .filter(|(index, _)| (index + 1).is_power_of_two())
        .take(fanout)
        .map(|(_, member)| member.address)
        .collect()
}

/// Returns the addresses of the next balancers of each other zone, which change with every report: those that a zone
/// relies on for changes may have ended.
pub fn in_other_zones(
    ring: &[&PeerInfo],
    zone: &str,
    fanout: usize,
    sequence: u64,
) -> Vec<SocketAddr> {
    let mut zones: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
    for member in ring.iter().filter(|member| member.zone != zone) {
        let addresses = zones.entry(&member.zone).or_default();
        addresses.push(member.address);
    }
    let next = zones.values().flat_map(|addresses| {
        let start = sequence as usize % addresses.len();
        addresses.iter().cycle().skip(start).take(fanout).copied()
    });
    next.collect()
}

/// Reports of a balancer with a new name to each balancer of its zone.
///
/// The others would otherwise know it only from their next list of the store, up to 30 s later, unless they are near it in
/// the ring.
#[derive(Debug, Default)]
pub struct Announcements {
    /// Number of reports to each of them, so that a lost one does no harm; 0 if there are no announcements.
    count: u32,
    sent: Map<Name, u32>,
}

impl Announcements {
    /// Starts to announce this balancer with `count` reports to each member.
    pub fn start(&mut self, count: u32) {
        self.count = count;
    }

    /// Returns the addresses of the members of a zone to which fewer reports were sent, and counts one for each.
    pub fn next_receivers(&mut self, ring: &[&PeerInfo], zone: &str) -> Vec<SocketAddr> {
        if self.count == 0 {
            return Vec::new();
        }
        if self.sent.len() > 2 * ring.len() {
            // Most of them are no longer members.
            let names: Set<&Name> = ring.iter().map(|member| &member.name).collect();
            self.sent.retain(|name, _| names.contains(name));
        }
        let mut receivers = Vec::new();
        for member in ring.iter().filter(|member| member.zone == zone) {
            let sent = self.sent.get(&member.name).copied().unwrap_or_default();
            if sent < self.count {
                self.sent.insert(member.name.clone(), sent + 1);
                receivers.push(member.address);
            }
        }
        receivers
    }
}
