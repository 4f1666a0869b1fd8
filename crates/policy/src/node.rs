//! Control plane of one balancer: membership, configuration and drains.

use {
    crate::{
        config::Snapshot,
        config_object::Source,
        config_reader::{Answer, Call},
        config_relay::{self, Peer, Relay},
        deployment::Deployment,
        drain::ObservationTracker,
        id::UpstreamId,
        member::{self, Membership},
        vm,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// A control message between two balancers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Membership protocol, including the fence.
    #[serde(rename = "m")]
    Member(member::Message),
    /// Configuration, drain marks and the VM list.
    #[serde(rename = "c")]
    Config(config_relay::Message),
}

/// Input of [`Node`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; expected every 100 ms.
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
    /// This balancer starts to drain: it hands its flows over.
    Leave,
    /// This balancer has drained and stops.
    Stop,
}

/// Output of [`Node`], to be carried out by the code that runs it.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another balancer.
    Send {
        /// Address of the peer socket.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The members that own flows changed: apply [`Node::deployment`].
    OwnersChanged,
    /// Routes, pools or drains changed: apply [`Node::tables`].
    TablesChanged,
    /// Call the platform, and return its answer in [`Event::Answered`].
    Call(Call),
    /// The store holds an older version of an object than the active one, which stays active.
    StoreOutdated {
        /// Key of the object.
        key: String,
    },
}

/// Settings of the control plane of a balancer.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Membership.
    pub member: member::Settings,
    /// Configuration.
    pub config: config_relay::Settings,
}

/// Control plane of one balancer.
#[derive(Debug)]
pub struct Node {
    membership: Membership,
    relay: Relay,
    observations: ObservationTracker,
    /// Time at which the next address hold ends, which changes the tables.
    next_hold_end: Option<Duration>,
    /// Whether the published VM list changed since the last tick.
    is_vm_list_changed: bool,
    membership_actions: Vec<member::Action>,
    relay_actions: Vec<config_relay::Action>,
}

impl Node {
    /// Creates the control plane of a balancer that knows no other member.
    pub fn new(settings: Settings, me: member::Identity, seed: u64) -> Node {
        Node {
            relay: Relay::new(settings.config, seed ^ me.id),
            membership: Membership::new(settings.member, me, seed),
            observations: ObservationTracker::default(),
            next_hold_end: None,
            is_vm_list_changed: false,
            membership_actions: Vec::new(),
            relay_actions: Vec::new(),
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received { from, message } => match message {
                Message::Member(message) => {
                    self.handle_member_event(now, member::Event::Received { from, message });
                }
                Message::Config(message) => {
                    self.relay
                        .receive(now, from, message, &mut self.relay_actions);
                }
            },
            Event::Answered(answer) => self.handle_answer(now, answer),
            Event::Upstream { upstream, draining } => {
                let store = self.relay.store();
                let source = Source::Upstream;
                let mark = self
                    .observations
                    .observe_drain(now, store, upstream, source, draining);
                if let Some(mark) = mark {
                    self.relay.adopt(now, mark, &mut self.relay_actions);
                }
            }
            Event::Leave => self.handle_member_event(now, member::Event::Leave),
            Event::Stop => self.handle_member_event(now, member::Event::Stop),
        }
        self.collect_actions(now, actions);
    }

    /// Returns the membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the relay, which exchanges configuration with other balancers.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Returns whether a majority of the zone has recently answered, so that this balancer may dispatch non-idempotent
    /// requests.
    pub fn has_majority(&self, now: Duration) -> bool {
        self.membership.quorum().has_majority(now)
    }

    /// Returns the zones and the members that own flows.
    pub fn deployment(&self) -> Deployment {
        Deployment::new(&self.membership)
    }

    /// Returns the active routes and pools. Upstreams that must not get new flows are marked `drain`.
    pub fn tables(&mut self, now: Duration) -> Snapshot {
        self.relay.store_mut().snapshot(now)
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.is_vm_list_changed) {
            self.forward_vm_list(now);
        }
        self.handle_member_event(now, member::Event::Tick);
        self.relay.tick(now, &mut self.relay_actions);
        if self.next_hold_end.is_some_and(|end| end <= now) {
            self.next_hold_end = self.relay.store().next_hold_end(now);
            actions.push(Action::TablesChanged);
        }
    }

    fn handle_member_event(&mut self, now: Duration, event: member::Event) {
        self.membership
            .handle(now, event, &mut self.membership_actions);
    }

    fn handle_answer(&mut self, now: Duration, answer: Answer) {
        if let Answer::Vms(records) = &answer {
            self.handle_member_event(now, member::Event::Listed(records.clone()));
            self.publish_vm_list(now, records);
        }
        self.relay
            .handle_answer(now, answer, &mut self.relay_actions);
    }

    /// Publishes the changes in a VM list, unless this balancer only uses the list to find its first peers.
    fn publish_vm_list(&mut self, now: Duration, records: &[vm::Record]) {
        if !self.relay.reader().is_reading() {
            return;
        }
        let objects = self
            .observations
            .observe_vm_list(now, self.relay.store(), records);
        for object in objects {
            self.relay.adopt(now, object, &mut self.relay_actions);
        }
    }

    fn collect_actions(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self
            .membership_actions
            .iter()
            .any(|it| matches!(it, member::Action::Changed))
        {
            self.update_peers(now);
        }
        let is_tables_changed =
            |it: &config_relay::Action| matches!(it, config_relay::Action::TablesChanged);
        if self.relay_actions.iter().any(is_tables_changed) {
            self.next_hold_end = self.relay.store().next_hold_end(now);
            actions.push(Action::TablesChanged);
        }
        let is_vms_changed =
            |it: &config_relay::Action| matches!(it, config_relay::Action::VmsChanged);
        self.is_vm_list_changed |= self.relay_actions.iter().any(is_vms_changed);
        actions.extend(self.membership_actions.drain(..).map(Action::from));
        actions.extend(
            self.relay_actions
                .drain(..)
                .filter_map(convert_relay_action),
        );
    }

    /// Forwards the VM list that readers published to the membership of a balancer that does not read the list itself.
    fn forward_vm_list(&mut self, now: Duration) {
        let records = self.relay.store().listed_vms();
        if !self.relay.reader().has_reader_rank() && !records.is_empty() {
            self.handle_member_event(now, member::Event::Listed(records));
        }
    }

    fn update_peers(&mut self, now: Duration) {
        let me = self.membership.me();
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
        self.relay
            .set_peers(now, peers, rank, &mut self.relay_actions);
    }
}

fn convert_relay_action(action: config_relay::Action) -> Option<Action> {
    match action {
        config_relay::Action::Send { to, message } => Some(Action::Send {
            to,
            message: Message::Config(message),
        }),
        config_relay::Action::Call(call) => Some(Action::Call(call)),
        config_relay::Action::StoreOutdated { key } => Some(Action::StoreOutdated { key }),
        config_relay::Action::TablesChanged | config_relay::Action::VmsChanged => None,
    }
}

impl From<member::Action> for Action {
    fn from(action: member::Action) -> Action {
        match action {
            member::Action::Send { to, message } => Action::Send {
                to,
                message: Message::Member(message),
            },
            member::Action::Changed => Action::OwnersChanged,
        }
    }
}
