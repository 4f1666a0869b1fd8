//! Tests of the speeds of upstreams that a balancer learns from responses.
//!
//! They guard against estimates that change decisions without evidence, that send all flows to the upstream that looks
//! fastest, that take refusals for speed, or that avoid an upstream for ever after a few slow responses.

mod support;

use {
    rand::{SeedableRng, rngs::SmallRng},
    skylarkflow_steering::{
        balancer::{self, Action, Balancer},
        placement::{self, Knowledge, Policy, Settings},
        segment::{Kind, Segment},
        speed::{self, Change, Notice, Speeds},
        tracker::Response,
        upstream::{Load, Upstream, UpstreamId},
    },
    std::{sync::Arc, time::Duration},
    support::{data, directory, ms, open, record, service, table, target},
};

const UPSTREAMS: u64 = 10;

fn upstreams() -> Vec<Arc<Upstream>> {
    let records: Vec<_> = (1..=UPSTREAMS).map(|id| record(id, "a")).collect();
    let view = support::view(&directory(&records), ms(0));
    view.pools["dispatch"].clone()
}

fn knowledge(speeds: &Speeds) -> Knowledge {
    Knowledge {
        speeds: speeds.clone(),
        ..Knowledge::default()
    }
}

fn response(latency: Duration, bytes: u32) -> Response {
    Response {
        service: service(),
        latency,
        bytes,
    }
}

/// Records a response of each upstream each 200 ms.
fn record_rounds(
    speeds: &mut Speeds,
    from: Duration,
    rounds: u32,
    response: impl Fn(UpstreamId) -> Response,
) -> Duration {
    let mut now = from;
    for _ in 0..rounds {
        now += ms(200);
        for id in 1..=UPSTREAMS {
            speeds.record(now, id, &response(id));
        }
        speeds.tick(now);
    }
    now
}

/// Returns the number of flows that each of the upstreams gets of 1,000 that are placed by as many balancers.
fn flows_by_upstream(speeds: &Speeds) -> Vec<u32> {
    let upstreams = upstreams();
    let knowledge = knowledge(speeds);
    let mut flows = vec![0; UPSTREAMS as usize + 1];
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = Settings::default();
    for _ in 0..1_000 {
        let choice = placement::choose(
            &settings,
            ms(0),
            "a",
            &upstreams,
            |_| true,
            &knowledge,
            &mut rng,
        );
        flows[choice.expect("a choice").upstream.record.id as usize] += 1;
    }
    flows
}

/// Guards against decisions that differ from those by counts although no upstream differs.
#[test]
fn without_evidence_the_choice_is_that_by_counts() {
    let mut learned = Speeds::new(speed::Settings::default());
    record_rounds(&mut learned, ms(0), 20, |_| response(ms(20), 700));
    let upstreams = upstreams();
    let choices = |speeds: &Speeds| -> Vec<UpstreamId> {
        let knowledge = knowledge(speeds);
        let mut rng = SmallRng::seed_from_u64(5);
        let choose = |step: u32| {
            for (index, upstream) in upstreams.iter().enumerate() {
                let requests = (step * 7 + index as u32 * 3) % 4;
                upstream.load_counters.set_load(Load { flows: 1, requests });
            }
            let settings = Settings::default();
            placement::choose(
                &settings,
                ms(0),
                "a",
                &upstreams,
                |_| true,
                &knowledge,
                &mut rng,
            )
        };
        let choices = (0..500).map(choose);
        choices
            .map(|choice| choice.expect("a choice").upstream.record.id)
            .collect()
    };
    assert_eq!(choices(&learned), choices(&Speeds::default()));
}

/// Guards against a herd: balancers that all send their flows to the upstream that seems to be the fastest.
#[test]
fn the_fastest_upstream_gets_no_more_than_its_equals() {
    let mut speeds = Speeds::new(speed::Settings::default());
    record_rounds(&mut speeds, ms(0), 20, |id| {
        response(if id == 3 { ms(4) } else { ms(20) }, 700)
    });
    let flows = flows_by_upstream(&speeds);
    assert!((60..140).contains(&flows[3]), "{flows:?}");
}

/// Guards against an upstream that attracts flows because it refuses requests at once.
#[test]
fn refusals_do_not_count_as_speed() {
    let mut speeds = Speeds::new(speed::Settings::default());
    let now = record_rounds(&mut speeds, ms(0), 10, |_| response(ms(20), 700));
    // The usual latency does not fall with the refusals either, which would make the others look slow.
    record_rounds(&mut speeds, now, 20, |id| match id {
        1..=5 => response(ms(3), 188),
        _ => response(ms(20), 700),
    });
    assert!(speeds.is_even());
}

/// Guards against an upstream that is noticed late when it becomes slow, or avoided when it has recovered.
#[test]
fn a_slow_upstream_gets_fewer_flows_until_it_recovers() {
    let mut speeds = Speeds::new(speed::Settings::default());
    let now = record_rounds(&mut speeds, ms(0), 20, |_| response(ms(20), 700));
    let slow = |id| response(if id == 3 { ms(120) } else { ms(20) }, 700);
    let now = record_rounds(&mut speeds, now, 10, slow);
    let flows = flows_by_upstream(&speeds);
    assert!(flows[3] < 20, "{flows:?}");
    assert!(
        speeds
            .take_changes()
            .iter()
            .any(|change| matches!(change, Change::Slow(3, _)))
    );
    record_rounds(&mut speeds, now, 20, |_| response(ms(20), 700));
    assert_eq!(speeds.take_changes(), [Change::Usual(3)]);
    assert!(speeds.is_even());
}

/// Guards against an upstream that is avoided for ever, since nothing shows that it has recovered.
#[test]
fn a_slow_upstream_without_new_evidence_counts_as_usual_within_seconds() {
    let mut speeds = Speeds::new(speed::Settings::default());
    let slow = |id| response(if id == 3 { ms(120) } else { ms(20) }, 700);
    let mut now = record_rounds(&mut speeds, ms(0), 20, slow);
    assert!(speeds.slow(3).is_some());
    for _ in 0..40 {
        now += ms(250);
        speeds.tick(now);
    }
    assert!(speeds.is_even());
}

/// Guards against an upstream that gets no flows after a single response of the few requests that take seven times as
/// long.
#[test]
fn one_slow_response_of_a_seldom_used_upstream_decides_little() {
    let mut speeds = Speeds::new(speed::Settings::default());
    let now = record_rounds(&mut speeds, ms(0), 20, |_| response(ms(20), 700));
    let seldom = UPSTREAMS + 1;
    speeds.record(now, seldom, &response(ms(140), 700));
    let share = speeds.slow(seldom).map_or(1.0, |slow| slow.share);
    assert!(share > 0.2, "{share}");
    assert!(speeds.take_changes().is_empty());
    speeds.tick(now + ms(1_500));
    let share = speeds.slow(seldom).map_or(1.0, |slow| slow.share);
    assert!(share > 0.5, "{share}");
}

/// Guards against a new upstream that is used less, or flooded, since nothing is known of it.
#[test]
fn a_new_upstream_counts_as_usual() {
    let mut speeds = Speeds::new(speed::Settings::default());
    record_rounds(&mut speeds, ms(0), 20, |id| {
        response(if id < 4 { ms(120) } else { ms(20) }, 700)
    });
    speeds.remove(5);
    let flows = flows_by_upstream(&speeds);
    assert!((95..190).contains(&flows[5]), "{flows:?}");
}

/// Guards against what a peer tells with an implausible ratio.
#[test]
fn what_peers_tell_is_bounded_and_decays() {
    let mut speeds = Speeds::new(speed::Settings::default());
    let mut now = ms(0);
    for _ in 0..50 {
        speeds.record_notice(
            now,
            Notice {
                id: 3,
                level: i8::MAX,
            },
        );
    }
    let slowness = speeds.slow(3).map(|slow| slow.slowness);
    assert!(slowness.is_some_and(|slowness| slowness <= 8.0));
    assert!(speeds.notices().is_empty(), "hearsay is told again");
    for _ in 0..60 {
        now += ms(250);
        speeds.tick(now);
    }
    assert!(speeds.is_even());
}

fn balancer(policy: Policy) -> Balancer {
    let settings = balancer::Settings {
        zone: "a".to_owned(),
        placement: Settings {
            policy,
            ..Settings::default()
        },
        ..balancer::Settings::default()
    };
    Balancer::new(settings, 7)
}

/// Runs 200 flows of one request, of which upstream 2 serves each in 150 ms and upstream 1 in 20 ms, and returns the
/// number of the last 100 that upstream 2 got.
fn run_flows(balancer: &mut Balancer, from: Duration) -> usize {
    let table = table(&directory(&[record(1, "a"), record(2, "a")]));
    let mut now = from;
    let mut slow = 0;
    for flow in 0..200 {
        let port = 1_000 + flow;
        let upstream = target(balancer.handle(now, Some(&table), &open(port, 0)));
        let cookie = upstream.cookie.expect("a cookie");
        let is_slow = upstream.record.id == 2;
        slow += usize::from(is_slow && flow >= 100);
        now += ms(2);
        balancer.handle(now, Some(&table), &data(port, cookie, 1_000, 1));
        now += if is_slow { ms(150) } else { ms(20) };
        let acknowledgement = Segment {
            kind: Kind::Established { is_last: true },
            length: 0,
            ..data(port, cookie, 1_200, 701)
        };
        balancer.handle(now, Some(&table), &acknowledgement);
        now += ms(5);
        balancer.tick(now, Some(&table));
    }
    slow
}

/// Guards against evidence that does not reach the choice, and against one that does although it is not asked for.
#[test]
fn a_balancer_learns_only_if_it_is_set_to() {
    let mut learned = balancer(Policy::Learned);
    let slow = run_flows(&mut learned, ms(0));
    assert!(slow < 25, "{slow} of 100");
    assert_eq!(learned.slow_upstream_count(), 1);
    let actions = learned.take_actions();
    let is_reported = |action: &Action| matches!(action, Action::SpeedChanged(Change::Slow(2, _)));
    assert!(actions.iter().any(is_reported));
    let mut counts = balancer(Policy::Counts);
    let slow = run_flows(&mut counts, ms(0));
    assert!((35..65).contains(&slow), "{slow} of 100");
    assert_eq!(counts.slow_upstream_count(), 0);
}

/// Guards against a balancer that decides by leftovers after a restart, when it knows nothing.
#[test]
fn after_a_restart_the_first_choices_are_those_by_counts() {
    let table = table(&directory(&[record(1, "a"), record(2, "a")]));
    let choices = |policy| -> Vec<UpstreamId> {
        let mut balancer = balancer(policy);
        let ports = 1_000..1_050;
        let verdicts = ports.map(|port| balancer.handle(ms(1), Some(&table), &open(port, 0)));
        verdicts.map(|verdict| target(verdict).record.id).collect()
    };
    assert_eq!(choices(Policy::Learned), choices(Policy::Counts));
}
