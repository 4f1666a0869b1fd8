//! State of a balancer for the administration API.

use {
    crate::{
        context::{Context, MemberEntry},
        metrics::Gauge,
    },
    skylarkflow_operator::wire,
    skylarkflow_policy::{
        config::{self, Resolved},
        id,
    },
    std::time::Duration,
};

/// Returns the state of a balancer.
pub fn current_state(context: &Context) -> wire::State {
    let tables = context.core.tables();
    let mut routes: Vec<wire::Route> = tables.routes.values().map(|item| route(item)).collect();
    let mut pools: Vec<wire::Pool> = tables
        .pools
        .values()
        .map(|resolved| pool(context, resolved))
        .collect();
    routes.sort_by(|a, b| a.name.cmp(&b.name));
    pools.sort_by(|a, b| a.name.cmp(&b.name));
    wire::State {
        name: context.settings.name.clone(),
        zone: context.settings.zone.clone(),
        uptime_ms: milliseconds(context.clock.now()),
        fence_held: context.metrics.gauge(Gauge::Fence) == 1,
        drain: drain_progress(context),
        members: context.member_list().entries.iter().map(member).collect(),
        routes,
        pools,
        flows: context.core.flow_count() as u64,
        counters: context.metrics.snapshot(),
    }
}

/// Returns the progress of the drain.
pub fn drain_progress(context: &Context) -> wire::Drain {
    let drain = *context.drain_progress();
    let now = context.clock.now();
    let elapsed = drain.since.map(|since| now.saturating_sub(since));
    wire::Drain {
        phase: drain.phase,
        elapsed_ms: elapsed.map(milliseconds),
        limit_ms: milliseconds(context.settings.drain.limit),
    }
}

fn member(entry: &MemberEntry) -> wire::Member {
    wire::Member {
        name: entry.name.clone(),
        zone: entry.member.zone.clone(),
        address: entry.member.address,
        state: entry.state.to_owned(),
    }
}

fn route(route: &config::Route) -> wire::Route {
    wire::Route {
        name: route.name.clone(),
        generation: route.generation,
        address: route.address,
        pool: route.pool.clone(),
        deadline_ms: milliseconds(route.deadline),
    }
}

fn pool(context: &Context, resolved: &Resolved) -> wire::Pool {
    let pool = &resolved.pool;
    let to_wire = |it: &config::Upstream| upstream(context, &pool.name, it);
    wire::Pool {
        name: pool.name.clone(),
        generation: pool.generation,
        slots: pool.slots,
        connections: pool.connections,
        upstreams: pool.upstreams.iter().map(to_wire).collect(),
    }
}

fn upstream(context: &Context, pool: &str, upstream: &config::Upstream) -> wire::Upstream {
    let id = id::from_upstream(pool, &upstream.name);
    let (occupancy, up) = context.core.occupancy(id::from_name(pool), id);
    wire::Upstream {
        name: upstream.name.clone(),
        address: upstream.address,
        zone: upstream.zone.clone(),
        weight: upstream.weight,
        draining: upstream.drain,
        up,
        flows: occupancy.flows,
        in_flight: occupancy.in_flight,
        queued: occupancy.queued,
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
