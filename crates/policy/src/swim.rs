//! The state machine that probes members and spreads what it finds.

use {
    crate::{
        id::{Map, Set, VmId},
        member::{Action, Body, Event, Identity, Member, Message, Settings, State, Update},
        quorum::{self, Base},
        roster::{Roster, Source},
        token_bucket::TokenBucket,
        vm,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom, seq::SliceRandom},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Gap between two ticks from which on this process counts as having been paused.
const PAUSE: Duration = Duration::from_millis(700);

/// Time for which a direct answer outweighs the word of others that the member is dead.
const ANSWERING: Duration = Duration::from_secs(2);

/// Time without a base after which the VM list may form one.
const FORM_AFTER: Duration = Duration::from_secs(3);

/// Time after the start from which on a balancer owns flows without a majority, so that a zone that lost most of its
/// members serves idempotent requests.
const JOIN_LIMIT: Duration = Duration::from_secs(10);

/// Time after the first contact in which members that are new to this balancer are not news.
const QUIET: Duration = Duration::from_secs(5);

/// Shortest time between two acknowledgements that carry the voters.
const VOTERS_INTERVAL: Duration = Duration::from_millis(200);

/// Membership of one balancer.
#[derive(Debug)]
pub struct Machine {
    pub(crate) settings: Settings,
    pub(crate) zone: String,
    pub(crate) roster: Roster,
    pub(crate) base: Base,
    pub(crate) rng: SmallRng,
    pub(crate) budget: TokenBucket,
    probes: Map<u16, Probe>,
    sequence: u16,
    round: Vec<VmId>,
    /// Live members of the zone in the latest probe round.
    zone_members: usize,
    answered: Map<VmId, Duration>,
    reached: BTreeMap<String, Duration>,
    unreachable: Vec<String>,
    pub(crate) listed: Vec<vm::Record>,
    listed_ids: Set<VmId>,
    named: BTreeMap<VmId, String>,
    timers: Timers,
}

#[derive(Debug, Default)]
struct Timers {
    started: Option<Duration>,
    ticked: Duration,
    probe: Duration,
    gossip: Duration,
    digest: Duration,
    contact: Duration,
    voters: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: VmId,
    address: SocketAddr,
    sent: Duration,
    escalated: bool,
    /// Sequence number and address of the member on whose behalf this one probes.
    origin: Option<(u16, SocketAddr)>,
}

impl Machine {
    /// Creates the membership of a balancer that knows only itself.
    pub fn new(settings: Settings, me: Identity, seed: u64) -> Machine {
        Machine {
            roster: Roster::new(&me, settings.suspicion),
            base: Base::new(me.id),
            zone: me.place.zone,
            rng: SmallRng::seed_from_u64(seed ^ me.id),
            budget: TokenBucket::new(settings.budget, settings.burst),
            settings,
            probes: Map::default(),
            sequence: 0,
            round: Vec::new(),
            zone_members: 1,
            answered: Map::default(),
            reached: BTreeMap::new(),
            unreachable: Vec::new(),
            listed: Vec::new(),
            listed_ids: Set::default(),
            named: BTreeMap::new(),
            timers: Timers::default(),
        }
    }

    /// Handles an event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received { from, message } => self.receive(now, from, message, actions),
            Event::Listed(records) => self.list(records),
            Event::Leave => self.announce(now, State::Leaving, actions),
            Event::Stop => self.announce(now, State::Left, actions),
        }
    }

    /// Returns the known members, dead ones included, in ascending order of their identifiers.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.roster.iter()
    }

    /// Returns this balancer as its peers see it.
    pub fn me(&self) -> &Member {
        self.roster.me()
    }

    /// Returns the quorum base of the balancer's zone.
    pub fn base(&self) -> &Base {
        &self.base
    }

    /// Returns whether members of a zone answer this balancer.
    pub fn is_reachable(&self, zone: &str) -> bool {
        !self.unreachable.iter().any(|name| name == zone)
    }

    /// Returns the entry VMs of the latest VM list.
    pub fn listed(&self) -> &[vm::Record] {
        &self.listed
    }

    /// Returns the zone of every entry VM that a VM list has ever named.
    pub fn named(&self) -> impl Iterator<Item = (VmId, &str)> {
        self.named.iter().map(|(&id, zone)| (id, zone.as_str()))
    }

    /// Returns whether enough is known to own flows: another member, or a VM list that names no other.
    pub fn has_joined(&self) -> bool {
        let me = self.me().id;
        let alone = !self.listed.is_empty() && self.listed.iter().all(|vm| vm.id() == me);
        alone || self.live().any(|member| member.id != me) || self.base.is_formed()
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let paused = now.saturating_sub(self.timers.ticked) > PAUSE;
        self.timers.ticked = now;
        if paused {
            // Answers that arrived during the pause are not yet handled, so no probe counts as failed.
            self.probes.clear();
            self.roster.restart_suspicions(now);
        }
        if self.timers.started.is_none() {
            self.start(now);
        }
        if self.me().state == State::Left {
            return;
        }
        if self.peers().next().is_none() {
            self.roster.set_quiet_until(now + QUIET);
        }
        self.check_probes(now, actions);
        let mut changed = self.roster.expire(now);
        changed |= self.check_zones(now);
        if changed {
            actions.push(Action::Changed);
        }
        self.update_base(now);
        self.activate(now, actions);
        self.run_timers(now, actions);
    }

    fn start(&mut self, now: Duration) {
        self.timers.started = Some(now);
        let mut phase = |interval: Duration| now + interval.mul_f64(self.rng.random::<f64>());
        self.timers.probe = phase(self.settings.probe_interval);
        self.timers.gossip = phase(self.settings.gossip_interval);
        self.timers.digest = phase(self.settings.digest_interval);
        self.timers.contact = now;
    }

    fn run_timers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now >= self.timers.probe {
            self.timers.probe = now + self.probe_interval();
            self.probe(now, actions);
        }
        if now >= self.timers.gossip {
            self.timers.gossip = now + self.settings.gossip_interval;
            self.gossip(now, actions);
        }
        // A change brings the next comparison forward.
        let next = now + self.digest_interval(now);
        self.timers.digest = self.timers.digest.min(next);
        if now >= self.timers.digest {
            self.timers.digest = next;
            self.compare(now, actions);
        }
        if now >= self.timers.contact {
            self.timers.contact = now + self.contact_interval();
            self.contact(now, actions);
            self.forget(now);
        }
    }

    fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        if self.me().state == State::Left || message.from == self.me().id {
            return;
        }
        let source = match message.body {
            Body::List => Source::List,
            _ => Source::News,
        };
        let mut changed = false;
        let me = self.me().id;
        let disowned = |update: &Update| update.id == me && update.state == State::Dead;
        let disowned = message.updates.iter().any(disowned);
        for update in message.updates {
            let answering = self.is_answering(now, update.id);
            changed |= self.roster.apply(now, update, source, answering);
        }
        if changed {
            actions.push(Action::Changed);
        }
        match message.body {
            Body::Ping(sequence, ballot) => {
                let voters = self.voters_for(now, message.from, ballot);
                let body = Body::Ack(sequence, self.base.ballot(), voters);
                let sender = (message.from, message.incarnation);
                self.answer(now, sender, from, body, actions);
            }
            Body::Ack(sequence, ballot, voters) => {
                // A member that takes this one for dead has given its flows away, so its answer is no vote.
                let ballot = (!disowned).then_some(ballot);
                self.acknowledge(now, sequence, message.from, ballot, &voters, actions);
            }
            Body::Relay(sequence, target) => self.relay(now, from, sequence, target, actions),
            Body::Relayed(sequence) => {
                self.probes.remove(&sequence);
            }
            Body::Digest(digests) => self.send_list(now, message.from, from, &digests, actions),
            Body::Gossip | Body::List => {}
        }
    }

    /// Returns the voters for a member of the same zone that has others.
    fn voters_for(&mut self, now: Duration, to: VmId, ballot: quorum::Ballot) -> Vec<VmId> {
        let own_zone = |member: &Member| member.place.zone == self.zone;
        let differs = ballot.digest != self.base.ballot().digest;
        let same_zone = self.roster.get(to).is_some_and(own_zone);
        if !self.base.is_formed() || !differs || !same_zone || now < self.timers.voters {
            return Vec::new();
        }
        self.timers.voters = now + VOTERS_INTERVAL;
        self.base
            .voters()
            .take(self.settings.fence_members)
            .collect()
    }

    fn acknowledge(
        &mut self,
        now: Duration,
        sequence: u16,
        from: VmId,
        ballot: Option<quorum::Ballot>,
        voters: &[VmId],
        actions: &mut Vec<Action>,
    ) {
        let Some(probe) = self.probes.get(&sequence).copied() else {
            return;
        };
        if probe.target != from && !self.share_remote_zone(probe.target, from) {
            return;
        }
        self.probes.remove(&sequence);
        self.answered.insert(from, now);
        if let Some((sequence, address)) = probe.origin {
            self.send(now, None, address, Body::Relayed(sequence), actions);
        }
        let Some(member) = self.roster.get(from) else {
            return;
        };
        let zone = member.place.zone.clone();
        if zone == self.zone {
            if let Some(ballot) = ballot {
                self.base.heard(from, probe.sent, ballot);
            }
            self.base.adopt(voters);
        } else {
            self.reached.insert(zone, now);
        }
    }

    fn relay(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sequence: u16,
        target: VmId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(address) = self.address(target) {
            let origin = Some((sequence, from));
            self.ping(now, target, address, origin, actions);
        }
    }

    fn list(&mut self, records: Vec<vm::Record>) {
        self.listed = records;
        self.listed.retain(|vm| vm.role == vm::Role::Entry);
        self.listed_ids = self.listed.iter().map(vm::Record::id).collect();
        for vm in &self.listed {
            self.named.insert(vm.id(), vm.zone.clone());
        }
    }

    fn check_probes(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut due: Vec<(u16, Probe)> = self
            .probes
            .iter()
            .filter(|(_, probe)| now >= probe.sent + self.settings.direct_timeout)
            .map(|(&sequence, &probe)| (sequence, probe))
            .collect();
        due.sort_unstable_by_key(|&(sequence, _)| sequence);
        for (sequence, probe) in due {
            if now >= probe.sent + self.settings.probe_timeout {
                self.probes.remove(&sequence);
                self.fail(now, probe);
            } else if !probe.escalated && probe.origin.is_none() {
                self.escalate(now, sequence, probe, actions);
            }
        }
    }

    /// Repeats a probe and asks others of the zone to probe.
    fn escalate(&mut self, now: Duration, sequence: u16, probe: Probe, actions: &mut Vec<Action>) {
        if let Some(probe) = self.probes.get_mut(&sequence) {
            probe.escalated = true;
        }
        let again = Body::Ping(sequence, self.base.ballot());
        self.send(now, Some(probe.target), probe.address, again, actions);
        if !self.is_in_zone(probe.target) {
            return self.probe_other(now, sequence, probe.target, actions);
        }
        let relays: Vec<(VmId, SocketAddr)> =
            self.peers().filter(|&(id, _)| id != probe.target).collect();
        let relays = relays.choose_multiple(&mut self.rng, self.settings.relays);
        for (id, address) in relays.copied().collect::<Vec<_>>() {
            let body = Body::Relay(sequence, probe.target);
            self.send(now, Some(id), address, body, actions);
        }
    }

    /// Suspects a member of the zone; members of other zones are judged by their own zone.
    fn fail(&mut self, now: Duration, probe: Probe) {
        let answered = self.answered.get(&probe.target);
        let later = answered.is_some_and(|&at| at >= probe.sent);
        if probe.origin.is_some() || later || !self.is_in_zone(probe.target) {
            return;
        }
        if let Some(member) = self.roster.get(probe.target) {
            let incarnation = member.incarnation;
            self.roster.suspect(now, probe.target, incarnation);
        }
    }

    fn check_zones(&mut self, now: Duration) -> bool {
        let zones: Set<String> = self
            .live()
            .filter(|member| member.place.zone != self.zone)
            .map(|member| member.place.zone.clone())
            .collect();
        for zone in &zones {
            self.reached.entry(zone.clone()).or_insert(now);
        }
        let timeout = self.settings.zone_timeout;
        let silent = |(_, at): &(&String, &Duration)| now.saturating_sub(**at) > timeout;
        let unreachable: Vec<String> = self
            .reached
            .iter()
            .filter(silent)
            .map(|(zone, _)| zone.clone())
            .collect();
        let changed = unreachable != self.unreachable;
        self.unreachable = unreachable;
        changed | (!self.unreachable.is_empty() && self.bury_unlisted(now))
    }

    /// Declares members of unreachable zones dead that the VM list no longer names, since no peer is left to do so.
    fn bury_unlisted(&mut self, now: Duration) -> bool {
        let gone = |member: &&Member| {
            !self.is_reachable(&member.place.zone) && self.is_unlisted(member.id)
        };
        let gone: Vec<Update> = self.live().filter(gone).map(Member::update).collect();
        let mut changed = false;
        for update in gone {
            let update = Update {
                state: State::Dead,
                ..update
            };
            changed |= self.roster.apply(now, update, Source::News, false);
        }
        changed
    }

    fn update_base(&mut self, now: Duration) {
        if self.zone_members > self.settings.fence_members {
            return;
        }
        let in_zone = |member: &&Member| member.place.zone == self.zone;
        let mut gone = Vec::new();
        let mut live = Vec::new();
        for member in self.roster.iter().filter(in_zone) {
            match member.state {
                State::Joining | State::Alive | State::Suspect => live.push(member.id),
                State::Left => gone.push(member.id),
                State::Dead if self.is_unlisted(member.id) => gone.push(member.id),
                State::Leaving | State::Dead => {}
            }
        }
        let unknown = |&id: &VmId| self.roster.get(id).is_none() && self.is_unlisted(id);
        gone.extend(self.base.voters().filter(unknown));
        for id in gone {
            self.base.remove(id);
        }
        let started = self.timers.started.unwrap_or(now);
        if !self.base.is_formed() && now >= started + FORM_AFTER {
            let named = self.listed.iter().filter(|vm| vm.zone == self.zone);
            self.base.form(now, named.map(vm::Record::id));
        }
        self.base.admit(now, live);
    }

    /// Lets this balancer own flows once it holds the fence, since it would refuse their requests before.
    ///
    /// A zone that is too large for the fence has nothing to wait for.
    fn activate(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let started = self.timers.started.unwrap_or(now);
        let is_late = now >= started + JOIN_LIMIT;
        let may_own = is_late || self.base.holds(now) || self.is_large();
        if self.me().state == State::Joining && may_own {
            // Members that start together activate together; probes at the same moment would find a crash later.
            let phase = self.rng.random::<f64>();
            self.timers.probe = now + self.settings.probe_interval.mul_f64(phase);
            self.announce(now, State::Alive, actions);
        }
    }

    pub(crate) fn is_large(&self) -> bool {
        let zone = self.live().filter(|it| it.place.zone == self.zone);
        zone.count() > self.settings.fence_members
    }

    /// Returns whether the VM list once named a VM and no longer does, while it names this balancer.
    pub fn is_unlisted(&self, id: VmId) -> bool {
        let names = |id: VmId| self.listed_ids.contains(&id);
        self.named.contains_key(&id) && !names(id) && names(self.me().id)
    }

    fn probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for id in self.targets() {
            if let Some(address) = self.address(id) {
                self.ping(now, id, address, None, actions);
            }
        }
    }

    /// Returns the members to probe in this round: all of a small zone, otherwise the successors and one in a
    /// shuffled round, and one of each other zone.
    fn targets(&mut self) -> Vec<VmId> {
        let me = self.me().id;
        let zone: Vec<VmId> = self
            .live()
            .filter(|member| member.id != me && member.place.zone == self.zone)
            .map(|member| member.id)
            .collect();
        self.zone_members = zone.len() + 1;
        let mut targets = self.remote_targets();
        if zone.len() < self.settings.fence_members {
            targets.extend(zone);
            return targets;
        }
        let after = zone.partition_point(|&id| id < me);
        let successors = zone.iter().cycle().skip(after);
        targets.extend(successors.take(self.settings.successors));
        if self.round.is_empty() {
            self.round = zone;
            self.round.shuffle(&mut self.rng);
        }
        targets.extend(self.round.pop());
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    fn ping(
        &mut self,
        now: Duration,
        target: VmId,
        address: SocketAddr,
        origin: Option<(u16, SocketAddr)>,
        actions: &mut Vec<Action>,
    ) {
        self.sequence = self.sequence.wrapping_add(1);
        let probe = Probe {
            target,
            address,
            sent: now,
            escalated: false,
            origin,
        };
        self.probes.insert(self.sequence, probe);
        let body = Body::Ping(self.sequence, self.base.ballot());
        self.send(now, Some(target), address, body, actions);
    }

    fn forget(&mut self, now: Duration) {
        let old = |member: &&Member| {
            let age = now.saturating_sub(member.since);
            !member.state.is_live() && age > self.settings.forget
        };
        let old: Vec<VmId> = self.roster.iter().filter(old).map(|it| it.id).collect();
        for id in old {
            self.roster.forget(id);
            self.answered.remove(&id);
        }
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Member> {
        self.roster.iter().filter(|member| member.state.is_live())
    }

    pub(crate) fn peers(&self) -> impl Iterator<Item = (VmId, SocketAddr)> {
        let me = self.me().id;
        let others = self.live().filter(move |member| member.id != me);
        others.map(|member| (member.id, member.place.address))
    }

    /// Returns the other live members of the zone.
    pub(crate) fn zone_peers(&self) -> Vec<(VmId, SocketAddr)> {
        let me = self.me().id;
        let others = self
            .live()
            .filter(|it| it.id != me && it.place.zone == self.zone);
        others.map(|it| (it.id, it.place.address)).collect()
    }

    pub(crate) fn address(&self, id: VmId) -> Option<SocketAddr> {
        Some(self.roster.get(id)?.place.address)
    }

    pub(crate) fn is_in_zone(&self, id: VmId) -> bool {
        let member = self.roster.get(id);
        member.is_some_and(|member| member.place.zone == self.zone)
    }

    /// Returns whether this balancer is among the lowest ranks of its zone.
    pub fn is_link(&self) -> bool {
        let lowest = self
            .live()
            .filter(|member| member.place.zone == self.zone && member.state.owns_flows());
        let mut lowest = lowest.map(|member| member.id).take(self.settings.links);
        lowest.any(|id| id == self.me().id)
    }

    fn is_answering(&self, now: Duration, id: VmId) -> bool {
        let answered = self.answered.get(&id);
        answered.is_some_and(|&at| now.saturating_sub(at) < ANSWERING)
    }
}
