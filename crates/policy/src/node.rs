//! Everything of one balancer but its data path.

use {
    crate::{
        deployment::Deployment,
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
    /// The platform returned its VM list.
    Listed(Vec<vm::Record>),
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
}

/// Settings of a balancer's control part.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Membership.
    pub member: member::Settings,
}

/// The control part of one balancer.
#[derive(Debug)]
pub struct Node {
    member: Machine,
    spare: Vec<member::Action>,
}

impl Node {
    /// Creates the control part of a balancer that knows only itself.
    pub fn new(settings: Settings, me: member::Identity, seed: u64) -> Node {
        Node {
            member: Machine::new(settings.member, me, seed),
            spare: Vec::new(),
        }
    }

    /// Handles an event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let event = match event {
            Event::Tick => member::Event::Tick,
            Event::Received {
                from,
                message: Message::Member(message),
            } => member::Event::Received { from, message },
            Event::Listed(records) => member::Event::Listed(records),
            Event::Leave => member::Event::Leave,
            Event::Stop => member::Event::Stop,
        };
        self.member.handle(now, event, &mut self.spare);
        actions.extend(self.spare.drain(..).map(Action::from));
    }

    /// Returns the membership.
    pub fn member(&self) -> &Machine {
        &self.member
    }

    /// Returns whether this balancer may dispatch non-idempotent requests.
    pub fn holds(&self, now: Duration) -> bool {
        self.member.base().holds(now)
    }

    /// Returns the zones and the members that own flows.
    pub fn deployment(&self) -> Deployment {
        Deployment::new(&self.member)
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
