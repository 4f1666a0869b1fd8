//! A simulated network of balancers with the configuration gossip alone.
//!
//! Without the member lists, a network of the size expected in two years fits into memory.

use {
    crate::bench_simulator::{self, Network, StateMachine, ZONES},
    skylarkflow_policy::{
        config_relay::{self, Peer, Relay, Settings},
        node::{Action, Event, Message},
        vm,
    },
    std::time::Duration,
};

/// Configuration gossip of one balancer, without its membership protocol.
pub struct ConfigGossip {
    /// State machine of the configuration gossip.
    pub relay: Relay,
    actions: Vec<config_relay::Action>,
}

impl StateMachine for ConfigGossip {
    fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.relay.tick(now, &mut self.actions),
            Event::Received {
                from,
                message: Message::Config(message),
            } => self.relay.receive(now, from, message, &mut self.actions),
            Event::Answered(answer) => self.relay.handle_answer(now, answer, &mut self.actions),
            _ => {}
        }
        actions.extend(self.actions.drain(..).filter_map(node_action));
    }
}

fn node_action(action: config_relay::Action) -> Option<Action> {
    match action {
        config_relay::Action::Send { to, message } => Some(Action::Send {
            to,
            message: Message::Config(message),
        }),
        config_relay::Action::Call(call) => Some(Action::Call(call)),
        config_relay::Action::TablesChanged => Some(Action::TablesChanged),
        config_relay::Action::StoreOutdated { .. } | config_relay::Action::VmsChanged => None,
    }
}

/// Returns a network of balancers that know each other, with ranks in the order of their indices and an empty VM list.
pub fn network(relays: usize) -> Network<ConfigGossip> {
    let records: Vec<vm::Record> = (0..relays).map(bench_simulator::record).collect();
    let peer = |record: &vm::Record| Peer {
        id: record.id(),
        address: record.address,
    };
    let peers: Vec<Peer> = records.iter().map(peer).collect();
    let mut network = Network::new();
    for (at, record) in records.into_iter().enumerate() {
        let mut relay = Relay::new(Settings::default(), at as u64);
        let others = peers.iter().filter(|peer| peer.id != record.id());
        let others = others.copied().collect();
        relay.set_peers(Duration::ZERO, others, at / ZONES, &mut Vec::new());
        let actions = Vec::new();
        network.start(record, ConfigGossip { relay, actions });
    }
    network.vms.clear();
    network
}
