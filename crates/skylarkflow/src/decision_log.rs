//! Logs and counts the decisions of the core.

use {
    crate::{context::Context, event, metrics::Counter},
    skylarkflow_policy::{
        event::{DropReason, LogEvent, RefusalReason, UnknownReason},
        flow::Key,
        id::UpstreamId,
    },
};

/// Logs and counts a decision.
pub fn record(context: &Context, log_event: &LogEvent) {
    match *log_event {
        LogEvent::Opened {
            key,
            upstream,
            exception,
        } => record_opened(context, key, upstream, exception),
        LogEvent::Replaced { key, from, to } => record_replaced(context, key, from, to),
        LogEvent::Closed { key } => {
            context.metrics.count(Counter::FlowsClosed);
            let text = format_args!("{}", Flow(key));
            context.event_log.record(&event::FLOW_CLOSED, text);
        }
        LogEvent::Claimed { .. }
        | LogEvent::Granted { .. }
        | LogEvent::Quarantined { .. }
        | LogEvent::Completed { .. } => record_handover(context, log_event),
        LogEvent::Refused { .. } | LogEvent::Retried { .. } | LogEvent::Unknown { .. } => {
            record_request(context, log_event);
        }
        LogEvent::Draining { upstream } => {
            let name = context.upstream_name(upstream);
            let text = format_args!("upstream {name} reports that it is draining");
            context.event_log.record(&event::UPSTREAM_DRAINING, text);
        }
        LogEvent::UnmatchedResponse { source } => {
            let text = format_args!("source {source}");
            context.count_and_log(
                Counter::ResponsesUnmatched,
                &event::RESPONSE_UNMATCHED,
                text,
            );
        }
        LogEvent::Dropped { key, reason } => record_dropped(context, key, reason),
    }
}

#[derive(Clone, Copy, derive_more::Display)]
#[display("flow from {} to {}", _0.caller, _0.service)]
struct Flow(Key);

fn record_opened(context: &Context, key: Key, upstream: UpstreamId, exception: bool) {
    context.metrics.count(Counter::FlowsOpened);
    let event = if exception {
        context.metrics.count(Counter::FlowsException);
        &event::FLOW_EXCEPTION
    } else {
        &event::FLOW_OPENED
    };
    if context.event_log.is_enabled(event) {
        let name = context.upstream_name(upstream);
        let reason = if exception {
            "because the default cannot take the flow"
        } else {
            "the default"
        };
        let text = format_args!("{}: upstream {name}, {reason}", Flow(key));
        context.event_log.record(event, text);
    }
}

fn record_replaced(context: &Context, key: Key, from: UpstreamId, to: UpstreamId) {
    context.metrics.count(Counter::FlowsReplaced);
    if context.event_log.is_enabled(&event::FLOW_REPLACED) {
        let from = context.upstream_name(from);
        let to = context.upstream_name(to);
        let text = format_args!(
            "{}: upstream {to}, because {from} is down or removed",
            Flow(key)
        );
        context.event_log.record(&event::FLOW_REPLACED, text);
    }
}

fn record_handover(context: &Context, log_event: &LogEvent) {
    let (counter, event) = match log_event {
        LogEvent::Claimed { .. } => (Some(Counter::FlowsClaimed), &event::FLOW_CLAIMED),
        LogEvent::Granted { .. } => (Some(Counter::FlowsGranted), &event::FLOW_GRANTED),
        LogEvent::Quarantined { .. } => (Some(Counter::FlowsQuarantined), &event::FLOW_QUARANTINED),
        _ => (None, &event::HANDOVER_COMPLETED),
    };
    if let Some(counter) = counter {
        context.metrics.count(counter);
    }
    if !context.event_log.is_enabled(event) {
        return;
    }
    let text = match *log_event {
        LogEvent::Claimed { key, from } => {
            let from = context.balancer_name(from);
            format!(
                "{}: claimed from balancer {from}, the previous owner",
                Flow(key)
            )
        }
        LogEvent::Granted { key, to } => {
            let to = context.balancer_name(to);
            format!("{}: handed over to balancer {to}, the new owner", Flow(key))
        }
        LogEvent::Quarantined { key, until } => {
            let left = until.saturating_sub(context.clock.now());
            let seconds = left.as_secs_f32();
            format!(
                "{}: quarantined for {seconds:.1} s, because no previous owner handed it over",
                Flow(key)
            )
        }
        LogEvent::Completed { from } => format!("from balancer {}", context.balancer_name(from)),
        _ => String::new(),
    };
    context.event_log.record(event, format_args!("{text}"));
}

fn record_request(context: &Context, log_event: &LogEvent) {
    match *log_event {
        LogEvent::Refused {
            key,
            message_id,
            reason,
        } => {
            context.metrics.count(Counter::RequestsRefused);
            let reason = refusal_text(reason);
            let text = format_args!("message ID {} of {}: {reason}", message_id, Flow(key));
            context.event_log.record(&event::REQUEST_REFUSED, text);
        }
        LogEvent::Retried { key, message_id } => {
            context.metrics.count(Counter::RequestsRetried);
            let text = format_args!(
                "message ID {} of {}: the last attempt did not run",
                message_id,
                Flow(key)
            );
            context.event_log.record(&event::REQUEST_RETRIED, text);
        }
        LogEvent::Unknown {
            key,
            message_id,
            reason,
        } => {
            context.metrics.count(Counter::RequestsUnknown);
            let reason = unknown_outcome_text(reason);
            let text = format_args!("message ID {} of {}: {reason}", message_id, Flow(key));
            context.event_log.record(&event::REQUEST_UNKNOWN, text);
        }
        _ => {}
    }
}

fn record_dropped(context: &Context, key: Key, reason: DropReason) {
    let (counter, event) = match reason {
        DropReason::UnknownService => (Counter::UnknownService, &event::UNKNOWN_SERVICE),
        DropReason::NotOwner => (Counter::NotOwner, &event::NOT_OWNER),
        DropReason::UnknownUpstream => (Counter::UnknownUpstream, &event::UNKNOWN_UPSTREAM),
        DropReason::Full => (Counter::TableFull, &event::TABLE_FULL),
    };
    context.count_and_log(counter, event, format_args!("{}", Flow(key)));
}

fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoUpstream => "no upstream can take the flow",
        RefusalReason::Admission => "the queue is full or the wait would exceed the deadline",
        RefusalReason::Upstream => "the upstream refused it",
        RefusalReason::Deadline => "its deadline passed before it was dispatched",
    }
}

fn unknown_outcome_text(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::Deadline => "its deadline passed after it was dispatched",
        UnknownReason::Quarantine => "the flow is in quarantine",
        UnknownReason::Fence => "this balancer does not hear from a majority of its zone",
        UnknownReason::ActingOwner => "balancers of the home zone of the flow may be alive",
        UnknownReason::Evicted => "it ran, but its response is no longer cached",
    }
}
