//! Detection of refusals by the size of responses.
//!
//! It is designed for upstreams with a bounded queue that refuse requests under peak load with a short response of
//! nearly constant size, on flows that stay open. The balancer does not see the response, only how many bytes of it the
//! caller acknowledges. A response counts as a refusal if it has the size of the shortest responses of its route, and
//! most of the other responses are much longer. If the usual responses of a route are as short, or of many short sizes,
//! nothing is taken for a refusal.

use {skylarkflow_policy::id::Map, std::net::SocketAddr};

/// Decayed number of the shortest responses below which a route is learned anew.
const FORGOTTEN: f64 = 0.001;

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
    /// Decayed number of responses that are longer, but not long enough to be usual ones beside refusals.
    medium: f64,
    /// Decayed number of responses that are much longer.
    long: f64,
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
    pub fn is_refusal(&mut self, service: SocketAddr, bytes: u32) -> bool {
        let settings = self.settings;
        if !self.routes.contains_key(&service) && self.routes.len() >= settings.max_routes {
            return false;
        }
        let sizes = self.routes.entry(service).or_default();
        sizes.record(&settings, bytes);
        sizes.has_refusals(&settings) && bytes <= sizes.shortest + settings.max_deviation
    }

    /// Forgets routes for which `is_routed` returns `false`.
    pub fn retain(&mut self, is_routed: impl Fn(&SocketAddr) -> bool) {
        self.routes.retain(|service, _| is_routed(service));
    }
}

impl Sizes {
    fn record(&mut self, settings: &Settings, bytes: u32) {
        let decay = 1.0 - 1.0 / settings.memory;
        self.short *= decay;
        self.medium *= decay;
        self.long *= decay;
        if self.short < FORGOTTEN {
            // The first response, or the shortest ones have not been seen for so long that they say nothing now.
            *self = Sizes {
                shortest: bytes,
                ..Sizes::default()
            };
        }
        if bytes + settings.max_deviation < self.shortest {
            // Everything so far is longer than this response.
            let is_long = f64::from(self.shortest) >= f64::from(bytes) * settings.min_ratio;
            let longer = self.short + self.medium;
            *self = Sizes {
                shortest: bytes,
                short: 1.0,
                medium: if is_long { 0.0 } else { longer },
                long: if is_long {
                    longer + self.long
                } else {
                    self.long
                },
            };
        } else if bytes <= self.shortest + settings.max_deviation {
            self.shortest = self.shortest.min(bytes);
            self.short += 1.0;
        } else if f64::from(bytes) >= f64::from(self.shortest) * settings.min_ratio {
            self.long += 1.0;
        } else {
            self.medium += 1.0;
        }
    }

    fn has_refusals(&self, settings: &Settings) -> bool {
        self.long >= settings.min_usual && self.medium < 0.1 * self.long
    }
}
