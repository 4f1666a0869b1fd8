//! Datagrams of other balancers.

use {
    crate::{
        context::Context,
        control::Input,
        event, ingress,
        metrics::Counter,
        perform::{self, Scratch},
    },
    skylarkflow_peer::{
        control::{Control, Message},
        datagram::{self, Datagram},
    },
    skylarkflow_policy::balancer::Event,
    std::net::SocketAddr,
};

/// Handles a datagram of another balancer.
pub fn accept(context: &Context, scratch: &mut Scratch, source: SocketAddr, bytes: &[u8]) {
    match datagram::from_slice(bytes) {
        Ok(Datagram::Forwarded(transit)) => {
            context.metrics.count(Counter::PeerDatagrams);
            ingress::route(context, scratch, &transit);
        }
        Ok(Datagram::Control(control)) => accept_control(context, scratch, source, control),
        Err(error) => {
            let text = format_args!("from {source}: {error}");
            context.drop_datagram(Counter::BadPeer, &event::BAD_PEER_DATAGRAM, text);
        }
    }
}

/// Handles a message of another balancer, from a datagram or a link.
pub fn accept_control(
    context: &Context,
    scratch: &mut Scratch,
    source: SocketAddr,
    control: Control,
) {
    context.metrics.count(Counter::ControlReceived);
    let Control { from, message } = control;
    match message {
        Message::Handover(message) => {
            perform::handle(context, scratch, Event::Peer { from, message });
        }
        Message::Node(message) => context.enqueue(Input::Node {
            from: source,
            message,
        }),
    }
}
