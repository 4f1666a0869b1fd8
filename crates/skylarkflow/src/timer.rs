//! The timer thread: sends ticks to the core, reports the metrics and ends the drain of this balancer.

use {
    crate::{
        actions::{self, ScratchBuffers},
        context::Context,
        event, logs,
        metrics::{Counter, Gauge},
    },
    skylarkflow_operator::wire::Phase,
    skylarkflow_policy::{balancer::Event, config::Snapshot},
    std::{thread, time::Duration},
};

/// Time between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Runs the timer thread until the balancer stops.
pub fn run(context: &Context) {
    let mut scratch = ScratchBuffers::default();
    let mut last_report = Duration::ZERO;
    let mut dropped_lines = 0;
    while !context.is_stopped() {
        thread::sleep(TICK_INTERVAL);
        actions::handle_event(context, &mut scratch, Event::Tick);
        let now = context.clock.now();
        if now.saturating_sub(last_report) >= context.settings.metrics.interval {
            last_report = now;
            dropped_lines = report_metrics(context, dropped_lines);
        }
        check_drain(context, now);
    }
    context.metrics.report();
    let text = format_args!("uptime {} s", context.clock.now().as_secs());
    context.event_log.record(&event::STOPPED, text);
}

/// Reports the metrics and newly dropped log lines; returns the total number of dropped lines.
fn report_metrics(context: &Context, dropped_before: u64) -> u64 {
    let metrics = &context.metrics;
    let tables = context.core.tables();
    let is_ready = context.drain_progress().phase == Phase::Serving;
    metrics.set(Gauge::Ready, u64::from(is_ready));
    metrics.set(Gauge::Flows, context.core.flow_count() as u64);
    metrics.set(Gauge::InFlight, in_flight(context, &tables));
    metrics.set(Gauge::Routes, tables.routes.len() as u64);
    metrics.set(Gauge::Pools, tables.pools.len() as u64);
    let dropped = logs::dropped_lines();
    if dropped > dropped_before {
        metrics.add(Counter::LogLinesDropped, dropped - dropped_before);
        let text = format_args!("dropped {} lines", dropped - dropped_before);
        context.event_log.record(&event::LOG_LINES_DROPPED, text);
    }
    metrics.report();
    dropped
}

fn in_flight(context: &Context, tables: &Snapshot) -> u64 {
    let pools = tables.pools.iter();
    let upstreams = pools.flat_map(|(&pool, resolved)| {
        let ids = resolved.positions.keys();
        ids.map(move |&upstream| context.core.occupancy(pool, upstream).0)
    });
    upstreams.map(|occupancy| occupancy.in_flight).sum()
}

/// Stops the balancer once its drain is complete and the fabric delivers no more datagrams, or at the drain limit.
fn check_drain(context: &Context, now: Duration) {
    let Some(since) = context.drain_progress().since else {
        return;
    };
    let settings = &context.settings.drain;
    let is_quiet = now.saturating_sub(context.last_ingress()) >= settings.quiet;
    if context.core.is_drained() && is_quiet {
        context.drain_progress().phase = Phase::Drained;
        let elapsed = humantime::format_duration(now - since);
        let text = format_args!("elapsed {elapsed}");
        context.event_log.record(&event::DRAINED, text);
        context.stop();
    } else if now.saturating_sub(since) >= settings.limit {
        let text = format_args!("limit {}", humantime::format_duration(settings.limit));
        context.event_log.record(&event::DRAIN_TIMED_OUT, text);
        context.stop();
    }
}
