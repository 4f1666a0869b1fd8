//! Benchmarks of an owner lookup, of the placement of a flow, and of the memory of a flow entry.

use {
    crate::{bench_result::BenchResult, bench_series::resident_bytes},
    skylarkflow_policy::{
        balancer::{self, Action, Core, Event},
        config::{Pool, Resolved, Route, Snapshot, Upstream},
        dispatch::Dispatcher as _,
        exchange::{Effect, Kind, Outcome, Request, Response, Token},
        flow::Key,
        id,
        owner::{Member, View},
        pool::{self, PoolDispatcher},
    },
    std::{
        hint::black_box,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Numbers of upstreams.
const UPSTREAM_COUNTS: [usize; 4] = [10, 100, 1_000, 10_000];

/// Numbers of open flows.
const FLOW_COUNTS: [usize; 4] = [1_000, 10_000, 100_000, 500_000];

/// Decisions per measurement.
const DECISIONS: usize = 200_000;

/// Measurements of which the fastest counts, since preemption by other processes only adds time.
const REPETITIONS: usize = 5;

/// Flows that are opened between two calls of [`CoreFixture::expire_request_windows`].
const FLOWS_PER_EXPIRY: usize = 10_000;

/// Time after which the deduplication window of a request has expired: EXCHANGE_LIFETIME of CoAP (247 s) and a margin.
const FLOW_EXPIRY: Duration = Duration::from_secs(300);

/// Length of a response, in bytes.
const RESPONSE_BYTES: usize = 16;

struct CoreFixture {
    core: Core,
    now: Duration,
    actions: Vec<Action>,
    message_id: u16,
}

/// Runs the benchmarks.
pub fn measure() -> Vec<BenchResult> {
    // Memory is measured first, before the allocator can reuse memory that other measurements freed.
    let mut results = vec![measure_flow_memory(true), measure_flow_memory(false)];
    for flows in FLOW_COUNTS {
        results.push(measure_owner_lookup(flows));
    }
    for upstreams in UPSTREAM_COUNTS {
        results.push(measure_placement(upstreams, FLOW_COUNTS[0]));
    }
    for flows in FLOW_COUNTS {
        results.push(measure_placement(UPSTREAM_COUNTS[1], flows));
    }
    results
}

fn key(index: usize) -> Key {
    let [_, a, b, c] = (index as u32 / 60_000 + 1).to_be_bytes();
    let port = (index % 60_000) as u16 + 1_024;
    Key {
        caller: (Ipv4Addr::new(10, a, b, c), port).into(),
        service: service(),
    }
}

fn service() -> SocketAddr {
    (Ipv4Addr::new(192, 0, 2, 1), 5_683).into()
}

fn tables(upstreams: usize) -> Snapshot {
    let upstream = |index: usize| {
        let [_, _, a, b] = (index as u32).to_be_bytes();
        Upstream {
            name: format!("upstream-{index}"),
            address: (Ipv4Addr::new(10, 255, a, b), 5_683).into(),
            zone: "tacoma".to_owned(),
            weight: 1,
            drain: false,
        }
    };
    let pool = Pool {
        name: "dispatch".to_owned(),
        generation: 1,
        slots: 64,
        connections: u32::MAX,
        upstreams: (0..upstreams).map(upstream).collect(),
    };
    let route = Route {
        name: "dispatch".to_owned(),
        generation: 1,
        address: service(),
        pool: "dispatch".to_owned(),
        deadline: Duration::from_secs(10),
    };
    Snapshot::new(vec![route], vec![pool])
}

fn members(count: usize) -> Vec<Member> {
    let zones = ["tacoma", "salem", "spokane"];
    let member = |index: usize| Member {
        id: id::from_name(&format!("entry-{index}")),
        zone: zones[index % zones.len()].to_owned(),
        address: (Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7_000).into(),
    };
    (0..count).map(member).collect()
}

impl CoreFixture {
    fn new(members: &[Member], upstreams: usize) -> CoreFixture {
        let settings = balancer::Settings {
            flows: 1 << 20,
            idle_timeout: Duration::from_secs(1 << 30),
            ..balancer::Settings::default()
        };
        let factory = PoolDispatcher::factory(pool::Settings::default(), 1);
        let core = Core::with_settings(members[0].id, 1, settings, factory);
        let now = Duration::from_secs(1);
        core.set_view(now, View::new([], members));
        core.set_tables(now, Arc::new(tables(upstreams)));
        CoreFixture {
            core,
            now,
            actions: Vec::new(),
            message_id: 0,
        }
    }

    /// Opens a flow with one request, which is answered immediately.
    fn open_flow(&mut self, key: Key) {
        self.message_id = self.message_id.wrapping_add(1);
        let request = Request {
            kind: Kind::Confirmable,
            message_id: self.message_id,
            token: Token::from(1),
            effect: Effect::Idempotent,
            class: 1,
            bytes: vec![0; RESPONSE_BYTES],
        };
        let fabric = service();
        self.handle(Event::Request {
            fabric,
            key,
            request,
        });
        for action in std::mem::take(&mut self.actions) {
            if let Action::Dispatch {
                address,
                token,
                message_id,
                ..
            } = action
            {
                let response = Response {
                    kind: Kind::Acknowledgement,
                    message_id,
                    token,
                    outcome: Outcome::Answered,
                    bytes: vec![0; RESPONSE_BYTES],
                };
                self.handle(Event::Response {
                    source: address,
                    response,
                });
            }
        }
        self.actions.clear();
        self.now += Duration::from_micros(10);
    }

    fn handle(&mut self, event: Event) {
        self.core.handle(self.now, event, &mut self.actions);
    }

    fn expire_request_windows(&mut self) {
        self.now += FLOW_EXPIRY;
        for _ in 0..100 {
            self.now += Duration::from_millis(5);
            self.handle(Event::Tick);
        }
        self.actions.clear();
    }
}

/// Returns the duration of a call in nanoseconds, the fastest of several measurements.
fn nanoseconds_per_decision(mut decide: impl FnMut(usize)) -> f64 {
    let mut best = f64::INFINITY;
    for _ in 0..REPETITIONS {
        let start = Instant::now();
        (0..DECISIONS).for_each(&mut decide);
        best = best.min(start.elapsed().as_nanos() as f64 / DECISIONS as f64);
    }
    best
}

fn measure_owner_lookup(flows: usize) -> BenchResult {
    // The only member of a view owns every flow, so that all flows can be opened before the view of nine applies.
    let nine = members(9);
    let mut fixture = CoreFixture::new(&nine[..1], UPSTREAM_COUNTS[1]);
    (0..flows).for_each(|index| fixture.open_flow(key(index)));
    fixture.core.set_view(fixture.now, View::new([], &nine));
    let value = nanoseconds_per_decision(|index| {
        black_box(fixture.core.route(&key(index * 7_919 % flows)));
    });
    BenchResult {
        name: "owner lookup",
        case: format!("{flows} flows, 9 balancers in 3 zones"),
        value,
        unit: "ns",
        goal: Some("flat"),
    }
}

fn measure_placement(upstreams: usize, flows: usize) -> BenchResult {
    let snapshot = tables(upstreams);
    let resolved: &Arc<Resolved> = &snapshot.pools[&id::from_name("dispatch")];
    let mut dispatcher = PoolDispatcher::new(pool::Settings::default(), resolved, 1);
    let now = Duration::from_secs(1);
    for index in 0..flows {
        if let Some(placement) = dispatcher.place(now, key(index).hash()) {
            dispatcher.flow_opened(placement.upstream);
        }
    }
    let value = nanoseconds_per_decision(|index| {
        black_box(dispatcher.place(now, key(flows + index).hash()));
    });
    BenchResult {
        name: "placement",
        case: format!("{upstreams} upstreams, {flows} flows"),
        value,
        unit: "ns",
        goal: Some("flat"),
    }
}

fn measure_flow_memory(is_idle: bool) -> BenchResult {
    let flows = FLOW_COUNTS[3];
    let mut fixture = CoreFixture::new(&members(1), UPSTREAM_COUNTS[1]);
    let before = resident_bytes();
    for index in 0..flows {
        if is_idle && index % FLOWS_PER_EXPIRY == 0 {
            fixture.expire_request_windows();
        }
        fixture.open_flow(key(index));
    }
    if is_idle {
        fixture.expire_request_windows();
    }
    let open = fixture.core.flow_count();
    let used = resident_bytes() - before;
    let state = if is_idle {
        "no recent request"
    } else {
        "one request within 247 s each"
    };
    BenchResult {
        name: "memory of a flow entry",
        case: format!("{open} flows, {state}"),
        value: used / open as f64,
        unit: "bytes",
        goal: is_idle.then_some("200"),
    }
}
