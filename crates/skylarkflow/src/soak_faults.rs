//! Random faults of the soak, drawn from a seed; several can be active at a time.

use {
    crate::{
        soak::{self, SharedResults},
        soak_callers::DRAIN_LIMIT,
        soak_site::{OPTIONAL_SERVICE, Site, loopback},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    rustix::process::Signal,
    skylarkflow_adapter_emulator::{
        caller::{Caller, Outcome},
        proxy::Mode,
        store::Fault,
    },
    std::{
        io,
        net::{SocketAddr, SocketAddrV4},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Longest time until a new version of the configuration is active at every balancer.
const CONFIG_LIMIT: Duration = Duration::from_secs(3);

/// Number of kinds of random faults.
const FAULT_KINDS: u32 = 13;

/// The same with restores of the store, which come last so that a seed without them draws the same faults as before.
const FAULT_KINDS_WITH_RESTORES: u32 = 15;

/// Longest outage before a restore, and longest time after it until writes are replayed; the platform allows 2 s for the
/// latter.
const MAX_RESTORE_PAUSE: Duration = Duration::from_millis(1_500);

/// Number of changes that a restore of the store loses, more than are made soon after it.
const LOST_CHANGES: usize = 50;

/// Share of the callers' datagrams that is lost while faults are injected.
const LOSS_PER_MILLE: u32 = 10;

/// Share of the callers' datagrams that is duplicated while faults are injected.
const DUPLICATION_PER_MILLE: u32 = 20;

/// Time after [`DRAIN_LIMIT`] during which callers check that a draining upstream gets no new flows.
const DRAIN_OBSERVATION: Duration = Duration::from_secs(2);

/// Number of upstreams up to which none is drained or killed.
const MIN_UPSTREAMS: usize = 3;

/// Injects random faults for `fault_duration` or until a guarantee is violated; `with_restores` adds restores of the
/// store from an older copy.
///
/// # Errors
///
/// Fails if a process cannot be started or signalled.
pub async fn inject(
    site: &mut Site,
    seed: u64,
    fault_duration: Duration,
    with_restores: bool,
    results: &SharedResults,
) -> io::Result<()> {
    let kinds = if with_restores {
        FAULT_KINDS_WITH_RESTORES
    } else {
        FAULT_KINDS
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let view = site.view();
    let address = SocketAddrV4::new(loopback(31, 0), view.port);
    let caller = Caller::new(address).await?;
    let end = Instant::now() + fault_duration;
    view.network
        .set_faults(LOSS_PER_MILLE, DUPLICATION_PER_MILLE);
    let mut port = 1_024;
    while Instant::now() < end && !soak::has_violations(results) {
        match rng.random_range(0..kinds) {
            0 | 1 => inject_store_fault(site, &mut rng),
            2 => kill_balancers(site, &mut rng)?,
            3 => pause_balancer(site, &mut rng)?,
            4 => restart_balancer(site, &mut rng, results).await?,
            5 | 6 => inject_upstream_fault(site, &mut rng).await?,
            7 => site.store.compact(),
            8 => restart_without_store(site, &mut rng)?,
            9 | 10 => inject_store_connection_fault(site, &mut rng),
            13 => site.copy_store(),
            14 => restore_store(site, &mut rng).await,
            _ => {
                port += 1;
                change_config_and_check(site, &caller, port, results).await;
            }
        }
        time::sleep(Duration::from_millis(rng.random_range(100..1_500))).await;
        if rng.random_bool(0.4) {
            site.clear_faults();
        }
    }
    Ok(())
}

fn inject_store_fault(site: &mut Site, rng: &mut SmallRng) {
    site.record_disturbance();
    let faults = [
        Fault::None,
        Fault::Refuse,
        Fault::Silent,
        Fault::Slow(Duration::from_millis(300)),
    ];
    site.store
        .set_fault(*faults.choose(rng).unwrap_or(&Fault::None));
}

/// Restores the store from its last copy after a short outage; a while later, all last writes are replayed.
async fn restore_store(site: &mut Site, rng: &mut SmallRng) {
    site.record_disturbance();
    site.store.set_fault(Fault::Refuse);
    time::sleep(rng.random_range(Duration::ZERO..MAX_RESTORE_PAUSE)).await;
    site.restore_store();
    site.store.set_fault(Fault::None);
    time::sleep(rng.random_range(Duration::ZERO..MAX_RESTORE_PAUSE)).await;
    site.replay_last_writes();
    site.record_disturbance();
}

/// Injects one fault into the connections between the store and a random half of the balancers.
fn inject_store_connection_fault(site: &mut Site, rng: &mut SmallRng) {
    site.record_disturbance();
    let modes = [
        Mode::Delay(Duration::from_millis(300)),
        Mode::Reset,
        Mode::DropResponses,
        Mode::DropAll,
    ];
    let mode = *modes.choose(rng).unwrap_or(&Mode::Reset);
    for index in 0..site.balancer_count() {
        if rng.random_bool(0.5) {
            site.set_proxy_mode(index, mode);
        }
    }
}

/// Kills up to half of the balancers; each starts again at once or when the faults are cleared.
fn kill_balancers(site: &mut Site, rng: &mut SmallRng) -> io::Result<()> {
    site.record_disturbance();
    for _ in 0..rng.random_range(1..=site.balancer_count() / 2) {
        let index = rng.random_range(0..site.balancer_count());
        site.kill_balancer(index)?;
        if rng.random_bool(0.5) {
            site.start_balancer(index)?;
        }
    }
    Ok(())
}

/// Restarts a balancer while the store does not respond, so that it gets packets before it has a table.
fn restart_without_store(site: &mut Site, rng: &mut SmallRng) -> io::Result<()> {
    site.record_disturbance();
    site.store.set_fault(Fault::Silent);
    let index = rng.random_range(0..site.balancer_count());
    site.kill_balancer(index)?;
    site.start_balancer(index)
}

fn pause_balancer(site: &mut Site, rng: &mut SmallRng) -> io::Result<()> {
    site.record_disturbance();
    let index = rng.random_range(0..site.balancer_count());
    site.signal_balancer(index, Signal::STOP)
}

async fn restart_balancer(
    site: &mut Site,
    rng: &mut SmallRng,
    results: &SharedResults,
) -> io::Result<()> {
    // A drain loses no packets where routers stop sending to the balancer, but the callers of the soak go on sending.
    site.record_disturbance();
    let index = rng.random_range(0..site.balancer_count());
    site.stop_balancer(index, results).await?;
    site.start_balancer(index)
}

async fn inject_upstream_fault(site: &mut Site, rng: &mut SmallRng) -> io::Result<()> {
    let ids = site.upstream_ids();
    site.add_upstream().await?;
    if ids.len() > MIN_UPSTREAMS
        && let Some(&id) = ids.choose(rng)
    {
        match rng.random_range(0..3) {
            0 => site.drain_upstream(id),
            1 => site.kill_upstream(id, true),
            _ => site.kill_upstream(id, false),
        }
    }
    Ok(())
}

/// Checks the limits that are rarely checked between faults: a configuration becomes active at every balancer in
/// time, also at one that gets no responses from the store and, `with_restores`, after the store was restored, and a
/// draining upstream gets no new flows.
pub async fn check_time_limits(site: &mut Site, with_restores: bool, results: &SharedResults) {
    let view = site.view();
    let address = SocketAddrV4::new(loopback(31, 1), view.port);
    let caller = match Caller::new(address).await {
        Ok(caller) => caller,
        Err(error) => {
            return soak::report_violation(results, format!("caller at {address}: {error}"));
        }
    };
    view.clear_disturbance();
    change_config_and_check(site, &caller, 17, results).await;
    // Balancer 0 gets no responses from the store and has to take the configuration from its peers.
    site.set_proxy_mode(0, Mode::DropResponses);
    change_config_and_check(site, &caller, 18, results).await;
    site.set_proxy_mode(0, Mode::Pass);
    if with_restores {
        lose_changes(site).await;
        change_config_and_check(site, &caller, 19, results).await;
    }
    if let Some(&id) = site.upstream_ids().first() {
        site.drain_upstream(id);
    }
    time::sleep(DRAIN_LIMIT + DRAIN_OBSERVATION).await;
}

/// Restores the store to the state before some changes that all balancers have adopted, and waits until they have read
/// it.
async fn lose_changes(site: &mut Site) {
    site.copy_store();
    for _ in 0..LOST_CHANGES {
        site.write_next_config();
    }
    time::sleep(CONFIG_LIMIT).await;
    site.restore_store();
    site.replay_last_writes();
    time::sleep(CONFIG_LIMIT).await;
}

/// Changes the configuration and checks that it is active at every balancer in time, unless there was a recent fault.
async fn change_config_and_check(
    site: &mut Site,
    caller: &Caller,
    port: u16,
    results: &SharedResults,
) {
    site.write_next_config();
    let view = site.view();
    if view.was_disturbed_within(CONFIG_LIMIT * 3) {
        return;
    }
    time::sleep(CONFIG_LIMIT).await;
    for (index, balancer) in (0_u16..).zip(view.balancer_addresses()) {
        let port = port.wrapping_mul(64).wrapping_add(index).max(1_024);
        let opened = caller.open(port, OPTIONAL_SERVICE, || balancer).await;
        check_route(
            site.has_optional_route(),
            balancer,
            opened.map(drop),
            results,
        );
    }
}

fn check_route(
    has_route: bool,
    balancer: SocketAddr,
    opened: std::result::Result<(), Outcome>,
    results: &SharedResults,
) {
    let is_violation = match opened {
        Ok(()) => !has_route,
        Err(Outcome::Reset) => has_route,
        Err(_) => false,
    };
    if is_violation {
        let text = format!(
            "balancer {balancer}: opening a flow gave {opened:?} {CONFIG_LIMIT:?} after a configuration change; \
             route expected: {has_route}"
        );
        soak::report_violation(results, text);
    }
}
