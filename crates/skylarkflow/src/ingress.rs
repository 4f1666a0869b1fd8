//! Datagrams of callers, from the fabric or passed on by another balancer.

use {
    crate::{
        context::Context,
        event,
        metrics::Counter,
        perform::{self, Scratch},
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

/// Balancers that may pass a datagram on before it is dropped.
const MAX_HOPS: u8 = 2;

/// Handles a datagram of the fabric.
pub fn accept(context: &Context, scratch: &mut Scratch, fabric: SocketAddr, bytes: &[u8]) {
    context.metrics.count(Counter::IngressDatagrams);
    context.note_ingress();
    let transit = ForwardedDatagram {
        hops: 0,
        view: 0,
        fabric,
        bytes,
    };
    route(context, scratch, &transit);
}

/// Serves a caller's datagram here or passes it on to its owner.
pub fn route(context: &Context, scratch: &mut Scratch, transit: &ForwardedDatagram<'_>) {
    let datagram = match proxy_header::from_slice(transit.bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            let text = format_args!("from {}: {error}", transit.fabric);
            return context.drop_datagram(Counter::BadFabric, &event::BAD_FABRIC_DATAGRAM, text);
        }
    };
    let key = datagram.key();
    match context.core.route(&key) {
        RouteDecision::Local => serve(context, scratch, transit.fabric, key, datagram.payload),
        RouteDecision::Forward { address, .. } if transit.hops < MAX_HOPS => {
            pass_on(context, scratch, transit, address);
        }
        RouteDecision::Forward { to, .. } => {
            let to = context.balancer_name(to);
            let text = format_args!("of {} to {to} after {MAX_HOPS} hops", key.caller);
            context.drop_datagram(Counter::HopLimit, &event::HOP_LIMIT, text);
        }
        RouteDecision::UnknownService => {
            let text = format_args!("of {} to {}", key.caller, key.service);
            context.drop_datagram(Counter::UnknownService, &event::UNKNOWN_SERVICE, text);
        }
        RouteDecision::NoOwner => {
            let text = format_args!("of {} to {}", key.caller, key.service);
            context.drop_datagram(Counter::NoOwner, &event::NO_OWNER, text);
        }
    }
}

fn pass_on(
    context: &Context,
    scratch: &mut Scratch,
    transit: &ForwardedDatagram<'_>,
    to: SocketAddr,
) {
    let next = ForwardedDatagram {
        hops: transit.hops + 1,
        ..*transit
    };
    datagram::write_forwarded(&next, &mut scratch.bytes);
    context.metrics.count(Counter::Forwarded);
    context.send(&context.sockets.peer, to, &scratch.bytes);
}

fn serve(context: &Context, scratch: &mut Scratch, fabric: SocketAddr, key: Key, payload: &[u8]) {
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
            return perform::reply(context, fabric, key, &reset(message_id));
        }
        Err(error) => {
            let text = format_args!("of {}: {error}", key.caller);
            return context.drop_datagram(Counter::BadCaller, &event::BAD_CALLER_MESSAGE, text);
        }
    };
    perform::handle(context, scratch, event);
}

fn reset(message_id: u16) -> Reply {
    Reply {
        kind: Kind::Reset,
        message_id,
        token: Token::default(),
        body: Body::Empty,
    }
}
