//! Evacuation of a zone with three balancers under load: guards against new flows to the zone after the bound, against open
//! flows that are broken, and against a zone that is used again too early or never.

mod support;

use {
    serde::Deserialize,
    skylarkflow_adapter_emulator::{
        caller::{Caller, Flow, Outcome},
        objects::UpstreamEntry,
        store::Fault,
        upstream::Upstream,
    },
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr},
        process::Child,
        time::{Duration, Instant},
    },
    support::steering::{
        SERVICE, Site, TIMEOUT, new_caller, ready_entry, settings_yaml, start_balancer,
        start_site_with,
    },
    tempfile::TempDir,
    tokio::{runtime::Runtime, time},
};

/// Time in which an evacuation has to be in force.
const BOUND: Duration = Duration::from_secs(5);

const BOUNDS: &str = "bounds: {evacuate_ms: 5000}\n";

/// Upstream in the zone that is evacuated.
const EVACUATED: u64 = 7;

/// Upstream in the other zone.
const OTHER: u64 = 8;

#[derive(Deserialize)]
struct Status {
    name: String,
    zone: String,
    role: String,
    version: Option<u64>,
    store: Option<serde_json::Value>,
    evacuated: Option<Vec<Zone>>,
}

#[derive(Debug, Deserialize, Eq, PartialEq)]
struct Zone {
    zone: String,
    confirmed: bool,
}

/// A balancer beside that of the site.
struct Balancer {
    process: Child,
    address: SocketAddr,
    settings: TempDir,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        // Both fail if the process has already exited.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn start(site: &Site, name: &str, ip: Ipv4Addr) -> Balancer {
    let settings = tempfile::tempdir().expect("a folder");
    let text = settings_yaml(ip, site.port, site.store.address);
    let text = text.replacen("name: b\n", &format!("name: {name}\n"), 1) + BOUNDS;
    let path = settings.path().join("settings.yaml");
    fs::write(&path, text).expect("settings");
    Balancer {
        process: start_balancer(&path),
        address: SocketAddr::from((ip, site.port)),
        settings,
    }
}

async fn status(address: SocketAddr) -> Option<Status> {
    let response = reqwest::get(format!("http://{address}/status"))
        .await
        .ok()?;
    serde_json::from_slice(&response.bytes().await.ok()?).ok()
}

/// Opens a flow; returns it with the upstream that has answered its first request.
async fn open(caller: &Caller, port: u16, address: SocketAddr) -> Option<(Flow, u64)> {
    let mut flow = caller.open(port, SERVICE, || address).await.ok()?;
    match caller.request(&mut flow, b"hello", || address).await {
        Outcome::Answered(id) => Some((flow, id)),
        _ => None,
    }
}

/// Opens flows through each balancer in turn for some time; returns how many each of the two upstreams got.
async fn count_flows(
    caller: &Caller,
    ports: &mut impl Iterator<Item = u16>,
    addresses: &[SocketAddr],
    duration: Duration,
) -> [u32; 2] {
    let start = Instant::now();
    let mut counts = [0, 0];
    while start.elapsed() < duration {
        for &address in addresses {
            let port = ports.next().expect("a port");
            if let Some((_, id)) = open(caller, port, address).await {
                counts[usize::from(id == OTHER)] += 1;
            }
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    counts
}

async fn wait_until_ready(addresses: &[SocketAddr]) {
    let start = Instant::now();
    for address in addresses {
        while status(*address)
            .await
            .is_none_or(|status| status.evacuated.is_none())
        {
            assert!(start.elapsed() < TIMEOUT, "{address} is not ready");
            time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[test]
fn a_zone_is_evacuated_under_load_and_taken_back() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site_with(61, BOUNDS).await;
        let there = SocketAddr::from((Ipv4Addr::new(127, 61, 0, 9), 0));
        let there = Upstream::start(OTHER, there, site.port)
            .await
            .expect("an upstream");
        let entry = UpstreamEntry {
            zone: "z".to_owned(),
            ..ready_entry(there.address)
        };
        site.store.register(OTHER, &entry);
        let second = start(&site, "b2", Ipv4Addr::new(127, 61, 0, 21));
        let mut third = start(&site, "b3", Ipv4Addr::new(127, 61, 0, 22));
        let addresses = [site.address, second.address, third.address];
        wait_until_ready(&addresses).await;
        let caller = new_caller(&site, 61).await;
        let mut ports = 2_000..60_000;

        let usual = count_flows(&caller, &mut ports, &addresses, Duration::from_secs(1)).await;
        assert!(usual[0] > 0, "{usual:?}");
        let mut flows = Vec::new();
        while flows.len() < 10 {
            let port = ports.next().expect("a port");
            if let Some((flow, EVACUATED)) = open(&caller, port, addresses[flows.len() % 3]).await {
                flows.push(flow);
            }
        }

        site.store.evacuate("a");
        let acknowledged_at = Instant::now();
        count_flows(&caller, &mut ports, &addresses, BOUND).await;
        assert!(acknowledged_at.elapsed() >= BOUND);
        let after = count_flows(&caller, &mut ports, &addresses, Duration::from_secs(2)).await;
        assert_eq!(after[0], 0, "{after:?}");
        assert!(after[1] > 0, "{after:?}");
        for flow in &mut flows {
            for address in addresses {
                let outcome = caller.request(flow, b"again", || address).await;
                assert_eq!(outcome, Outcome::Answered(EVACUATED));
            }
        }

        for (address, name) in addresses.iter().zip(["b", "b2", "b3"]) {
            let status = status(*address).await.expect("a status");
            assert_eq!(
                (&*status.name, &*status.zone, status.version),
                (name, "a", Some(1))
            );
            assert!(["reader", "watcher", "follower"].contains(&&*status.role));
            assert!(status.store.is_some());
            let expected = Zone {
                zone: "a".to_owned(),
                confirmed: true,
            };
            assert_eq!(status.evacuated, Some(vec![expected]));
            let metrics = reqwest::get(format!("http://{address}/metrics")).await;
            let metrics = metrics.expect("a response").text().await.expect("a text");
            assert!(metrics.contains("skylarkflow_steer_zones_evacuated 1\n"));
        }

        // A balancer that starts without the store takes the evacuation from a peer before it places flows.
        site.store.set_fault(Fault::Refuse);
        third.process.kill().expect("killed");
        third.process.wait().expect("ended");
        third.process = start_balancer(&third.settings.path().join("settings.yaml"));
        wait_until_ready(&addresses).await;
        let restarted = count_flows(
            &caller,
            &mut ports,
            &[third.address],
            Duration::from_secs(1),
        )
        .await;
        assert_eq!(restarted[0], 0, "{restarted:?}");
        site.store.set_fault(Fault::None);

        site.store.begin_to_end_evacuation("a");
        count_flows(&caller, &mut ports, &addresses, Duration::from_secs(3)).await;
        let ending = count_flows(&caller, &mut ports, &addresses, Duration::from_secs(1)).await;
        assert_eq!(ending[0], 0, "{ending:?}");
        site.store.end_evacuation("a");
        count_flows(&caller, &mut ports, &addresses, BOUND).await;
        for address in addresses {
            let back = count_flows(&caller, &mut ports, &[address], Duration::from_secs(1)).await;
            assert!(back[0] > 0, "{address}: {back:?}");
        }
        for flow in &mut flows {
            let outcome = caller.request(flow, b"last", || site.address).await;
            assert_eq!(outcome, Outcome::Answered(EVACUATED));
        }
    });
}

/// Guards against balancers that watch, wait for or obey evacuations although the platform states no bound for them.
#[test]
fn without_a_bound_entries_have_no_effect() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site_with(62, "").await;
        site.store.evacuate("a");
        let caller = new_caller(&site, 62).await;
        let mut ports = 2_000..60_000;
        let start = Instant::now();
        loop {
            let second = Duration::from_secs(1);
            let flows = count_flows(&caller, &mut ports, &[site.address], second).await;
            if flows[0] > 0 {
                break;
            }
            assert!(start.elapsed() < TIMEOUT, "no flow within {TIMEOUT:?}");
        }
        let status = status(site.address).await.expect("a status");
        assert_eq!(status.evacuated, None);
    });
}
