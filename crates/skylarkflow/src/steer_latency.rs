//! Histograms of the times that flows take, as one balancer sees them.

use {
    hdrhistogram::Histogram,
    skylarkflow_steering::tracker::LatencySamples,
    std::{fmt::Write, time::Duration},
};

/// Longest time that is told apart, in microseconds; no caller waits longer.
const MOST_MICROS: u64 = 60_000_000;

/// Significant digits, so that a value is off by 1 % at most.
const DIGITS: u8 = 2;

/// Quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Times since the start of the process.
#[derive(Clone, Debug)]
pub struct Latencies {
    openings: Histogram<u64>,
    requests: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Latencies {
        Latencies {
            openings: histogram(),
            requests: histogram(),
        }
    }
}

impl Latencies {
    /// Adds times.
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

    /// Appends the quantiles, in microseconds, in the text format of Prometheus.
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

fn histogram() -> Histogram<u64> {
    // The bounds are constants within the range that the library takes.
    Histogram::new_with_bounds(1, MOST_MICROS, DIGITS).expect("valid bounds")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
