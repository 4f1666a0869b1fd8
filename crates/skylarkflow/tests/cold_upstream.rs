//! A `steer` process with a cold upstream.
//!
//! Guards against budgets that are computed and never reach the thread for packets: the bounds come from the settings,
//! the members from the gossip, the end of the warm-up and the rate from the store.

mod support;

use {
    skylarkflow_adapter_emulator::caller::{Caller, Outcome},
    std::{
        fs,
        ops::RangeFrom,
        time::{Duration, Instant},
    },
    support::steering::{
        POOL, SERVICE, Site, TIMEOUT, new_caller, ready_entry, start_site, wait_for_answer,
        wait_for_event,
    },
    tokio::{runtime::Runtime, time},
};

/// Bound of the openings in a second, from the settings below and a rate of 2.
const LIMIT: usize = 8;

/// Guards against more openings at a cold upstream than the settings allow, none at all, and a caller that waits instead
/// of being reset.
#[test]
fn a_cold_upstream_gets_what_the_settings_allow() {
    Runtime::new().expect("a runtime").block_on(async {
        let site = start_site(62).await;
        let caller = new_caller(&site, 62).await;
        assert_eq!(wait_for_answer(&site, &caller, 2_000).await, 7);
        let settings = fs::read_to_string(&site.settings).expect("settings");
        let bounds = "bounds: {warmup_excess: 1.5, warmup_slack: 5}\n";
        fs::write(&site.settings, settings + bounds).expect("written");
        wait_for_event(&site, "E1105").await;
        let warmup = Duration::from_secs(600);
        let routes = [(SERVICE, POOL)];
        site.store
            .configure_with_rate(2, &routes, Some((2.0, warmup)));
        let entry = ready_entry(site.upstream.address);
        site.store.register_cold(7, &entry, warmup);
        let mut ports = 2_001..;
        let start = Instant::now();
        // Flows are opened freely until the balancer knows the rate and the new entry.
        while open(&site, &caller, &mut ports).await != Err(Outcome::Reset) {
            assert!(start.elapsed() < TIMEOUT, "no reset within {TIMEOUT:?}");
        }
        wait_for_event(&site, "E5131").await;
        let mut opened: Vec<Instant> = Vec::new();
        let start = Instant::now();
        while opened.len() < 6 {
            match open(&site, &caller, &mut ports).await {
                Ok(()) => opened.push(Instant::now()),
                outcome => assert_eq!(outcome, Err(Outcome::Reset)),
            }
            assert!(start.elapsed() < TIMEOUT, "only {} opened", opened.len());
            time::sleep(Duration::from_millis(10)).await;
        }
        for (index, first) in opened.iter().enumerate() {
            let second = opened[index..].iter();
            let second = second.take_while(|at| **at <= *first + Duration::from_secs(1));
            let count = second.count();
            assert!(count <= LIMIT / 2, "{count} openings in a second");
        }
    });
}

async fn open(site: &Site, caller: &Caller, ports: &mut RangeFrom<u16>) -> Result<(), Outcome> {
    let port = ports.next().expect("a port");
    let flow = caller.open(port, SERVICE, || site.address).await;
    flow.map(|_| ())
}
