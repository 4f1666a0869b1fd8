//! The emulated platform behaves as the platform does, faults included.

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

/// Far longer than any call takes that the platform answers at once.
const WAIT: Duration = Duration::from_secs(10);

const SHORT: Duration = Duration::from_millis(300);

async fn start() -> (Platform, Store, String) {
    let platform = Platform::default();
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let address = platform.serve(any).await.expect("a free port");
    let base = format!("http://{address}");
    (platform, Store::new(&base), base)
}

/// Guards against watches that wake at every write, which would cost a call per balancer and write.
#[tokio::test]
async fn a_watch_wakes_on_its_own_prefix_only() {
    let (platform, store, _) = start().await;
    let watching = store.clone();
    let watch = tokio::spawn(async move { watching.watch("routes/", 0, WAIT).await });
    time::sleep(SHORT).await;
    store.put("pools/a", &json!({}), 0).await.expect("a write");
    time::sleep(SHORT).await;
    assert!(!watch.is_finished());
    store.put("routes/a", &json!({}), 0).await.expect("a write");
    let listing = time::timeout(SHORT * 10, watch).await.expect("a change");
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

/// Guards against a lost answer that also loses the write.
#[tokio::test]
async fn a_write_whose_answer_is_lost_takes_effect() {
    let (platform, store, _) = start().await;
    platform.set_faults(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    let answer = store.put("pools/a", &json!({"generation": 1}), 0).await;
    assert_matches!(answer, Err(error) if error.category() == Category::Unknown);
    assert_eq!(platform.list("").objects.len(), 1);
    store.put("pools/a", &json!({}), 1).await.expect("a write");
}

/// Guards against a platform that answers some calls while it is down.
#[tokio::test]
async fn a_platform_that_is_down_answers_no_call() {
    let (platform, store, _) = start().await;
    let watching = store.clone();
    let watch = tokio::spawn(async move { watching.watch("", 0, WAIT).await });
    time::sleep(SHORT).await;
    let faults = Faults {
        down: true,
        ..Faults::default()
    };
    platform.set_faults(faults);
    let watch = time::timeout(SHORT * 10, watch).await.expect("an answer");
    watch.expect("a task").expect_err("the watch is cut");
    store.list("").await.expect_err("no list");
    store.list_vms().await.expect_err("no VM list");
    let write = store.put("pools/a", &json!({}), 0).await;
    write.expect_err("no write");
    assert!(platform.list("").objects.is_empty());
    platform.set_faults(Faults::default());
    store.list("").await.expect("a list");
}

/// Guards against a slow platform that is not slow.
#[tokio::test]
async fn a_slow_platform_delays_every_call() {
    let (platform, store, _) = start().await;
    platform.set_faults(Faults {
        delay_ms: 400,
        ..Faults::default()
    });
    let start = Instant::now();
    store.list("").await.expect("a list");
    assert!(start.elapsed() >= Duration::from_millis(400));
}

/// Guards against a restoration that keeps newer objects or versions.
#[tokio::test]
async fn a_restored_platform_has_the_older_objects_and_versions() {
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

/// Guards against faults that a test in another process cannot set.
#[tokio::test]
async fn faults_are_set_over_http() {
    let (platform, store, base) = start().await;
    let client = reqwest::Client::new();
    let vm = json!({"name": "a", "address": "127.0.0.1:1", "zone": "z", "role": "entry", "state": "live"});
    let url = format!("{base}/v1/vms/a");
    client.put(&url).json(&vm).send().await.expect("an answer");
    let faults = json!({"vms_frozen": true, "down": false});
    let url = format!("{base}/emulator/faults");
    let answer = client.put(&url).json(&faults).send().await;
    assert!(answer.expect("an answer").status().is_success());
    let url = format!("{base}/v1/vms/a");
    client.delete(&url).send().await.expect("an answer");
    assert_eq!(store.list_vms().await.expect("a list").len(), 1);
    platform.set_faults(Faults::default());
    assert!(store.list_vms().await.expect("a list").is_empty());
    let url = format!("{base}/emulator/snapshots");
    let answer = client.post(&url).send().await.expect("an answer");
    let answer: Value = answer.json().await.expect("JSON");
    assert_eq!(answer, json!({"snapshot": 0}));
    let url = format!("{base}/emulator/snapshots/0/restore");
    let answer = client.post(&url).send().await.expect("an answer");
    assert!(answer.status().is_success());
    let url = format!("{base}/emulator/calls");
    let calls: Calls = client
        .get(&url)
        .send()
        .await
        .expect("an answer")
        .json()
        .await
        .expect("calls");
    assert_eq!(calls.reads, 2);
}
