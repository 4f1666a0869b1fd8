//! Summary of the demo, and the guarantees to callers that it checks.

use {
    crate::command::{CommandError, Result},
    skylarkflow_emulator::{load_generator::Report, upstream::Upstream},
    std::{collections::BTreeMap, io, sync::atomic::Ordering, time::Duration},
};

/// Goal for the requests of the busiest upstream divided by the mean; not checked as a guarantee.
const IMBALANCE_GOAL: f64 = 1.10;

/// Results of one service: the report of its load generator and the counters of its upstreams.
#[derive(Debug)]
pub struct ServiceSummary<'a> {
    name: &'a str,
    report: &'a Report,
    executed: BTreeMap<Vec<u8>, u32>,
    executed_per_upstream: Vec<u64>,
    misdelivered: u64,
}

/// Checks of the guarantees, with the violations that were found.
#[derive(Debug, Default)]
pub struct GuaranteeChecks {
    check_count: u32,
    violations: Vec<String>,
}

impl<'a> ServiceSummary<'a> {
    /// Collects the counters of the upstreams of a service.
    pub fn new(name: &'a str, report: &'a Report, upstreams: &[Upstream]) -> ServiceSummary<'a> {
        let mut executed = BTreeMap::new();
        for (payload, count) in upstreams.iter().flat_map(Upstream::executed) {
            *executed.entry(payload).or_default() += count;
        }
        let counters = || upstreams.iter().map(Upstream::counters);
        let misdelivered = counters().map(|one| one.misdelivered.load(Ordering::Relaxed));
        ServiceSummary {
            name,
            report,
            executed,
            executed_per_upstream: counters()
                .map(|one| one.ran.load(Ordering::Relaxed))
                .collect(),
            misdelivered: misdelivered.sum(),
        }
    }

    fn imbalance(&self) -> f64 {
        let mean = self.executed_per_upstream.iter().sum::<u64>() as f64
            / self.executed_per_upstream.len().max(1) as f64;
        let largest = self
            .executed_per_upstream
            .iter()
            .copied()
            .max()
            .unwrap_or_default() as f64;
        largest / mean.max(1.0)
    }

    fn executed_twice(&self) -> u64 {
        self.executed.values().filter(|&&count| count > 1).count() as u64
    }

    fn executed_although_refused(&self) -> u64 {
        let refused = self.report.refused.iter();
        let ran = refused.filter(|query| self.executed.contains_key(query.as_bytes()));
        ran.count() as u64
    }

    fn print(&self) {
        let total = self.report.total();
        let millis = |quantile| total.latency.value_at_quantile(quantile) as f64 / 1e3;
        println!("service {}", self.name);
        println!("  requests served      {:>8}", total.answered);
        println!("  flows that moved     {:>8}", self.report.upstream_changes);
        println!("  refused, did not run {:>8}", total.refused);
        println!("  outcome unknown      {:>8}", total.unknown);
        println!("  retransmissions      {:>8}", total.retransmissions);
        println!(
            "  median, 99 %         {:>8.1} ms, {:.1} ms",
            millis(0.5),
            millis(0.99)
        );
        println!(
            "  imbalance, max/mean  {:>8.2} (goal {IMBALANCE_GOAL:.2})",
            self.imbalance()
        );
    }
}

impl GuaranteeChecks {
    /// Prints the summary of a service and checks the guarantees to its callers.
    pub fn check_service(&mut self, service: &ServiceSummary<'_>) {
        service.print();
        let total = service.report.total();
        let name = service.name;
        let violations = [
            (
                "flows that changed their upstream",
                service.report.upstream_changes,
            ),
            ("requests without a response", total.timed_out),
            ("responses to another request", total.mismatched),
            (
                "requests with an unknown outcome in a planned change",
                total.unknown,
            ),
            (
                "requests at an upstream of another service",
                service.misdelivered,
            ),
            (
                "non-idempotent requests that ran twice",
                service.executed_twice(),
            ),
            (
                "requests that ran although the caller was told otherwise",
                service.executed_although_refused(),
            ),
        ];
        for (violation, count) in violations {
            self.check(count == 0, format!("{name}: {violation}: {count}"));
        }
        self.check(total.answered > 0, format!("{name}: no request was served"));
    }

    /// Checks the duration of the drain of a balancer.
    pub fn check_balancer_drain(&mut self, elapsed: Duration, limit: Duration) {
        let text =
            format!("the drain of a balancer took {elapsed:.1?}, more than the limit of {limit:?}");
        self.check(elapsed <= limit, text);
    }

    /// Checks that a draining upstream got no new flows.
    pub fn check_draining_upstream(&mut self, count: u32, flows: usize) {
        let text = format!("{count} of {flows} new flows reached a draining upstream");
        self.check(count == 0, text);
    }

    /// Prints the result of all checks.
    ///
    /// # Errors
    ///
    /// Fails if a guarantee was violated.
    pub fn finish(self) -> Result {
        if self.violations.is_empty() {
            println!("all {} checks passed", self.check_count);
            return Ok(());
        }
        for text in &self.violations {
            println!("VIOLATED {text}");
        }
        let text = format!(
            "{} of {} checks failed",
            self.violations.len(),
            self.check_count
        );
        Err(CommandError::from(io::Error::other(text)))
    }

    fn check(&mut self, holds: bool, text: String) {
        self.check_count += 1;
        if !holds {
            self.violations.push(text);
        }
    }
}
