//! How the membership spreads news and compares member lists.

use {
    crate::{
        id::{Incarnation, Set, VmId},
        member::{Action, Body, MESSAGE_BYTES, Message, State, Update},
        swim::Machine,
    },
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, time::Duration},
};

/// Attempts at a time to reach dead or unknown members; a healed partition is then found within a second on several
/// members.
const CONTACTS: usize = 2;

/// Room that a message leaves for its header.
const HEADER_BYTES: usize = 64;

impl Machine {
    pub(crate) fn announce(&mut self, now: Duration, state: State, actions: &mut Vec<Action>) {
        if self.me().state >= state && self.me().state.is_live() == state.is_live() {
            return;
        }
        self.roster.set_own_state(now, state);
        actions.push(Action::Changed);
        let peers: Vec<(VmId, SocketAddr)> = self.peers().collect();
        let count = (self.settings.gossip_fanout * 4).min(peers.len());
        let chosen: Vec<_> = peers
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        for (id, address) in chosen {
            self.send(now, Some(id), address, Body::Gossip, actions);
        }
    }

    pub(crate) fn gossip(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.roster.has_news() {
            return;
        }
        let zone = self.zone_peers();
        let fanout = self.settings.gossip_fanout;
        let mut targets: Vec<_> = zone
            .choose_multiple(&mut self.rng, fanout)
            .copied()
            .collect();
        if self.is_link() {
            let remote = self.remote_targets();
            let remote = remote.choose(&mut self.rng);
            targets.extend(remote.and_then(|&id| Some((id, self.address(id)?))));
        }
        for (id, address) in targets {
            if !self.roster.has_news() || !self.budget.try_take(now, 0) {
                return;
            }
            self.send(now, Some(id), address, Body::Gossip, actions);
        }
    }

    /// Compares the member list with one member of the zone and, as a link, with one of each other zone.
    pub(crate) fn compare(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let zone = self.zone_peers();
        let chosen = zone.choose(&mut self.rng).map(|&(id, _)| id);
        let mut targets: Vec<VmId> = chosen.into_iter().collect();
        if self.is_link() {
            targets.extend(self.remote_targets());
        }
        for id in targets {
            if let Some(address) = self.address(id) {
                self.send_digest(now, Some(id), address, actions);
            }
        }
    }

    /// Tries members that are dead or not known at the addresses of the VM list and the settings.
    pub(crate) fn contact(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let me = self.me().id;
        let live: Set<SocketAddr> = self.live().map(|member| member.place.address).collect();
        let dead = self.roster.iter().filter(|it| it.state == State::Dead);
        let dead = dead.map(|member| (Some(member.id), member.place.address));
        let listed = self.listed.iter().filter(|vm| vm.id() != me);
        let listed = listed.map(|vm| (Some(vm.id()), vm.address));
        let seeds = self.settings.seeds.iter().map(|&address| (None, address));
        let mut targets: Vec<(Option<VmId>, SocketAddr)> =
            dead.chain(listed).chain(seeds).collect();
        targets.retain(|(_, address)| !live.contains(address));
        targets.sort_unstable();
        targets.dedup();
        let targets = targets.choose_multiple(&mut self.rng, CONTACTS);
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
        let digests = self.roster.digests();
        let mut updates = vec![self.me().update()];
        updates.extend(self.told(to));
        let message = self.message(Body::Digest(digests), updates);
        self.budget
            .take_unconditionally(now, message.encoded_bytes());
        actions.push(Action::Send {
            to: address,
            message,
        });
    }

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
        for update in self.roster.differing(digests) {
            let bytes = update.encoded_bytes();
            if bytes > room {
                self.send_part(now, from, to, std::mem::take(&mut part), actions);
                room = MESSAGE_BYTES - HEADER_BYTES;
            }
            room -= bytes;
            part.push(update);
        }
        self.send_part(now, from, to, part, actions);
    }

    fn send_part(
        &mut self,
        now: Duration,
        from: VmId,
        to: SocketAddr,
        mut updates: Vec<Update>,
        actions: &mut Vec<Action>,
    ) {
        let is_own = |update: &Update| update.id == from;
        updates.retain(|update| !is_own(update) || update.state > State::Alive);
        if updates.is_empty() {
            return;
        }
        let message = self.message(Body::List, updates);
        if self.budget.try_take(now, message.encoded_bytes()) {
            actions.push(Action::Send { to, message });
        }
    }

    /// Answers a probe; a sender that is not known in this incarnation is told that it counts as dead.
    pub(crate) fn answer(
        &mut self,
        now: Duration,
        (id, incarnation): (VmId, Incarnation),
        address: SocketAddr,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let known = self.roster.get(id);
        let known = known.is_some_and(|member| member.incarnation >= incarnation);
        let unknown = (!known).then_some(Update {
            id,
            incarnation,
            state: State::Dead,
            place: None,
        });
        let told = unknown.or_else(|| self.told(Some(id)));
        self.send_with(now, told, address, body, actions);
    }

    pub(crate) fn send(
        &mut self,
        now: Duration,
        to: Option<VmId>,
        address: SocketAddr,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let told = self.told(to);
        self.send_with(now, told, address, body, actions);
    }

    fn send_with(
        &mut self,
        now: Duration,
        told: Option<Update>,
        address: SocketAddr,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        let mut message = self.message(body, told.into_iter().collect());
        let room = MESSAGE_BYTES.saturating_sub(message.encoded_bytes());
        if self.budget.try_take(now, 0) {
            message.updates.extend(self.roster.take_news(room));
        }
        self.budget
            .take_unconditionally(now, message.encoded_bytes());
        actions.push(Action::Send {
            to: address,
            message,
        });
    }

    /// Returns what a member that is not alive here must be told, so that it can refute it.
    fn told(&self, to: Option<VmId>) -> Option<Update> {
        let member = self.roster.get(to?)?;
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
