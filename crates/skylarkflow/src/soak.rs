//! The `soak` command: real balancers under seeded random faults, with checks of what callers and upstreams see.

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

/// Time after the last fault in which service has to be back; the platform's bound after all machines lost power.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time in which balancers catch up with the store after a fault; the platform's bound.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Time after which a flow that a fault has met has ended; a try takes 1.4 s at most.
const FLOW_END: Duration = Duration::from_secs(2);

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
pub struct Verdict {
    /// Promises that were broken, with the place.
    pub broken: Vec<String>,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests and openings that were not.
    pub failed: u64,
    /// The last of them, for a verdict that depends on them.
    pub failures: VecDeque<String>,
}

/// Failures that are remembered.
const FAILURES: usize = 20;

impl Verdict {
    /// Records a request or an opening that was not answered.
    pub fn fail(&mut self, text: String) {
        self.failed += 1;
        if self.failures.len() == FAILURES {
            self.failures.pop_front();
        }
        self.failures.push_back(text);
    }
}

/// Verdict that all tasks share.
pub type Shared = Arc<Mutex<Verdict>>;

/// Records a broken promise.
pub fn report(verdict: &Shared, text: String) {
    eprintln!("broken: {text}");
    let mut verdict = verdict.lock().unwrap_or_else(PoisonError::into_inner);
    verdict.broken.push(text);
}

impl Soak {
    /// Runs the soak.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a promise was broken.
    pub fn run(self) -> Result {
        let runtime = Runtime::new()?;
        let verdict = runtime.block_on(self.play())?;
        let verdict = verdict.lock().unwrap_or_else(PoisonError::into_inner);
        println!(
            "seed {}: {} requests answered, {} tries failed, {} promises broken",
            self.seed,
            verdict.answered,
            verdict.failed,
            verdict.broken.len()
        );
        if verdict.broken.is_empty() {
            Ok(())
        } else {
            Err(CommandError::runtime("a promise was broken"))
        }
    }

    async fn play(&self) -> io::Result<Shared> {
        let folder = match &self.folder {
            Some(folder) => folder.clone(),
            None => std::env::temp_dir().join(format!("skylarkflow-soak-{}", self.seed)),
        };
        let program = match &self.program {
            Some(program) => program.clone(),
            None => std::env::current_exe()?,
        };
        let verdict = Shared::default();
        let mut site = Site::start(program, folder, self.balancers, self.upstreams).await?;
        site.wait_ready(RECOVERY).await?;
        let directory = site.directory();
        let callers: Vec<_> = (0..self.callers)
            .map(|index| {
                let seed = self.seed.wrapping_mul(1_000) + index as u64;
                let directory = Arc::clone(&directory);
                tokio::spawn(soak_callers::call(
                    index,
                    seed,
                    directory,
                    Arc::clone(&verdict),
                ))
            })
            .collect();
        let span = Duration::from_secs(self.seconds);
        soak_faults::inject(&mut site, self.seed, span, &verdict).await?;
        site.heal();
        if site.wait_ready(RECOVERY).await.is_err() {
            report(
                &verdict,
                format!("not ready {RECOVERY:?} after the last fault"),
            );
        }
        directory.network.set_faults(0, 0);
        time::sleep(CATCH_UP + FLOW_END).await;
        let before = failures(&verdict);
        time::sleep(Duration::from_secs(3)).await;
        if failures(&verdict) > before {
            let failures = &verdict
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .failures
                .clone();
            report(
                &verdict,
                format!("tries fail without a fault: {failures:#?}"),
            );
        }
        if !is_broken(&verdict) {
            soak_faults::check_bounds(&mut site, &verdict).await;
        }
        for caller in callers {
            caller.abort();
        }
        site.stop(&verdict).await?;
        Ok(verdict)
    }
}

/// Returns whether a promise was broken.
pub fn is_broken(verdict: &Shared) -> bool {
    let verdict = verdict.lock().unwrap_or_else(PoisonError::into_inner);
    !verdict.broken.is_empty()
}

fn failures(verdict: &Shared) -> u64 {
    verdict
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .failed
}
