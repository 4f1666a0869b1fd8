//! Performs what the decisions ask for.

use {
    crate::{context::Context, decision_log, event, metrics::Counter},
    skylarkflow_caller::{
        envelope::{self, Datagram},
        message,
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
pub struct ScratchBuffers {
    /// Encoded datagram.
    pub bytes: Vec<u8>,
    /// Actions of one event.
    pub actions: Vec<Action>,
}

/// Passes an event to the decisions and performs what they ask for.
pub fn handle_event(context: &Context, scratch: &mut ScratchBuffers, event: Event) {
    let now = context.clock.now();
    context.core.handle(now, event, &mut scratch.actions);
    for action in scratch.actions.drain(..) {
        execute_action(context, action);
    }
}

/// Sends a message to a caller.
pub fn send_reply(context: &Context, fabric: SocketAddr, key: Key, reply: &Reply) {
    let written = message::to_vec(reply).and_then(|payload| {
        envelope::to_vec(&Datagram {
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
            context.count_and_log(Counter::BadUpstream, &event::BAD_UPSTREAM_MESSAGE, text);
        }
    }
}

fn execute_action(context: &Context, action: Action) {
    match action {
        Action::Reply {
            fabric,
            key,
            reply: message,
        } => send_reply(context, fabric, key, &message),
        Action::Dispatch {
            address,
            service,
            token,
            message_id,
            deadline,
            bytes,
            ..
        } => {
            let request = DispatchedRequest {
                service,
                token,
                message_id,
                deadline,
                bytes,
            };
            send_dispatch(context, address, &request);
        }
        Action::Cancel {
            address,
            message_id,
        } => send_cancel(context, address, message_id),
        Action::Acknowledge {
            address,
            message_id,
        } => send_acknowledgement(context, address, message_id),
        Action::Send { to, message } => send_handover(context, to, message),
        Action::Log(note) => decision_log::record(context, &note),
    }
}

/// A request as an upstream gets it.
struct DispatchedRequest {
    service: Arc<str>,
    token: Token,
    message_id: u16,
    deadline: Duration,
    bytes: Vec<u8>,
}

fn send_dispatch(context: &Context, address: SocketAddr, request: &DispatchedRequest) {
    let dispatch = Dispatch {
        service: &request.service,
        token: request.token,
        message_id: request.message_id,
        deadline: context.clock.to_unix_time(request.deadline),
    };
    context.metrics.count(Counter::RequestsDispatched);
    match upstream_message::to_vec(&dispatch, &request.bytes) {
        Ok(bytes) => context.send(&context.sockets.upstream, address, &bytes),
        Err(error) => {
            let text = format_args!("for {address}: {error}");
            context.count_and_log(Counter::BadCaller, &event::BAD_CALLER_MESSAGE, text);
        }
    }
}

fn send_cancel(context: &Context, address: SocketAddr, message_id: u16) {
    context.metrics.count(Counter::RequestsCancelled);
    if let Ok(bytes) = upstream_message::cancel_to_vec(message_id) {
        context.send(&context.sockets.upstream, address, &bytes);
    }
}

fn send_acknowledgement(context: &Context, address: SocketAddr, message_id: u16) {
    if let Ok(bytes) = upstream_message::acknowledgement_to_vec(message_id) {
        context.send(&context.sockets.upstream, address, &bytes);
    }
}

/// Sends a handover message to another balancer.
fn send_handover(context: &Context, to: VmId, message: handover::Message) {
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
    context.count_and_log(Counter::ControlDropped, &event::CONTROL_DROPPED, text);
}
