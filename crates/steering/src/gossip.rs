//! What balancers of a deployment tell each other, and who of them reads the store for the others.
//!
//! Every balancer sends a short report to a few others, whatever the size of the fleet. Reports carry how new the sender's
//! tables are, so that a balancer whose own answers are old, or whom the store refuses, notices and asks a peer. One
//! balancer of each zone reads the store without intermediate copies; which one follows from heartbeats that spread with
//! the reports, without a lease, and the next one steps in when they stop.

use {
    crate::{
        list_watch::Revision,
        table::Version,
        upstream::{UpstreamId, ZoneName},
    },
    skylarkflow_policy::id::{Map, Set},
    std::{collections::BTreeMap, mem, net::SocketAddr, time::Duration},
};

/// Name of a balancer.
pub type Name = String;

/// Settings of a [`Gossip`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time between two reports without news.
    pub report_interval: Duration,
    /// Least time between two reports with news.
    pub min_report_interval: Duration,
    /// Most balancers of the own zone that get a report: those at distances of 1, 2, 4 and so on in the order of names,
    /// so that news reaches all in a logarithmic number of hops and each gets as many reports as it sends.
    pub fanout: usize,
    /// Balancers of each other zone that a reader reports to.
    pub remote_fanout: usize,
    /// Readers of each zone.
    pub readers: usize,
    /// Freshness of the last heartbeat at which a reader counts as gone.
    pub heartbeat_timeout: Duration,
    /// Freshness of the last report at which a balancer that is not registered is forgotten.
    pub member_timeout: Duration,
    /// Time for which the end of an upstream is reported.
    pub ended_report_time: Duration,
    /// Time for which a peer may be ahead before it is asked, as the store's own answer is usually under way; longer
    /// than the pause between two watches.
    pub fetch_delay: Duration,
    /// Time from the start to the first election, in which balancers that start together find each other.
    pub first_election_delay: Duration,
    /// Time that each further balancer by name waits before it steps in for a reader that is gone.
    pub takeover_delay: Duration,
    /// Balancers of each zone, by name, that list the store at their start without waiting for tables of a peer; two, so
    /// that the loss of one costs no time.
    pub initial_listers: usize,
    /// Time after which a question without an answer is given up.
    pub fetch_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            report_interval: Duration::from_millis(500),
            min_report_interval: Duration::from_millis(100),
            fanout: 10,
            remote_fanout: 1,
            readers: 1,
            heartbeat_timeout: Duration::from_secs(3),
            member_timeout: Duration::from_secs(60),
            ended_report_time: Duration::from_secs(2),
            fetch_delay: Duration::from_millis(600),
            first_election_delay: Duration::from_secs(4),
            takeover_delay: Duration::from_millis(100),
            initial_listers: 2,
            fetch_timeout: Duration::from_millis(1_500),
        }
    }
}

/// Where a balancer is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerInfo {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for reports, by UDP, and for questions, by TCP.
    pub address: SocketAddr,
}

/// Heartbeat of a reader, spread by everybody in its zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The reader.
    pub name: Name,
    /// Start of its process in Unix milliseconds, so that a restarted one is not taken for old.
    pub incarnation: u64,
    /// Reports that it has sent.
    pub sequence: u64,
}

/// How new the tables of a balancer are.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Freshness {
    /// Version of the configuration.
    pub version: Version,
    /// Revision of the store up to which entries of upstreams are known.
    pub revision: Revision,
}

/// A report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The sender.
    pub from: PeerInfo,
    /// How new its tables are.
    pub freshness: Freshness,
    /// Freshest readers of its zone that it knows.
    pub readers: Vec<Heartbeat>,
    /// Upstreams that it has lately found to have ended.
    pub ended: Vec<UpstreamId>,
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the report to an address.
    SendReport(SocketAddr, Report),
    /// Ask a balancer for what it knows after `age`.
    FetchTables {
        /// Its address.
        address: SocketAddr,
        /// What is known here.
        freshness: Freshness,
    },
    /// Probe an upstream that a peer has found to have ended.
    ProbeUpstream(UpstreamId),
    /// List the store without waiting for tables of a peer.
    ListStore,
    /// Begin or cease to read the store without intermediate copies.
    SetReader(bool),
}

#[derive(Clone, Debug)]
struct Member {
    info: PeerInfo,
    last_heard: Option<Duration>,
    freshness: Freshness,
}

#[derive(Clone, Copy, Debug)]
struct KnownHeartbeat {
    incarnation: u64,
    sequence: u64,
    received_at: Duration,
}

/// The balancers that one balancer knows.
#[derive(Debug)]
pub struct Gossip {
    settings: Settings,
    local: PeerInfo,
    incarnation: u64,
    sequence: u64,
    freshness: Freshness,
    is_reader: bool,
    members: BTreeMap<Name, Member>,
    heartbeats: BTreeMap<Name, KnownHeartbeat>,
    ended: Map<UpstreamId, Duration>,
    last_report_at: Duration,
    has_news: bool,
    /// Whether calls of the store fail, so that only peers can tell what is new.
    is_store_unreachable: bool,
    /// Time since which a reader is missing.
    reader_missing_since: Option<Duration>,
    /// Time since which a peer is ahead.
    behind_since: Option<Duration>,
    /// Time of the question that has no answer yet.
    fetch_started_at: Option<Duration>,
    /// Whether the registered balancers were read.
    has_registered_peers: bool,
    actions: Vec<Action>,
}

impl Gossip {
    /// Creates the circle of a balancer that knows only itself.
    pub fn new(settings: Settings, local: PeerInfo, incarnation: u64) -> Gossip {
        Gossip {
            settings,
            local,
            incarnation,
            sequence: 0,
            freshness: Freshness::default(),
            is_reader: false,
            members: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            ended: Map::default(),
            last_report_at: Duration::ZERO,
            has_news: true,
            is_store_unreachable: false,
            reader_missing_since: None,
            behind_since: None,
            fetch_started_at: None,
            has_registered_peers: false,
            actions: Vec::new(),
        }
    }

    /// Returns and forgets what is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Returns whether this balancer reads the store for its zone.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns the number of known balancers besides this one.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no other balancer is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Takes the balancers that have registered themselves, which may or may not live, and forgets those that have not
    /// and were not last_heard lately.
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
            if self.rank() < self.settings.initial_listers {
                self.actions.push(Action::ListStore);
            }
        }
    }

    /// Returns the number of balancers of the own zone with lower names.
    fn rank(&self) -> usize {
        let lower = self.members.range(..self.local.name.clone());
        lower
            .filter(|(_, member)| member.info.zone == self.local.zone)
            .count()
    }

    /// Records that the last question was answered or has failed.
    pub fn finish_fetch(&mut self) {
        self.fetch_started_at = None;
    }

    /// Records how new the tables of this balancer are.
    pub fn set_freshness(&mut self, freshness: Freshness) {
        if freshness != self.freshness {
            self.freshness = freshness;
            self.has_news = true;
        }
    }

    /// Records whether calls of the store fail.
    pub fn set_store_unreachable(&mut self, is_store_unreachable: bool) {
        self.is_store_unreachable = is_store_unreachable;
    }

    /// Records that an upstream has ended.
    pub fn record_ended_upstream(&mut self, now: Duration, id: UpstreamId) {
        self.ended.insert(id, now);
        self.has_news = true;
    }

    /// Handles a report.
    pub fn handle_report(&mut self, now: Duration, report: Report) {
        let Report {
            from,
            freshness,
            readers,
            ended,
        } = report;
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
            for heartbeat in readers {
                self.record_heartbeat(now, heartbeat);
            }
        }
        let member = Member {
            info: from,
            last_heard: Some(now),
            freshness,
        };
        let known = self.members.insert(member.info.name.clone(), member);
        // A new balancer learns at once who reads and how new the tables are.
        self.has_news |= known.is_none();
    }

    /// Reports, asks and elects; due every few tens of milliseconds.
    pub fn tick(&mut self, now: Duration) {
        let settings = self.settings;
        self.ended
            .retain(|_, at| now < *at + settings.ended_report_time);
        self.update_reader_role(now);
        self.fetch_newer_tables(now);
        let wait = if self.has_news {
            settings.min_report_interval
        } else {
            settings.report_interval
        };
        if now >= self.last_report_at + wait {
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

    /// Reads while fewer than the wanted number of readers with lower names send heartbeats.
    fn update_reader_role(&mut self, now: Duration) {
        let Settings {
            readers,
            heartbeat_timeout,
            member_timeout,
            ..
        } = self.settings;
        // Old heartbeats stay known, so that a late report does not make them look new.
        self.heartbeats
            .retain(|_, heartbeat| now < heartbeat.received_at + member_timeout);
        let local_name = &self.local.name;
        let fresh = |heartbeat: &KnownHeartbeat| now < heartbeat.received_at + heartbeat_timeout;
        let others = self.heartbeats.iter();
        let others = others.filter(|(name, heartbeat)| *name != local_name && fresh(heartbeat));
        let others = others.count();
        let before = self.heartbeats.range(..local_name.clone());
        let before = before.filter(|(_, heartbeat)| fresh(heartbeat)).count();
        if others >= readers {
            self.reader_missing_since = None;
        }
        // A reader only gives way to lower names; where one is missing, the others step in one after the other.
        let is_reader = if self.is_reader {
            before < readers
        } else {
            others < readers && self.may_take_over(now)
        };
        if is_reader != self.is_reader {
            self.is_reader = is_reader;
            self.has_news = true;
            self.actions.push(Action::SetReader(is_reader));
        }
    }

    fn may_take_over(&mut self, now: Duration) -> bool {
        let since = *self.reader_missing_since.get_or_insert(now);
        let wait = self.settings.takeover_delay * self.rank() as u32;
        now >= self.settings.first_election_delay && now >= since + wait
    }

    fn fetch_newer_tables(&mut self, now: Duration) {
        let ahead = self
            .members
            .values()
            .filter(|member| {
                let last_heard = member.last_heard;
                last_heard
                    .is_some_and(|last_heard| now < last_heard + self.settings.heartbeat_timeout)
            })
            .filter(|member| {
                member.freshness.version > self.freshness.version
                    || member.freshness.revision > self.freshness.revision
            })
            .max_by_key(|member| member.freshness);
        let Some(member) = ahead else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        let knows_nothing = self.freshness.revision == 0;
        let fetch_delay = if self.is_store_unreachable || knows_nothing {
            Duration::ZERO
        } else {
            self.settings.fetch_delay
        };
        let started_at = self.fetch_started_at;
        let is_fetching =
            started_at.is_some_and(|started_at| now < started_at + self.settings.fetch_timeout);
        if now >= since + fetch_delay && !is_fetching {
            self.behind_since = Some(now);
            self.fetch_started_at = Some(now);
            self.actions.push(Action::FetchTables {
                address: member.info.address,
                freshness: self.freshness,
            });
        }
    }

    fn send_reports(&mut self, now: Duration) {
        self.last_report_at = now;
        self.has_news = false;
        self.sequence += 1;
        if self.is_reader {
            let heartbeat = Heartbeat {
                name: self.local.name.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
            };
            self.record_heartbeat(now, heartbeat);
        }
        let report = Report {
            from: self.local.clone(),
            freshness: self.freshness,
            readers: self.live_readers(now),
            ended: self.ended.keys().copied().collect(),
        };
        let receivers = self.report_receivers();
        let sends = receivers
            .into_iter()
            .map(|address| Action::SendReport(address, report.clone()));
        self.actions.extend(sends);
    }

    fn live_readers(&self, now: Duration) -> Vec<Heartbeat> {
        let heartbeat_timeout = self.settings.heartbeat_timeout;
        let fresh = self
            .heartbeats
            .iter()
            .filter(|(_, heartbeat)| now < heartbeat.received_at + heartbeat_timeout);
        let heartbeat = |(name, heartbeat): (&Name, &KnownHeartbeat)| Heartbeat {
            name: name.clone(),
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
        };
        // Readers with low names stay, so the others need not be known.
        fresh
            .take(self.settings.readers + 1)
            .map(heartbeat)
            .collect()
    }

    fn report_receivers(&self) -> Vec<SocketAddr> {
        let local_name = &self.local.name;
        let after = self.members.range(local_name.clone()..);
        let before = self.members.range(..local_name.clone());
        let ring: Vec<&Member> = after.chain(before).map(|(_, member)| member).collect();
        let own = ring
            .iter()
            .filter(|member| member.info.zone == self.local.zone);
        let mut receivers: Vec<SocketAddr> = own
            .enumerate()
            .filter(|(index, _)| (index + 1).is_power_of_two())
            .take(self.settings.fanout)
            .map(|(_, member)| member.info.address)
            .collect();
        if self.is_reader {
            let mut zones: Map<&str, usize> = Map::default();
            for member in ring
                .iter()
                .filter(|member| member.info.zone != self.local.zone)
            {
                let count = zones.entry(&member.info.zone).or_default();
                if *count < self.settings.remote_fanout {
                    *count += 1;
                    receivers.push(member.info.address);
                }
            }
        }
        receivers
    }
}
