//! Gossip of membership updates and comparison of member lists (anti-entropy).

use {
    crate::{
        id::{Incarnation, Set, VmId},
        member::{Action, Body, MESSAGE_BYTES, Message, State, Update},
        swim::Membership,
    },
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, time::Duration},
};

/// Dead or unknown members contacted per round. Several members then detect a healed partition within a second.
const CONTACTS_PER_ROUND: usize = 2;

/// A change of this balancer's own state is sent to this many times the fanout of a gossip round.
const ANNOUNCE_FACTOR: usize = 4;

/// Bytes of a message reserved for its header.
const HEADER_BYTES: usize = 64;

impl Membership {
    /// Changes the state of this balancer and sends it at once to more members than a gossip round reaches.
    pub(crate) fn announce(&mut self, now: Duration, state: State, actions: &mut Vec<Action>) {
        if self.me().state >= state && self.me().state.is_live() == state.is_live() {
            return;
        }
        self.member_list.set_own_state(now, state);
        actions.push(Action::Changed);
        let peers: Vec<(VmId, SocketAddr)> = self.peers().collect();
        let count = (self.settings.gossip_fanout * ANNOUNCE_FACTOR).min(peers.len());
        let chosen: Vec<_> = peers
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        for (id, address) in chosen {
            self.send(now, Some(id), address, Body::Gossip, actions);
        }
    }

    /// Sends pending updates to random members of the zone and, as a zone delegate, to a member of another zone.
    pub(crate) fn send_gossip(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.member_list.has_pending_updates() {
            return;
        }
        let zone = self.zone_peers();
        let fanout = self.settings.gossip_fanout;
        let mut targets: Vec<_> = zone
            .choose_multiple(&mut self.rng, fanout)
            .copied()
            .collect();
        if self.is_zone_delegate() {
            let remote = self.remote_targets();
            let remote = remote.choose(&mut self.rng);
            targets.extend(remote.and_then(|&id| Some((id, self.address(id)?))));
        }
        for (id, address) in targets {
            if !self.member_list.has_pending_updates() || !self.budget.try_take(now, 0) {
                return;
            }
            self.send(now, Some(id), address, Body::Gossip, actions);
        }
    }

    /// Compares the member list with a member of the zone and, as a zone delegate, with a member of each other zone.
    pub(crate) fn compare_lists(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let zone = self.zone_peers();
        let chosen = zone.choose(&mut self.rng).map(|&(id, _)| id);
        let mut targets: Vec<VmId> = chosen.into_iter().collect();
        if self.is_zone_delegate() {
            targets.extend(self.remote_targets());
        }
        for id in targets {
            if let Some(address) = self.address(id) {
                self.send_digest(now, Some(id), address, actions);
            }
        }
    }

    /// Sends a digest to dead or unknown members, at the addresses from the member list, the VM list and the seeds.
    pub(crate) fn contact_missing_members(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let me = self.me().id;
        let live: Set<SocketAddr> = self.live().map(|member| member.place.address).collect();
        let dead = self.member_list.iter().filter(|it| it.state == State::Dead);
        let dead = dead.map(|member| (Some(member.id), member.place.address));
        let listed = self.listed.iter().filter(|vm| vm.id() != me);
        let listed = listed.map(|vm| (Some(vm.id()), vm.address));
        let seeds = self.settings.seeds.iter().map(|&address| (None, address));
        let mut targets: Vec<(Option<VmId>, SocketAddr)> =
            dead.chain(listed).chain(seeds).collect();
        targets.retain(|(_, address)| !live.contains(address));
        targets.sort_unstable();
        targets.dedup();
        let targets = targets.choose_multiple(&mut self.rng, CONTACTS_PER_ROUND);
        for (id, address) in targets.copied().collect::<Vec<_>>() {
            self.send_digest(now, id, address, actions);
        }
    }

    fn send_digest(
        &mut self,
        now: Duration,
        to: Option<VmId>,
        address: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let digests = self.member_list.digests();
        let mut updates = vec![self.me().update()];
        updates.extend(self.refutable_state(to));
        let message = self.message(Body::Digest(digests), updates);
        self.budget
            .take_unconditionally(now, message.encoded_bytes());
        actions.push(Action::Send {
            to: address,
            message,
        });
    }

    /// Sends the members of the buckets whose digests differ, in as many messages as needed.
    pub(crate) fn send_list(
        &mut self,
        now: Duration,
        from: VmId,
        to: SocketAddr,
        digests: &[u32],
        actions: &mut Vec<Action>,
    ) {
        let mut part = Vec::new();
        let mut room = MESSAGE_BYTES - HEADER_BYTES;
        for update in self.member_list.members_in_differing_buckets(digests) {
            let bytes = update.encoded_bytes();
            if bytes > room {
                self.send_list_part(now, from, to, std::mem::take(&mut part), actions);
                room = MESSAGE_BYTES - HEADER_BYTES;
            }
            room -= bytes;
            part.push(update);
        }
        self.send_list_part(now, from, to, part, actions);
    }

    /// Sends a part of the member list. The receiver's own entry is omitted unless its state is leaving, suspect, dead
    /// or left.
    fn send_list_part(
        &mut self,
        now: Duration,
        from: VmId,
        to: SocketAddr,
        mut updates: Vec<Update>,
        actions: &mut Vec<Action>,
    ) {
        let is_receiver = |update: &Update| update.id == from;
        updates.retain(|update| !is_receiver(update) || update.state > State::Alive);
        if updates.is_empty() {
            return;
        }
        let message = self.message(Body::List, updates);
        if self.budget.try_take(now, message.encoded_bytes()) {
            actions.push(Action::Send { to, message });
        }
    }

    /// Acknowledges a probe. A sender that is unknown in its current incarnation is told that it is considered dead, so
    /// that it refutes this.
    pub(crate) fn answer_ping(
        &mut self,
        now: Duration,
        (id, incarnation): (VmId, Incarnation),
        address: SocketAddr,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let known = self.member_list.get(id);
        let known = known.is_some_and(|member| member.incarnation >= incarnation);
        let unknown = (!known).then_some(Update {
            id,
            incarnation,
            state: State::Dead,
            place: None,
        });
        let notice = unknown.or_else(|| self.refutable_state(Some(id)));
        self.send_with_notice(now, notice, address, body, actions);
    }

    pub(crate) fn send(
        &mut self,
        now: Duration,
        to: Option<VmId>,
        address: SocketAddr,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let notice = self.refutable_state(to);
        self.send_with_notice(now, notice, address, body, actions);
    }

    /// Sends a message with an update for its receiver and with as many pending updates as fit.
    fn send_with_notice(
        &mut self,
        now: Duration,
        notice: Option<Update>,
        address: SocketAddr,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let mut message = self.message(body, notice.into_iter().collect());
        let room = MESSAGE_BYTES.saturating_sub(message.encoded_bytes());
        if self.budget.try_take(now, 0) {
            message.updates.extend(self.member_list.take_updates(room));
        }
        self.budget
            .take_unconditionally(now, message.encoded_bytes());
        actions.push(Action::Send {
            to: address,
            message,
        });
    }

    /// Returns the state of a member that is suspect or dead here, which the member is sent so that it can refute it.
    fn refutable_state(&self, to: Option<VmId>) -> Option<Update> {
        let member = self.member_list.get(to?)?;
        let refutable = matches!(member.state, State::Suspect | State::Dead);
        refutable.then(|| Update {
            place: None,
            ..member.update()
        })
    }

    fn message(&self, body: Body, updates: Vec<Update>) -> Message {
        let me = self.me();
        Message {
            from: me.id,
            incarnation: me.incarnation,
            body,
            updates,
        }
    }
}
