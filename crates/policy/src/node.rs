//! Everything of one balancer but its data path.

use {
    crate::{
        config::Snapshot,
        config_object::Source,
        config_reader::{Answer, Call},
        config_relay::{self, Peer, Relay},
        deployment::Deployment,
        drain::ObservationTracker,
        id::UpstreamId,
        member::{self, Machine},
        vm,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// A control message between two balancers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Membership and the fence.
    #[serde(rename = "m")]
    Member(member::Message),
    /// Configuration, drain marks and the VM list.
    #[serde(rename = "c")]
    Config(config_relay::Message),
}

/// Something that happened at a balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due every 100 ms.
    Tick,
    /// A message of another balancer arrived.
    Received {
        /// Source address.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The platform answered a call.
    Answered(Answer),
    /// An upstream's response or health says whether it is draining.
    Upstream {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether it is draining.
        draining: bool,
    },
    /// This balancer starts to leave.
    Leave,
    /// This balancer has handed over and stops.
    Stop,
}

/// Something that a balancer is to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another balancer.
    Send {
        /// Address of the peer socket.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The owners changed: take [`Node::deployment`] into force.
    View,
    /// Routes, pools or drains changed: take [`Node::tables`] into force.
    Tables,
    /// Call the platform and pass the answer to [`Event::Answered`].
    Call(Call),
    /// The store holds an older version than the one in force, which stays in force.
    Older {
        /// Key of the object.
        key: String,
    },
}

/// Settings of a balancer's control part.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Membership.
    pub member: member::Settings,
    /// Configuration.
    pub config: config_relay::Settings,
}

/// The control part of one balancer.
#[derive(Debug)]
pub struct Node {
    member: Machine,
    relay: Relay,
    register: ObservationTracker,
    release: Option<Duration>,
    is_list_new: bool,
    from_member: Vec<member::Action>,
    from_relay: Vec<config_relay::Action>,
}

impl Node {
    /// Creates the control part of a balancer that knows only itself.
    pub fn new(settings: Settings, me: member::Identity, seed: u64) -> Node {
        Node {
            relay: Relay::new(settings.config, seed ^ me.id),
            member: Machine::new(settings.member, me, seed),
            register: ObservationTracker::default(),
            release: None,
            is_list_new: false,
            from_member: Vec::new(),
            from_relay: Vec::new(),
        }
    }

    /// Handles an event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received { from, message } => match message {
                Message::Member(message) => {
                    self.pass(now, member::Event::Received { from, message });
                }
                Message::Config(message) => {
                    self.relay.receive(now, from, message, &mut self.from_relay);
                }
            },
            Event::Answered(answer) => self.answer(now, answer),
            Event::Upstream { upstream, draining } => {
                let store = self.relay.store();
                let source = Source::Upstream;
                let news = self
                    .register
                    .observe_drain(now, store, upstream, source, draining);
                if let Some(mark) = news {
                    self.relay.offer(now, mark, &mut self.from_relay);
                }
            }
            Event::Leave => self.pass(now, member::Event::Leave),
            Event::Stop => self.pass(now, member::Event::Stop),
        }
        self.collect(now, actions);
    }

    /// Returns the membership.
    pub fn member(&self) -> &Machine {
        &self.member
    }

    /// Returns the relay of configuration.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Returns whether this balancer may dispatch non-idempotent requests.
    pub fn holds(&self, now: Duration) -> bool {
        self.member.base().holds(now)
    }

    /// Returns the zones and the members that own flows.
    pub fn deployment(&self) -> Deployment {
        Deployment::new(&self.member)
    }

    /// Returns routes and pools in force; upstreams that get no new work are marked `drain`.
    pub fn tables(&mut self, now: Duration) -> Snapshot {
        self.relay.store_mut().snapshot(now)
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.is_list_new) {
            self.pass_list(now);
        }
        self.pass(now, member::Event::Tick);
        self.relay.tick(now, &mut self.from_relay);
        if self.release.is_some_and(|release| release <= now) {
            self.release = self.relay.store().next_release(now);
            actions.push(Action::Tables);
        }
    }

    fn pass(&mut self, now: Duration, event: member::Event) {
        self.member.handle(now, event, &mut self.from_member);
    }

    fn answer(&mut self, now: Duration, answer: Answer) {
        if let Answer::Vms(records) = &answer {
            self.pass(now, member::Event::Listed(records.clone()));
            self.publish(now, records);
        }
        self.relay.answer(now, answer, &mut self.from_relay);
    }

    /// Spreads what is new in a VM list, unless this balancer only looks for its first peers.
    fn publish(&mut self, now: Duration, records: &[vm::Record]) {
        if !self.relay.reader().is_reading() {
            return;
        }
        let news = self
            .register
            .observe_vm_list(now, self.relay.store(), records);
        for object in news {
            self.relay.offer(now, object, &mut self.from_relay);
        }
    }

    fn collect(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self
            .from_member
            .iter()
            .any(|it| matches!(it, member::Action::Changed))
        {
            self.update_peers(now);
        }
        let tables = |it: &config_relay::Action| matches!(it, config_relay::Action::Tables);
        if self.from_relay.iter().any(tables) {
            self.release = self.relay.store().next_release(now);
            actions.push(Action::Tables);
        }
        let listed = |it: &config_relay::Action| matches!(it, config_relay::Action::Listed);
        self.is_list_new |= self.from_relay.iter().any(listed);
        actions.extend(self.from_member.drain(..).map(Action::from));
        actions.extend(self.from_relay.drain(..).filter_map(from_relay));
    }

    /// Passes the VM list of the zone's readers on to the membership of a balancer that does not read it itself.
    fn pass_list(&mut self, now: Duration) {
        let listed = self.relay.store().listed();
        if !self.relay.reader().is_active() && !listed.is_empty() {
            self.pass(now, member::Event::Listed(listed));
        }
    }

    fn update_peers(&mut self, now: Duration) {
        let me = self.member.me();
        let owners = self.deployment().members;
        let rank = owners
            .iter()
            .filter(|owner| owner.zone == me.place.zone && owner.id < me.id)
            .count();
        let peers = owners.iter().filter(|owner| owner.id != me.id);
        let peers = peers.map(|owner| Peer {
            id: owner.id,
            address: owner.address,
        });
        let peers = peers.collect();
        self.relay.set_peers(now, peers, rank, &mut self.from_relay);
    }
}

fn from_relay(action: config_relay::Action) -> Option<Action> {
    match action {
        config_relay::Action::Send { to, message } => Some(Action::Send {
            to,
            message: Message::Config(message),
        }),
        config_relay::Action::Call(call) => Some(Action::Call(call)),
        config_relay::Action::Older { key } => Some(Action::Older { key }),
        config_relay::Action::Tables | config_relay::Action::Listed => None,
    }
}

impl From<member::Action> for Action {
    fn from(action: member::Action) -> Action {
        match action {
            member::Action::Send { to, message } => Action::Send {
                to,
                message: Message::Member(message),
            },
            member::Action::Changed => Action::View,
        }
    }
}
