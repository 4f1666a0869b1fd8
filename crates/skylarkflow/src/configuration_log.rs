//! Log lines about routes and pools that are added, changed or removed.

use {
    crate::{context::Context, event, metrics::Counter},
    skylarkflow_policy::config::{Resolved, Snapshot},
};

/// Logs the differences between the active tables and the ones that replace them.
pub fn record_changes(context: &Context, before: &Snapshot, after: &Snapshot) {
    for (address, route) in &after.routes {
        let previous = before.routes.get(address);
        if previous.is_none_or(|previous| previous.generation != route.generation) {
            record_adopted(context, "route", &route.name, route.generation);
        }
    }
    for (id, pool) in &after.pools {
        let previous = before.pools.get(id);
        if previous.is_none_or(|previous| previous.pool.generation != pool.pool.generation) {
            record_adopted(context, "pool", &pool.pool.name, pool.pool.generation);
        }
        record_draining(context, previous.map(|previous| &**previous), pool);
    }
    let routes = before.routes.iter();
    for (_, route) in routes.filter(|(address, _)| !after.routes.contains_key(address)) {
        record_removed(context, "route", &route.name);
    }
    let pools = before.pools.iter();
    for (_, pool) in pools.filter(|(id, _)| !after.pools.contains_key(id)) {
        record_removed(context, "pool", &pool.pool.name);
    }
}

fn record_adopted(context: &Context, kind: &str, name: &str, generation: u64) {
    context.metrics.count(Counter::ConfigAdopted);
    let text = format_args!("{kind} {name}, generation {generation}");
    context
        .event_log
        .record(&event::CONFIGURATION_ADOPTED, text);
}

fn record_removed(context: &Context, kind: &str, name: &str) {
    let text = format_args!(
        "{kind} {name}: removed, or its address is held because another service used it before"
    );
    context
        .event_log
        .record(&event::CONFIGURATION_REMOVED, text);
}

fn record_draining(context: &Context, before: Option<&Resolved>, after: &Resolved) {
    for (id, &at) in &after.positions {
        let upstream = &after.pool.upstreams[at];
        let previous = before.and_then(|before| before.upstream(*id));
        let was_draining = previous.is_some_and(|previous| previous.drain);
        if upstream.drain && !was_draining {
            let (name, pool) = (&upstream.name, &after.pool.name);
            let text = format_args!(
                "upstream {name} of pool {pool}: due to the pool's table, its own report, the VM list or a held address"
            );
            context.event_log.record(&event::UPSTREAM_DRAINING, text);
        }
    }
}
