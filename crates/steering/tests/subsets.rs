//! Tests of the upstreams that a balancer prefers.
//!
//! They guard against upstreams that no balancer or too many prefer, against shares that change with every upstream that
//! comes or goes, and against flows that wait at a busy preferred upstream while others are idle.

mod support;

use {
    rand::{SeedableRng, rngs::SmallRng},
    skylarkflow_policy::id::Map,
    skylarkflow_steering::{
        gossip::{self, Action, Freshness, Gossip, Rank, Report},
        placement::{self, Knowledge},
        speed::Notice,
        subset::{Settings, Subset},
        table::group_by_pool,
        upstream::{Load, PoolName, Upstream, UpstreamId},
    },
    std::{collections::BTreeSet, sync::Arc},
    support::{directory, fleet::peer_info, ms, record},
};

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Returns 120 upstreams in three zones, without some.
fn pools(without: &[UpstreamId]) -> Map<PoolName, Vec<Arc<Upstream>>> {
    let ids = (1..=120).filter(|id| !without.contains(id));
    let records: Vec<_> = ids.map(|id| record(id, ZONES[id as usize % 3])).collect();
    let view = support::view(&directory(&records), ms(0));
    group_by_pool(view.cookies.values())
}

/// Returns the identifiers of the upstreams of zone `a`.
fn own(pools: &Map<PoolName, Vec<Arc<Upstream>>>) -> Vec<UpstreamId> {
    let own = pools["dispatch"]
        .iter()
        .filter(|upstream| upstream.record.zone == "a");
    own.map(|upstream| upstream.record.id).collect()
}

fn subset(index: usize, count: usize, pools: &Map<PoolName, Vec<Arc<Upstream>>>) -> Subset {
    Subset::new(&Settings::default(), Rank { index, count }, "a", pools)
}

/// Guards against upstreams that no balancer prefers, or that get a multiple of the flows of others.
#[test]
fn each_upstream_is_preferred_by_nearly_equally_many_balancers() {
    let pools = pools(&[]);
    for count in [8, 20, 24, 71, 100] {
        let subsets: Vec<Subset> = (0..count)
            .map(|index| subset(index, count, &pools))
            .collect();
        let counts: BTreeSet<usize> = own(&pools)
            .iter()
            .map(|&id| subsets.iter().filter(|subset| subset.contains(id)).count())
            .collect();
        let (least, most) = (counts.first().copied(), counts.last().copied());
        let (least, most) = (least.unwrap_or_default(), most.unwrap_or_default());
        assert!(
            least >= 4 && most <= least + 1,
            "{count} balancers: {counts:?}"
        );
    }
}

/// Guards against a zone with few balancers that leaves upstreams idle.
#[test]
fn few_balancers_prefer_all_upstreams() {
    let pools = pools(&[]);
    for (index, count) in [(0, 1), (1, 3), (4, 5)] {
        let subset = subset(index, count, &pools);
        assert!(own(&pools).iter().all(|&id| subset.contains(id)), "{count}");
    }
}

/// Guards against a change of one upstream that moves the new flows of all balancers.
#[test]
fn a_removed_upstream_moves_few_shares() {
    let (before, after) = (pools(&[]), pools(&[60]));
    for index in 0..20 {
        let (before, after) = (subset(index, 20, &before), subset(index, 20, &after));
        let ids = (1..=120).filter(|id| id % 3 == 0 && *id != 60);
        let moved = ids.filter(|&id| before.contains(id) != after.contains(id));
        assert!(moved.count() <= 2, "balancer {index}");
    }
}

/// Guards against flows that wait at a preferred upstream although another one is idle.
#[test]
fn flows_spill_over_when_the_preferred_upstreams_are_busy() {
    let pools = pools(&[]);
    let knowledge = Knowledge {
        subset: subset(0, 20, &pools),
        ..Knowledge::default()
    };
    let upstreams = &pools["dispatch"];
    let settings = placement::Settings::default();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut choose = || {
        placement::choose(
            &settings,
            ms(0),
            "a",
            upstreams,
            |_| true,
            &knowledge,
            &mut rng,
        )
        .expect("a choice")
        .upstream
    };
    let first = choose();
    assert!(first.record.zone == "a" && knowledge.subset.contains(first.record.id));
    for upstream in upstreams {
        if upstream.record.zone == "a" && knowledge.subset.contains(upstream.record.id) {
            let load = Load {
                flows: 2,
                requests: 2,
            };
            upstream.load_counters.set_load(load);
        }
    }
    let next = choose();
    assert!(next.record.zone == "a" && !knowledge.subset.contains(next.record.id));
}

fn report(index: usize, zones: usize) -> Report {
    Report {
        from: peer_info(index, zones),
        freshness: Freshness::default(),
        readers: Vec::new(),
        ended: Vec::new(),
        slow: vec![Notice { id: 9, level: 8 }],
    }
}

/// Guards against ranks that count balancers of other zones or leave the own one out.
#[test]
fn the_rank_counts_the_balancers_of_the_zone() {
    let mut gossip = Gossip::new(gossip::Settings::default(), peer_info(2, 2), 1);
    assert_eq!(gossip.zone_rank(), Rank { index: 0, count: 1 });
    gossip.set_registered_peers(ms(0), (0..7).map(|index| peer_info(index, 2)).collect());
    assert_eq!(gossip.zone_rank(), Rank { index: 1, count: 4 });
}

/// Guards against speeds that are taken from balancers of another zone, whose latencies include a longer way.
#[test]
fn slow_upstreams_are_taken_from_the_own_zone_and_told_of_in_reports() {
    let mut gossip = Gossip::new(gossip::Settings::default(), peer_info(0, 2), 1);
    gossip.handle_report(ms(0), report(1, 2));
    assert!(gossip.take_actions().is_empty());
    gossip.handle_report(ms(0), report(2, 2));
    let expected = Action::RecordSlowUpstreams(vec![Notice { id: 9, level: 8 }]);
    assert_eq!(gossip.take_actions(), [expected]);
    gossip.set_slow_upstreams(vec![Notice { id: 5, level: 4 }]);
    gossip.tick(ms(600));
    let actions = gossip.take_actions();
    let tells = |action: &Action| matches!(action, Action::SendReport(_, report) if report.slow == [Notice { id: 5, level: 4 }]);
    assert!(actions.iter().any(tells), "{actions:?}");
}
