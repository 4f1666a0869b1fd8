//! Relative speed of upstreams, learned from the latencies of their responses.
//!
//! The module addresses pools in which some upstreams are several times slower than the others, permanently or for
//! some seconds, while each balancer sees only a small share of the requests and so does not notice queues by its own
//! counts. A latency is compared with the usual one of its route. It includes the waiting time, so a slow upstream that
//! gets few flows compares well in an overloaded pool and gets more again. See [the design
//! note](../../../docs/design/placement.md).

use {
    crate::{
        cost::{Cost, DecayingMean},
        tracker::Response,
        upstream::UpstreamId,
    },
    skylarkflow_policy::id::Map,
    std::{cmp::Reverse, mem, net::SocketAddr, time::Duration},
};

/// Weight of the evidence below which an upstream is forgotten.
const MIN_WEIGHT: f64 = 0.05;

/// Resolution and maximum of [`Notice::level`]; the maximum stands for a ratio of 8.
const LEVELS_PER_OCTAVE: f64 = 4.0;
const MAX_LEVEL: f64 = 12.0;

/// Maximum number of slow upstreams that a report names, so that it stays well below the limit of a datagram.
pub const MAX_NOTICES: usize = 32;

/// Settings of [`Speeds`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time in which evidence loses 63 % of its weight. Without new evidence an upstream counts as usual soon after, so
    /// that one that has recovered is tried again.
    pub retention: Duration,
    /// Number of assumed responses of usual latency, which keep a few slow responses from deciding.
    pub prior: f64,
    /// Number of responses of a route from which its usual latency is known.
    pub min_route_responses: f64,
    /// Maximum ratio of a latency to the usual one, and the inverse of the minimum one. It bounds the influence of the
    /// few requests that take several times longer.
    pub max_ratio: f64,
    /// Slowness up to which an upstream counts as usual, since latencies vary by chance.
    pub tolerance: f64,
    /// Exponent by which the share of flows falls with the slowness.
    pub exponent: f64,
    /// Minimum share of flows relative to a usual upstream, which shows when a slow one has recovered.
    pub min_share: f64,
    /// Slowness from which an upstream is reported as slow.
    pub report_threshold: f64,
    /// Weight of the evidence from which an upstream is reported as slow.
    pub report_weight: f64,
    /// Maximum weight of what peers tell of one upstream.
    pub max_peer_weight: f64,
    /// Slowness by the own evidence from which peers are told.
    pub notice_threshold: f64,
    /// Weight of the own evidence from which peers are told.
    pub notice_weight: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            retention: Duration::from_millis(2_500),
            prior: 1.5,
            min_route_responses: 8.0,
            max_ratio: 8.0,
            tolerance: 1.4,
            exponent: 3.0,
            min_share: 0.04,
            report_threshold: 2.0,
            report_weight: 3.0,
            max_peer_weight: 6.0,
            notice_threshold: 1.6,
            notice_weight: 1.0,
        }
    }
}

/// An upstream that is slower than usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slow {
    /// Ratio of its latencies to the usual ones; above [`Settings::tolerance`].
    pub slowness: f64,
    /// Share of flows that it gets, relative to a usual upstream.
    pub share: f64,
}

/// What a balancer tells others of an upstream: that it is slow, by which ratio.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Notice {
    /// The upstream.
    pub id: UpstreamId,
    /// Logarithm to base 2 of the slowness, in quarters.
    pub level: i8,
}

impl Notice {
    fn new(id: UpstreamId, slowness: f64) -> Notice {
        let level = (slowness.log2() * LEVELS_PER_OCTAVE).round();
        Notice {
            id,
            level: level.clamp(-MAX_LEVEL, MAX_LEVEL) as i8,
        }
    }

    /// Returns the natural logarithm of the slowness, which is within 1/8 to 8 whatever the peer has sent.
    fn log_ratio(self) -> f64 {
        let level = f64::from(self.level).clamp(-MAX_LEVEL, MAX_LEVEL);
        level / LEVELS_PER_OCTAVE * std::f64::consts::LN_2
    }
}

/// A change that operators are told of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// An upstream is slow, by this ratio.
    Slow(UpstreamId, f64),
    /// An upstream is no longer slow, or there is no evidence of it any more.
    Usual(UpstreamId),
}

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Evidence of the own responses.
    log_ratio: DecayingMean,
    /// Evidence of peers, kept apart so that it is not told again.
    peers: DecayingMean,
    is_reported: bool,
}

impl Estimate {
    fn decay(&mut self, now: Duration, retention: Duration) {
        self.log_ratio.decay(now, retention);
        self.peers.decay(now, retention);
    }

    fn weight(&self) -> f64 {
        self.log_ratio.weight() + self.peers.weight()
    }

    fn mean(&self, prior: f64) -> f64 {
        let mut all = self.log_ratio;
        all.add(self.peers.mean(0.0), self.peers.weight());
        all.mean(prior)
    }
}

/// Estimates of all upstreams of a balancer.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    settings: Settings,
    routes: Map<SocketAddr, Cost>,
    estimates: Map<UpstreamId, Estimate>,
    /// Upstreams that are slower than usual; usually empty, which makes the choice of an upstream cheap.
    slow: Map<UpstreamId, Slow>,
    changes: Vec<Change>,
}

impl Speeds {
    /// Creates estimates without evidence.
    pub fn new(settings: Settings) -> Speeds {
        Speeds {
            settings,
            ..Speeds::default()
        }
    }

    /// Returns whether no upstream is known to be slower than usual.
    pub fn is_even(&self) -> bool {
        self.slow.is_empty()
    }

    /// Returns how slow an upstream is; `None` if there is no evidence that it is slower than usual.
    pub fn slow(&self, id: UpstreamId) -> Option<&Slow> {
        self.slow.get(&id)
    }

    /// Returns the number of upstreams that are reported as slow.
    pub fn reported_count(&self) -> usize {
        let estimates = self.estimates.values();
        estimates.filter(|estimate| estimate.is_reported).count()
    }

    /// Removes and returns the changes that operators are told of.
    pub fn take_changes(&mut self) -> Vec<Change> {
        mem::take(&mut self.changes)
    }

    /// Records a response of an upstream. A refusal shows nothing about the speed.
    pub fn record(&mut self, now: Duration, id: UpstreamId, response: &Response) {
        let Settings {
            retention,
            min_route_responses,
            max_ratio,
            ..
        } = self.settings;
        let cost = self.routes.entry(response.service).or_default();
        if cost.observe_size(response.bytes) {
            return;
        }
        let ratio = cost.observe_latency(now, response.latency, retention, min_route_responses);
        let Some(ratio) = ratio else {
            return;
        };
        let limit = max_ratio.ln();
        let estimate = self.estimates.entry(id).or_default();
        estimate.decay(now, retention);
        estimate.log_ratio.add(ratio.clamp(-limit, limit), 1.0);
        self.update(id);
    }

    /// Returns what peers are told: the upstreams that are clearly slow by own evidence, the slowest ones first.
    pub fn notices(&self) -> Vec<Notice> {
        let Settings {
            prior,
            notice_threshold,
            notice_weight,
            ..
        } = self.settings;
        let slow = self.slow.keys().filter_map(|&id| {
            let own = self.estimates.get(&id)?.log_ratio;
            let slowness = own.mean(prior).exp();
            let is_clear = own.weight() >= notice_weight && slowness >= notice_threshold;
            is_clear.then(|| Notice::new(id, own.mean(0.0).exp()))
        });
        let mut notices: Vec<Notice> = slow.collect();
        notices.sort_by_key(|notice| (Reverse(notice.level), notice.id));
        notices.truncate(MAX_NOTICES);
        notices
    }

    /// Takes what a peer tells of an upstream as one response.
    pub fn record_notice(&mut self, now: Duration, notice: Notice) {
        let Settings {
            retention,
            max_peer_weight,
            ..
        } = self.settings;
        let estimate = self.estimates.entry(notice.id).or_default();
        estimate.decay(now, retention);
        estimate.peers.add(notice.log_ratio(), 1.0);
        estimate.peers.limit_weight(max_peer_weight);
        self.update(notice.id);
    }

    /// Lets evidence decay and forgets upstreams without any; to be called several times a second.
    pub fn tick(&mut self, now: Duration) {
        let Settings { retention, .. } = self.settings;
        let ids: Vec<UpstreamId> = self.estimates.keys().copied().collect();
        for id in ids {
            if let Some(estimate) = self.estimates.get_mut(&id) {
                estimate.decay(now, retention);
                if estimate.weight() < MIN_WEIGHT {
                    self.remove(id);
                } else {
                    self.update(id);
                }
            }
        }
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, id: UpstreamId) {
        self.slow.remove(&id);
        let removed = self.estimates.remove(&id);
        if removed.is_some_and(|estimate| estimate.is_reported) {
            self.changes.push(Change::Usual(id));
        }
    }

    /// Derives the state of an upstream from its evidence.
    fn update(&mut self, id: UpstreamId) {
        let Settings {
            prior,
            tolerance,
            exponent,
            min_share,
            report_threshold,
            report_weight,
            ..
        } = self.settings;
        let Some(estimate) = self.estimates.get_mut(&id) else {
            return;
        };
        let slowness = estimate.mean(prior).exp();
        if slowness > tolerance {
            let share = (tolerance / slowness).powf(exponent).max(min_share);
            self.slow.insert(id, Slow { slowness, share });
        } else {
            self.slow.remove(&id);
        }
        if !estimate.is_reported
            && slowness >= report_threshold
            && estimate.weight() >= report_weight
        {
            estimate.is_reported = true;
            self.changes.push(Change::Slow(id, slowness));
        } else if estimate.is_reported && slowness <= tolerance {
            estimate.is_reported = false;
            self.changes.push(Change::Usual(id));
        }
    }
}
