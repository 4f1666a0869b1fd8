//! Callers of the soak, which check the responses and resets that they receive.

use {
    crate::{
        soak::{self, SharedResults},
        soak_site::{SERVICE, SiteView, loopback},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    skylarkflow_adapter_emulator::caller::{Caller, Flow, Outcome},
    std::{
        net::{SocketAddr, SocketAddrV4},
        sync::{Arc, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Time after the start of its drain from which an upstream gets no new flows.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time after a fault of the store or a balancer during which limits are not checked; the platform allows the same.
const DISTURBANCE_LIMIT: Duration = Duration::from_secs(4);

/// Opens one flow after another and sends requests on each until the task is aborted.
pub async fn run_caller(index: usize, seed: u64, view: Arc<SiteView>, results: SharedResults) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let address = SocketAddrV4::new(loopback(30, index), view.port);
    let network = Arc::clone(&view.network);
    let caller = match Caller::with_network(network, address).await {
        Ok(caller) => caller,
        Err(error) => {
            return soak::report_violation(&results, format!("caller at {address}: {error}"));
        }
    };
    for port in (1_024..u16::MAX).cycle() {
        let started = Instant::now();
        let opened = {
            let choose = || pick_balancer(&view, &mut rng);
            caller.open(port, SERVICE, choose).await
        };
        match opened {
            Ok(flow) => send_requests(&caller, flow, started, &view, &results, &mut rng).await,
            Err(outcome) => record_failure(
                &results,
                format!("caller {address} port {port}: opening a flow: {outcome:?}"),
            ),
        }
    }
}

/// Sends a random number of requests on one flow; each packet goes through a random balancer.
async fn send_requests(
    caller: &Caller,
    mut flow: Flow,
    started: Instant,
    view: &SiteView,
    results: &SharedResults,
    rng: &mut SmallRng,
) {
    let upstream = view.upstream_of(flow.cookie());
    for number in 0..rng.random_range(1..20_u32) {
        let text = format!("request {number}");
        let outcome = {
            let choose = || pick_balancer(view, rng);
            caller.request(&mut flow, text.as_bytes(), choose).await
        };
        match outcome {
            Outcome::Answered(_) => record_answer(results),
            _ => record_failure(
                results,
                format!("{flow:?} to upstream {upstream:?}: {outcome:?}"),
            ),
        }
        match outcome {
            Outcome::Answered(id) => {
                if upstream != Some(id) {
                    soak::report_violation(
                        results,
                        format!("a flow of upstream {upstream:?} moved to upstream {id}"),
                    );
                }
                check_drain(number, id, started, view, results);
            }
            Outcome::Reset => {
                let was_running = upstream
                    .is_some_and(|id| !view.was_killed_since(id, started - DISTURBANCE_LIMIT));
                if was_running {
                    let text = format!(
                        "a flow of upstream {upstream:?} was reset although the upstream is running"
                    );
                    soak::report_violation(results, text);
                }
                return;
            }
            Outcome::TimedOut => return,
        }
        time::sleep(Duration::from_millis(rng.random_range(0..200))).await;
    }
}

fn check_drain(number: u32, id: u64, started: Instant, view: &SiteView, results: &SharedResults) {
    let Some(drain_start) = view.drain_start(id) else {
        return;
    };
    let is_late = started > drain_start + DRAIN_LIMIT;
    if number == 0 && is_late && !view.was_disturbed_within(DISTURBANCE_LIMIT + DRAIN_LIMIT) {
        let delay = started.duration_since(drain_start);
        let text = format!("upstream {id} got a new flow {delay:?} after it began to drain");
        soak::report_violation(results, text);
    }
}

fn pick_balancer(view: &SiteView, rng: &mut SmallRng) -> SocketAddr {
    let balancers = view.balancer_addresses();
    *balancers.choose(rng).expect("a site has balancers")
}

fn record_answer(results: &SharedResults) {
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    results.answered_requests += 1;
}

fn record_failure(results: &SharedResults, text: String) {
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    results.record_failure(text);
}
