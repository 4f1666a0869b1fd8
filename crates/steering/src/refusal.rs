//! Detection of refusals by the size of responses.
//!
//! It is designed for upstreams with a bounded queue that refuse requests under peak load with a short response of
//! nearly constant size, on flows that stay open. The balancer does not see the response, only how many bytes of it the
//! caller acknowledges. A response counts as a refusal if it has the most frequent size of the short responses of its
//! route, and others are much longer. If the usual responses of a route are as short, or of many short sizes, nothing is
//! taken for a refusal. Nor is a short response of a route whose short responses often come as fast as its
//! fastest ones: an upstream waits before it refuses a request, so these are ordinary, such as that an object does not
//! exist.

use {crate::tracker::Response, skylarkflow_policy::id::Map, std::net::SocketAddr};

/// Maximum lead of the most frequent short size, so that another one can replace it within as many responses.
const MAX_VOTES: f64 = 64.0;

/// Number of responses over which the quartile of latencies is estimated: long enough that a burst of seconds, in which
/// all responses wait, moves it little.
const QUARTILE_SAMPLES: f64 = 10_000.0;

/// Number of responses that the first ones weigh as much as.
const MIN_QUARTILE_SAMPLES: f64 = 20.0;

/// Settings of a [`Detector`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Minimum size of a refusal, in bytes: a smaller acknowledgement covers only a part of a response.
    pub min_refusal: u32,
    /// Maximum size of a refusal, in bytes: a status line and headers without a body.
    pub max_refusal: u32,
    /// Maximum difference between two refusals, in bytes; a refusal contains a number or two of varying length.
    pub max_deviation: u32,
    /// Minimum size of a usual response, relative to the largest refusal.
    pub min_ratio: f64,
    /// Lead of the most frequent short size in the vote without which nothing is taken for a refusal.
    pub min_votes: f64,
    /// Number of usual responses without which nothing is taken for a refusal.
    pub min_usual: f64,
    /// Maximum latency of a fast response, relative to the latency that a quarter of the usual responses stay below while
    /// there is room.
    pub fast_latency: f64,
    /// Minimum latency of a refusal, relative to the same latency, while few short responses were seen.
    pub slow_latency: f64,
    /// Part of the short responses that must be fast so that short responses are ordinary ones.
    pub ordinary_share: f64,
    /// Number of responses after which earlier ones have lost most of their weight.
    pub memory: f64,
    /// Maximum number of routes whose responses are observed.
    pub max_routes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            min_refusal: 32,
            max_refusal: 256,
            max_deviation: 4,
            min_ratio: 1.5,
            min_votes: 1.0,
            min_usual: 8.0,
            fast_latency: 1.2,
            slow_latency: 2.0,
            ordinary_share: 0.25,
            memory: 2_000.0,
            max_routes: 1_024,
        }
    }
}

/// Sizes of the recent responses of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Sizes {
    /// Most frequent size of short responses, in bytes.
    usual_short: u32,
    /// Majority vote for that size, so that single acknowledgements of a part of a response do not replace it.
    votes: f64,
    /// Decayed number of responses of about that size.
    short: f64,
    /// Decayed number of those that were fast.
    fast: f64,
    /// Decayed number of responses that are much longer.
    long: f64,
    /// Latency in seconds that a quarter of the usual responses stay below; 0 before the first one.
    quartile: f64,
    /// Number of responses from which the quartile was estimated, up to its memory.
    samples: f64,
}

/// Tells refusals from other responses.
#[derive(Debug, Default)]
pub struct Detector {
    settings: Settings,
    routes: Map<SocketAddr, Sizes>,
}

impl Detector {
    /// Creates a detector that has seen no response.
    pub fn new(settings: Settings) -> Detector {
        Detector {
            settings,
            routes: Map::default(),
        }
    }

    /// Records the size of a response and returns whether it is a refusal.
    pub fn is_refusal(&mut self, response: &Response) -> bool {
        let settings = self.settings;
        let service = response.service;
        if !self.routes.contains_key(&service) && self.routes.len() >= settings.max_routes {
            return false;
        }
        let sizes = self.routes.entry(service).or_default();
        sizes.record(&settings, response);
        sizes.has_refusals(&settings) && sizes.is_refusal(&settings, response)
    }

    /// Forgets routes for which `is_routed` returns `false`.
    pub fn retain(&mut self, is_routed: impl Fn(&SocketAddr) -> bool) {
        self.routes.retain(|service, _| is_routed(service));
    }
}

impl Sizes {
    fn is_short(&self, settings: &Settings, bytes: u32) -> bool {
        bytes.abs_diff(self.usual_short) <= settings.max_deviation
    }

    /// Returns whether a response is a refusal if the route has any. As long as few short ones were seen, it has to be
    /// clearly slower than usual ones.
    fn is_refusal(&self, settings: &Settings, response: &Response) -> bool {
        let is_slow = response.latency.as_secs_f64() > self.quartile * settings.slow_latency;
        let is_known = self.short >= settings.min_usual;
        self.is_short(settings, response.bytes) && (is_known || is_slow)
    }

    fn record(&mut self, settings: &Settings, response: &Response) {
        let bytes = response.bytes;
        let latency = response.latency.as_secs_f64();
        let decay = 1.0 - 1.0 / settings.memory;
        for count in [&mut self.short, &mut self.fast, &mut self.long] {
            *count *= decay;
        }
        if bytes > settings.max_refusal {
            if f64::from(bytes) >= f64::from(settings.max_refusal) * settings.min_ratio {
                self.long += 1.0;
            }
            return self.record_latency(latency);
        }
        if bytes < settings.min_refusal {
            return;
        }
        if !self.is_short(settings, bytes) {
            self.votes -= 1.0;
            if self.votes > 0.0 {
                return;
            }
            self.usual_short = bytes;
            self.votes = 0.0;
            self.short = 0.0;
            self.fast = 0.0;
        }
        self.votes = (self.votes + 1.0).min(MAX_VOTES);
        self.short += 1.0;
        self.fast += f64::from(u8::from(latency <= self.quartile * settings.fast_latency));
    }

    fn record_latency(&mut self, latency: f64) {
        if self.quartile == 0.0 {
            self.quartile = latency;
        }
        self.samples = (self.samples + 1.0).min(QUARTILE_SAMPLES);
        let step = self.quartile / self.samples.max(MIN_QUARTILE_SAMPLES);
        self.quartile += if latency < self.quartile {
            -0.75 * step
        } else {
            0.25 * step
        };
    }

    fn has_refusals(&self, settings: &Settings) -> bool {
        self.votes >= settings.min_votes
            && self.long >= settings.min_usual
            && self.fast < settings.ordinary_share * self.short
    }
}
