//! The thread that drives the decisions by time, reports the metrics and watches a planned stop.

use {
    crate::{
        context::Context,
        event, logs,
        metrics::{Counter, Gauge},
        perform::{self, Scratch},
    },
    skylarkflow_operator::wire::Phase,
    skylarkflow_policy::{balancer::Event, config::Snapshot},
    std::{thread, time::Duration},
};

/// Time between two ticks of the decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Drives the balancer until it stops.
pub fn run(context: &Context) {
    let mut scratch = Scratch::default();
    let mut reported = Duration::ZERO;
    let mut lost = 0;
    while !context.is_stopped() {
        thread::sleep(TICK_INTERVAL);
        perform::handle(context, &mut scratch, Event::Tick);
        let now = context.clock.now();
        if now.saturating_sub(reported) >= context.settings.metrics.interval {
            reported = now;
            lost = report(context, lost);
        }
        watch_drain(context, now);
    }
    context.metrics.report();
    let text = format_args!("after {} s", context.clock.now().as_secs());
    context.journal.record(&event::STOPPED, text);
}

fn report(context: &Context, lost_before: u64) -> u64 {
    let metrics = &context.metrics;
    let tables = context.core.tables();
    let is_ready = context.drain().phase == Phase::Serving;
    metrics.set(Gauge::Ready, u64::from(is_ready));
    metrics.set(Gauge::Flows, context.core.flow_count() as u64);
    metrics.set(Gauge::InFlight, in_flight(context, &tables));
    metrics.set(Gauge::Routes, tables.routes.len() as u64);
    metrics.set(Gauge::Pools, tables.pools.len() as u64);
    let lost = logs::lost();
    if lost > lost_before {
        metrics.add(Counter::LinesLost, lost - lost_before);
        let text = format_args!("{} lines", lost - lost_before);
        context.journal.record(&event::LINES_LOST, text);
    }
    metrics.report();
    lost
}

fn in_flight(context: &Context, tables: &Snapshot) -> u64 {
    let pools = tables.pools.iter();
    let upstreams = pools.flat_map(|(&pool, resolved)| {
        let ids = resolved.positions.keys();
        ids.map(move |&upstream| context.core.occupancy(pool, upstream).0)
    });
    upstreams.map(|occupancy| occupancy.in_flight).sum()
}

fn watch_drain(context: &Context, now: Duration) {
    let Some(since) = context.drain().since else {
        return;
    };
    let settings = &context.settings.drain;
    let is_quiet = now.saturating_sub(context.last_ingress()) >= settings.quiet;
    if context.core.is_drained() && is_quiet {
        context.drain().phase = Phase::Drained;
        let elapsed = humantime::format_duration(now - since);
        let text = format_args!("after {elapsed}");
        context.journal.record(&event::DRAINED, text);
        context.stop();
    } else if now.saturating_sub(since) >= settings.limit {
        let text = format_args!("of {}", humantime::format_duration(settings.limit));
        context.journal.record(&event::DRAIN_LIMIT, text);
        context.stop();
    }
}
