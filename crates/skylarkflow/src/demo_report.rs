//! The summary of the demo and the promises that it checks.

use {
    crate::command::{CommandError, Result},
    skylarkflow_emulator::{load::Report, upstream::Upstream},
    std::{collections::BTreeMap, io, sync::atomic::Ordering, time::Duration},
};

/// Highest share of the mean that the busiest upstream should have; a goal, not a promise.
const IMBALANCE_GOAL: f64 = 1.10;

/// What one service has seen.
#[derive(Debug)]
pub struct Service<'a> {
    name: &'a str,
    report: &'a Report,
    executed: BTreeMap<Vec<u8>, u32>,
    ran: Vec<u64>,
    misdelivered: u64,
}

/// Promises that were broken.
#[derive(Debug, Default)]
pub struct Findings {
    checked: u32,
    broken: Vec<String>,
}

impl<'a> Service<'a> {
    /// Collects what the upstreams of a service have counted.
    pub fn new(name: &'a str, report: &'a Report, upstreams: &[Upstream]) -> Service<'a> {
        let mut executed = BTreeMap::new();
        for (payload, count) in upstreams.iter().flat_map(Upstream::executed) {
            *executed.entry(payload).or_default() += count;
        }
        let counters = || upstreams.iter().map(Upstream::counters);
        let misdelivered = counters().map(|one| one.misdelivered.load(Ordering::Relaxed));
        Service {
            name,
            report,
            executed,
            ran: counters()
                .map(|one| one.ran.load(Ordering::Relaxed))
                .collect(),
            misdelivered: misdelivered.sum(),
        }
    }

    fn imbalance(&self) -> f64 {
        let mean = self.ran.iter().sum::<u64>() as f64 / self.ran.len().max(1) as f64;
        let largest = self.ran.iter().copied().max().unwrap_or_default() as f64;
        largest / mean.max(1.0)
    }

    fn doubled(&self) -> u64 {
        self.executed.values().filter(|&&count| count > 1).count() as u64
    }

    fn ran_although_refused(&self) -> u64 {
        let refused = self.report.refused.iter();
        let ran = refused.filter(|query| self.executed.contains_key(query.as_bytes()));
        ran.count() as u64
    }

    fn print(&self) {
        let total = self.report.total();
        let millis = |quantile| total.latency.value_at_quantile(quantile) as f64 / 1e3;
        println!("service {}", self.name);
        println!("  requests served      {:>8}", total.answered);
        println!("  flows that moved     {:>8}", self.report.moved);
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

impl Findings {
    /// Checks the promises to the callers of a service, and prints what it has seen.
    pub fn service(&mut self, service: &Service<'_>) {
        service.print();
        let total = service.report.total();
        let name = service.name;
        let promises = [
            ("flows that changed their upstream", service.report.moved),
            ("requests without an answer", total.lost),
            ("answers to another request", total.wrong),
            (
                "requests with an unknown outcome in a planned change",
                total.unknown,
            ),
            (
                "requests at an upstream of another service",
                service.misdelivered,
            ),
            ("non-idempotent requests that ran twice", service.doubled()),
            (
                "requests that ran although the caller was told otherwise",
                service.ran_although_refused(),
            ),
        ];
        for (promise, count) in promises {
            self.check(count == 0, format!("{name}: {promise}: {count}"));
        }
        self.check(total.answered > 0, format!("{name}: no request was served"));
    }

    /// Checks the time of a planned stop.
    pub fn planned_stop(&mut self, elapsed: Duration, bound: Duration) {
        let text = format!("the planned stop took {elapsed:.1?}, more than {bound:?}");
        self.check(elapsed <= bound, text);
    }

    /// Checks that an upstream that is leaving got no new flows.
    pub fn leaving_upstream(&mut self, count: u32, flows: usize) {
        let text = format!("{count} of {flows} new flows reached an upstream that is leaving");
        self.check(count == 0, text);
    }

    /// Prints the verdict.
    ///
    /// # Errors
    ///
    /// Fails if a promise was broken.
    pub fn verdict(self) -> Result {
        if self.broken.is_empty() {
            println!("all {} checks passed", self.checked);
            return Ok(());
        }
        for text in &self.broken {
            println!("BROKEN {text}");
        }
        let text = format!("{} of {} checks failed", self.broken.len(), self.checked);
        Err(CommandError::from(io::Error::other(text)))
    }

    fn check(&mut self, holds: bool, text: String) {
        self.checked += 1;
        if !holds {
            self.broken.push(text);
        }
    }
}
