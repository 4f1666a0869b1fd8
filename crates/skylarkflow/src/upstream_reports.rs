//! Drain states that upstreams report in their responses.

use {
    crate::{context::Context, control::Input},
    skylarkflow_policy::id::Map,
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Time after which an unchanged report of an upstream is passed to the control thread again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The latest report of each upstream.
#[derive(Debug, Default)]
pub struct UpstreamReports {
    latest: Mutex<Map<SocketAddr, Report>>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    draining: bool,
    forwarded_at: Duration,
}

impl UpstreamReports {
    /// Passes a report to the control thread if it differs from the last one or [`REPEAT_INTERVAL`] has passed since.
    pub fn record(&self, context: &Context, upstream: SocketAddr, draining: bool) {
        if self.is_due(context.clock.now(), upstream, draining) {
            context.enqueue_input(Input::UpstreamReport {
                address: upstream,
                draining,
            });
        }
    }

    fn is_due(&self, now: Duration, upstream: SocketAddr, draining: bool) -> bool {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        let report = latest.get(&upstream);
        let is_known = report.is_some_and(|report| {
            report.draining == draining && now < report.forwarded_at + REPEAT_INTERVAL
        });
        if !is_known {
            let forwarded_at = now;
            latest.insert(
                upstream,
                Report {
                    draining,
                    forwarded_at,
                },
            );
        }
        !is_known
    }
}
