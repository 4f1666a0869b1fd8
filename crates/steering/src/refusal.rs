//! Detection of refusals by the size of responses.
//!
//! It is designed for upstreams with a bounded queue that refuse requests under peak load with a short response of
//! nearly constant size, on flows that stay open. The balancer does not see the response, only how many bytes of it the
//! caller acknowledges. A response counts as a refusal if it has the size of the shortest responses of its route, and
//! most of the other responses are much longer. If the usual responses of a route are as short, or of many short sizes,
//! nothing is taken for a refusal. Nor is a short response of a route whose short responses often come as fast as its
//! fastest ones: an upstream waits before it refuses a request, so these are ordinary, such as that an object does not
//! exist.

use {crate::tracker::Response, skylarkflow_policy::id::Map, std::net::SocketAddr};

/// Decayed number of the shortest responses below which a route is learned anew.
const FORGOTTEN: f64 = 0.001;

/// Number of responses over which the quartile of latencies is estimated: long enough that a burst of seconds, in which
/// all responses wait, moves it little.
const QUARTILE_SAMPLES: f64 = 10_000.0;

/// Number of responses that the first ones weigh as much as.
const MIN_QUARTILE_SAMPLES: f64 = 20.0;

/// Settings of a [`Detector`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum difference between two refusals, in bytes; a refusal contains a number or two of varying length.
    pub max_deviation: u32,
    /// Minimum size of a usual response, relative to a refusal. Refusals have 188 or 189 bytes, successful responses 700
    /// or more.
    pub min_ratio: f64,
    /// Number of usual responses without which nothing is taken for a refusal.
    pub min_usual: f64,
    /// Maximum latency of a fast response, relative to the latency that a quarter of the usual responses stay below while
    /// there is room.
    pub fast_latency: f64,
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
            max_deviation: 4,
            min_ratio: 2.5,
            min_usual: 8.0,
            fast_latency: 1.2,
            ordinary_share: 0.1,
            memory: 2_000.0,
            max_routes: 1_024,
        }
    }
}

/// Sizes of the recent responses of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Sizes {
    /// Size of the shortest responses, in bytes.
    shortest: u32,
    /// Decayed number of responses of about that size.
    short: f64,
    /// Decayed number of those that were fast.
    fast: f64,
    /// Decayed number of responses that are longer, but not long enough to be usual ones beside refusals.
    medium: f64,
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
        sizes.has_refusals(&settings) && sizes.is_short(&settings, response.bytes)
    }

    /// Forgets routes for which `is_routed` returns `false`.
    pub fn retain(&mut self, is_routed: impl Fn(&SocketAddr) -> bool) {
        self.routes.retain(|service, _| is_routed(service));
    }
}

impl Sizes {
    fn is_short(&self, settings: &Settings, bytes: u32) -> bool {
        bytes <= self.shortest + settings.max_deviation
    }

    fn record(&mut self, settings: &Settings, response: &Response) {
        let bytes = response.bytes;
        let latency = response.latency.as_secs_f64();
        let decay = 1.0 - 1.0 / settings.memory;
        for count in [
            &mut self.short,
            &mut self.fast,
            &mut self.medium,
            &mut self.long,
        ] {
            *count *= decay;
        }
        if self.short < FORGOTTEN {
            // The first response, or the shortest ones have not been seen for so long that they say nothing now.
            *self = Sizes {
                shortest: bytes,
                quartile: self.quartile,
                samples: self.samples,
                ..Sizes::default()
            };
        }
        if bytes + settings.max_deviation < self.shortest {
            self.begin_shorter(settings, bytes);
        }
        let is_short = self.is_short(settings, bytes);
        if !is_short || self.long < 1.0 {
            self.record_latency(latency);
        }
        if is_short {
            self.shortest = self.shortest.min(bytes);
            self.short += 1.0;
            self.fast += f64::from(u8::from(latency <= self.quartile * settings.fast_latency));
        } else if f64::from(bytes) >= f64::from(self.shortest) * settings.min_ratio {
            self.long += 1.0;
        } else {
            self.medium += 1.0;
        }
    }

    /// Makes responses of `bytes` the short ones; everything so far is longer.
    fn begin_shorter(&mut self, settings: &Settings, bytes: u32) {
        let is_long = f64::from(self.shortest) >= f64::from(bytes) * settings.min_ratio;
        let longer = self.short + self.medium;
        *self = Sizes {
            shortest: bytes,
            medium: if is_long { 0.0 } else { longer },
            long: if is_long {
                longer + self.long
            } else {
                self.long
            },
            ..*self
        };
        self.short = 0.0;
        self.fast = 0.0;
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
        self.long >= settings.min_usual
            && self.medium < settings.ordinary_share * self.long
            && self.fast < settings.ordinary_share * self.short
    }
}
