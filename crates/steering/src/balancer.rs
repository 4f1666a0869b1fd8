//! Decides about single packets.

use {
    crate::{
        cookie::Cookie,
        liveness::{self, Outcome, Register},
        placement,
        planted::{self, Fault},
        segment::{Kind, Segment},
        table::{Route, Table, Target, Version},
        tracker::{self, Packet, Samples, Sign, Tracker},
        upstream::{Upstream, UpstreamId},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_policy::{
        flow::Key,
        health::{self, Change, Monitor, Signal},
        id::Set,
    },
    std::{mem, sync::Arc, time::Duration},
};

/// Time without a packet after which a flow is forgotten if no configuration says otherwise.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Settings of a [`Balancer`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Availability zone of the balancer.
    pub zone: String,
    /// Choice of upstreams.
    pub placement: placement::Settings,
    /// Memory of recent flows.
    pub tracker: tracker::Settings,
    /// Judgement of upstreams that do not answer opening packets.
    pub health: health::Settings,
    /// Judgement of upstreams that may have ended.
    pub liveness: liveness::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            zone: String::new(),
            placement: placement::Settings::default(),
            tracker: tracker::Settings::default(),
            health: health::Settings {
                // A repeated opening packet is rare while its upstream lives, and a wrong verdict costs nothing as long
                // as other upstreams have room.
                failure_threshold: 1,
                base_ejection: Duration::from_secs(1),
                max_ejection: Duration::from_secs(8),
                ..health::Settings::default()
            },
            liveness: liveness::Settings::default(),
        }
    }
}

/// What is done with a packet.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// It goes to an upstream; an opening packet gets a new cookie.
    Forward {
        /// The upstream.
        upstream: Arc<Upstream>,
        /// The cookie to write, if any.
        cookie: Option<Cookie>,
        /// How the upstream was chosen, for an opening packet.
        placement: Option<Placement>,
    },
    /// The caller is told at once that its flow has ended or cannot be opened.
    Reset(Refusal),
    /// It is dropped.
    Drop(Cause),
}

/// Inputs of a choice, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Version of the configuration.
    pub version: Version,
    /// Score of the upstream, in requests for each slot.
    pub score: f64,
    /// Number of the copy of the opening packet.
    pub copy: u32,
}

/// Why a caller gets a reset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No route has the address.
    NoRoute,
    /// The route was removed while the flow was open.
    RouteRemoved,
    /// No upstream of the route takes new flows.
    NoUpstream,
    /// The upstream of the flow has ended.
    UpstreamEnded,
}

/// Something that a balancer has to do besides answering a packet.
#[derive(Clone, Debug)]
pub enum Action {
    /// Probe an upstream and report the outcome to [`Balancer::probed`].
    Probe(Arc<Upstream>),
    /// Tell a caller that its flow has ended.
    Reset {
        /// The flow.
        key: Key,
        /// Position that the caller has acknowledged.
        acknowledged: u32,
    },
    /// An upstream has ended and its flows are reset.
    Severed {
        /// The upstream.
        id: UpstreamId,
        /// Evidence.
        outcome: Outcome,
        /// Flows that were open here.
        flows: usize,
    },
    /// An upstream that had ended is back.
    Restored(UpstreamId),
    /// An upstream gets no new flows, or gets them again.
    Changed(Change),
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// No configuration is in force yet, so that the address may well have a route.
    NoTable,
    /// Its cookie names no known upstream.
    UnknownCookie,
}

/// The data path of one balancer.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    tracker: Tracker,
    monitor: Monitor,
    register: Register,
    rng: SmallRng,
    changes: Vec<Change>,
    actions: Vec<Action>,
}

impl Balancer {
    /// Creates a balancer that knows no flow.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        Balancer {
            tracker: Tracker::new(settings.tracker),
            monitor: Monitor::new(settings.health),
            rng: SmallRng::seed_from_u64(seed),
            register: Register::new(settings.liveness),
            changes: Vec::new(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Hands the times that flows took to `take` and forgets them.
    pub fn drain_samples(&mut self, take: impl FnMut(&Samples)) {
        self.tracker.drain_samples(take);
    }

    /// Returns the number of flows that lately sent packets.
    pub fn flows(&self) -> usize {
        self.tracker.len()
    }

    /// Returns whether an upstream gets no new flows because it does not answer.
    pub fn looks_down(&self, upstream: UpstreamId) -> bool {
        self.monitor.looks_down(upstream) || self.register.is_dead(upstream)
    }

    /// Returns and forgets what is to be done besides answering packets.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Compares a new table with the one before.
    pub fn refresh(&mut self, now: Duration, before: Option<&Table>, table: &Table) {
        for upstream in table.cookies.values() {
            let id = upstream.record.id;
            let was_registered = before.is_some_and(|before| before.is_registered(upstream));
            match table.holder(upstream) {
                Some(holder) if holder == id && !was_registered => self.register.registered(id),
                Some(holder) if holder != id => self.register.replaced(id),
                None if was_registered && self.tracker.has_flows(upstream) => {
                    self.register.removed(now, id);
                }
                _ => {}
            }
        }
        let gone = before.into_iter().flat_map(|before| before.cookies.iter());
        for (_, upstream) in gone.filter(|(cookie, _)| !table.cookies.contains_key(cookie)) {
            self.register.forget(upstream.record.id);
            self.monitor.remove(upstream.record.id);
        }
        self.settle(Some(table));
    }

    /// Takes the hint of another balancer that an upstream may have ended.
    pub fn doubt(&mut self, now: Duration, table: Option<&Table>, id: UpstreamId) {
        self.register.silent(now, id);
        self.settle(table);
    }

    /// Takes the outcome of a probe that was sent at `sent`.
    pub fn probed(
        &mut self,
        now: Duration,
        table: Option<&Table>,
        sent: Duration,
        id: UpstreamId,
        outcome: Outcome,
    ) {
        self.register.probed(now, sent, id, outcome);
        self.settle(table);
    }

    /// Decides about a packet.
    pub fn handle(&mut self, now: Duration, table: Option<&Table>, segment: &Segment) -> Verdict {
        let Some(table) = table else {
            if planted::has(Fault::EarlyReset) && segment.cookie != 0 {
                return Verdict::Reset(Refusal::NoRoute);
            }
            return Verdict::Drop(Cause::NoTable);
        };
        match segment.kind {
            Kind::Open { copy } => self.open(now, table, segment.flow, copy),
            Kind::Established { is_last } => self.forward(now, table, segment, is_last),
            Kind::Reset => self.reset(table, segment),
        }
    }

    /// Looks for upstreams that do not answer opening packets; due every few milliseconds.
    pub fn check(&mut self, now: Duration, table: Option<&Table>) {
        while let Some(upstream) = self.tracker.overdue(now) {
            self.register.silent(now, upstream.record.id);
        }
        self.settle(table);
    }

    /// Forgets what has become old and probes upstreams that may be back.
    pub fn tick(&mut self, now: Duration, table: Option<&Table>) {
        let idle = table.map_or(DEFAULT_IDLE, |table| table.idle_timeout);
        self.tracker.sweep(now, idle);
        self.monitor.tick(now, &mut self.changes);
        if let Some(table) = table {
            let registered: Set<UpstreamId> = table.addresses.values().copied().collect();
            self.register.tick(now, |id| registered.contains(&id));
        }
        self.settle(table);
    }

    /// Turns the findings about upstreams into actions.
    fn settle(&mut self, table: Option<&Table>) {
        let changes = self.changes.drain(..).map(Action::Changed);
        self.actions.extend(changes);
        for action in self.register.take_actions() {
            match action {
                liveness::Action::Probe(id) => {
                    let mut known = table.into_iter().flat_map(|table| table.cookies.values());
                    match known.find(|upstream| upstream.record.id == id) {
                        Some(upstream) => self.actions.push(Action::Probe(Arc::clone(upstream))),
                        None => self.register.forget(id),
                    }
                }
                liveness::Action::Sever(id, outcome) => self.sever(id, outcome),
                liveness::Action::Restore(id) => self.actions.push(Action::Restored(id)),
            }
        }
    }

    fn sever(&mut self, id: UpstreamId, outcome: Outcome) {
        let open = self.tracker.take(id);
        self.actions.push(Action::Severed {
            id,
            outcome,
            flows: open.len(),
        });
        let resets = open
            .into_iter()
            .map(|(key, acknowledged)| Action::Reset { key, acknowledged });
        self.actions.extend(resets);
    }

    fn open(&mut self, now: Duration, table: &Table, key: Key, copy: u32) -> Verdict {
        let Some(route) = table.routes.get(&key.service) else {
            return Verdict::Reset(Refusal::NoRoute);
        };
        let mut avoided = None;
        if let Some((upstream, last)) = self.tracker.opening(&key) {
            if copy <= last {
                return opened(table, Arc::clone(upstream), copy, 0.0);
            }
            avoided = Some(Arc::clone(upstream));
        }
        if let Some(upstream) = &avoided {
            self.signal(now, upstream, Signal::TimedOut);
            self.register.silent(now, upstream.record.id);
            self.settle(Some(table));
        }
        let Some(choice) = self.place(now, table, route) else {
            return Verdict::Reset(Refusal::NoUpstream);
        };
        self.tracker.open(now, key, copy, &choice.upstream);
        opened(table, choice.upstream, copy, choice.score)
    }

    fn place(&mut self, now: Duration, table: &Table, route: &Route) -> Option<placement::Choice> {
        let target = draw(&route.targets, &mut self.rng)?;
        let upstreams = table.pools.get(&target.pool)?;
        let (monitor, register) = (&self.monitor, &self.register);
        placement::choose(
            &self.settings.placement,
            now,
            &self.settings.zone,
            upstreams,
            |upstream| {
                let id = upstream.record.id;
                !monitor.looks_down(id) && !register.is_doubtful(id)
            },
            &mut self.rng,
        )
    }

    fn forward(
        &mut self,
        now: Duration,
        table: &Table,
        segment: &Segment,
        is_last: bool,
    ) -> Verdict {
        if table.removed.contains(&segment.flow.service) {
            self.tracker.remove(&segment.flow);
            return Verdict::Reset(Refusal::RouteRemoved);
        }
        let known = if planted::has(Fault::Cookie) {
            table.cookies.values().next()
        } else {
            table.cookies.get(&segment.cookie)
        };
        let Some(upstream) = known else {
            return Verdict::Drop(Cause::UnknownCookie);
        };
        let id = upstream.record.id;
        if self.register.is_dead(id) {
            self.tracker.remove(&segment.flow);
            return Verdict::Reset(Refusal::UpstreamEnded);
        }
        let packet = Packet {
            key: segment.flow,
            sequence: segment.sequence,
            acknowledged: segment.acknowledged,
            has_data: segment.length > 0,
            is_last,
        };
        match self.tracker.observe(now, &packet, upstream) {
            Sign::Answered => {
                self.signal(now, upstream, Signal::Answered);
                self.register.answered(now, id);
            }
            Sign::Silent => {
                self.register.silent(now, id);
                self.settle(Some(table));
            }
            Sign::None => {}
        }
        forward(upstream)
    }

    fn reset(&mut self, table: &Table, segment: &Segment) -> Verdict {
        self.tracker.remove(&segment.flow);
        match table.cookies.get(&segment.cookie) {
            Some(upstream) => forward(upstream),
            None => Verdict::Drop(Cause::UnknownCookie),
        }
    }

    fn signal(&mut self, now: Duration, upstream: &Upstream, signal: Signal) {
        let id = upstream.record.id;
        self.monitor.add(id);
        self.changes.extend(self.monitor.observe(now, id, signal));
    }
}

fn forward(upstream: &Arc<Upstream>) -> Verdict {
    Verdict::Forward {
        upstream: Arc::clone(upstream),
        cookie: None,
        placement: None,
    }
}

fn opened(table: &Table, upstream: Arc<Upstream>, copy: u32, score: f64) -> Verdict {
    Verdict::Forward {
        cookie: upstream.cookie,
        upstream,
        placement: Some(Placement {
            version: table.version,
            score,
            copy,
        }),
    }
}

/// Draws a pool by weight.
fn draw<'a>(targets: &'a [Target], rng: &mut SmallRng) -> Option<&'a Target> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    if let [target] = targets {
        return Some(target);
    }
    if total == 0 {
        return None;
    }
    let mut left = rng.random_range(0..total);
    targets.iter().find(|target| {
        let weight = u64::from(target.weight);
        let is_drawn = left < weight;
        left = left.saturating_sub(weight);
        is_drawn
    })
}
