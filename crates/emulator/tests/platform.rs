//! HTTP API of the emulated platform, with and without injected faults.

use {
    assert_matches::assert_matches,
    serde_json::{Value, json},
    skylarkflow_emulator::{
        fault::{Calls, Faults},
        platform::Platform,
    },
    skylarkflow_store::{error::Category, store::Store},
    std::{net::SocketAddr, time::Duration},
    tokio::time::{self, Instant},
};

/// Longest wait of a watch, far above the time of any call that gets its response at once.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which a call that has been sent takes effect.
const SETTLE_TIME: Duration = Duration::from_millis(300);

async fn start() -> (Platform, Store, String) {
    let platform = Platform::default();
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let address = platform.serve(any).await.expect("a free port");
    let base = format!("http://{address}");
    (platform, Store::new(&base), base)
}

/// Guards against watches that return at every write: each balancer would then make one call per write.
#[tokio::test]
async fn a_watch_returns_only_for_changes_under_its_prefix() {
    let (platform, store, _) = start().await;
    let watching = store.clone();
    let watch = tokio::spawn(async move { watching.watch("routes/", 0, WATCH_TIMEOUT).await });
    time::sleep(SETTLE_TIME).await;
    store.put("pools/a", &json!({}), 0).await.expect("a write");
    time::sleep(SETTLE_TIME).await;
    assert!(!watch.is_finished());
    store.put("routes/a", &json!({}), 0).await.expect("a write");
    let listing = time::timeout(SETTLE_TIME * 10, watch)
        .await
        .expect("a change");
    let listing = listing.expect("a task").expect("a listing");
    assert_eq!(listing.objects.len(), 1);
    assert_eq!(listing.objects[0].key, "routes/a");
    let calls = platform.calls();
    assert_eq!(
        calls,
        Calls {
            reads: 0,
            writes: 2,
            watches: 1
        }
    );
}

/// Guards against a lost response that also loses the write.
#[tokio::test]
async fn a_write_whose_response_is_lost_takes_effect() {
    let (platform, store, _) = start().await;
    platform.set_faults(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    let response = store.put("pools/a", &json!({"generation": 1}), 0).await;
    assert_matches!(response, Err(error) if error.category() == Category::Unknown);
    assert_eq!(platform.list("").objects.len(), 1);
    store.put("pools/a", &json!({}), 1).await.expect("a write");
}

/// Guards against a platform that serves some calls while it is down.
#[tokio::test]
async fn a_platform_that_is_down_fails_every_call() {
    let (platform, store, _) = start().await;
    let watching = store.clone();
    let watch = tokio::spawn(async move { watching.watch("", 0, WATCH_TIMEOUT).await });
    time::sleep(SETTLE_TIME).await;
    let faults = Faults {
        down: true,
        ..Faults::default()
    };
    platform.set_faults(faults);
    let watch = time::timeout(SETTLE_TIME * 10, watch)
        .await
        .expect("a response");
    watch.expect("a task").expect_err("the watch is cut");
    store.list("").await.expect_err("no list");
    store.list_vms().await.expect_err("no VM list");
    let write = store.put("pools/a", &json!({}), 0).await;
    write.expect_err("no write");
    assert!(platform.list("").objects.is_empty());
    platform.set_faults(Faults::default());
    store.list("").await.expect("a list");
}

/// Guards against a `delay_ms` fault that does not delay calls.
#[tokio::test]
async fn a_slow_platform_delays_a_call() {
    let (platform, store, _) = start().await;
    platform.set_faults(Faults {
        delay_ms: 400,
        ..Faults::default()
    });
    let start = Instant::now();
    store.list("").await.expect("a list");
    assert!(start.elapsed() >= Duration::from_millis(400));
}

/// Guards against a restored snapshot that keeps newer objects or versions.
#[tokio::test]
async fn a_restored_snapshot_has_the_older_objects_and_versions() {
    let (platform, store, _) = start().await;
    store.put("pools/a", &json!(1), 0).await.expect("a write");
    let snapshot = platform.snapshot();
    let before = platform.list("");
    store.put("pools/a", &json!(2), 1).await.expect("a write");
    store.put("pools/b", &json!(1), 0).await.expect("a write");
    assert!(platform.restore(snapshot));
    assert_eq!(store.list("").await.expect("a list"), before);
    assert!(!platform.restore(snapshot + 1));
}

/// Guards against faults, snapshots and call counts that a test in another process cannot reach.
#[tokio::test]
async fn faults_snapshots_and_call_counts_are_available_over_http() {
    let (platform, store, base) = start().await;
    let client = reqwest::Client::new();
    let vm = json!({"name": "a", "address": "127.0.0.1:1", "zone": "z", "role": "entry", "state": "live"});
    let url = format!("{base}/v1/vms/a");
    client.put(&url).json(&vm).send().await.expect("a response");
    let faults = json!({"vms_frozen": true, "down": false});
    let url = format!("{base}/emulator/faults");
    let response = client.put(&url).json(&faults).send().await;
    assert!(response.expect("a response").status().is_success());
    let url = format!("{base}/v1/vms/a");
    client.delete(&url).send().await.expect("a response");
    assert_eq!(store.list_vms().await.expect("a list").len(), 1);
    platform.set_faults(Faults::default());
    assert!(store.list_vms().await.expect("a list").is_empty());
    let url = format!("{base}/emulator/snapshots");
    let response = client.post(&url).send().await.expect("a response");
    let response: Value = response.json().await.expect("JSON");
    assert_eq!(response, json!({"snapshot": 0}));
    let url = format!("{base}/emulator/snapshots/0/restore");
    let response = client.post(&url).send().await.expect("a response");
    assert!(response.status().is_success());
    let url = format!("{base}/emulator/calls");
    let calls: Calls = client
        .get(&url)
        .send()
        .await
        .expect("a response")
        .json()
        .await
        .expect("calls");
    assert_eq!(calls.reads, 2);
}
