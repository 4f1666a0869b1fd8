//! Classification of requests as short or long from measured service times.
//!
//! A few requests run many times longer than the rest. The class of a request (its method and path prefix) predicts
//! its service time, so that long requests need not be configured. See [requests](../../../docs/design.md#6-requests).

use {crate::id::Map, std::time::Duration};

/// Lower bound of the latency without load. Shorter latencies vary several-fold due to thread scheduling, which the
/// adaptive limit would take for overload.
pub const MIN_NO_LOAD_SECONDS: f64 = 1e-3;

/// Number of buckets of a histogram. Two buckets per doubling cover 1 ms to over an hour.
const BUCKETS: usize = 44;

/// Buckets for each doubling of the service time.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Lower bound of the histogram's first bucket.
const MIN_HISTOGRAM_SECONDS: f64 = 0.001;

/// Settings of an [`Estimator`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Half-life of the weight of a sample.
    pub half_life: Duration,
    /// A class becomes long when its median reaches this multiple of the median of all requests.
    pub long_above: f64,
    /// A long class becomes short below this multiple. The hysteresis keeps a class from changing with every sample.
    pub short_below: f64,
    /// Total weight of samples that a class needs before it can become long or short.
    pub min_samples: f64,
    /// Maximum number of tracked classes, which bounds the memory that callers can occupy with arbitrary paths.
    pub max_classes: usize,
    /// Relative growth of the latency without load per second without a lower sample.
    pub baseline_rise_per_second: f64,
}

/// Whether a request is expected to hold a slot for a short or a long time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RequestKind {
    /// Queued with priority.
    #[default]
    Short,
    /// Limited to all slots but one.
    Long,
}

/// Service times of one pool, per class of request.
#[derive(Clone, Debug)]
pub struct Estimator {
    settings: Settings,
    all: Histogram,
    classes: Map<u64, Class>,
    baselines: [Baseline; 2],
}

#[derive(Clone, Debug)]
struct Class {
    histogram: Histogram,
    kind: RequestKind,
}

#[derive(Clone, Debug)]
struct Histogram {
    weights: [f32; BUCKETS],
    total: f32,
    decayed: Duration,
}

/// Estimate of the latency without load: the lowest mean of recent groups of samples. Service times vary, so that a
/// single lowest sample would be misleading.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    lowest: Option<f64>,
    sum: f64,
    count: u32,
    updated: Duration,
}

/// Samples in one group of a [`Baseline`].
const BASELINE_SAMPLES: u32 = 32;

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            half_life: Duration::from_secs(60),
            long_above: 8.0,
            short_below: 4.0,
            min_samples: 4.0,
            max_classes: 1_024,
            baseline_rise_per_second: 0.005,
        }
    }
}

impl RequestKind {
    /// Returns the index of the kind in arrays with one item per kind.
    pub fn index(self) -> usize {
        self as usize
    }
}

impl Estimator {
    /// Creates an estimator without samples; all classes are short.
    pub fn new(settings: Settings) -> Estimator {
        Estimator {
            settings,
            all: Histogram::default(),
            classes: Map::default(),
            baselines: Default::default(),
        }
    }

    /// Records the time between the dispatch of a request and its answer.
    pub fn observe(&mut self, now: Duration, class: u64, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let settings = self.settings;
        self.all.add(now, seconds, settings.half_life);
        if self.classes.len() >= settings.max_classes && !self.classes.contains_key(&class) {
            return;
        }
        let entry = self.classes.entry(class).or_default();
        entry.histogram.add(now, seconds, settings.half_life);
        entry.update_kind(&settings, self.all.median());
        self.baselines[entry.kind.index()].add(now, seconds, settings.baseline_rise_per_second);
    }

    /// Returns whether requests of a class are short or long; an unknown class is short.
    pub fn kind(&self, class: u64) -> RequestKind {
        self.classes
            .get(&class)
            .map_or(RequestKind::Short, |class| class.kind)
    }

    /// Returns the mean latency without load, in seconds and at least [`MIN_NO_LOAD_SECONDS`], or `None` before the
    /// first group of samples is complete.
    pub fn no_load_latency(&self, kind: RequestKind) -> Option<f64> {
        let lowest = self.baselines[kind.index()].lowest;
        lowest.map(|seconds| seconds.max(MIN_NO_LOAD_SECONDS))
    }
}

impl Default for Class {
    fn default() -> Class {
        Class {
            histogram: Histogram::default(),
            kind: RequestKind::Short,
        }
    }
}

impl Class {
    fn update_kind(&mut self, settings: &Settings, pool_median: f64) {
        if f64::from(self.histogram.total) < settings.min_samples {
            return;
        }
        let ratio = self.histogram.median() / pool_median;
        self.kind = match self.kind {
            RequestKind::Short if ratio >= settings.long_above => RequestKind::Long,
            RequestKind::Long if ratio < settings.short_below => RequestKind::Short,
            kind => kind,
        };
    }
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram {
            weights: [0.0; BUCKETS],
            total: 0.0,
            decayed: Duration::ZERO,
        }
    }
}

impl Histogram {
    /// Minimum time between two decays of the weights, as a fraction of the half-life.
    const DECAY_STEP: f64 = 1.0 / 16.0;

    fn add(&mut self, now: Duration, seconds: f64, half_life: Duration) {
        self.decay(now, half_life);
        let doublings = (seconds / MIN_HISTOGRAM_SECONDS).max(1.0).log2();
        let bucket = (doublings * BUCKETS_PER_DOUBLING) as usize;
        self.weights[bucket.min(BUCKETS - 1)] += 1.0;
        self.total += 1.0;
    }

    fn decay(&mut self, now: Duration, half_life: Duration) {
        let age = now.saturating_sub(self.decayed);
        if age < half_life.mul_f64(Histogram::DECAY_STEP) {
            return;
        }
        let factor = 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64()) as f32;
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.total = self.weights.iter().sum();
        self.decayed = now;
    }

    fn median(&self) -> f64 {
        let mut below = 0.0;
        let mut bucket = 0;
        for (index, weight) in self.weights.iter().enumerate() {
            bucket = index;
            below += weight;
            if below * 2.0 >= self.total {
                break;
            }
        }
        MIN_HISTOGRAM_SECONDS * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
    }
}

impl Baseline {
    fn add(&mut self, now: Duration, seconds: f64, baseline_rise_per_second: f64) {
        self.sum += seconds;
        self.count += 1;
        if self.count < BASELINE_SAMPLES {
            return;
        }
        let mean = self.sum / f64::from(self.count);
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let risen = self
            .lowest
            .map(|lowest| lowest * (1.0 + baseline_rise_per_second * age));
        self.lowest = Some(risen.map_or(mean, |risen| risen.min(mean)));
        self.sum = 0.0;
        self.count = 0;
        self.updated = now;
    }
}
