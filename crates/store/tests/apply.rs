//! Tests of plans and conditional writes against the emulated platform with injected faults.

use {
    assert_matches::assert_matches,
    serde_json::{Value, json},
    skylarkflow_emulator::{fault::Faults, platform::Platform},
    skylarkflow_store::{
        apply::{Outcome, Writer},
        check::{self, Tables},
        plan::{self, Generations, Plan, Settings},
        store::Store,
        table::{Pools, Routes},
        wire::{self, Entry},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time,
};

const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

struct Site {
    platform: Platform,
    store: Store,
}

impl Site {
    async fn start() -> Site {
        let platform = Platform::default();
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let address = platform.serve(any).await.expect("a free port");
        let store = Store::new(&format!("http://{address}"));
        Site { platform, store }
    }

    fn writer(&self, timeout: Duration) -> Writer {
        Writer::new(self.store.clone(), timeout)
    }

    async fn plan(&self, tables: &Tables, settings: &Settings) -> Plan {
        let current = self
            .writer(APPLY_TIMEOUT)
            .read()
            .await
            .expect("the store responds");
        plan::plan(tables, &current, settings)
    }

    async fn apply(&self, plan: &Plan, edit: &str) -> Outcome {
        self.writer(APPLY_TIMEOUT).apply(plan, edit).await
    }

    async fn edit(&self, tables: &Tables, settings: &Settings) -> Outcome {
        let plan = self.plan(tables, settings).await;
        assert!(plan.conflicts.is_empty(), "{:?}", plan.conflicts);
        self.apply(&plan, &settings.edit).await
    }

    fn value(&self, key: &str) -> Value {
        let objects = self.platform.list(key).objects;
        objects.into_iter().next().expect("an object").value
    }

    fn generation(&self, key: &str) -> u64 {
        plan::generation(&self.value(key))
    }
}

/// Builds tables of services that each have a pool of the same name with one upstream.
fn tables(services: &[(&str, u32)]) -> Tables {
    let mut routes = "routes:\n  []\n".to_owned();
    let mut pools = "pools:\n  []\n".to_owned();
    if !services.is_empty() {
        (routes, pools) = ("routes:\n".to_owned(), "pools:\n".to_owned());
    }
    for (name, slots) in services {
        let port = 1 + name.bytes().map(u32::from).sum::<u32>();
        routes += &format!(
            "  - {{name: {name}, address: '10.0.0.1:{port}', pool: {name}, deadline: 30s}}\n"
        );
        pools += &format!(
            "  - {{name: {name}, slots: {slots}, connections: 2000, \
             upstreams: [{{name: one, address: '10.0.1.1:{port}', zone: a}}]}}\n"
        );
    }
    let routes = Routes::from_str("routes.yaml", &routes);
    let pools = Pools::from_str("pools.yaml", &pools);
    check::check(&routes, &pools).expect("tables without findings")
}

fn settings(edit: &str) -> Settings {
    Settings {
        edit: edit.to_owned(),
        ..Settings::default()
    }
}

fn keys(plan: &Plan) -> Vec<String> {
    plan.steps.iter().map(ToString::to_string).collect()
}

/// Guards against an active route that refers to a missing pool, when both are added or removed.
#[tokio::test]
async fn pools_are_written_before_their_routes_and_removed_after_them() {
    let site = Site::start().await;
    let plan = site
        .plan(&tables(&[("a", 1), ("b", 1)]), &settings("1"))
        .await;
    assert_eq!(
        keys(&plan),
        [
            "create pools/a generation 1",
            "create pools/b generation 1",
            "create routes/a generation 1",
            "create routes/b generation 1",
        ]
    );
    assert!(!site.apply(&plan, "1").await.is_incomplete());
    let plan = site
        .plan(&tables(&[("c", 1), ("b", 2)]), &settings("2"))
        .await;
    assert_eq!(
        keys(&plan),
        [
            "update pools/b generation 2",
            "create pools/c generation 1",
            "unchanged routes/b generation 1",
            "create routes/c generation 1",
            "delete routes/a generation 2",
            "delete pools/a generation 2",
        ]
    );
    assert!(!site.apply(&plan, "2").await.is_incomplete());
    let tombstone = site.value("pools/a");
    assert_eq!(
        tombstone,
        json!({"name": "a", "generation": 2, "removed": true, "edit": "2"})
    );
    let plan = site.plan(&tables(&[("a", 1)]), &settings("3")).await;
    assert_eq!(keys(&plan)[0], "create pools/a generation 3");
}

/// Guards against a tombstone that a reader without support for tombstones takes for an existing object.
#[test]
fn a_reader_without_support_for_tombstones_skips_them() {
    let value = json!({"name": "a", "generation": 2, "removed": true});
    serde_json::from_value::<wire::Route>(value.clone()).expect_err("not a route");
    serde_json::from_value::<wire::Pool>(value.clone()).expect_err("not a pool");
    let entry: Entry<wire::Pool> = serde_json::from_value(value).expect("an entry");
    assert_matches!(entry, Entry::Removed(tombstone) if tombstone.generation == 2);
    let value = json!({"name": "a", "generation": 2, "removed": false});
    serde_json::from_value::<Entry<wire::Pool>>(value).expect_err("neither");
}

/// Guards against a lost response that is reported as a failure or raises the generation twice.
#[tokio::test]
async fn a_write_with_a_lost_response_is_verified_by_reading_back() {
    let site = Site::start().await;
    let plan = site.plan(&tables(&[("a", 1)]), &settings("1")).await;
    site.platform.set_faults(Faults {
        lost_answers: 2,
        ..Faults::default()
    });
    let outcome = site.apply(&plan, "1").await;
    assert!(!outcome.is_incomplete(), "{outcome:?}");
    assert_eq!(outcome.written.len(), 2);
    assert_eq!(site.platform.calls().writes, 2);
    assert_eq!(site.generation("pools/a"), 1);
    let plan = site.plan(&tables(&[("a", 1)]), &settings("2")).await;
    assert_eq!(plan.writes().count(), 0);
}

/// Guards against an edit that overwrites another one that was made from the same state.
#[tokio::test]
async fn the_second_of_two_concurrent_edits_is_a_conflict() {
    let site = Site::start().await;
    site.edit(&tables(&[("a", 1)]), &settings("0")).await;
    let first = site.plan(&tables(&[("a", 2)]), &settings("1")).await;
    let second = site.plan(&tables(&[("a", 3)]), &settings("2")).await;
    assert!(!site.apply(&first, "1").await.is_incomplete());
    let outcome = site.apply(&second, "2").await;
    let conflict = outcome.conflict.expect("a conflict");
    assert_eq!(conflict.key, "pools/a");
    assert_eq!(conflict.fields.len(), 1);
    assert_eq!(conflict.fields[0].to_string(), "slots: table 3, store 2");
    assert_eq!(site.value("pools/a")["slots"], 2);
    assert_eq!(site.generation("pools/a"), 2);
}

/// Guards against tables that were made before another operator's edit and silently revert it later.
#[tokio::test]
async fn tables_that_are_based_on_an_older_state_conflict() {
    let site = Site::start().await;
    let base = site
        .edit(&tables(&[("a", 1)]), &settings("0"))
        .await
        .written;
    site.edit(&tables(&[("a", 2), ("b", 1)]), &settings("1"))
        .await;
    let mut stale = Settings {
        base: Some(base),
        ..settings("2")
    };
    let plan = site.plan(&tables(&[("a", 3)]), &stale).await;
    let conflicts: Vec<&str> = plan
        .conflicts
        .iter()
        .map(|conflict| &*conflict.key)
        .collect();
    assert_eq!(conflicts, ["pools/a", "routes/b", "pools/b"]);
    stale.replace = Generations::from([
        ("pools/a".to_owned(), 2),
        ("pools/b".to_owned(), 1),
        ("routes/b".to_owned(), 1),
    ]);
    let plan = site.plan(&tables(&[("a", 3)]), &stale).await;
    assert!(plan.conflicts.is_empty());
    stale.replace.insert("pools/a".to_owned(), 1);
    let plan = site.plan(&tables(&[("a", 3)]), &stale).await;
    assert_eq!(plan.conflicts.len(), 1);
}

/// Guards against an apply that is interrupted by an outage and cannot be completed.
#[tokio::test]
async fn a_second_run_completes_an_interrupted_apply() {
    let site = Site::start().await;
    let wanted = tables(&[("a", 1), ("b", 1), ("c", 1)]);
    let plan = site.plan(&wanted, &settings("1")).await;
    site.platform.set_faults(Faults {
        delay_ms: 300,
        ..Faults::default()
    });
    let writer = site.writer(Duration::from_secs(3));
    let apply = tokio::spawn(async move { writer.apply(&plan, "1").await });
    while site.platform.list("").objects.is_empty() {
        time::sleep(Duration::from_millis(10)).await;
    }
    site.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let outcome = apply.await.expect("the apply ends");
    assert!(outcome.error.is_some());
    assert!(!outcome.written.is_empty());
    assert!(!outcome.unwritten.is_empty());
    assert_eq!(outcome.written.len() + outcome.unwritten.len(), 6);
    site.platform.set_faults(Faults::default());
    let outcome = site.edit(&wanted, &settings("2")).await;
    assert!(!outcome.is_incomplete());
    let generations = site
        .writer(APPLY_TIMEOUT)
        .read()
        .await
        .expect("a response")
        .generations();
    assert_eq!(generations.len(), 6);
    assert!(generations.values().all(|&generation| generation == 1));
}

/// Guards against an apply that fails because of a short outage.
#[tokio::test]
async fn an_apply_waits_for_the_end_of_a_short_outage() {
    let site = Site::start().await;
    let plan = site.plan(&tables(&[("a", 1)]), &settings("1")).await;
    site.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let writer = site.writer(APPLY_TIMEOUT);
    let apply = tokio::spawn(async move { writer.apply(&plan, "1").await });
    time::sleep(Duration::from_secs(1)).await;
    site.platform.set_faults(Faults::default());
    assert!(!apply.await.expect("the apply ends").is_incomplete());
}

/// Guards against an edit that no balancer adopts, because the store was restored to an older state and gives it a
/// generation that is already used.
#[tokio::test]
async fn a_restored_store_does_not_block_an_edit() {
    let site = Site::start().await;
    site.edit(&tables(&[("a", 1)]), &settings("1")).await;
    let snapshot = site.platform.snapshot();
    site.edit(&tables(&[("a", 2)]), &settings("2")).await;
    let outcome = site
        .edit(&tables(&[("a", 3), ("b", 1)]), &settings("3"))
        .await;
    assert_eq!(outcome.written["pools/a"], 3);
    site.platform.restore(snapshot);
    let active_generations = Generations::from([
        ("pools/a".to_owned(), 3),
        ("routes/a".to_owned(), 1),
        ("pools/b".to_owned(), 1),
        ("routes/b".to_owned(), 1),
    ]);
    let informed = Settings {
        active_generations,
        ..settings("4")
    };
    // The older value in the store equals the table, but a newer one is active.
    let plan = site.plan(&tables(&[("a", 1)]), &informed).await;
    assert_eq!(
        keys(&plan),
        [
            "update pools/a generation 4",
            "unchanged routes/a generation 1",
            "delete routes/b generation 2",
            "delete pools/b generation 2",
        ]
    );
    assert!(!site.apply(&plan, "4").await.is_incomplete());
    assert_eq!(site.generation("pools/a"), 4);
    assert_eq!(site.value("routes/b")["removed"], true);
}
