//! Passes events to the core of `skylarkflow-policy` and executes the actions that it returns.

use {
    crate::{context::Context, decision_log, event, metrics::Counter},
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

/// Buffers that a thread reuses for every datagram, to avoid allocations.
#[derive(Debug, Default)]
pub struct ScratchBuffers {
    /// Encoded datagram.
    pub bytes: Vec<u8>,
    /// Actions that one event resulted in.
    pub actions: Vec<Action>,
}

/// Passes an event to the core and executes the resulting actions.
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
            let text = format_args!("cannot encode the reply to caller {}: {error}", key.caller);
            context.count_and_log(Counter::BadUpstream, &event::BAD_UPSTREAM_MESSAGE, text);
        }
    }
}

fn execute_action(context: &Context, action: Action) {
    match action {
        Action::Reply { fabric, key, reply } => send_reply(context, fabric, key, &reply),
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
        Action::Log(log_event) => decision_log::record(context, &log_event),
    }
}

/// A request as sent to an upstream.
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
            let text = format_args!("cannot encode the request for upstream {address}: {error}");
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
        None => record_dropped_control(context, to, "its address is unknown"),
    }
}

/// Sends a control message to another balancer: as a datagram up to `limits.control_bytes`, otherwise over a link.
pub fn send_control(context: &Context, to: VmId, address: SocketAddr, message: Message) {
    let control = Control {
        from: context.id(),
        message,
    };
    let Ok(bytes) = datagram::control_to_vec(&control) else {
        return record_dropped_control(context, to, "the message cannot be encoded");
    };
    let length = bytes.len();
    context.metrics.count(Counter::ControlSent);
    context
        .metrics
        .add(Counter::ControlBytesSent, length as u64);
    if length <= context.settings.limits.control_bytes {
        context.send(&context.sockets.peer, address, &bytes);
    } else if !context.links.send(to, address, bytes) {
        record_dropped_control(
            context,
            to,
            "it exceeds limits.link_bytes, or the queue of its link is full",
        );
    }
}

fn record_dropped_control(context: &Context, to: VmId, reason: &str) {
    let to = context.balancer_name(to);
    let text = format_args!("message to balancer {to}: {reason}");
    context.count_and_log(Counter::ControlDropped, &event::CONTROL_DROPPED, text);
}
