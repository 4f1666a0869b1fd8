//! Handles datagrams and control messages of other balancers.

use {
    crate::{
        actions::{self, ScratchBuffers},
        context::Context,
        control::Input,
        event, ingress,
        metrics::Counter,
    },
    skylarkflow_peer::{
        control::{Control, Message},
        datagram::{self, Datagram},
    },
    skylarkflow_policy::balancer::Event,
    std::net::SocketAddr,
};

/// Handles a datagram of another balancer.
pub fn handle_datagram(
    context: &Context,
    scratch: &mut ScratchBuffers,
    source: SocketAddr,
    bytes: &[u8],
) {
    match datagram::from_slice(bytes) {
        Ok(Datagram::Forwarded(forwarded)) => {
            context.metrics.count(Counter::PeerDatagrams);
            ingress::route_datagram(context, scratch, &forwarded);
        }
        Ok(Datagram::Control(control)) => handle_control(context, scratch, source, control),
        Err(error) => {
            let text = format_args!("from {source}: {error}");
            context.count_and_log(Counter::BadPeer, &event::BAD_PEER_DATAGRAM, text);
        }
    }
}

/// Handles a control message of another balancer, received as a datagram or over a link.
pub fn handle_control(
    context: &Context,
    scratch: &mut ScratchBuffers,
    source: SocketAddr,
    control: Control,
) {
    context.metrics.count(Counter::ControlReceived);
    let Control { from, message } = control;
    match message {
        Message::Handover(message) => {
            actions::handle_event(context, scratch, Event::Peer { from, message });
        }
        Message::Node(message) => context.enqueue_input(Input::NodeMessage {
            from: source,
            message,
        }),
    }
}
