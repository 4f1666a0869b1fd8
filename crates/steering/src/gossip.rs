//! Gossip between the balancers of a deployment, and the election of those that read the store for the others.
//!
//! Every balancer sends short reports to a few others, whatever the size of the fleet. A report states how new the
//! sender's tables are, so that a balancer that reads old data from the store, or cannot reach it, notices this and
//! fetches tables from a peer. One balancer of each zone, the reader, reads the store directly instead of a replica. It
//! is elected without a lease, by heartbeats that spread with the reports; when they cease, the next balancer takes
//! over. All but a few other balancers of the zone then make no watches of their own, so that the calls of the store
//! grow with the zones instead of the balancers.

use {
    crate::{
        evacuation_watch::EvacuationWatch,
        fetches::Fetches,
        position::Position,
        receivers::{self, Announcements},
        speed::Notice,
        upstream::UpstreamId,
    },
    skylarkflow_policy::id::{Map, Set},
    std::{cmp::Reverse, collections::BTreeMap, mem, net::SocketAddr, time::Duration},
};

pub use crate::{
    gossip_settings::Settings,
    rank::Rank,
    report::{Freshness, Heartbeat, Name, PeerInfo, Report, Role},
};

/// Task for the caller of [`Gossip`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the report to an address.
    SendReport(SocketAddr, Report),
    /// Fetch from a peer what is newer than the own tables; call [`Gossip::record_fetch_response`] when the response
    /// begins and [`Gossip::finish_fetch`] at the end.
    FetchTables {
        /// Address of the peer.
        address: SocketAddr,
        /// How new the own tables are.
        freshness: Freshness,
    },
    /// Probe an upstream that a peer reports to have ended.
    ProbeUpstream(UpstreamId),
    /// Take into account that a peer of the zone has found upstreams to be slow.
    RecordSlowUpstreams(Vec<Notice>),
    /// List the store without waiting for the tables of a peer.
    ListStore,
    /// Read the current state of the store: a peer knows newer tables and none supplies them, or this balancer has just
    /// started and lists the store for its peers.
    ReadStore,
    /// Take on a role.
    SetRole(Role),
    /// Take on a role with regard to evacuations.
    SetEvacuationRole(Role),
}

#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) info: PeerInfo,
    last_heard: Option<Duration>,
    freshness: Freshness,
}

#[derive(Clone, Copy, Debug)]
struct KnownHeartbeat {
    incarnation: u64,
    sequence: u64,
    received_at: Duration,
}

/// Gossip state of one balancer: the known peers, the readers and the ended upstreams.
#[derive(Debug)]
pub struct Gossip {
    settings: Settings,
    pub(crate) local: PeerInfo,
    incarnation: u64,
    sequence: u64,
    freshness: Freshness,
    role: Role,
    evacuation_watch: EvacuationWatch,
    pub(crate) members: BTreeMap<Name, Member>,
    heartbeats: BTreeMap<Name, KnownHeartbeat>,
    ended: Map<UpstreamId, Duration>,
    slow: Vec<Notice>,
    last_report_at: Duration,
    has_news: bool,
    /// Whether balancers that start wait for the next report.
    has_urgent_news: bool,
    /// Whether calls to the store fail, so that only peers can supply newer tables.
    is_store_unreachable: bool,
    /// Time since which calls to the store fail.
    unreachable_since: Option<Duration>,
    /// Time since which the zone has had too few readers.
    reader_missing_since: Option<Duration>,
    /// Time since which a peer has had newer tables.
    behind_since: Option<Duration>,
    fetches: Fetches,
    /// Time of the last [`Action::ReadStore`].
    store_read_at: Option<Duration>,
    /// Whether the registered balancers were read from the store.
    has_registered_peers: bool,
    announcements: Announcements,
    actions: Vec<Action>,
}

impl Gossip {
    /// Creates the state of a balancer that knows no peers yet.
    pub fn new(settings: Settings, local: PeerInfo, incarnation: u64) -> Gossip {
        Gossip {
            settings,
            local,
            incarnation,
            sequence: 0,
            freshness: Freshness::default(),
            role: Role::default(),
            evacuation_watch: EvacuationWatch::default(),
            members: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            ended: Map::default(),
            slow: Vec::new(),
            last_report_at: Duration::ZERO,
            has_news: true,
            has_urgent_news: false,
            is_store_unreachable: false,
            unreachable_since: None,
            reader_missing_since: None,
            behind_since: None,
            fetches: Fetches::new(settings.fetches),
            store_read_at: None,
            has_registered_peers: false,
            announcements: Announcements::default(),
            actions: Vec::new(),
        }
    }

    /// Removes and returns the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Returns whether this balancer is a reader of its zone.
    pub fn is_reader(&self) -> bool {
        self.role == Role::Reader
    }

    /// Returns the role of this balancer.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Sends a number of reports to each balancer of the zone, which do not know this one yet.
    pub fn announce(&mut self, count: u32) {
        self.announcements.start(count);
    }

    /// Returns the peers that are registered or were heard from recently; `None` until the registered ones were read
    /// from the store.
    pub fn members(&self) -> Option<impl Iterator<Item = &PeerInfo> + Clone> {
        let members = self.members.values().map(|member| &member.info);
        self.has_registered_peers.then_some(members)
    }

    /// Returns the number of known peers.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Adds the registered balancers, which may be alive or not, and removes members that are neither registered nor
    /// have sent a report recently.
    pub fn set_registered_peers(&mut self, now: Duration, peers: Vec<PeerInfo>) {
        let names: Set<Name> = peers.iter().map(|peer| peer.name.clone()).collect();
        let member_timeout = self.settings.member_timeout;
        self.members.retain(|name, member| {
            let is_recent = member
                .last_heard
                .is_some_and(|last_heard| now < last_heard + member_timeout);
            is_recent || names.contains(name)
        });
        for peer in peers {
            if peer.name != self.local.name && !self.members.contains_key(&peer.name) {
                let member = Member {
                    info: peer,
                    last_heard: None,
                    freshness: Freshness::default(),
                };
                self.members.insert(member.info.name.clone(), member);
                self.has_news = true;
            }
        }
        if !self.has_registered_peers {
            self.has_registered_peers = true;
            // The peers that hear of this balancer respond with what it has to know before it is ready.
            self.has_urgent_news = self.lacks_evacuations();
            if self.rank() < self.settings.initial_listers {
                self.actions.push(Action::ListStore);
                // The zone has no reader for some seconds if all balancers were restarted, and the lists of all may come
                // from a replica that lags. At the very first start, no other balancer is registered.
                if !self.members.is_empty() {
                    self.actions.push(Action::ReadStore);
                }
            }
        }
    }

    /// Returns the number of members of the own zone with lower names.
    pub(crate) fn rank(&self) -> usize {
        let lower = self.members.range(..self.local.name.clone());
        lower
            .filter(|(_, member)| member.info.zone == self.local.zone)
            .count()
    }

    /// Records that the response to a fetch has begun.
    pub fn record_fetch_response(&mut self, address: SocketAddr) {
        self.fetches.record_response(address);
    }

    /// Records that a fetch of tables has succeeded or failed.
    pub fn finish_fetch(&mut self, now: Duration, address: SocketAddr, has_succeeded: bool) {
        self.fetches.finish(now, address, has_succeeded);
    }

    /// Records how new the tables of this balancer are.
    pub fn set_freshness(&mut self, freshness: Freshness) {
        if freshness != self.freshness {
            self.has_urgent_news |= self.lacks_evacuations() && freshness.evacuations.is_some();
            self.freshness = freshness;
            self.has_news = true;
        }
    }

    /// Records whether calls to the store fail.
    pub fn set_store_unreachable(&mut self, is_store_unreachable: bool) {
        self.is_store_unreachable = is_store_unreachable;
    }

    /// Records that an upstream has ended, to be reported to peers.
    pub fn record_ended_upstream(&mut self, now: Duration, id: UpstreamId) {
        self.ended.insert(id, now);
        self.has_news = true;
    }

    /// Replaces the slow upstreams of which the next reports tell.
    pub fn set_slow_upstreams(&mut self, slow: Vec<Notice>) {
        self.slow = slow;
    }

    /// Handles the report of a peer.
    pub fn handle_report(&mut self, now: Duration, report: Report) {
        let Report {
            from,
            mut freshness,
            readers,
            ended,
            slow,
        } = report;
        if !self.settings.follows_evacuations {
            freshness.evacuations = None;
        }
        if from.name == self.local.name {
            return;
        }
        let is_own_zone = from.zone == self.local.zone;
        for id in ended {
            if !self.ended.contains_key(&id) {
                self.actions.push(Action::ProbeUpstream(id));
            }
        }
        if is_own_zone {
            if !slow.is_empty() {
                self.actions.push(Action::RecordSlowUpstreams(slow));
            }
            for heartbeat in readers {
                self.record_heartbeat(now, heartbeat);
            }
        }
        let member = Member {
            info: from,
            last_heard: Some(now),
            freshness,
        };
        let known = self
            .members
            .insert(member.info.name.clone(), member.clone());
        // A new member gets a report at once, with the readers and the versions of the tables.
        self.has_news |= known.is_none();
        self.welcome(now, &member, known.as_ref());
    }

    /// Sends a report to a peer that has just started and may wait for the evacuations.
    fn welcome(&mut self, now: Duration, member: &Member, known: Option<&Member>) {
        let had_evacuations = known.is_some_and(|known| known.freshness.evacuations.is_some());
        let is_first_report = known.is_none_or(|known| known.last_heard.is_none());
        let lacks_evacuations = member.freshness.evacuations.is_none();
        let has_started = lacks_evacuations && (had_evacuations || is_first_report);
        if has_started && self.freshness.evacuations.is_some() {
            let report = self.report(now);
            self.actions
                .push(Action::SendReport(member.info.address, report));
        }
    }

    /// Updates the role, requests newer tables and sends reports when they are due; to be called at least every
    /// 100 ms.
    pub fn tick(&mut self, now: Duration) {
        let settings = self.settings;
        self.ended
            .retain(|_, at| now < *at + settings.ended_report_time);
        self.update_role(now);
        self.fetch_newer_tables(now);
        let interval = if self.has_urgent_news {
            Duration::ZERO
        } else if self.has_news {
            settings.min_report_interval
        } else {
            settings.report_interval
        };
        if now >= self.last_report_at + interval {
            self.send_reports(now);
        }
    }

    fn record_heartbeat(&mut self, now: Duration, heartbeat: Heartbeat) {
        let Heartbeat {
            name,
            incarnation,
            sequence,
        } = heartbeat;
        let known = self.heartbeats.get(&name);
        if known.is_none_or(|known| (known.incarnation, known.sequence) < (incarnation, sequence)) {
            let heartbeat = KnownHeartbeat {
                incarnation,
                sequence,
                received_at: now,
            };
            self.heartbeats.insert(name, heartbeat);
        }
    }

    /// Decides the role of this balancer by the heartbeats of the other readers of its zone.
    fn update_role(&mut self, now: Duration) {
        let Settings {
            readers,
            heartbeat_timeout,
            member_timeout,
            ..
        } = self.settings;
        // Heartbeats are kept beyond their timeout, so that a delayed report does not make an old one look new.
        self.heartbeats
            .retain(|_, heartbeat| now < heartbeat.received_at + member_timeout);
        let local_name = &self.local.name;
        let is_live = |heartbeat: &KnownHeartbeat| now < heartbeat.received_at + heartbeat_timeout;
        let other_readers = self.heartbeats.iter();
        let other_readers =
            other_readers.filter(|(name, heartbeat)| *name != local_name && is_live(heartbeat));
        let other_readers = other_readers.count();
        let lower_readers = self.heartbeats.range(..local_name.clone());
        let lower_readers = lower_readers
            .filter(|(_, heartbeat)| is_live(heartbeat))
            .count();
        if other_readers >= readers {
            self.reader_missing_since = None;
        } else {
            self.reader_missing_since.get_or_insert(now);
        }
        if self.is_store_unreachable {
            self.unreachable_since.get_or_insert(now);
        } else {
            self.unreachable_since = None;
        }
        // A reader gives up its role only to readers with lower names, or if it cannot read; a missing reader is
        // replaced in the order of names.
        let is_reader = if self.is_reader() {
            lower_readers < readers && self.may_remain_reader(now)
        } else {
            self.may_take_over(now)
        };
        let role = if is_reader {
            Role::Reader
        } else if self.needs_own_watch(now) {
            Role::Watcher
        } else {
            Role::Follower
        };
        if role != self.role {
            self.has_news |= self.is_reader() || is_reader;
            self.role = role;
            self.actions.push(Action::SetRole(role));
        }
        let has_lacking_peer = self.settings.follows_evacuations && self.has_lacking_peer(now);
        let patience = self.settings.follower_patience;
        let evacuation_watch = &mut self.evacuation_watch;
        let changed = evacuation_watch.update(now, patience, role, has_lacking_peer);
        self.actions.extend(changed.map(Action::SetEvacuationRole));
    }

    /// Returns whether a peer of the zone was heard recently that does not know the evacuations.
    fn has_lacking_peer(&self, now: Duration) -> bool {
        self.recent_members(now).any(|member| {
            member.info.zone == self.local.zone && member.freshness.evacuations.is_none()
        })
    }

    fn may_remain_reader(&self, now: Duration) -> bool {
        let timeout = self.settings.reader_failure_timeout;
        self.unreachable_since
            .is_none_or(|since| now < since + timeout)
    }

    fn may_take_over(&self, now: Duration) -> bool {
        let Some(since) = self.reader_missing_since else {
            return false;
        };
        let delay = self.settings.takeover_delay * self.rank() as u32;
        let is_due = now >= self.settings.first_election_delay && now >= since + delay;
        is_due && !self.is_store_unreachable
    }

    /// Returns whether changes may be missed without a watch of this balancer.
    fn needs_own_watch(&self, now: Duration) -> bool {
        let patience = self.settings.follower_patience;
        let is_missing = self.reader_missing_since.is_some_and(|since| {
            // A balancer that has just started knows no readers yet and keeps its watch until it hears of one.
            self.role != Role::Follower || now >= since + patience
        });
        is_missing || self.rank() < self.settings.watchers
    }

    fn fetch_newer_tables(&mut self, now: Duration) {
        self.fetches.expire(now);
        if !self.members_ahead(now).any(|_| true) {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        // The tables of a balancer that has just started take long over a slow link, which a second transfer would load
        // further.
        if self.fetches.is_waiting(now, !self.knows_nothing()) {
            return;
        }
        let is_retry = self.fetches.is_retrying();
        let Some(source) = self.next_source(now) else {
            if is_retry {
                self.read_store(now);
            }
            return;
        };
        let address = source.info.address;
        let relies_on_peer = self.role == Role::Follower && source.info.zone == self.local.zone;
        let is_urgent = is_retry
            || self.is_store_unreachable
            || self.knows_nothing()
            || self.lacks_evacuations()
            || relies_on_peer;
        if is_urgent || now >= since + self.settings.fetch_delay {
            self.behind_since = Some(now);
            self.fetches.start(now, address);
            self.actions.push(Action::FetchTables {
                address,
                freshness: self.freshness,
            });
        }
    }

    /// Requests the current state of the store; a balancer that has just started lists it anyway.
    fn read_store(&mut self, now: Duration) {
        let interval = self.settings.min_store_read_interval;
        let is_due = self.store_read_at.is_none_or(|at| now >= at + interval);
        if is_due && !self.is_store_unreachable && !self.knows_nothing() {
            self.store_read_at = Some(now);
            self.actions.push(Action::ReadStore);
        }
    }

    fn knows_nothing(&self) -> bool {
        self.freshness.position == Position::default()
    }

    /// Returns whether new flows have to wait for the evacuations.
    fn lacks_evacuations(&self) -> bool {
        self.settings.follows_evacuations && self.freshness.evacuations.is_none()
    }

    fn recent_members(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let timeout = self.settings.heartbeat_timeout;
        let is_recent =
            move |member: &&Member| member.last_heard.is_some_and(|at| now < at + timeout);
        self.members.values().filter(is_recent)
    }

    /// Returns the peers with newer tables that were heard recently.
    fn members_ahead(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let own = self.freshness;
        self.recent_members(now)
            .filter(move |member| member.freshness.is_ahead_of(&own))
    }

    /// Returns the peer from which to fetch next.
    ///
    /// A peer that has failed comes after the others, since it may be frozen. Peers with newer evacuations come first:
    /// others may be ahead with upstreams all the time. Then come those of the own zone, as other traffic costs money. Of several, the one with the newest tables that was heard last is the least
    /// likely to have ended.
    fn next_source(&self, now: Duration) -> Option<&Member> {
        let is_usable = |member: &&Member| self.fetches.is_available(now, member.info.address);
        self.members_ahead(now)
            .filter(is_usable)
            .max_by_key(|member| {
                (
                    Reverse(self.fetches.failed_at(member.info.address)),
                    member.freshness.evacuations > self.freshness.evacuations,
                    member.info.zone == self.local.zone,
                    member.freshness,
                    member.last_heard,
                )
            })
    }

    fn send_reports(&mut self, now: Duration) {
        self.last_report_at = now;
        self.has_news = false;
        self.has_urgent_news = false;
        self.sequence += 1;
        if self.is_reader() {
            let heartbeat = Heartbeat {
                name: self.local.name.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
            };
            self.record_heartbeat(now, heartbeat);
        }
        let report = self.report(now);
        let receivers = self.report_receivers();
        let sends = receivers
            .into_iter()
            .map(|address| Action::SendReport(address, report.clone()));
        self.actions.extend(sends);
    }

    fn report(&self, now: Duration) -> Report {
        Report {
            from: self.local.clone(),
            freshness: self.freshness,
            readers: self.live_readers(now),
            ended: self.ended.keys().copied().collect(),
            slow: self.slow.clone(),
        }
    }

    fn live_readers(&self, now: Duration) -> Vec<Heartbeat> {
        let heartbeat_timeout = self.settings.heartbeat_timeout;
        let live = self
            .heartbeats
            .iter()
            .filter(|(_, heartbeat)| now < heartbeat.received_at + heartbeat_timeout);
        let heartbeat = |(name, heartbeat): (&Name, &KnownHeartbeat)| Heartbeat {
            name: name.clone(),
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
        };
        // The readers with the lowest names keep the role, so heartbeats of further ones need not spread.
        live.take(self.settings.readers + 1)
            .map(heartbeat)
            .collect()
    }

    fn report_receivers(&mut self) -> Vec<SocketAddr> {
        let Settings {
            fanout,
            remote_fanout,
            ..
        } = self.settings;
        let PeerInfo { name, zone, .. } = &self.local;
        let after = self.members.range(name.clone()..);
        let before = self.members.range(..name.clone());
        let ring = after.chain(before).map(|(_, member)| &member.info);
        let ring: Vec<&PeerInfo> = ring.collect();
        let mut addresses = receivers::in_zone(&ring, zone, fanout);
        let mut announced = self.announcements.next_receivers(&ring, zone);
        announced.retain(|address| !addresses.contains(address));
        addresses.extend(announced);
        if self.is_reader() {
            let remote = receivers::in_other_zones(&ring, zone, remote_fanout, self.sequence);
            addresses.extend(remote);
        }
        addresses
    }
}
