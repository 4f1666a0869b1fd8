//! Failure detection and membership of one balancer, a variant of the SWIM protocol.
//!
//! [`Membership`] probes other members and merges what it learns into its member list. The module `gossip` adds the
//! exchange of updates and member lists, `zone_probe` the probes and reachability of other zones.

use {
    crate::{
        id::{Map, Set, VmId},
        member::{Action, Body, Event, Identity, Member, Message, Settings, State, Update},
        member_list::{MemberList, UpdateSource},
        quorum::{Quorum, QuorumReport},
        token_bucket::TokenBucket,
        vm,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom, seq::SliceRandom},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Gap between two ticks above which this process is taken to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);

/// Time after a member's direct acknowledgement during which other members' reports of its death only make it suspect.
const DIRECT_ACK_VALIDITY: Duration = Duration::from_secs(2);

/// Time after the start before the quorum may be formed from the VM list.
const QUORUM_FORMATION_DELAY: Duration = Duration::from_secs(3);

/// Time after the start at which a balancer owns flows even without a majority, so that a zone that has lost most of
/// its members still serves idempotent requests.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the first contact during which members that are new to this balancer are not gossiped.
const STARTUP_SUPPRESSION: Duration = Duration::from_secs(5);

/// Shortest time between two acknowledgements that carry the voter list.
const VOTERS_INTERVAL: Duration = Duration::from_millis(200);

/// Membership state machine of one balancer.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) zone: String,
    pub(crate) member_list: MemberList,
    pub(crate) quorum: Quorum,
    pub(crate) rng: SmallRng,
    pub(crate) budget: TokenBucket,
    probes: Map<u16, Probe>,
    sequence: u16,
    /// Members of a large zone in random order that are still to be probed before the next shuffle.
    probe_round: Vec<VmId>,
    /// Live members of the zone in the latest probe round.
    zone_members: usize,
    /// Time of the latest acknowledgement of each member.
    last_acks: Map<VmId, Duration>,
    /// Time of the latest acknowledgement from each other zone.
    pub(crate) zone_acks: BTreeMap<String, Duration>,
    /// Zones without an acknowledgement for longer than the zone timeout.
    pub(crate) unreachable: Vec<String>,
    /// Entry VMs of the latest VM list.
    pub(crate) listed: Vec<vm::Record>,
    listed_ids: Set<VmId>,
    /// Zone of every entry VM that any VM list has named.
    ever_listed: BTreeMap<VmId, String>,
    timers: Timers,
}

/// Times of the next run of each periodic task, and times of past events.
#[derive(Debug, Default)]
struct Timers {
    /// Time of the first tick.
    started: Option<Duration>,
    /// Time of the latest tick.
    ticked: Duration,
    probe: Duration,
    gossip: Duration,
    digest: Duration,
    contact: Duration,
    /// Time from which an acknowledgement may again carry the voter list.
    next_voters: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: VmId,
    address: SocketAddr,
    sent: Duration,
    /// Whether the probe was retransmitted and other members were asked to probe the target.
    is_retransmitted: bool,
    /// Sequence number and address of the member that requested this probe, if any.
    requester: Option<(u16, SocketAddr)>,
}

impl Membership {
    /// Creates the membership of a balancer that knows no other member.
    pub fn new(settings: Settings, me: Identity, seed: u64) -> Membership {
        Membership {
            member_list: MemberList::new(&me, settings.suspicion_timeout),
            quorum: Quorum::new(me.id),
            zone: me.place.zone,
            rng: SmallRng::seed_from_u64(seed ^ me.id),
            budget: TokenBucket::new(settings.bytes_per_second, settings.burst_bytes),
            settings,
            probes: Map::default(),
            sequence: 0,
            probe_round: Vec::new(),
            zone_members: 1,
            last_acks: Map::default(),
            zone_acks: BTreeMap::new(),
            unreachable: Vec::new(),
            listed: Vec::new(),
            listed_ids: Set::default(),
            ever_listed: BTreeMap::new(),
            timers: Timers::default(),
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received { from, message } => self.receive(now, from, message, actions),
            Event::Listed(records) => self.set_vm_list(records),
            Event::Leave => self.announce(now, State::Leaving, actions),
            Event::Stop => self.announce(now, State::Left, actions),
        }
    }

    /// Returns the known members, dead ones included, in ascending order of their identifiers.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.member_list.iter()
    }

    /// Returns this balancer as its peers see it.
    pub fn me(&self) -> &Member {
        self.member_list.me()
    }

    /// Returns the quorum of this balancer's zone.
    pub fn quorum(&self) -> &Quorum {
        &self.quorum
    }

    /// Returns the entry VMs of the latest VM list.
    pub fn listed(&self) -> &[vm::Record] {
        &self.listed
    }

    /// Returns the zone of every entry VM that a VM list has ever named.
    pub fn ever_listed(&self) -> impl Iterator<Item = (VmId, &str)> {
        self.ever_listed
            .iter()
            .map(|(&id, zone)| (id, zone.as_str()))
    }

    /// Returns whether this balancer has joined: it knows another member, has a quorum or is the only listed
    /// balancer.
    pub fn has_joined(&self) -> bool {
        let me = self.me().id;
        let is_only_member = !self.listed.is_empty() && self.listed.iter().all(|vm| vm.id() == me);
        is_only_member || self.live().any(|member| member.id != me) || self.quorum.is_formed()
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let paused = now.saturating_sub(self.timers.ticked) > PAUSE_THRESHOLD;
        self.timers.ticked = now;
        if paused {
            // Acknowledgements that arrived during the pause are still unhandled, so pending probes must not time out.
            self.probes.clear();
            self.member_list.restart_suspicions(now);
        }
        if self.timers.started.is_none() {
            self.start_timers(now);
        }
        if self.me().state == State::Left {
            return;
        }
        if self.peers().next().is_none() {
            self.member_list
                .suppress_new_members_until(now + STARTUP_SUPPRESSION);
        }
        self.check_probe_timeouts(now, actions);
        let mut changed = self.member_list.expire(now);
        changed |= self.update_unreachable_zones(now);
        if changed {
            actions.push(Action::Changed);
        }
        self.update_quorum(now);
        self.activate_if_ready(now, actions);
        self.run_timers(now, actions);
    }

    fn start_timers(&mut self, now: Duration) {
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
            self.probe_members(now, actions);
        }
        if now >= self.timers.gossip {
            self.timers.gossip = now + self.settings.gossip_interval;
            self.send_gossip(now, actions);
        }
        // The interval is shorter after a change, so the deadline is recomputed on every tick.
        let next = now + self.digest_interval(now);
        self.timers.digest = self.timers.digest.min(next);
        if now >= self.timers.digest {
            self.timers.digest = next;
            self.compare_lists(now, actions);
        }
        if now >= self.timers.contact {
            self.timers.contact = now + self.contact_interval();
            self.contact_missing_members(now, actions);
            self.forget_old_members(now);
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
            Body::List => UpdateSource::List,
            _ => UpdateSource::Gossip,
        };
        let mut changed = false;
        let me = self.me().id;
        let declared_dead = |update: &Update| update.id == me && update.state == State::Dead;
        let declared_dead = message.updates.iter().any(declared_dead);
        for update in message.updates {
            let answered_recently = self.has_answered_recently(now, update.id);
            changed |= self
                .member_list
                .apply(now, update, source, answered_recently);
        }
        if changed {
            actions.push(Action::Changed);
        }
        match message.body {
            Body::Ping(sequence, report) => {
                let voters = self.voters_for(now, message.from, report);
                let body = Body::Ack(sequence, self.quorum.report(), voters);
                let sender = (message.from, message.incarnation);
                self.answer_ping(now, sender, from, body, actions);
            }
            Body::Ack(sequence, report, voters) => {
                // A sender that regards this balancer as dead has reassigned its flows, so its acknowledgement does not
                // count towards the majority.
                let report = (!declared_dead).then_some(report);
                self.handle_ack(now, sequence, message.from, report, &voters, actions);
            }
            Body::PingRequest(sequence, target) => {
                self.probe_for_requester(now, from, sequence, target, actions)
            }
            Body::IndirectAck(sequence) => {
                self.probes.remove(&sequence);
            }
            Body::Digest(digests) => self.send_list(now, message.from, from, &digests, actions),
            Body::Gossip | Body::List => {}
        }
    }

    /// Returns the voters for a member of the same zone whose voter set differs, at most once per `VOTERS_INTERVAL`.
    fn voters_for(&mut self, now: Duration, to: VmId, report: QuorumReport) -> Vec<VmId> {
        let own_zone = |member: &Member| member.place.zone == self.zone;
        let differs = report.digest != self.quorum.report().digest;
        let same_zone = self.member_list.get(to).is_some_and(own_zone);
        if !self.quorum.is_formed() || !differs || !same_zone || now < self.timers.next_voters {
            return Vec::new();
        }
        self.timers.next_voters = now + VOTERS_INTERVAL;
        self.quorum
            .voters()
            .take(self.settings.fence_members)
            .collect()
    }

    fn handle_ack(
        &mut self,
        now: Duration,
        sequence: u16,
        from: VmId,
        report: Option<QuorumReport>,
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
        self.last_acks.insert(from, now);
        if let Some((sequence, address)) = probe.requester {
            self.send(now, None, address, Body::IndirectAck(sequence), actions);
        }
        let Some(member) = self.member_list.get(from) else {
            return;
        };
        let zone = member.place.zone.clone();
        if zone == self.zone {
            if let Some(report) = report {
                self.quorum.record_ack(from, probe.sent, report);
            }
            self.quorum.adopt_voters(voters);
        } else {
            self.zone_acks.insert(zone, now);
        }
    }

    /// Probes a member on behalf of another one.
    fn probe_for_requester(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sequence: u16,
        target: VmId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(address) = self.address(target) {
            let requester = Some((sequence, from));
            self.send_ping(now, target, address, requester, actions);
        }
    }

    fn set_vm_list(&mut self, records: Vec<vm::Record>) {
        self.listed = records;
        self.listed.retain(|vm| vm.role == vm::Role::Entry);
        self.listed_ids = self.listed.iter().map(vm::Record::id).collect();
        for vm in &self.listed {
            self.ever_listed.insert(vm.id(), vm.zone.clone());
        }
    }

    fn check_probe_timeouts(&mut self, now: Duration, actions: &mut Vec<Action>) {
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
                self.suspect_after_timeout(now, probe);
            } else if !probe.is_retransmitted && probe.requester.is_none() {
                self.probe_indirectly(now, sequence, probe, actions);
            }
        }
    }

    /// Retransmits a probe, and asks other members to probe the target or, if it is in another zone, probes a second
    /// member of that zone.
    fn probe_indirectly(
        &mut self,
        now: Duration,
        sequence: u16,
        probe: Probe,
        actions: &mut Vec<Action>,
    ) {
        if let Some(probe) = self.probes.get_mut(&sequence) {
            probe.is_retransmitted = true;
        }
        let ping = Body::Ping(sequence, self.quorum.report());
        self.send(now, Some(probe.target), probe.address, ping, actions);
        if !self.is_in_zone(probe.target) {
            return self.probe_other_in_zone(now, sequence, probe.target, actions);
        }
        let helpers: Vec<(VmId, SocketAddr)> =
            self.peers().filter(|&(id, _)| id != probe.target).collect();
        let helpers = helpers.choose_multiple(&mut self.rng, self.settings.indirect_probes);
        for (id, address) in helpers.copied().collect::<Vec<_>>() {
            let body = Body::PingRequest(sequence, probe.target);
            self.send(now, Some(id), address, body, actions);
        }
    }

    /// Suspects a member of this zone whose probe timed out. Members of other zones are suspected by their own zone.
    fn suspect_after_timeout(&mut self, now: Duration, probe: Probe) {
        let answered = self.last_acks.get(&probe.target);
        let answered_later = answered.is_some_and(|&at| at >= probe.sent);
        if probe.requester.is_some() || answered_later || !self.is_in_zone(probe.target) {
            return;
        }
        if let Some(member) = self.member_list.get(probe.target) {
            let incarnation = member.incarnation;
            self.member_list.suspect(now, probe.target, incarnation);
        }
    }

    fn update_quorum(&mut self, now: Duration) {
        if self.zone_members > self.settings.fence_members {
            return;
        }
        let in_zone = |member: &&Member| member.place.zone == self.zone;
        let mut departed = Vec::new();
        let mut live = Vec::new();
        for member in self.member_list.iter().filter(in_zone) {
            match member.state {
                State::Joining | State::Alive | State::Suspect => live.push(member.id),
                State::Left => departed.push(member.id),
                State::Dead if self.is_unlisted(member.id) => departed.push(member.id),
                State::Leaving | State::Dead => {}
            }
        }
        let unknown = |&id: &VmId| self.member_list.get(id).is_none() && self.is_unlisted(id);
        departed.extend(self.quorum.voters().filter(unknown));
        for id in departed {
            self.quorum.remove_voter(id);
        }
        let started = self.timers.started.unwrap_or(now);
        if !self.quorum.is_formed() && now >= started + QUORUM_FORMATION_DELAY {
            let listed_in_zone = self.listed.iter().filter(|vm| vm.zone == self.zone);
            self.quorum.form(now, listed_in_zone.map(vm::Record::id));
        }
        self.quorum.admit_members(now, live);
    }

    /// Makes this balancer own flows once it has a majority, because it would refuse their requests before that.
    ///
    /// In a zone with more than `fence_members` members the quorum is not maintained, so its balancers do not wait for
    /// a majority.
    fn activate_if_ready(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let started = self.timers.started.unwrap_or(now);
        let is_late = now >= started + JOIN_TIMEOUT;
        let may_own = is_late || self.quorum.has_majority(now) || self.is_large();
        if self.me().state == State::Joining && may_own {
            // Members that start together become alive together. Probing in phase would delay the detection of a crash.
            let phase = self.rng.random::<f64>();
            self.timers.probe = now + self.settings.probe_interval.mul_f64(phase);
            self.announce(now, State::Alive, actions);
        }
    }

    /// Returns whether the zone has too many members for the fence.
    pub(crate) fn is_large(&self) -> bool {
        let zone = self.live().filter(|it| it.place.zone == self.zone);
        zone.count() > self.settings.fence_members
    }

    /// Returns whether an earlier VM list named a VM and the latest does not, although it names this balancer.
    ///
    /// A list without this balancer is outdated.
    pub fn is_unlisted(&self, id: VmId) -> bool {
        let is_listed = |id: VmId| self.listed_ids.contains(&id);
        self.ever_listed.contains_key(&id) && !is_listed(id) && is_listed(self.me().id)
    }

    fn probe_members(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for id in self.probe_targets() {
            if let Some(address) = self.address(id) {
                self.send_ping(now, id, address, None, actions);
            }
        }
    }

    /// Returns the members to probe in this round.
    ///
    /// These are one member of each other zone and all members of a small zone. In a large zone they are the successors
    /// in the order of the identifiers and the next member of a shuffled list.
    fn probe_targets(&mut self) -> Vec<VmId> {
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
        if self.probe_round.is_empty() {
            self.probe_round = zone;
            self.probe_round.shuffle(&mut self.rng);
        }
        targets.extend(self.probe_round.pop());
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    fn send_ping(
        &mut self,
        now: Duration,
        target: VmId,
        address: SocketAddr,
        requester: Option<(u16, SocketAddr)>,
        actions: &mut Vec<Action>,
    ) {
        self.sequence = self.sequence.wrapping_add(1);
        let probe = Probe {
            target,
            address,
            sent: now,
            is_retransmitted: false,
            requester,
        };
        self.probes.insert(self.sequence, probe);
        let body = Body::Ping(self.sequence, self.quorum.report());
        self.send(now, Some(target), address, body, actions);
    }

    fn forget_old_members(&mut self, now: Duration) {
        let old = |member: &&Member| {
            let age = now.saturating_sub(member.since);
            !member.state.is_live() && age > self.settings.forget_after
        };
        let old: Vec<VmId> = self
            .member_list
            .iter()
            .filter(old)
            .map(|it| it.id)
            .collect();
        for id in old {
            self.member_list.forget(id);
            self.last_acks.remove(&id);
        }
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Member> {
        self.member_list
            .iter()
            .filter(|member| member.state.is_live())
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
        Some(self.member_list.get(id)?.place.address)
    }

    pub(crate) fn is_in_zone(&self, id: VmId) -> bool {
        let member = self.member_list.get(id);
        member.is_some_and(|member| member.place.zone == self.zone)
    }

    /// Returns whether this balancer is a delegate of its zone, one of the members with the lowest identifiers.
    ///
    /// Delegates exchange updates and member lists with other zones.
    pub fn is_zone_delegate(&self) -> bool {
        let lowest = self
            .live()
            .filter(|member| member.place.zone == self.zone && member.state.owns_flows());
        let mut lowest = lowest
            .map(|member| member.id)
            .take(self.settings.delegates_per_zone);
        lowest.any(|id| id == self.me().id)
    }

    fn has_answered_recently(&self, now: Duration, id: VmId) -> bool {
        let answered = self.last_acks.get(&id);
        answered.is_some_and(|&at| now.saturating_sub(at) < DIRECT_ACK_VALIDITY)
    }
}
