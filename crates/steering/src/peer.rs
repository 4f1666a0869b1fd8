//! What balancers of a deployment tell each other, and who of them reads the store for the others.
//!
//! Every balancer sends a short report to a few others, whatever the size of the fleet. Reports carry how new the sender's
//! tables are, so that a balancer whose own answers are old, or whom the store refuses, notices and asks a peer. One
//! balancer of each zone reads the store without intermediate copies; which one follows from heartbeats that spread with
//! the reports, without a lease, and the next one steps in when they stop.

use {
    crate::{
        feed::Revision,
        table::Version,
        upstream::{UpstreamId, ZoneName},
    },
    skylarkflow_policy::id::{Map, Set},
    std::{collections::BTreeMap, mem, net::SocketAddr, time::Duration},
};

/// Name of a balancer.
pub type Name = String;

/// Settings of a [`Circle`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time between two reports without news.
    pub interval: Duration,
    /// Least time between two reports with news.
    pub least_interval: Duration,
    /// Most balancers of the own zone that get a report: those at distances of 1, 2, 4 and so on in the order of names,
    /// so that news reaches all in a logarithmic number of hops and each gets as many reports as it sends.
    pub fanout: usize,
    /// Balancers of each other zone that a reader reports to.
    pub remote_fanout: usize,
    /// Readers of each zone.
    pub readers: usize,
    /// Age of the last heartbeat at which a reader counts as gone.
    pub reader_age: Duration,
    /// Age of the last report at which a balancer that is not registered is forgotten.
    pub member_age: Duration,
    /// Time for which the end of an upstream is reported.
    pub ended_age: Duration,
    /// Time for which a peer may be ahead before it is asked, as the store's own answer is usually under way; longer
    /// than the pause between two watches.
    pub patience: Duration,
    /// Time from the start to the first election, in which balancers that start together find each other.
    pub first_election: Duration,
    /// Time that each further balancer by name waits before it steps in for a reader that is gone.
    pub step_in: Duration,
    /// Balancers of each zone, by name, that list the store at their start without waiting for tables of a peer; two, so
    /// that the loss of one costs no time.
    pub listers: usize,
    /// Time after which a question without an answer is given up.
    pub ask_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Duration::from_millis(500),
            least_interval: Duration::from_millis(100),
            fanout: 10,
            remote_fanout: 1,
            readers: 1,
            reader_age: Duration::from_secs(3),
            member_age: Duration::from_secs(60),
            ended_age: Duration::from_secs(2),
            patience: Duration::from_millis(600),
            first_election: Duration::from_secs(4),
            step_in: Duration::from_millis(100),
            listers: 2,
            ask_timeout: Duration::from_millis(1_500),
        }
    }
}

/// Where a balancer is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for reports, by UDP, and for questions, by TCP.
    pub address: SocketAddr,
}

/// Heartbeat of a reader, spread by everybody in its zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Beat {
    /// The reader.
    pub name: Name,
    /// Start of its process in Unix milliseconds, so that a restarted one is not taken for old.
    pub started: u64,
    /// Reports that it has sent.
    pub count: u64,
}

/// How new the tables of a balancer are.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Age {
    /// Version of the configuration.
    pub version: Version,
    /// Revision of the store up to which entries of upstreams are known.
    pub revision: Revision,
}

/// A report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The sender.
    pub from: Place,
    /// How new its tables are.
    pub age: Age,
    /// Freshest readers of its zone that it knows.
    pub readers: Vec<Beat>,
    /// Upstreams that it has lately found to have ended.
    pub ended: Vec<UpstreamId>,
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the report to an address.
    Send(SocketAddr, Report),
    /// Ask a balancer for what it knows after `age`.
    Ask {
        /// Its address.
        address: SocketAddr,
        /// What is known here.
        age: Age,
    },
    /// Probe an upstream that a peer has found to have ended.
    Doubt(UpstreamId),
    /// List the store without waiting for tables of a peer.
    List,
    /// Begin or cease to read the store without intermediate copies.
    Read(bool),
}

#[derive(Clone, Debug)]
struct Member {
    place: Place,
    heard: Option<Duration>,
    age: Age,
}

#[derive(Clone, Copy, Debug)]
struct Pulse {
    started: u64,
    count: u64,
    advanced: Duration,
}

/// The balancers that one balancer knows.
#[derive(Debug)]
pub struct Circle {
    settings: Settings,
    me: Place,
    started: u64,
    count: u64,
    age: Age,
    is_reader: bool,
    members: BTreeMap<Name, Member>,
    pulses: BTreeMap<Name, Pulse>,
    ended: Map<UpstreamId, Duration>,
    reported: Duration,
    has_news: bool,
    /// Whether calls of the store fail, so that only peers can tell what is new.
    is_cut_off: bool,
    /// Time since which a reader is missing.
    vacant: Option<Duration>,
    /// Time since which a peer is ahead.
    behind: Option<Duration>,
    /// Time of the question that has no answer yet.
    asked: Option<Duration>,
    /// Whether the registered balancers were read.
    is_introduced: bool,
    actions: Vec<Action>,
}

impl Circle {
    /// Creates the circle of a balancer that knows only itself.
    pub fn new(settings: Settings, me: Place, started: u64) -> Circle {
        Circle {
            settings,
            me,
            started,
            count: 0,
            age: Age::default(),
            is_reader: false,
            members: BTreeMap::new(),
            pulses: BTreeMap::new(),
            ended: Map::default(),
            reported: Duration::ZERO,
            has_news: true,
            is_cut_off: false,
            vacant: None,
            behind: None,
            asked: None,
            is_introduced: false,
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
    /// and were not heard lately.
    pub fn introduce(&mut self, now: Duration, places: Vec<Place>) {
        let names: Set<Name> = places.iter().map(|place| place.name.clone()).collect();
        let member_age = self.settings.member_age;
        self.members.retain(|name, member| {
            let is_recent = member.heard.is_some_and(|heard| now < heard + member_age);
            is_recent || names.contains(name)
        });
        for place in places {
            if place.name != self.me.name && !self.members.contains_key(&place.name) {
                let member = Member {
                    place,
                    heard: None,
                    age: Age::default(),
                };
                self.members.insert(member.place.name.clone(), member);
                self.has_news = true;
            }
        }
        if !self.is_introduced {
            self.is_introduced = true;
            if self.rank() < self.settings.listers {
                self.actions.push(Action::List);
            }
        }
    }

    /// Returns the number of balancers of the own zone with lower names.
    fn rank(&self) -> usize {
        let lower = self.members.range(..self.me.name.clone());
        lower
            .filter(|(_, member)| member.place.zone == self.me.zone)
            .count()
    }

    /// Records that the last question was answered or has failed.
    pub fn answered(&mut self) {
        self.asked = None;
    }

    /// Records how new the tables of this balancer are.
    pub fn advance(&mut self, age: Age) {
        if age != self.age {
            self.age = age;
            self.has_news = true;
        }
    }

    /// Records whether calls of the store fail.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Records that an upstream has ended.
    pub fn ended(&mut self, now: Duration, id: UpstreamId) {
        self.ended.insert(id, now);
        self.has_news = true;
    }

    /// Handles a report.
    pub fn receive(&mut self, now: Duration, report: Report) {
        let Report {
            from,
            age,
            readers,
            ended,
        } = report;
        if from.name == self.me.name {
            return;
        }
        let is_own_zone = from.zone == self.me.zone;
        for id in ended {
            if !self.ended.contains_key(&id) {
                self.actions.push(Action::Doubt(id));
            }
        }
        if is_own_zone {
            for beat in readers {
                self.beat(now, beat);
            }
        }
        let member = Member {
            place: from,
            heard: Some(now),
            age,
        };
        let known = self.members.insert(member.place.name.clone(), member);
        // A new balancer learns at once who reads and how new the tables are.
        self.has_news |= known.is_none();
    }

    /// Reports, asks and elects; due every few tens of milliseconds.
    pub fn tick(&mut self, now: Duration) {
        let settings = self.settings;
        self.ended.retain(|_, at| now < *at + settings.ended_age);
        self.elect(now);
        self.compare(now);
        let wait = if self.has_news {
            settings.least_interval
        } else {
            settings.interval
        };
        if now >= self.reported + wait {
            self.report(now);
        }
    }

    fn beat(&mut self, now: Duration, beat: Beat) {
        let Beat {
            name,
            started,
            count,
        } = beat;
        let known = self.pulses.get(&name);
        if known.is_none_or(|known| (known.started, known.count) < (started, count)) {
            let pulse = Pulse {
                started,
                count,
                advanced: now,
            };
            self.pulses.insert(name, pulse);
        }
    }

    /// Reads while fewer than the wanted number of readers with lower names send heartbeats.
    fn elect(&mut self, now: Duration) {
        let Settings {
            readers,
            reader_age,
            member_age,
            ..
        } = self.settings;
        // Old heartbeats stay known, so that a late report does not make them look new.
        self.pulses
            .retain(|_, pulse| now < pulse.advanced + member_age);
        let me = &self.me.name;
        let fresh = |pulse: &Pulse| now < pulse.advanced + reader_age;
        let others = self.pulses.iter();
        let others = others.filter(|(name, pulse)| *name != me && fresh(pulse));
        let others = others.count();
        let before = self.pulses.range(..me.clone());
        let before = before.filter(|(_, pulse)| fresh(pulse)).count();
        if others >= readers {
            self.vacant = None;
        }
        // A reader only gives way to lower names; where one is missing, the others step in one after the other.
        let is_reader = if self.is_reader {
            before < readers
        } else {
            others < readers && self.steps_in(now)
        };
        if is_reader != self.is_reader {
            self.is_reader = is_reader;
            self.has_news = true;
            self.actions.push(Action::Read(is_reader));
        }
    }

    fn steps_in(&mut self, now: Duration) -> bool {
        let since = *self.vacant.get_or_insert(now);
        let wait = self.settings.step_in * self.rank() as u32;
        now >= self.settings.first_election && now >= since + wait
    }

    fn compare(&mut self, now: Duration) {
        let ahead = self
            .members
            .values()
            .filter(|member| {
                let heard = member.heard;
                heard.is_some_and(|heard| now < heard + self.settings.reader_age)
            })
            .filter(|member| {
                member.age.version > self.age.version || member.age.revision > self.age.revision
            })
            .max_by_key(|member| member.age);
        let Some(member) = ahead else {
            self.behind = None;
            return;
        };
        let since = *self.behind.get_or_insert(now);
        let knows_nothing = self.age.revision == 0;
        let patience = if self.is_cut_off || knows_nothing {
            Duration::ZERO
        } else {
            self.settings.patience
        };
        let asked = self.asked;
        let is_waiting = asked.is_some_and(|asked| now < asked + self.settings.ask_timeout);
        if now >= since + patience && !is_waiting {
            self.behind = Some(now);
            self.asked = Some(now);
            self.actions.push(Action::Ask {
                address: member.place.address,
                age: self.age,
            });
        }
    }

    fn report(&mut self, now: Duration) {
        self.reported = now;
        self.has_news = false;
        self.count += 1;
        if self.is_reader {
            let beat = Beat {
                name: self.me.name.clone(),
                started: self.started,
                count: self.count,
            };
            self.beat(now, beat);
        }
        let report = Report {
            from: self.me.clone(),
            age: self.age,
            readers: self.freshest(now),
            ended: self.ended.keys().copied().collect(),
        };
        let receivers = self.receivers();
        let sends = receivers
            .into_iter()
            .map(|address| Action::Send(address, report.clone()));
        self.actions.extend(sends);
    }

    fn freshest(&self, now: Duration) -> Vec<Beat> {
        let reader_age = self.settings.reader_age;
        let fresh = self
            .pulses
            .iter()
            .filter(|(_, pulse)| now < pulse.advanced + reader_age);
        let beat = |(name, pulse): (&Name, &Pulse)| Beat {
            name: name.clone(),
            started: pulse.started,
            count: pulse.count,
        };
        // Readers with low names stay, so the others need not be known.
        fresh.take(self.settings.readers + 1).map(beat).collect()
    }

    fn receivers(&self) -> Vec<SocketAddr> {
        let me = &self.me.name;
        let after = self.members.range(me.clone()..);
        let before = self.members.range(..me.clone());
        let ring: Vec<&Member> = after.chain(before).map(|(_, member)| member).collect();
        let own = ring
            .iter()
            .filter(|member| member.place.zone == self.me.zone);
        let mut receivers: Vec<SocketAddr> = own
            .enumerate()
            .filter(|(index, _)| (index + 1).is_power_of_two())
            .take(self.settings.fanout)
            .map(|(_, member)| member.place.address)
            .collect();
        if self.is_reader {
            let mut zones: Map<&str, usize> = Map::default();
            for member in ring
                .iter()
                .filter(|member| member.place.zone != self.me.zone)
            {
                let count = zones.entry(&member.place.zone).or_default();
                if *count < self.settings.remote_fanout {
                    *count += 1;
                    receivers.push(member.place.address);
                }
            }
        }
        receivers
    }
}
