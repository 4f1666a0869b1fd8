//! Callers of the soak, which check what they see.

use {
    crate::{
        soak::{self, Shared},
        soak_site::{Directory, SERVICE, ip},
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

/// Time after which a leaving upstream gets no new flow.
pub const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Time after a fault of the store or of balancers in which bounds are not checked, as the platform does.
const CONTACT: Duration = Duration::from_secs(4);

/// Opens flows and sends requests until the task is dropped.
pub async fn call(index: usize, seed: u64, directory: Arc<Directory>, verdict: Shared) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let address = SocketAddrV4::new(ip(30, index), directory.port);
    let network = Arc::clone(&directory.network);
    let caller = match Caller::with_network(network, address).await {
        Ok(caller) => caller,
        Err(error) => return soak::report(&verdict, format!("caller at {address}: {error}")),
    };
    for port in (1_024..u16::MAX).cycle() {
        let started = Instant::now();
        let opened = {
            let pick = || pick(&directory, &mut rng);
            caller.open(port, SERVICE, pick).await
        };
        match opened {
            Ok(flow) => converse(&caller, flow, started, &directory, &verdict, &mut rng).await,
            Err(outcome) => fail(
                &verdict,
                format!("{address} port {port}: opening {outcome:?}"),
            ),
        }
    }
}

/// Sends some requests on one flow, each packet through any balancer.
async fn converse(
    caller: &Caller,
    mut flow: Flow,
    started: Instant,
    directory: &Directory,
    verdict: &Shared,
    rng: &mut SmallRng,
) {
    let upstream = directory.upstream(flow.cookie());
    for number in 0..rng.random_range(1..20_u32) {
        let text = format!("request {number}");
        let outcome = {
            let pick = || pick(directory, rng);
            caller.request(&mut flow, text.as_bytes(), pick).await
        };
        match outcome {
            Outcome::Answered(_) => answered(verdict),
            _ => fail(verdict, format!("{flow:?} of {upstream:?}: {outcome:?}")),
        }
        match outcome {
            Outcome::Answered(id) => {
                if upstream != Some(id) {
                    soak::report(verdict, format!("a flow of {upstream:?} moved to {id}"));
                }
                check_drain(number, id, started, directory, verdict);
            }
            Outcome::Reset => {
                let is_alive =
                    upstream.is_some_and(|id| !directory.was_harmed(id, started - CONTACT));
                if is_alive {
                    let text = format!("a flow of {upstream:?} was reset while it lives");
                    soak::report(verdict, text);
                }
                return;
            }
            Outcome::TimedOut => return,
        }
        time::sleep(Duration::from_millis(rng.random_range(0..200))).await;
    }
}

fn check_drain(number: u32, id: u64, started: Instant, directory: &Directory, verdict: &Shared) {
    let Some(since) = directory.drained(id) else {
        return;
    };
    let is_late = started > since + DRAIN_BOUND;
    if number == 0 && is_late && !directory.is_disturbed(CONTACT + DRAIN_BOUND) {
        let after = started.duration_since(since);
        let text = format!("upstream {id} got a flow {after:?} after it began to drain");
        soak::report(verdict, text);
    }
}

fn pick(directory: &Directory, rng: &mut SmallRng) -> SocketAddr {
    let balancers = directory.balancers();
    *balancers.choose(rng).expect("a site has balancers")
}

fn answered(verdict: &Shared) {
    let mut verdict = verdict.lock().unwrap_or_else(PoisonError::into_inner);
    verdict.answered += 1;
}

fn fail(verdict: &Shared, text: String) {
    let mut verdict = verdict.lock().unwrap_or_else(PoisonError::into_inner);
    verdict.fail(text);
}
