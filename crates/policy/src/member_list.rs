//! The member list of one balancer and the updates that it has yet to gossip.

use {
    crate::{
        id::{Incarnation, VmId},
        member::{Identity, Member, State, Update},
    },
    std::{collections::BTreeMap, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// Target number of members per digest bucket.
const MEMBERS_PER_BUCKET: usize = 16;

/// Largest number of digest buckets, which limits the encoded digests to 320 bytes.
const MAX_BUCKETS: usize = 64;

/// An update is sent at most this many times the natural logarithm of the number of members.
const SENDS_PER_LOG_MEMBERS: f64 = 3.0;

/// How a balancer received an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateSource {
    /// Gossiped as a change.
    Gossip,
    /// Part of a member list, which may be outdated.
    List,
}

/// Members known to a balancer and the updates to gossip.
#[derive(Clone, Debug)]
pub struct MemberList {
    me: VmId,
    suspicion_timeout: Duration,
    members: BTreeMap<VmId, Member>,
    pending: Vec<PendingUpdate>,
    /// Time until which members that are new to this balancer are not gossiped.
    suppress_new_until: Duration,
}

/// An update to gossip and the number of times that it was sent.
#[derive(Clone, Debug)]
struct PendingUpdate {
    update: Update,
    sent: usize,
}

impl MemberList {
    /// Creates a list that contains only this balancer.
    pub fn new(me: &Identity, suspicion_timeout: Duration) -> MemberList {
        let mut member_list = MemberList {
            me: me.id,
            suspicion_timeout,
            members: BTreeMap::new(),
            pending: Vec::new(),
            suppress_new_until: Duration::ZERO,
        };
        let own = Update {
            id: me.id,
            incarnation: me.incarnation,
            state: State::Joining,
            place: Some(me.place.clone()),
        };
        member_list.insert(Duration::ZERO, own);
        member_list
    }

    /// Returns the members in ascending order of their identifiers, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a member.
    pub fn get(&self, id: VmId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns this balancer.
    ///
    /// # Panics
    ///
    /// Never panics, because the list always contains this balancer.
    pub fn me(&self) -> &Member {
        &self.members[&self.me]
    }

    /// Merges an update and returns whether the members that own flows, or one of their places, changed.
    ///
    /// `answered_recently` says that the member has just answered this balancer. A report by other members that it is
    /// dead then only makes it suspect.
    pub fn apply(
        &mut self,
        now: Duration,
        update: Update,
        source: UpdateSource,
        answered_recently: bool,
    ) -> bool {
        if update.id == self.me {
            self.refute(now, &update);
            return false;
        }
        let Some(member) = self.members.get(&update.id) else {
            let is_usable = update.place.is_some() && update.state.is_live();
            if is_usable {
                let id = update.id;
                self.insert(now, update);
                if now < self.suppress_new_until {
                    self.pending.retain(|pending| pending.update.id != id);
                }
            }
            return is_usable;
        };
        let newer = update.incarnation > member.incarnation;
        let same = update.incarnation == member.incarnation;
        let overrides = same && update.state > member.state;
        if !newer && !overrides {
            return false;
        }
        let is_unconfirmed = source == UpdateSource::List || answered_recently;
        if update.state == State::Dead && member.state.is_live() && is_unconfirmed {
            return self.suspect(now, update.id, update.incarnation);
        }
        if update.state == State::Suspect {
            return self.suspect(now, update.id, update.incarnation);
        }
        self.insert(now, update)
    }

    /// Suppresses gossip about members that are new to this balancer until a time.
    ///
    /// After a start, all members are new to this balancer, but its peers know them already. When a whole zone starts,
    /// its members learn of each other by comparing lists, which costs less than gossip.
    pub fn suppress_new_members_until(&mut self, time: Duration) {
        self.suppress_new_until = time;
    }

    /// Makes a member suspect and returns whether it was dead or had left before.
    pub fn suspect(&mut self, now: Duration, id: VmId, incarnation: Incarnation) -> bool {
        let suspicion_timeout = self.suspicion_timeout;
        let Some(member) = self.members.get_mut(&id) else {
            return false;
        };
        if !member.state.is_live() && incarnation <= member.incarnation {
            return false;
        }
        let revived = !member.state.is_live();
        if member.deadline.is_none() || incarnation > member.incarnation {
            member.deadline = Some(now + suspicion_timeout);
            let update = Update {
                id,
                incarnation,
                state: State::Suspect,
                place: None,
            };
            member.incarnation = incarnation;
            // A joining or leaving member keeps its state, so that it does not get flows.
            if !matches!(member.state, State::Joining | State::Leaving) {
                member.state = State::Suspect;
            }
            self.queue_update(update);
        }
        revived
    }

    /// Declares members dead whose suspicion timeout has passed and returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let due = |member: &&Member| member.deadline.is_some_and(|deadline| deadline <= now);
        let due: Vec<(VmId, Incarnation)> = self
            .members
            .values()
            .filter(due)
            .map(|member| (member.id, member.incarnation))
            .collect();
        for &(id, incarnation) in &due {
            let update = Update {
                id,
                incarnation,
                state: State::Dead,
                place: None,
            };
            self.insert(now, update);
        }
        !due.is_empty()
    }

    /// Restarts the timeouts of all suspicions, because a pause of this process may have made it miss refutations.
    pub fn restart_suspicions(&mut self, now: Duration) {
        for member in self.members.values_mut() {
            member.deadline = member.deadline.map(|_| now + self.suspicion_timeout);
        }
    }

    /// Removes a member.
    pub fn forget(&mut self, id: VmId) {
        self.members.remove(&id);
    }

    /// Changes the state of this balancer.
    pub fn set_own_state(&mut self, now: Duration, state: State) {
        let me = self.me();
        let update = Update {
            incarnation: me.incarnation + 1,
            state,
            ..me.update()
        };
        self.insert(now, update);
    }

    /// Returns the least often sent updates that fit into a number of bytes and counts them as sent.
    pub fn take_updates(&mut self, mut bytes: usize) -> Vec<Update> {
        let limit = self.send_limit();
        self.pending.sort_by_key(|pending| pending.sent);
        let mut updates = Vec::new();
        for pending in &mut self.pending {
            let size = pending.update.encoded_bytes();
            if size > bytes {
                break;
            }
            bytes -= size;
            pending.sent += 1;
            updates.push(pending.update.clone());
        }
        self.pending.retain(|pending| pending.sent < limit);
        updates
    }

    /// Returns whether there are updates to gossip.
    pub fn has_pending_updates(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the digests of the live members by bucket.
    pub fn digests(&self) -> Vec<u32> {
        let buckets = self.members.len().div_ceil(MEMBERS_PER_BUCKET);
        self.digests_of(buckets.clamp(1, MAX_BUCKETS))
    }

    /// Returns updates for the members in the buckets whose digests differ from those of another balancer.
    pub fn members_in_differing_buckets(&self, digests: &[u32]) -> Vec<Update> {
        if digests.is_empty() || digests.len() > MAX_BUCKETS {
            return Vec::new();
        }
        let own = self.digests_of(digests.len());
        let differs = |id: VmId| {
            let index = bucket(id, own.len());
            own[index] != digests[index]
        };
        self.members
            .values()
            .filter(|member| differs(member.id))
            .map(Member::update)
            .collect()
    }

    fn digests_of(&self, buckets: usize) -> Vec<u32> {
        let mut digests = vec![0; buckets];
        for member in self.members.values().filter(|it| it.state.is_live()) {
            let leaving = u64::from(member.state == State::Leaving);
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&member.id.to_be_bytes());
            bytes[8..].copy_from_slice(&(member.incarnation * 2 + leaving).to_be_bytes());
            digests[bucket(member.id, buckets)] ^= xxh3_64(&bytes) as u32;
        }
        digests
    }

    /// Refutes an update about this balancer by announcing a higher incarnation.
    fn refute(&mut self, now: Duration, update: &Update) {
        let me = self.me();
        let outdated = update.incarnation > me.incarnation
            || update.incarnation == me.incarnation && update.state > me.state;
        if outdated && me.state != State::Left {
            let update = Update {
                incarnation: update.incarnation + 1,
                ..me.update()
            };
            self.insert(now, update);
        }
    }

    /// Replaces the entry of a member and returns whether the members that own flows, or a place, changed.
    fn insert(&mut self, now: Duration, update: Update) -> bool {
        let id = update.id;
        let before = self.members.get(&id).cloned();
        let known = before.as_ref().map(|member| member.place.clone());
        let Some(place) = update.place.clone().or(known) else {
            return false;
        };
        let member = Member {
            id,
            place,
            incarnation: update.incarnation,
            state: update.state,
            deadline: (update.state == State::Suspect).then(|| now + self.suspicion_timeout),
            since: now,
        };
        let changed = before.is_none_or(|before| {
            before.place != member.place
                || before.state.owns_flows() != member.state.owns_flows()
                || before.state.is_live() != member.state.is_live()
        });
        let mut update = update;
        if update.state.is_live() {
            update.place = Some(member.place.clone());
        }
        self.members.insert(id, member);
        self.queue_update(update);
        changed
    }

    fn queue_update(&mut self, update: Update) {
        self.pending
            .retain(|pending| pending.update.id != update.id);
        self.pending.push(PendingUpdate { update, sent: 0 });
    }

    fn send_limit(&self) -> usize {
        let members = self.members.len() as f64;
        ((SENDS_PER_LOG_MEMBERS * (members + 1.0).ln()).ceil() as usize).max(1)
    }
}

fn bucket(id: VmId, buckets: usize) -> usize {
    (id % buckets as u64) as usize
}
