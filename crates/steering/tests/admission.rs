//! Admission of new flows by one balancer, in virtual time.
//!
//! Guards against resets without a reason: while nothing was refused or late, after a start, after the overload has
//! ended, of flows that may be open, and of routes whose usual responses are as short as refusals. Guards against
//! priorities and callers that are starved.

mod support;

use {
    proptest::prelude::*,
    rand::{SeedableRng, rngs::SmallRng},
    skylarkflow_steering::{
        admission::{self, Controller, Outcome},
        balancer::{Action, Balancer, ResetReason, Settings, Verdict},
        directory::Directory,
        segment::{Kind, Segment},
        table::{Level, Routes, Table},
        tracker::Response,
    },
    std::{
        net::{IpAddr, Ipv4Addr},
        time::Duration,
    },
    support::{config, data, directory, ms, open, record, service, target},
};

const URGENT: u32 = 1;
const USUAL: u32 = 2;

fn caller(number: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(
        u32::from(Ipv4Addr::new(100, 64, 0, 0)) + number,
    ))
}

/// A pool that processes up to a number of requests per second and refuses the others after 50 ms.
struct Pool {
    controller: Controller,
    rng: SmallRng,
    now: Duration,
    capacity: f64,
    /// Requests that the pool can take at once.
    tokens: f64,
    /// Time and outcome of the responses to come.
    responses: Vec<(Duration, Outcome)>,
    callers: u32,
}

/// Openings of one priority that were offered and admitted.
#[derive(Clone, Copy, Debug, Default)]
struct Openings {
    offered: u32,
    admitted: u32,
}

impl Openings {
    fn share(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.offered.max(1))
    }
}

impl Pool {
    fn new(capacity: f64) -> Pool {
        Pool {
            controller: Controller::new(admission::Settings::default()),
            rng: SmallRng::seed_from_u64(11),
            now: Duration::ZERO,
            capacity,
            tokens: 0.0,
            responses: Vec::new(),
            callers: 0,
        }
    }

    /// Offers openings of two priorities at the given rates for some time.
    fn run(&mut self, time: Duration, urgent: f64, usual: f64) -> [Openings; 2] {
        let end = self.now + time;
        let mut openings = [Openings::default(); 2];
        let mut due = [0.0; 2];
        while self.now < end {
            self.now += ms(1);
            self.tokens = (self.tokens + self.capacity / 1_000.0).min(10.0);
            self.deliver();
            for (index, rate) in [urgent, usual].into_iter().enumerate() {
                due[index] += rate / 1_000.0;
                while due[index] >= 1.0 {
                    due[index] -= 1.0;
                    self.callers += 1;
                    let number = self.callers;
                    let priority = [URGENT, USUAL][index];
                    openings[index].offered += 1;
                    openings[index].admitted += u32::from(self.offer(priority, caller(number)));
                }
            }
        }
        openings
    }

    fn offer(&mut self, priority: u32, caller: IpAddr) -> bool {
        let rng = &mut self.rng;
        let is_admitted = self.controller.admit(self.now, priority, caller, rng);
        if is_admitted {
            let has_room = self.tokens >= 1.0;
            self.tokens -= f64::from(u8::from(has_room));
            let response = if has_room {
                (self.now + ms(25), Outcome::Served)
            } else {
                (self.now + ms(50), Outcome::Refused)
            };
            self.responses.push(response);
        }
        is_admitted
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (arrived, to_come) = self.responses.iter().partition(|(at, _)| *at <= now);
        let arrived: Vec<(Duration, Outcome)> = arrived;
        self.responses = to_come;
        for (_, outcome) in arrived {
            self.controller.observe(now, outcome);
        }
    }
}

proptest! {
    /// Whatever the rates are, and however long nothing is answered.
    #[test]
    fn nothing_is_reset_without_evidence(
        steps in prop::collection::vec((0_u64..400, 0_u32..4, any::<bool>()), 1..300),
        refused in 0_usize..100,
    ) {
        let mut controller = Controller::new(admission::Settings::default());
        let mut rng = SmallRng::seed_from_u64(3);
        // Earlier refusals, more than 1.5 s ago, do not matter.
        for _ in 0..refused {
            controller.observe(ms(0), Outcome::Refused);
        }
        let mut now = ms(1_500);
        for (pause, priority, is_response) in steps {
            now += ms(pause);
            if is_response {
                controller.observe(now, Outcome::Served);
            }
            prop_assert!(controller.admit(now, priority, caller(priority), &mut rng));
        }
    }
}

#[test]
fn a_new_controller_admits_everything() {
    let mut pool = Pool::new(100.0);
    let [urgent, usual] = pool.run(ms(50), 1_000.0, 1_000.0);
    assert_eq!((urgent.share(), usual.share()), (1.0, 1.0));
}

/// A tenth of late responses comes from a few slow upstreams or from requests with much work.
#[test]
fn some_late_responses_limit_nothing() {
    let mut controller = Controller::new(admission::Settings::default());
    let mut rng = SmallRng::seed_from_u64(3);
    for step in 0..5_000_u32 {
        let now = ms(u64::from(step) * 3);
        let outcome = if step % 10 == 0 {
            Outcome::Late
        } else {
            Outcome::Served
        };
        controller.observe(now, outcome);
        assert!(controller.admit(now, USUAL, caller(step), &mut rng));
    }
}

#[test]
fn many_late_responses_limit_openings() {
    let mut controller = Controller::new(admission::Settings::default());
    let mut rng = SmallRng::seed_from_u64(3);
    let mut admitted = 0;
    for step in 0..5_000_u32 {
        let now = ms(u64::from(step) * 3);
        controller.observe(now, Outcome::Late);
        admitted += u32::from(controller.admit(now, USUAL, caller(step), &mut rng));
    }
    assert!(admitted < 4_500, "{admitted}");
    // Late responses are still responses: what is processed is admitted.
    assert!(admitted > 500, "{admitted}");
}

#[test]
fn urgent_openings_come_first() {
    let mut pool = Pool::new(250.0);
    pool.run(ms(1_000), 100.0, 400.0);
    let [urgent, usual] = pool.run(ms(5_000), 100.0, 400.0);
    assert!(urgent.share() >= 0.98, "{urgent:?}");
    assert!(usual.share() < 0.6, "{usual:?}");
}

#[test]
fn urgent_openings_are_limited_if_they_alone_do_not_fit_and_others_are_not_starved() {
    let mut pool = Pool::new(250.0);
    pool.run(ms(1_000), 500.0, 500.0);
    let [urgent, usual] = pool.run(ms(5_000), 500.0, 500.0);
    assert!(urgent.share() > 0.3 && urgent.share() < 0.7, "{urgent:?}");
    assert!(usual.admitted > 0, "{usual:?}");
    assert!(usual.share() < 0.1, "{usual:?}");
}

/// After the onset, for a balancer that carries the whole load.
#[test]
fn the_pool_is_used_and_seldom_refuses() {
    for load in [1.2, 2.0, 3.0] {
        let mut pool = Pool::new(250.0);
        pool.run(ms(2_000), 25.0, 250.0 * load - 25.0);
        pool.controller.take_counts();
        let [urgent, usual] = pool.run(ms(30_000), 25.0, 250.0 * load - 25.0);
        let refused = pool.controller.take_counts().refusals as f64;
        let admitted = f64::from(urgent.admitted + usual.admitted);
        let served = (admitted - refused) / (30.0 * 250.0);
        println!(
            "{load}: served {served:.3}, refused {:.3}",
            refused / admitted
        );
        assert!(served >= 0.95, "{load}: {served}");
        // Upstreams that refuse from one request to the next show a limit that is too high only by a burst of refusals,
        // so the goal of 0.05 is missed at 3 times the capacity.
        let goal = if load <= 2.0 { 0.05 } else { 0.1 };
        assert!(refused <= goal * admitted, "{load}: {refused}");
    }
}

#[test]
fn everything_is_admitted_two_seconds_after_the_overload() {
    let mut pool = Pool::new(250.0);
    pool.run(ms(5_000), 100.0, 900.0);
    pool.run(ms(2_000), 50.0, 100.0);
    let [urgent, usual] = pool.run(ms(3_000), 50.0, 100.0);
    assert_eq!((urgent.share(), usual.share()), (1.0, 1.0));
    assert!(!pool.controller.is_limiting());
}

/// Upstreams were added while the demand stays.
#[test]
fn more_capacity_is_used_within_two_seconds() {
    let mut pool = Pool::new(250.0);
    pool.run(ms(5_000), 50.0, 450.0);
    pool.capacity = 600.0;
    pool.run(ms(2_000), 50.0, 450.0);
    let [_, usual] = pool.run(ms(3_000), 50.0, 450.0);
    assert!(usual.share() >= 0.98, "{usual:?}");
}

/// Balancers that see few responses must not open and close either.
#[test]
fn a_steady_overload_is_limited_without_a_pause() {
    for capacity in [250.0, 100.0] {
        let mut pool = Pool::new(capacity);
        pool.run(ms(2_000), 0.0, 2.0 * capacity);
        for step in 0..100 {
            pool.run(ms(100), 0.0, 2.0 * capacity);
            assert!(pool.controller.is_limiting(), "{capacity}: step {step}");
        }
    }
}

#[test]
fn silence_lifts_the_limit() {
    let mut pool = Pool::new(250.0);
    pool.run(ms(3_000), 100.0, 900.0);
    assert!(pool.controller.is_limiting());
    // Upstreams do not answer any more, or their responses take another way.
    pool.responses.clear();
    let mut rng = SmallRng::seed_from_u64(1);
    let now = pool.now + ms(1_500);
    for number in 0..100 {
        assert!(pool.controller.admit(now, USUAL, caller(number), &mut rng));
    }
}

/// Each caller makes one request and returns up to twice after a reset.
#[test]
fn callers_that_were_reset_before_are_not_worse_off() {
    let mut pool = Pool::new(250.0);
    pool.run(ms(2_000), 0.0, 750.0);
    let (mut first, mut returning) = (Openings::default(), Openings::default());
    let mut waiting: Vec<IpAddr> = Vec::new();
    for number in 0..20_000_u32 {
        let number = 1_000_000 + number;
        if number % 2 == 0 {
            pool.now += ms(3);
            pool.tokens = (pool.tokens + 3.0 * pool.capacity / 1_000.0).min(10.0);
            pool.deliver();
        }
        let is_return = number % 4 == 0 && waiting.len() > 20;
        let caller = if is_return {
            waiting.remove(0)
        } else {
            caller(number)
        };
        let is_admitted = pool.offer(USUAL, caller);
        let openings = if is_return {
            &mut returning
        } else {
            &mut first
        };
        openings.offered += 1;
        openings.admitted += u32::from(is_admitted);
        if !is_admitted && !is_return {
            waiting.push(caller);
            waiting.truncate(100);
        }
    }
    println!(
        "first {:.3}, returning {:.3}",
        first.share(),
        returning.share()
    );
    assert!(returning.offered > 1_000, "{returning:?}");
    assert!(
        returning.share() >= first.share(),
        "{first:?} {returning:?}"
    );
    assert!(first.share() > 0.0);
}

fn adaptive_table(directory: &Directory) -> Table {
    let mut config = config(1, &[service()]);
    config.routes[0].level = Level {
        priority: USUAL,
        timeout: Some(ms(1_000)),
        target_latency: Some(ms(250)),
    };
    let mut routes = Routes::default();
    routes.adopt(config);
    routes
        .table(ms(0), directory)
        .expect("a configuration was adopted")
}

fn balancer(admission: Option<admission::Settings>) -> Balancer {
    let settings = Settings {
        zone: "a".to_owned(),
        admission,
        ..Settings::default()
    };
    Balancer::new(settings, 7)
}

/// Sends a request on a flow of its own and acknowledges a response of `bytes` after `latency`. Returns the verdict on
/// the opening packet.
fn exchange(
    balancer: &mut Balancer,
    table: &Table,
    now: Duration,
    port: u16,
    latency: Duration,
    bytes: u32,
) -> Verdict {
    balancer.check_openings(now, Some(table));
    let verdict = balancer.handle(now, Some(table), &open(port, 0));
    if let Verdict::Forward { cookie, .. } = &verdict {
        let cookie = cookie.expect("a cookie");
        balancer.handle(now + ms(2), Some(table), &data(port, cookie, 1, 1));
        let acknowledgement = Segment {
            kind: Kind::Established { is_last: true },
            length: 0,
            ..data(port, cookie, 201, 1 + bytes)
        };
        balancer.handle(now + ms(2) + latency, Some(table), &acknowledgement);
    }
    verdict
}

/// Interval between the openings of [`verdicts`], longer than the time of one exchange.
const INTERVAL: Duration = Duration::from_millis(60);

/// Sizes of the responses of [`verdicts`].
#[derive(Clone, Copy)]
struct Sizes {
    usual: u32,
    /// Size of the refusals that three quarters of the openings from the 2,000th on lead to, if any.
    refusal: Option<u32>,
}

const REFUSING: Sizes = Sizes {
    usual: 800,
    refusal: Some(188),
};

/// Returns the verdicts on 5,000 openings.
fn verdicts(balancer: &mut Balancer, table: &Table, sizes: Sizes) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for step in 0..5_000_u16 {
        let now = INTERVAL * u32::from(step);
        let refusal = sizes.refusal.filter(|_| step >= 2_000 && step % 4 != 0);
        let (latency, bytes) = match refusal {
            Some(bytes) => (ms(50), bytes),
            None => (ms(20), sizes.usual + u32::from(step % 7)),
        };
        verdicts.push(exchange(balancer, table, now, step, latency, bytes));
        if step % 4 == 0 {
            balancer.tick(now, Some(table));
        }
    }
    verdicts
}

fn resets(verdicts: &[Verdict]) -> usize {
    let is_reset = |verdict: &&Verdict| matches!(verdict, Verdict::Reset(ResetReason::Overloaded));
    verdicts.iter().filter(is_reset).count()
}

fn upstreams() -> Directory {
    directory(&[record(1, "a"), record(2, "a"), record(3, "b")])
}

/// Returns a balancer that limits openings, and the time.
fn limiting_balancer(table: &Table) -> (Balancer, Duration) {
    let mut balancer = balancer(Some(admission::Settings::default()));
    let found = verdicts(&mut balancer, table, REFUSING);
    assert!(resets(&found) > 0);
    (balancer, INTERVAL * 5_000)
}

fn admission_changes(balancer: &mut Balancer) -> Vec<bool> {
    let actions = balancer.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            Action::AdmissionChanged { pool, is_limiting } => {
                assert_eq!(pool, "dispatch");
                Some(is_limiting)
            }
            _ => None,
        })
        .collect()
}

#[test]
fn a_balancer_resets_openings_while_upstreams_refuse() {
    let directory = upstreams();
    let table = adaptive_table(&directory);
    let mut balancer = balancer(Some(admission::Settings::default()));
    let found = verdicts(&mut balancer, &table, REFUSING);
    assert_eq!(resets(&found[..2_000]), 0);
    let count = resets(&found);
    assert!(count > 1_000, "{count}");
    let summary = balancer.take_admission(INTERVAL * 5_000);
    assert_eq!(summary.counts.resets, [0, 0, count as u64]);
    assert!(summary.counts.refusals > 0);
    assert!(summary.lowest_shares[0] < 1.0);
    assert_eq!(admission_changes(&mut balancer).first(), Some(&true));
    let end = INTERVAL * 5_000 + ms(1_600);
    balancer.tick(end, Some(&table));
    assert_eq!(admission_changes(&mut balancer), [false]);
    assert_eq!(balancer.take_admission(end).lowest_shares, [1.0, 1.0]);
}

/// The random source must be drawn from as before, so that all choices are the same.
#[test]
fn decisions_are_the_same_without_admission() {
    let directory = upstreams();
    let table = adaptive_table(&directory);
    let never = admission::Settings {
        min_evidence: f64::INFINITY,
        ..admission::Settings::default()
    };
    let choices = |admission: Option<admission::Settings>, sizes: Sizes| {
        let found = verdicts(&mut balancer(admission), &table, sizes);
        assert_eq!(resets(&found), 0);
        let chosen = found.into_iter().map(|verdict| target(verdict).record.id);
        chosen.collect::<Vec<u64>>()
    };
    let calm = Sizes {
        refusal: None,
        ..REFUSING
    };
    assert_eq!(
        choices(None, calm),
        choices(Some(admission::Settings::default()), calm)
    );
    assert_eq!(choices(None, REFUSING), choices(Some(never), REFUSING));
}

#[test]
fn a_route_with_short_usual_responses_is_not_limited() {
    let directory = upstreams();
    let table = adaptive_table(&directory);
    let mut balancer = balancer(Some(admission::Settings::default()));
    let sizes = Sizes {
        usual: 185,
        refusal: Some(188),
    };
    assert_eq!(resets(&verdicts(&mut balancer, &table, sizes)), 0);
}

/// A flow may be open at its upstream already if its opening packet is a retransmission or a duplicate.
#[test]
fn flows_that_may_be_open_are_never_reset() {
    let directory = upstreams();
    let table = adaptive_table(&directory);
    let (mut balancer, now) = limiting_balancer(&table);
    for port in 10_000..11_000 {
        let retransmitted = balancer.handle(now, Some(&table), &open(port, 1));
        assert_eq!(resets(&[retransmitted]), 0);
    }
    for port in 11_000..12_000 {
        let first = balancer.handle(now, Some(&table), &open(port, 0));
        if let Verdict::Forward { cookie, .. } = first {
            let cookie = cookie.expect("a cookie");
            let duplicate = balancer.handle(now, Some(&table), &open(port, 0));
            let packet = balancer.handle(now, Some(&table), &data(port, cookie, 1, 1));
            let late_duplicate = balancer.handle(now, Some(&table), &open(port, 0));
            assert_eq!(resets(&[duplicate, packet, late_duplicate]), 0);
        }
    }
}

/// A paused process finds opening packets that were sent long ago; their flows may be open through another balancer.
#[test]
fn nothing_is_reset_right_after_a_pause() {
    let directory = upstreams();
    let table = adaptive_table(&directory);
    let (mut balancer, now) = limiting_balancer(&table);
    let now = now + ms(550);
    let found: Vec<Verdict> = (10_000..11_000)
        .map(|port| balancer.handle(now, Some(&table), &open(port, 0)))
        .collect();
    assert_eq!(resets(&found), 0);
}

/// Beyond the timeout of its route, a response is useless to its caller.
#[test]
fn the_latency_of_a_response_decides_about_its_outcome() {
    let level = Level {
        priority: 0,
        timeout: Some(ms(1_000)),
        target_latency: Some(ms(250)),
    };
    let outcome = |latency: u64, level: &Level, is_refusal: bool| {
        let response = Response {
            service: service(),
            latency: ms(latency),
            bytes: 900,
        };
        Outcome::new(&response, level, is_refusal)
    };
    assert_eq!(outcome(250, &level, false), Outcome::Served);
    assert_eq!(outcome(251, &level, false), Outcome::Late);
    assert_eq!(outcome(1_001, &level, false), Outcome::Refused);
    assert_eq!(outcome(20, &level, true), Outcome::Refused);
    assert_eq!(outcome(5_000, &Level::default(), false), Outcome::Served);
}
