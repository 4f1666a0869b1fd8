//! Openings that a fleet of balancers sends to cold upstreams, counted exactly over all of them.
//!
//! Guards against a sum above the bound: balancers decide alone, know different members, start, end and start again
//! together, while callers send more than all upstreams take. Each test prints the highest sum of any second beside the
//! limit, and the mean, since a budget that is not used serves nobody.

mod support;

use {
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    skylarkflow_steering::{
        balancer::{Action, Balancer, DropReason, ResetReason, Settings, Verdict},
        gossip::PeerInfo,
        placement,
        warmup_budget::{Bounds, Inputs, Members},
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    support::{
        cold_fleet::{BOUNDS, ColdFleet, Scenario, Use, cold_table, opening, peer},
        ms, target,
    },
};

const WARMUP: Duration = Duration::from_secs(22);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn report(case: &str, limit: usize, used: Use) {
    let Use { highest, mean } = used;
    let share = mean / limit.max(1) as f64;
    println!("{case}: highest {highest} of {limit} in a second, mean {mean:.2} ({share:.2} of it)");
}

/// Guards against a sum above the bound, or a budget that is hardly used, in fleets of any size at any rate.
#[test]
fn one_view_stays_within_half_of_the_bound() {
    for (balancers, zones) in [(9, 3), (60, 4), (300, 3)] {
        for rate in [1.0, 5.0, 20.0] {
            let mut fleet = ColdFleet::settled(Scenario {
                balancers,
                zones,
                rate,
                ..Scenario::default()
            });
            fleet.run(WARMUP - ms(100));
            let (limit, used) = (fleet.limit(), fleet.measure(WARMUP));
            report(&format!("{balancers} balancers, rate {rate}"), limit, used);
            assert!(used.highest <= limit / 2, "{used:?} of {limit}");
            assert!(used.mean >= 0.3 * limit as f64, "{used:?} of {limit}");
        }
    }
}

/// Returns a fleet of balancers whose members are set by `view`, given the index of each and all that exist.
fn fleet_with_views(
    scenario: Scenario,
    mut view: impl FnMut(usize, &[PeerInfo]) -> Vec<PeerInfo>,
) -> ColdFleet {
    let all: Vec<PeerInfo> = (0..scenario.balancers)
        .map(|index| peer(index, scenario.zones))
        .collect();
    let mut fleet = ColdFleet::new(scenario);
    fleet.has_gossip = false;
    fleet.start(0..all.len());
    for (&index, node) in &mut fleet.nodes {
        let members = Members {
            local: node.info.name.clone(),
            is_complete: true,
            all: view(index, &all),
        };
        node.set_members(Duration::ZERO, &fleet.table, members);
    }
    fleet.run_without_openings(secs(10));
    fleet.cool_upstreams();
    fleet
}

/// Guards against a sum above the bound while two halves of the fleet do not know each other at all, and against one
/// that grows faster than the number of views if there are more.
#[test]
fn two_unrelated_views_stay_within_the_bound() {
    for (balancers, zones) in [(9, 1), (60, 4), (300, 3)] {
        for rate in [1.0, 5.0, 20.0] {
            for views in [2, 3] {
                let scenario = Scenario {
                    balancers,
                    zones,
                    rate,
                    ..Scenario::default()
                };
                // Members of a zone are at distances of the number of zones.
                let group = |index: usize| index / zones % views;
                let mut fleet = fleet_with_views(scenario, |own, all| {
                    let known = all.iter().enumerate();
                    let known = known.filter(|(index, _)| group(*index) == group(own));
                    known.map(|(_, info)| info.clone()).collect()
                });
                fleet.run(WARMUP - ms(100));
                let (limit, used) = (fleet.limit(), fleet.measure(WARMUP));
                let case = format!("{views} unrelated views, {balancers} balancers, rate {rate}");
                report(&case, limit, used);
                assert!(used.highest <= limit / 2 * views, "{used:?} of {limit}");
            }
        }
    }
}

/// Guards against a sum above the bound while every balancer knows other members than the next one.
#[test]
fn views_that_differ_at_each_balancer_stay_within_the_bound() {
    for (balancers, zones) in [(9, 3), (60, 4), (300, 3)] {
        for unknown in [0.1, 0.25] {
            let scenario = Scenario {
                balancers,
                zones,
                ..Scenario::default()
            };
            let mut rng = SmallRng::seed_from_u64(3);
            let mut fleet = fleet_with_views(scenario, |own, all| {
                let known = all.iter().enumerate();
                let known = known.filter(|(index, _)| *index == own || !rng.random_bool(unknown));
                known.map(|(_, info)| info.clone()).collect()
            });
            fleet.run(WARMUP - ms(100));
            let (limit, used) = (fleet.limit(), fleet.measure(WARMUP));
            let case = format!("{balancers} balancers, each does not know {unknown} of the others");
            report(&case, limit, used);
            assert!(used.highest <= limit, "{used:?} of {limit}");
        }
    }
}

/// Guards against a sum above the bound when the number of balancers doubles within a second, from a replica that lags
/// and with lost reports: new ones place nothing until the others know them.
#[test]
fn doubling_within_a_second_stays_within_the_bound() {
    for (balancers, zones) in [(9, 3), (60, 4), (150, 3)] {
        for (lag, loss) in [(0, 0.0), (1, 0.0), (5, 0.0), (1, 0.3)] {
            let mut fleet = ColdFleet::settled(Scenario {
                balancers,
                zones,
                replica_lag: secs(lag),
                loss,
                ..Scenario::default()
            });
            fleet.run(secs(5));
            for index in balancers..2 * balancers {
                fleet.start([index]);
                if index % balancers.div_ceil(10) == 0 {
                    fleet.run(ms(100));
                }
            }
            let end = WARMUP - ms(100) + secs(60) - fleet.now;
            fleet.run(end);
            let (limit, used) = (fleet.limit(), fleet.measure(WARMUP));
            let case = format!("{balancers} balancers double, replica {lag} s old, loss {loss}");
            report(&case, limit, used);
            // Without loss, all that place know each other; otherwise some may have another view until the next list.
            let highest = if loss > 0.0 { limit } else { limit / 2 };
            assert!(used.highest <= highest, "{used:?} of {limit}");
        }
    }
}

/// Guards against a new balancer that most of its zone does not know until their next list, up to 30 s after it has
/// started to place on cold upstreams.
#[test]
fn a_new_balancer_is_known_to_its_zone_before_it_places() {
    let mut fleet = ColdFleet::settled(Scenario::default());
    let (new, zones) = (fleet.scenario.balancers, fleet.scenario.zones);
    fleet.start([new]);
    let info = fleet.nodes[&new].info.clone();
    fleet.run(ms(500));
    for (index, node) in fleet.nodes.iter().filter(|(index, _)| **index != new) {
        let mut members = node.gossip.members().expect("a list");
        let knows_it = members.any(|member| *member == info);
        assert!(knows_it || index % zones != new % zones, "balancer {index}");
    }
    let node = fleet.nodes.get_mut(&new).expect("the new balancer");
    assert_eq!(node.balancer.take_warmup_counts().placed, 0);
}

/// Guards against a sum above the bound when half of the balancers end within a second, in the same second in which as
/// many others start.
#[test]
fn halving_and_doubling_at_once_stays_within_the_bound() {
    for (balancers, zones) in [(9, 3), (60, 4), (300, 3)] {
        let mut fleet = ColdFleet::settled(Scenario {
            balancers,
            zones,
            ..Scenario::default()
        });
        fleet.run(secs(5));
        let mut order: Vec<usize> = (0..balancers).collect();
        order.shuffle(&mut SmallRng::seed_from_u64(5));
        for (count, index) in order.into_iter().take(balancers / 2).enumerate() {
            fleet.nodes.remove(&index);
            fleet.start([balancers + index]);
            if count % balancers.div_ceil(10) == 0 {
                fleet.run(ms(100));
            }
        }
        let end = WARMUP - ms(100) + secs(60) - fleet.now;
        fleet.run(end);
        let (limit, used) = (fleet.limit(), fleet.measure(WARMUP));
        report(
            &format!("half of {balancers} balancers replaced"),
            limit,
            used,
        );
        assert!(used.highest <= limit, "{used:?} of {limit}");
    }
}

/// Guards against a second budget for the processes that start again, and against a wait of more than a few seconds in
/// which cold upstreams get nothing.
#[test]
fn a_restart_of_all_stays_within_the_bound() {
    for (balancers, zones) in [(9, 3), (60, 4), (300, 3)] {
        let mut fleet = ColdFleet::settled(Scenario {
            balancers,
            zones,
            ..Scenario::default()
        });
        fleet.run(secs(10));
        fleet.start(0..balancers);
        let restart = fleet.now;
        fleet.run(secs(3));
        assert!(
            fleet.openings_since(restart + secs(2)) > 0,
            "nothing for 3 s"
        );
        fleet.run(WARMUP - ms(100) - secs(13));
        let (limit, used) = (fleet.limit(), fleet.measure(WARMUP));
        report(&format!("{balancers} balancers start again"), limit, used);
        assert!(used.highest <= limit / 2, "{used:?} of {limit}");
    }
}

/// Guards against a sum above the bound at the first start of a deployment, in which no balancer knows another one.
#[test]
fn a_first_start_stays_within_the_bound() {
    for (balancers, zones) in [(9, 3), (60, 4), (300, 3)] {
        for lag in [0, 1, 5] {
            let mut fleet = ColdFleet::new(Scenario {
                balancers,
                zones,
                replica_lag: secs(lag),
                ..Scenario::default()
            });
            fleet.start(0..balancers);
            fleet.run(WARMUP - ms(100));
            let (limit, used) = (fleet.limit(), fleet.measure(WARMUP));
            let first = fleet.openings.values().flatten().min().copied();
            let case =
                format!("first start of {balancers}, replica {lag} s old, first after {first:?}");
            report(&case, limit, used);
            assert!(used.highest <= limit, "{used:?} of {limit}");
            assert!(first.is_some_and(|at| at < secs(10)), "first at {first:?}");
        }
    }
}

/// Guards against a step from nothing to the whole budget at the start of the warm-up.
#[test]
fn the_load_rises_over_the_warm_up() {
    let mut fleet = ColdFleet::settled(Scenario {
        rate: 20.0,
        ..Scenario::default()
    });
    let mut counts = Vec::new();
    // Each part has four windows of the budgets; the last one ends before the warm-up does.
    for _ in 0..5 {
        let before = fleet.now;
        fleet.run(ms(4_375));
        counts.push(fleet.openings_since(before + ms(1)));
    }
    println!("openings in each fifth of the warm-up: {counts:?}");
    assert!(counts[0] * 2 < counts[3], "{counts:?}");
    let is_rising = |a: &usize, b: &usize| *a <= b + b / 10;
    assert!(counts[..4].is_sorted_by(is_rising), "{counts:?}");
}

/// Returns a balancer that is alone in its fleet and has waited long enough to place on cold upstreams.
fn lone_balancer(scenario: &Scenario) -> (Balancer, skylarkflow_steering::table::Table) {
    let info = peer(0, 1);
    let settings = Settings {
        zone: info.zone.clone(),
        ..Settings::default()
    };
    let mut balancer = Balancer::new(settings, 7);
    let inputs = Inputs {
        bounds: Some(BOUNDS),
        members: Some(Arc::new(Members {
            local: info.name.clone(),
            is_complete: true,
            all: vec![info],
        })),
    };
    balancer.set_warmup_inputs(Duration::ZERO, None, inputs);
    let table = cold_table(secs(10), scenario);
    balancer.update_table(secs(10), None, &table);
    (balancer, table)
}

fn alone() -> Scenario {
    Scenario {
        balancers: 1,
        zones: 1,
        upstreams: 2,
        ..Scenario::default()
    }
}

/// Guards against a caller that waits, or a cold upstream that gets more than its budget, when a pool has only cold
/// upstreams: the placement falls back to upstreams that look down, but not to those without a budget.
#[test]
fn a_pool_with_only_cold_upstreams_resets_at_once() {
    let (mut balancer, table) = lone_balancer(&alone());
    let now = secs(10) + WARMUP - ms(1);
    let mut placed = 0;
    let reset = loop {
        match balancer.handle(now, Some(&table), &opening(placed, 0)) {
            Verdict::Forward { .. } => placed += 1,
            verdict => break verdict,
        }
    };
    assert!(matches!(reset, Verdict::Reset(ResetReason::NoUpstream)));
    assert_eq!(placed, 2 * (BOUNDS.limit(5.0) as u64 / 4));
    let reported = |balancer: &mut Balancer| {
        let actions = balancer.take_actions();
        let pools = actions
            .iter()
            .filter(|action| matches!(action, Action::WarmupBudgetUsed(_)));
        pools.count()
    };
    assert_eq!(reported(&mut balancer), 1);
    // A second reset within a second is counted and not reported again.
    balancer.handle(now, Some(&table), &opening(placed + 1, 0));
    assert_eq!(reported(&mut balancer), 0);
    let counts = balancer.take_warmup_counts();
    assert_eq!((counts.placed, counts.refused), (placed, 2));
    // The warm-up is over.
    let warm = balancer.handle(now + ms(1), Some(&table), &opening(placed + 2, 0));
    assert!(matches!(warm, Verdict::Forward { .. }), "{warm:?}");
}

/// Guards against copies of opening packets and retransmissions that are not counted: a network that repeats packets
/// would multiply the load of a cold upstream.
#[test]
fn copies_and_retransmissions_count() {
    let (mut balancer, table) = lone_balancer(&Scenario {
        upstreams: 1,
        ..alone()
    });
    let now = secs(10) + WARMUP - ms(1);
    let share = BOUNDS.limit(5.0) as usize / 4;
    let first = target(balancer.handle(now, Some(&table), &opening(1, 0)));
    for _ in 1..share {
        let copy = target(balancer.handle(now, Some(&table), &opening(1, 0)));
        assert_eq!(copy.record.id, first.record.id);
    }
    let copy = balancer.handle(now, Some(&table), &opening(1, 0));
    assert!(
        matches!(copy, Verdict::Drop(DropReason::WarmupBudgetUsed)),
        "{copy:?}"
    );
    let repeated = balancer.handle(now, Some(&table), &opening(1, 1));
    assert!(
        matches!(repeated, Verdict::Reset(ResetReason::NoUpstream)),
        "{repeated:?}"
    );
}

/// Guards against a balancer that places on cold upstreams before the others can know it.
#[test]
fn a_balancer_without_members_places_nothing_on_cold_upstreams() {
    let scenario = alone();
    let mut balancer = Balancer::new(Settings::default(), 7);
    let inputs = Inputs {
        bounds: Some(BOUNDS),
        members: None,
    };
    balancer.set_warmup_inputs(Duration::ZERO, None, inputs);
    let table = cold_table(secs(10), &scenario);
    let verdict = balancer.handle(secs(20), Some(&table), &opening(1, 0));
    assert!(
        matches!(verdict, Verdict::Reset(ResetReason::NoUpstream)),
        "{verdict:?}"
    );
}

/// Guards against other decisions than before where no rate or no bounds are stated.
#[test]
fn decisions_without_a_rate_or_bounds_are_as_before() {
    let members = Members {
        local: "b".to_owned(),
        is_complete: false,
        all: Vec::new(),
    };
    let members = Some(Arc::new(members));
    let bounds = Some(Bounds {
        excess: 0.0,
        slack: 0.0,
    });
    for (rate, bounds) in [(0.0, bounds), (5.0, None)] {
        let scenario = Scenario {
            zones: 2,
            rate,
            ..Scenario::default()
        };
        let settings = Settings {
            zone: "z0".to_owned(),
            ..Settings::default()
        };
        let mut balancer = Balancer::new(settings, 7);
        let mut rng = SmallRng::seed_from_u64(7);
        let members = members.clone();
        balancer.set_warmup_inputs(Duration::ZERO, None, Inputs { bounds, members });
        let table = cold_table(Duration::ZERO, &scenario);
        balancer.update_table(Duration::ZERO, None, &table);
        let upstreams = &table.pools["dispatch"];
        let mut used = BTreeSet::new();
        for flow in 0..2_000 {
            let now = ms(flow);
            let settings = placement::Settings::default();
            let expected = placement::choose(
                &settings,
                now,
                "z0",
                upstreams,
                |_| true,
                &placement::Knowledge::default(),
                &mut rng,
            );
            let expected = expected.expect("a choice").upstream.record.id;
            let chosen = target(balancer.handle(now, Some(&table), &opening(flow, 0)));
            assert_eq!(chosen.record.id, expected, "flow {flow}");
            used.insert(expected);
        }
        assert_eq!(used.len(), scenario.upstreams);
    }
}
