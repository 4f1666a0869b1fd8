//! Performs what the decisions ask for.

use {
    crate::{context::Context, event, metrics::Counter, notes},
    skylarkflow_caller::{
        message,
        proxy_header::{self, Datagram},
    },
    skylarkflow_peer::{
        control::{Control, Message},
        datagram,
    },
    skylarkflow_policy::{
        balancer::{Action, Event},
        exchange::{Reply, Token},
        flow::Key,
        handover,
        id::VmId,
    },
    skylarkflow_upstream::message::{self as upstream_message, Dispatch},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Memory that a thread uses again for each datagram.
#[derive(Debug, Default)]
pub struct Scratch {
    /// Encoded datagram.
    pub bytes: Vec<u8>,
    /// Actions of one event.
    pub actions: Vec<Action>,
}

/// Passes an event to the decisions and performs what they ask for.
pub fn handle(context: &Context, scratch: &mut Scratch, event: Event) {
    let now = context.clock.now();
    context.core.handle(now, event, &mut scratch.actions);
    for action in scratch.actions.drain(..) {
        perform(context, action);
    }
}

/// Sends a message to a caller.
pub fn reply(context: &Context, fabric: SocketAddr, key: Key, reply: &Reply) {
    let written = message::to_vec(reply).and_then(|payload| {
        proxy_header::to_vec(&Datagram {
            source: key.service,
            destination: key.caller,
            payload: &payload,
        })
    });
    context.metrics.count(Counter::Replies);
    match written {
        Ok(bytes) => context.send(&context.sockets.ingress, fabric, &bytes),
        Err(error) => {
            let text = format_args!("in an answer to {}: {error}", key.caller);
            context.drop_datagram(Counter::BadUpstream, &event::BAD_UPSTREAM_MESSAGE, text);
        }
    }
}

fn perform(context: &Context, action: Action) {
    match action {
        Action::Reply {
            fabric,
            key,
            reply: message,
        } => reply(context, fabric, key, &message),
        Action::Dispatch {
            address,
            service,
            token,
            message_id,
            deadline,
            bytes,
            ..
        } => {
            let request = Request {
                service,
                token,
                message_id,
                deadline,
                bytes,
            };
            dispatch(context, address, &request);
        }
        Action::Cancel {
            address,
            message_id,
        } => cancel(context, address, message_id),
        Action::Acknowledge {
            address,
            message_id,
        } => acknowledge(context, address, message_id),
        Action::Send { to, message } => send(context, to, message),
        Action::Log(note) => notes::record(context, &note),
    }
}

/// A request as an upstream gets it.
struct Request {
    service: Arc<str>,
    token: Token,
    message_id: u16,
    deadline: Duration,
    bytes: Vec<u8>,
}

fn dispatch(context: &Context, address: SocketAddr, request: &Request) {
    let dispatch = Dispatch {
        service: &request.service,
        token: request.token,
        message_id: request.message_id,
        deadline: context.clock.unix(request.deadline),
    };
    context.metrics.count(Counter::Dispatches);
    match upstream_message::to_vec(&dispatch, &request.bytes) {
        Ok(bytes) => context.send(&context.sockets.upstream, address, &bytes),
        Err(error) => {
            let text = format_args!("for {address}: {error}");
            context.drop_datagram(Counter::BadCaller, &event::BAD_CALLER_MESSAGE, text);
        }
    }
}

fn cancel(context: &Context, address: SocketAddr, message_id: u16) {
    context.metrics.count(Counter::Cancels);
    if let Ok(bytes) = upstream_message::cancel_to_vec(message_id) {
        context.send(&context.sockets.upstream, address, &bytes);
    }
}

fn acknowledge(context: &Context, address: SocketAddr, message_id: u16) {
    if let Ok(bytes) = upstream_message::acknowledgement_to_vec(message_id) {
        context.send(&context.sockets.upstream, address, &bytes);
    }
}

/// Sends a handover message to another balancer.
fn send(context: &Context, to: VmId, message: handover::Message) {
    match context.core.address(context.clock.now(), to) {
        Some(address) => send_control(context, to, address, Message::Handover(message)),
        None => drop_control(context, to, "its address is not known"),
    }
}

/// Sends a message to another balancer, as a datagram if it is small enough, otherwise over a link.
pub fn send_control(context: &Context, to: VmId, address: SocketAddr, message: Message) {
    let control = Control {
        from: context.id(),
        message,
    };
    let Ok(bytes) = datagram::control_to_vec(&control) else {
        return drop_control(context, to, "it cannot be encoded");
    };
    let length = bytes.len();
    context.metrics.count(Counter::ControlSent);
    context
        .metrics
        .add(Counter::ControlBytesSent, length as u64);
    if length <= context.settings.limits.control_bytes {
        context.send(&context.sockets.peer, address, &bytes);
    } else if !context.links.send(to, address, bytes) {
        drop_control(context, to, "its link has too much to send");
    }
}

fn drop_control(context: &Context, to: VmId, reason: &str) {
    let to = context.balancer_name(to);
    let text = format_args!("to {to}: {reason}");
    context.drop_datagram(Counter::ControlDropped, &event::CONTROL_DROPPED, text);
}
