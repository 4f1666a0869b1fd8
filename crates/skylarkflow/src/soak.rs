//! The `soak` command: real balancers under seeded random faults, with checks of what callers and upstreams see.

use {
    crate::{
        command::{Failure, Result},
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

/// Time after the last fault in which service has to be back; the platform's bound after all machines lost power.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Time in which balancers catch up with the store after a fault; the platform's bound.
const STORE_CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

/// Time after which a flow that a fault has met has ended; a try takes 1.4 s at most.
const FLOW_END_LIMIT: Duration = Duration::from_secs(2);

/// Run steering balancers as processes on loopback, inject faults and check the promises.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// seed of the faults
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds of faults
    #[argh(option, long = "for", default = "20")]
    seconds: u64,
    /// number of balancers, over three availability zones
    #[argh(option, default = "6")]
    balancers: usize,
    /// number of upstreams
    #[argh(option, default = "6")]
    upstreams: usize,
    /// number of callers
    #[argh(option, default = "8")]
    callers: usize,
    /// folder for settings and logs, which stay there after a failure
    #[argh(option)]
    folder: Option<PathBuf>,
    /// program to run as a balancer instead of this one
    #[argh(option)]
    program: Option<PathBuf>,
}

/// What the checks have found.
#[derive(Debug, Default)]
pub struct Results {
    /// Promises that were broken, with the place.
    pub violations: Vec<String>,
    /// Requests that were answered.
    pub answered_requests: u64,
    /// Requests and openings that were not.
    pub failed_attempts: u64,
    /// The last of them, for a results that depends on them.
    pub recent_failures: VecDeque<String>,
}

/// Failures that are remembered.
const MAX_RECENT_FAILURES: usize = 20;

impl Results {
    /// Records a request or an opening that was not answered.
    pub fn record_failure(&mut self, text: String) {
        self.failed_attempts += 1;
        if self.recent_failures.len() == MAX_RECENT_FAILURES {
            self.recent_failures.pop_front();
        }
        self.recent_failures.push_back(text);
    }
}

/// Results that all tasks share.
pub type SharedResults = Arc<Mutex<Results>>;

/// Records a broken promise.
pub fn report_violation(results: &SharedResults, text: String) {
    eprintln!("broken: {text}");
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    results.violations.push(text);
}

impl Soak {
    /// Runs the soak.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a promise was broken.
    pub fn run(self) -> Result {
        let runtime = Runtime::new()?;
        let results = runtime.block_on(self.run_scenario())?;
        let results = results.lock().unwrap_or_else(PoisonError::into_inner);
        println!(
            "seed {}: {} requests answered, {} tries failed, {} promises broken",
            self.seed,
            results.answered_requests,
            results.failed_attempts,
            results.violations.len()
        );
        if results.violations.is_empty() {
            Ok(())
        } else {
            Err(Failure::failed("a promise was broken"))
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
        soak_faults::inject(&mut site, self.seed, fault_duration, &results).await?;
        site.clear_faults();
        if site.wait_ready(RECOVERY_LIMIT).await.is_err() {
            report_violation(
                &results,
                format!("not ready {RECOVERY_LIMIT:?} after the last fault"),
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
                format!("tries fail without a fault: {recent_failures:#?}"),
            );
        }
        if !has_violations(&results) {
            soak_faults::check_time_limits(&mut site, &results).await;
        }
        for caller in callers {
            caller.abort();
        }
        site.stop_balancers(&results).await?;
        Ok(results)
    }
}

/// Returns whether a promise was broken.
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
