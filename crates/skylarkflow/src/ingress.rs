//! Handles datagrams of callers, which arrive from the fabric or are forwarded by another balancer.

use {
    crate::{
        actions::{self, ScratchBuffers},
        context::Context,
        event,
        metrics::Counter,
    },
    skylarkflow_caller::{
        message::{self, Message},
        proxy_header,
    },
    skylarkflow_peer::datagram::{self, ForwardedDatagram},
    skylarkflow_policy::{
        balancer::{Event, RouteDecision},
        exchange::{Body, Kind, Reply, Token},
        flow::Key,
    },
    std::net::SocketAddr,
};

/// Maximum number of times that a datagram is forwarded between balancers before it is dropped.
const MAX_HOPS: u8 = 2;

/// Handles a datagram of the fabric.
pub fn handle_datagram(
    context: &Context,
    scratch: &mut ScratchBuffers,
    fabric: SocketAddr,
    bytes: &[u8],
) {
    context.metrics.count(Counter::IngressDatagrams);
    context.record_ingress_time();
    let forwarded = ForwardedDatagram {
        hops: 0,
        view: 0,
        fabric,
        bytes,
    };
    route_datagram(context, scratch, &forwarded);
}

/// Handles a caller's datagram here, or forwards it to the balancer that owns its flow.
pub fn route_datagram(
    context: &Context,
    scratch: &mut ScratchBuffers,
    forwarded: &ForwardedDatagram<'_>,
) {
    let datagram = match proxy_header::from_slice(forwarded.bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            let text = format_args!("from fabric socket {}: {error}", forwarded.fabric);
            return context.count_and_log(Counter::BadFabric, &event::BAD_FABRIC_DATAGRAM, text);
        }
    };
    let key = datagram.key();
    match context.core.route(&key) {
        RouteDecision::Local => {
            handle_message(context, scratch, forwarded.fabric, key, datagram.payload)
        }
        RouteDecision::Forward { address, .. } if forwarded.hops < MAX_HOPS => {
            forward_to_owner(context, scratch, forwarded, address);
        }
        RouteDecision::Forward { to, .. } => {
            let to = context.balancer_name(to);
            let text = format_args!(
                "caller {}, next balancer {to}, limit {MAX_HOPS} hops",
                key.caller
            );
            context.count_and_log(Counter::HopLimit, &event::HOP_LIMIT, text);
        }
        RouteDecision::UnknownService => {
            let text = format_args!("caller {}, service {}", key.caller, key.service);
            context.count_and_log(Counter::UnknownService, &event::UNKNOWN_SERVICE, text);
        }
        RouteDecision::NoOwner => {
            let text = format_args!("caller {}, service {}", key.caller, key.service);
            context.count_and_log(Counter::NoOwner, &event::NO_OWNER, text);
        }
    }
}

fn forward_to_owner(
    context: &Context,
    scratch: &mut ScratchBuffers,
    forwarded: &ForwardedDatagram<'_>,
    to: SocketAddr,
) {
    let next = ForwardedDatagram {
        hops: forwarded.hops + 1,
        ..*forwarded
    };
    datagram::write_forwarded(&next, &mut scratch.bytes);
    context.metrics.count(Counter::Forwarded);
    context.send(&context.sockets.peer, to, &scratch.bytes);
}

fn handle_message(
    context: &Context,
    scratch: &mut ScratchBuffers,
    fabric: SocketAddr,
    key: Key,
    payload: &[u8],
) {
    let event = match message::from_slice(payload) {
        Ok(Message::Request(request)) => {
            context.metrics.count(Counter::Requests);
            Event::Request {
                fabric,
                key,
                request,
            }
        }
        Ok(Message::Acknowledgement { kind, message_id }) => Event::Acknowledgement {
            key,
            kind,
            message_id,
        },
        Ok(Message::Ping { message_id }) => {
            return actions::send_reply(context, fabric, key, &reset_reply(message_id));
        }
        Err(error) => {
            let text = format_args!("caller {}: {error}", key.caller);
            return context.count_and_log(Counter::BadCaller, &event::BAD_CALLER_MESSAGE, text);
        }
    };
    actions::handle_event(context, scratch, event);
}

/// Returns the reset message that answers a CoAP ping.
fn reset_reply(message_id: u16) -> Reply {
    Reply {
        kind: Kind::Reset,
        message_id,
        token: Token::default(),
        body: Body::Empty,
    }
}
