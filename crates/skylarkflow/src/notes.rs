//! Log lines and counters of the decisions.

use {
    crate::{context::Context, event, metrics::Counter},
    skylarkflow_policy::{
        event::{DropReason, LogEvent, RefusalReason, UnknownReason},
        flow::Key,
        id::UpstreamId,
    },
};

/// Records a decision.
pub fn record(context: &Context, note: &LogEvent) {
    match *note {
        LogEvent::Opened {
            key,
            upstream,
            exception,
        } => opened(context, key, upstream, exception),
        LogEvent::Replaced { key, from, to } => replaced(context, key, from, to),
        LogEvent::Closed { key } => {
            context.metrics.count(Counter::FlowsClosed);
            let text = format_args!("{}", Flow(key));
            context.journal.record(&event::FLOW_CLOSED, text);
        }
        LogEvent::Claimed { .. }
        | LogEvent::Granted { .. }
        | LogEvent::Quarantined { .. }
        | LogEvent::Completed { .. } => handover(context, note),
        LogEvent::Refused { .. } | LogEvent::Retried { .. } | LogEvent::Unknown { .. } => {
            request(context, note);
        }
        LogEvent::Draining { upstream } => {
            let name = context.upstream_name(upstream);
            let text = format_args!("{name} says that it is draining");
            context.journal.record(&event::UPSTREAM_DRAINING, text);
        }
        LogEvent::UnmatchedResponse { source } => {
            let text = format_args!("from {source}");
            context.drop_datagram(Counter::Unmatched, &event::RESPONSE_UNMATCHED, text);
        }
        LogEvent::Dropped { key, reason } => dropped(context, key, reason),
    }
}

#[derive(Clone, Copy, derive_more::Display)]
#[display("{} to {}", _0.caller, _0.service)]
struct Flow(Key);

fn opened(context: &Context, key: Key, upstream: UpstreamId, exception: bool) {
    context.metrics.count(Counter::FlowsOpened);
    let event = if exception {
        context.metrics.count(Counter::FlowsException);
        &event::FLOW_EXCEPTION
    } else {
        &event::FLOW_OPENED
    };
    if context.journal.is_enabled(event) {
        let name = context.upstream_name(upstream);
        let reason = if exception {
            "its default cannot take it"
        } else {
            "its default"
        };
        let text = format_args!("{}: {name}, {reason}", Flow(key));
        context.journal.record(event, text);
    }
}

fn replaced(context: &Context, key: Key, from: UpstreamId, to: UpstreamId) {
    context.metrics.count(Counter::FlowsReplaced);
    if context.journal.is_enabled(&event::FLOW_REPLACED) {
        let from = context.upstream_name(from);
        let to = context.upstream_name(to);
        let text = format_args!("{}: {to}, since {from} is down or removed", Flow(key));
        context.journal.record(&event::FLOW_REPLACED, text);
    }
}

fn handover(context: &Context, note: &LogEvent) {
    let (counter, event) = match note {
        LogEvent::Claimed { .. } => (Some(Counter::FlowsClaimed), &event::FLOW_CLAIMED),
        LogEvent::Granted { .. } => (Some(Counter::FlowsGranted), &event::FLOW_GRANTED),
        LogEvent::Quarantined { .. } => (Some(Counter::FlowsQuarantined), &event::FLOW_QUARANTINED),
        _ => (None, &event::HANDOVER_COMPLETED),
    };
    if let Some(counter) = counter {
        context.metrics.count(counter);
    }
    if !context.journal.is_enabled(event) {
        return;
    }
    let text = match *note {
        LogEvent::Claimed { key, from } => {
            let from = context.balancer_name(from);
            format!("{} from {from}, which owned it before", Flow(key))
        }
        LogEvent::Granted { key, to } => {
            let to = context.balancer_name(to);
            format!("{} to {to}, which owns it now", Flow(key))
        }
        LogEvent::Quarantined { key, until } => {
            let left = until.saturating_sub(context.clock.now());
            let seconds = left.as_secs_f32();
            format!(
                "{} for {seconds:.1} s, since no previous owner handed it over",
                Flow(key)
            )
        }
        LogEvent::Completed { from } => format!("by {}", context.balancer_name(from)),
        _ => String::new(),
    };
    context.journal.record(event, format_args!("{text}"));
}

fn request(context: &Context, note: &LogEvent) {
    match *note {
        LogEvent::Refused {
            key,
            message_id,
            reason,
        } => {
            context.metrics.count(Counter::Refused);
            let reason = refusal(reason);
            let text = format_args!("{} of {}: {reason}", message_id, Flow(key));
            context.journal.record(&event::REQUEST_REFUSED, text);
        }
        LogEvent::Retried { key, message_id } => {
            context.metrics.count(Counter::Retried);
            let text = format_args!("{} of {}: it certainly did not run", message_id, Flow(key));
            context.journal.record(&event::REQUEST_RETRIED, text);
        }
        LogEvent::Unknown {
            key,
            message_id,
            reason,
        } => {
            context.metrics.count(Counter::Unknown);
            let reason = doubt(reason);
            let text = format_args!("{} of {}: {reason}", message_id, Flow(key));
            context.journal.record(&event::REQUEST_UNKNOWN, text);
        }
        _ => {}
    }
}

fn dropped(context: &Context, key: Key, reason: DropReason) {
    let (counter, event) = match reason {
        DropReason::UnknownService => (Counter::UnknownService, &event::UNKNOWN_SERVICE),
        DropReason::NotOwner => (Counter::NotOwner, &event::NOT_OWNER),
        DropReason::UnknownUpstream => (Counter::UnknownUpstream, &event::UNKNOWN_UPSTREAM),
        DropReason::Full => (Counter::TableFull, &event::TABLE_FULL),
    };
    context.drop_datagram(counter, event, format_args!("of {}", Flow(key)));
}

fn refusal(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoUpstream => "no upstream can take the flow",
        RefusalReason::Admission => "the queue is full or the wait would exceed the deadline",
        RefusalReason::Upstream => "the upstream refused it",
        RefusalReason::Deadline => "its deadline passed before a dispatch",
    }
}

fn doubt(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::Deadline => "its deadline passed after a dispatch",
        UnknownReason::Quarantine => "the flow is in quarantine",
        UnknownReason::Fence => "this balancer does not hear from a majority of its zone",
        UnknownReason::ActingOwner => "the home zone of the flow may be alive",
        UnknownReason::Evicted => "it ran, but its answer is no longer cached",
    }
}
