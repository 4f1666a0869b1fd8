//! Whether a balancer that relies on the watches of others has to watch the evacuations itself.
//!
//! It is designed for deployments in which balancers of an earlier version, or whose settings lack the evacuations, read
//! the store for a zone: the others are followers then, and none of them would learn of an evacuation. The few that hear
//! from such a balancer watch, and the rest learn of changes from their reports.

use {crate::report::Role, std::time::Duration};

/// How a balancer learns of evacuations.
#[derive(Debug, Default)]
pub struct EvacuationWatch {
    role: Role,
    /// Time since which a peer of the zone has not known the evacuations.
    lacking_since: Option<Duration>,
}

impl EvacuationWatch {
    /// Updates the role with regard to evacuations; returns it if it has changed.
    ///
    /// `zone_role` applies to all other objects. A peer that has just started does not know the evacuations either, so
    /// it only counts after `patience`.
    pub fn update(
        &mut self,
        now: Duration,
        patience: Duration,
        zone_role: Role,
        has_lacking_peer: bool,
    ) -> Option<Role> {
        if has_lacking_peer {
            self.lacking_since.get_or_insert(now);
        } else {
            self.lacking_since = None;
        }
        let is_due = self
            .lacking_since
            .is_some_and(|since| now >= since + patience);
        let role = match zone_role {
            Role::Follower if is_due => Role::Watcher,
            role => role,
        };
        let has_changed = role != self.role;
        self.role = role;
        has_changed.then_some(role)
    }
}
