//! The `soak` command: runs balancer processes under seeded random faults and checks what callers and upstreams get.

use {
    crate::{
        command::{CommandError, Result},
        soak_callers, soak_faults,
        soak_site::Site,
    },
    argh::FromArgs,
    std::{
        collections::VecDeque,
        io,
        path::PathBuf,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{runtime::Runtime, time},
};

/// Longest time from the last fault until every balancer is ready; the platform's limit after a power loss of all VMs.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Longest time for balancers to catch up with the store after a fault; the platform's limit.
const STORE_CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

/// Time after which every flow affected by a fault has ended; one attempt of a caller takes at most 1.4 s.
const FLOW_END_LIMIT: Duration = Duration::from_secs(2);

/// Run steering balancers as processes on loopback, inject faults and check the platform's guarantees.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// seed of the random faults
    #[argh(option, default = "1")]
    seed: u64,
    /// time in seconds for which faults are injected
    #[argh(option, long = "for", default = "20")]
    seconds: u64,
    /// number of balancers, spread over three availability zones
    #[argh(option, default = "6")]
    balancers: usize,
    /// number of upstreams
    #[argh(option, default = "6")]
    upstreams: usize,
    /// number of callers
    #[argh(option, default = "8")]
    callers: usize,
    /// also restore the store from older copies of itself
    #[argh(switch)]
    restores: bool,
    /// folder for settings and logs, which are kept; by default one in the temporary folder
    #[argh(option)]
    folder: Option<PathBuf>,
    /// program to run as a balancer; by default this one
    #[argh(option)]
    program: Option<PathBuf>,
}

/// Counts and failed checks of a run.
#[derive(Debug, Default)]
pub struct Results {
    /// Violated guarantees, each with the balancer, flow or upstream concerned.
    pub violations: Vec<String>,
    /// Number of answered requests.
    pub answered_requests: u64,
    /// Number of requests and attempts to open a flow that got no answer.
    pub failed_attempts: u64,
    /// The most recent failed attempts, reported if attempts fail without a fault.
    pub recent_failures: VecDeque<String>,
}

/// Maximum number of failed attempts whose text is kept.
const MAX_RECENT_FAILURES: usize = 20;

impl Results {
    /// Records a request or an attempt to open a flow that got no answer.
    pub fn record_failure(&mut self, text: String) {
        self.failed_attempts += 1;
        if self.recent_failures.len() == MAX_RECENT_FAILURES {
            self.recent_failures.pop_front();
        }
        self.recent_failures.push_back(text);
    }
}

/// Results shared by all tasks.
pub type SharedResults = Arc<Mutex<Results>>;

/// Prints and records a violated guarantee.
pub fn report_violation(results: &SharedResults, text: String) {
    eprintln!("violation: {text}");
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    results.violations.push(text);
}

impl Soak {
    /// Runs the balancers, injects faults and prints a summary.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a guarantee was violated.
    pub fn run(self) -> Result {
        let runtime = Runtime::new()?;
        let results = runtime.block_on(self.run_scenario())?;
        let results = results.lock().unwrap_or_else(PoisonError::into_inner);
        println!(
            "seed {}: {} requests answered, {} attempts failed, {} guarantees violated",
            self.seed,
            results.answered_requests,
            results.failed_attempts,
            results.violations.len()
        );
        if results.violations.is_empty() {
            Ok(())
        } else {
            Err(CommandError::runtime("a guarantee was violated"))
        }
    }

    async fn run_scenario(&self) -> io::Result<SharedResults> {
        let folder = match &self.folder {
            Some(folder) => folder.clone(),
            None => std::env::temp_dir().join(format!("skylarkflow-soak-{}", self.seed)),
        };
        let program = match &self.program {
            Some(program) => program.clone(),
            None => std::env::current_exe()?,
        };
        let results = SharedResults::default();
        let mut site = Site::start(program, folder, self.balancers, self.upstreams).await?;
        site.wait_ready(RECOVERY_LIMIT).await?;
        let view = site.view();
        let callers: Vec<_> = (0..self.callers)
            .map(|index| {
                let seed = self.seed.wrapping_mul(1_000) + index as u64;
                let view = Arc::clone(&view);
                tokio::spawn(soak_callers::run_caller(
                    index,
                    seed,
                    view,
                    Arc::clone(&results),
                ))
            })
            .collect();
        let fault_duration = Duration::from_secs(self.seconds);
        soak_faults::inject(
            &mut site,
            self.seed,
            fault_duration,
            self.restores,
            &results,
        )
        .await?;
        site.clear_faults();
        if site.wait_ready(RECOVERY_LIMIT).await.is_err() {
            report_violation(
                &results,
                format!("a balancer is not ready {RECOVERY_LIMIT:?} after the last fault"),
            );
        }
        view.network.set_faults(0, 0);
        time::sleep(STORE_CATCH_UP_LIMIT + FLOW_END_LIMIT).await;
        let failures_before = failed_attempts(&results);
        time::sleep(Duration::from_secs(3)).await;
        if failed_attempts(&results) > failures_before {
            let recent_failures = &results
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .recent_failures
                .clone();
            report_violation(
                &results,
                format!("attempts fail although no fault is active: {recent_failures:#?}"),
            );
        }
        if !has_violations(&results) {
            soak_faults::check_time_limits(&mut site, self.restores, &results).await;
        }
        for caller in callers {
            caller.abort();
        }
        site.stop_balancers(&results).await?;
        Ok(results)
    }
}

/// Returns whether a guarantee was violated.
pub fn has_violations(results: &SharedResults) -> bool {
    let results = results.lock().unwrap_or_else(PoisonError::into_inner);
    !results.violations.is_empty()
}

fn failed_attempts(results: &SharedResults) -> u64 {
    results
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .failed_attempts
}
