//! Latency histograms of opening packets and requests, as observed by one balancer.

use {
    hdrhistogram::Histogram,
    skylarkflow_steering::tracker::LatencySamples,
    std::{fmt::Write, time::Duration},
};

/// Maximum recorded latency in microseconds, to which longer ones are clamped; no caller waits longer.
const MAX_MICROS: u64 = 60_000_000;

/// Significant decimal digits of a recorded value, for a relative error of at most 1 %.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Exported quantiles.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Latencies recorded since the start of the process.
#[derive(Clone, Debug)]
pub struct Latencies {
    openings: Histogram<u64>,
    requests: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Latencies {
        Latencies {
            openings: new_histogram(),
            requests: new_histogram(),
        }
    }
}

impl Latencies {
    /// Adds samples.
    pub fn record(&mut self, samples: &LatencySamples) {
        let parts = [
            (&mut self.openings, &samples.openings),
            (&mut self.requests, &samples.requests),
        ];
        for (histogram, times) in parts {
            for &time in times {
                histogram.saturating_record(micros(time));
            }
        }
    }

    /// Appends the quantiles, in microseconds, in the Prometheus text format.
    pub fn write(&self, text: &mut String) {
        let parts = [("opening", &self.openings), ("request", &self.requests)];
        for (name, histogram) in parts {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                // Writing to a string does not fail.
                let _ = writeln!(
                    text,
                    "skylarkflow_steer_{name}_micros{{quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(
                text,
                "skylarkflow_steer_{name}_micros_count {}",
                histogram.len()
            );
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    // The constants are within the range that the library accepts.
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).expect("valid bounds")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
