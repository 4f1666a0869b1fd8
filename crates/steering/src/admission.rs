//! Admission of new flows to a pool whose capacity is insufficient.
//!
//! It is designed for bursts of up to three times the capacity of a pool, in which upstreams would refuse half of the
//! requests that reach them, seen by balancers that carry a sixtieth of the load each. A balancer limits the rate of the
//! requests that it forwards by the responses that pass through it: each refusal lowers the limit and each other response
//! raises it, so that the share of refusals settles at a small target. Requests on open flows are always forwarded;
//! openings get what they leave of the limit, urgent priorities first. See [the design
//! note](../../../docs/design/admission.md).

use {
    crate::{table::Level, tracker::Response},
    rand::{Rng, rngs::SmallRng},
    skylarkflow_policy::id::Map,
    std::{collections::VecDeque, mem, net::IpAddr, time::Duration},
};

/// Number of classes of priorities that the counters tell apart: 0, 1, and all others.
pub const CLASSES: usize = 3;

/// Minimum limit in requests per second, so that there are responses from which the limit can rise.
const MIN_LIMIT: f64 = 1.0;

/// Settings of a [`Controller`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Share of refusals at which the limit stays; below the 0.05 that upstreams may refuse, as the control is not exact.
    pub refusal_target: f64,
    /// Share of refusals from which openings are limited.
    pub refusal_threshold: f64,
    /// Share of late responses from which openings are limited. A few upstreams that are slow, or requests with much
    /// work, do not show a lack of capacity.
    pub late_threshold: f64,
    /// Weight of a late response, relative to a refusal: its request was processed.
    pub late_weight: f64,
    /// Decayed number of refusals or late responses beyond these shares without which openings are not limited, so that
    /// a few by chance limit nothing.
    pub min_evidence: f64,
    /// Number of responses after which earlier ones have lost most of their weight.
    pub memory_responses: f64,
    /// Time after which responses have lost most of their weight, also if few follow.
    pub memory: Duration,
    /// Time constant of the limit: about twice the time from an opening packet to the first acknowledgement of a
    /// response when queues are full, so that the limit does not oscillate.
    pub response_time: Duration,
    /// Time over which the rate of openings and requests is measured.
    pub rate_window: Duration,
    /// Time over which the rate of processed requests is measured; longer, so that its noise does not raise the limit.
    pub processed_window: Duration,
    /// Minimum of the limit, relative to the rate of requests that upstreams have processed, and the part of that rate
    /// up to which the most urgent priority is admitted.
    pub min_processed: f64,
    /// Maximum of the limit, relative to that rate.
    pub max_processed: f64,
    /// First limit, relative to the rate of requests at that time, so that a few refusals by chance reset nothing.
    pub first_limit: f64,
    /// Time without a refusal or late response after which nothing is limited.
    pub hold: Duration,
    /// Part of `hold` after which the limit rises towards the rate of requests.
    pub clean_part: f64,
    /// Number of responses that must have come since the last refusal or late one as well.
    pub clean_responses: u32,
    /// Maximum relative rise of the limit per second.
    pub max_growth: f64,
    /// Minimum admitted share of each priority but the most urgent one.
    pub floor: f64,
    /// Maximum part of the limit that all minimum shares take from more urgent priorities.
    pub floor_budget: f64,
    /// Time for which a caller that was reset is preferred; callers retry within 20 to 100 ms and give up within
    /// seconds.
    pub return_window: Duration,
    /// Maximum number of callers that are remembered as reset.
    pub max_callers: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            refusal_target: 0.04,
            refusal_threshold: 0.05,
            late_threshold: 0.2,
            late_weight: 0.1,
            min_evidence: 4.0,
            memory_responses: 256.0,
            memory: Duration::from_secs(1),
            response_time: Duration::from_millis(200),
            rate_window: Duration::from_millis(200),
            processed_window: Duration::from_secs(1),
            min_processed: 0.8,
            max_processed: 1.25,
            first_limit: 1.2,
            hold: Duration::from_millis(1_500),
            clean_part: 0.5,
            clean_responses: 20,
            max_growth: 1.0,
            floor: 0.05,
            floor_budget: 0.05,
            return_window: Duration::from_secs(3),
            max_callers: 1_024,
        }
    }
}

/// What a response shows about the capacity of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request was processed in time.
    Served,
    /// The request was processed, but not within the target latency.
    Late,
    /// The request was refused, or its response came after its caller had given up.
    Refused,
}

impl Outcome {
    /// Returns the outcome of a request whose response has the size of a refusal if `is_refusal`.
    pub fn new(response: &Response, level: &Level, is_refusal: bool) -> Outcome {
        let is_beyond =
            |limit: Option<Duration>| limit.is_some_and(|limit| response.latency > limit);
        if is_refusal || is_beyond(level.timeout) {
            Outcome::Refused
        } else if is_beyond(level.target_latency) {
            Outcome::Late
        } else {
            Outcome::Served
        }
    }
}

/// Decides which openings a pool gets.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    responses: Responses,
    /// Requests per second that are forwarded, on open flows and new ones; `None` while nothing is limited.
    limit: Option<f64>,
    /// Time up to which the limit has been raised for the lack of evidence.
    raised_until: Duration,
    last_evidence: Option<Duration>,
    /// Responses since the last refusal or late one.
    clean_responses: u32,
    /// Requests that were processed.
    processed: Rate,
    /// The same over the shorter window.
    processed_last: Rate,
    /// Priorities that were seen, the most urgent one first.
    priorities: Vec<Priority>,
    callers: Callers,
    counts: Counts,
    /// Whether the last call of [`Controller::take_change`] found openings limited.
    was_limiting: bool,
}

/// Numbers since the last [`Controller::take_counts`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Openings that were reset, by class of priority.
    pub resets: [u64; CLASSES],
    /// Responses that were refusals.
    pub refusals: u64,
}

impl Counts {
    /// Adds other numbers.
    pub fn add(&mut self, other: &Counts) {
        for (sum, count) in self.resets.iter_mut().zip(other.resets) {
            *sum += count;
        }
        self.refusals += other.refusals;
    }
}

/// Decayed numbers of recent responses.
#[derive(Clone, Copy, Debug, Default)]
struct Responses {
    at: Duration,
    all: f64,
    refused: f64,
    late: f64,
}

/// Openings of one priority.
#[derive(Clone, Copy, Debug)]
struct Priority {
    number: u32,
    offered: Rate,
    /// Part of `offered` that came from callers that had been reset.
    returning: Rate,
    /// Requests on open flows.
    continued: Rate,
}

/// Rate of events, weighted exponentially by age.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    at: Duration,
    count: f64,
}

/// Callers that were reset recently.
#[derive(Debug, Default)]
struct Callers {
    reset_at: Map<IpAddr, Duration>,
    order: VecDeque<(Duration, IpAddr)>,
}

impl Controller {
    /// Creates a controller that admits everything.
    pub fn new(settings: Settings) -> Controller {
        Controller {
            settings,
            responses: Responses::default(),
            limit: None,
            raised_until: Duration::ZERO,
            last_evidence: None,
            clean_responses: 0,
            processed: Rate::default(),
            processed_last: Rate::default(),
            priorities: Vec::new(),
            callers: Callers::default(),
            counts: Counts::default(),
            was_limiting: false,
        }
    }

    /// Returns whether openings are limited.
    pub fn is_limiting(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns the numbers since the last call and clears them.
    pub fn take_counts(&mut self) -> Counts {
        mem::take(&mut self.counts)
    }

    /// Returns whether openings are limited, if that has changed since the last call.
    pub fn take_change(&mut self) -> Option<bool> {
        let is_limiting = self.is_limiting();
        let has_changed = is_limiting != self.was_limiting;
        self.was_limiting = is_limiting;
        has_changed.then_some(is_limiting)
    }

    /// Returns the shares of openings that are admitted, by priority, the least urgent one first.
    pub fn shares(&self, now: Duration) -> Vec<(u32, f64)> {
        let numbers = self.priorities.iter().rev().map(|priority| priority.number);
        numbers
            .map(|number| (number, self.share(now, number)))
            .collect()
    }

    /// Stops limiting if no evidence of overload is left; to be called periodically.
    pub fn tick(&mut self, now: Duration) {
        let settings = self.settings;
        let is_recent = |at: Duration| now < at + settings.hold;
        if !self.last_evidence.is_some_and(is_recent) {
            self.limit = None;
        }
        self.callers.expire(now, &settings);
        self.advance(now);
    }

    /// Records a response.
    pub fn observe(&mut self, now: Duration, outcome: Outcome) {
        let settings = self.settings;
        self.tick(now);
        self.responses.record(now, &settings, outcome);
        if outcome == Outcome::Served {
            self.clean_responses = self.clean_responses.saturating_add(1);
        } else {
            self.clean_responses = 0;
            self.last_evidence = Some(now);
            self.counts.refusals += u64::from(outcome == Outcome::Refused);
        }
        if outcome != Outcome::Refused {
            self.processed.record(now, settings.processed_window);
            self.processed_last.record(now, settings.rate_window);
        }
        let offered = self.offered(now);
        if self.limit.is_none() && self.responses.show_overload(&settings) {
            self.limit = Some(settings.first_limit * offered);
        }
        if let Some(limit) = &mut self.limit {
            let change = match outcome {
                Outcome::Served => settings.refusal_target / (1.0 - settings.refusal_target),
                Outcome::Late => -settings.late_weight,
                Outcome::Refused => -1.0,
            };
            *limit += change / settings.response_time.as_secs_f64();
        }
        self.clamp(now, offered);
    }

    /// Records a request on an open flow, which is forwarded in any case.
    pub fn record_continued(&mut self, now: Duration, priority: u32) {
        let window = self.settings.rate_window;
        self.priority(priority).continued.record(now, window);
    }

    /// Decides about an opening packet; `false` if the flow is to be reset.
    pub fn admit(
        &mut self,
        now: Duration,
        priority: u32,
        caller: IpAddr,
        rng: &mut SmallRng,
    ) -> bool {
        let settings = self.settings;
        self.tick(now);
        let is_returning = self.callers.contains(&caller);
        let window = settings.rate_window;
        let entry = self.priority(priority);
        entry.offered.record(now, window);
        if is_returning {
            entry.returning.record(now, window);
        }
        let share = self.share(now, priority);
        if share >= 1.0 {
            return true;
        }
        let share = self.share_of_caller(now, priority, share, is_returning);
        let is_admitted = rng.random::<f64>() < share;
        if is_admitted {
            self.callers.remove(&caller);
        } else {
            self.callers.insert(now, caller, &settings);
            self.counts.resets[class(priority)] += 1;
        }
        is_admitted
    }

    /// Returns the share of the openings of a priority that is admitted.
    fn share(&self, now: Duration, number: u32) -> f64 {
        let Some(limit) = self.limit else {
            return 1.0;
        };
        let window = self.settings.rate_window;
        let rate = |priority: &Priority| priority.offered.per_second(now, window);
        let continued = |priority: &Priority| priority.continued.per_second(now, window);
        let all_continued: f64 = self.priorities.iter().map(continued).sum();
        let room = (limit - all_continued).max(0.0);
        let less_urgent: f64 = self.priorities.iter().skip(1).map(rate).sum();
        let floor = if less_urgent > 0.0 {
            // A priority that has open flows is not starved, and each opening leads to several requests on its flow.
            let served: f64 = self.priorities.iter().skip(1).map(continued).sum();
            let budget = (self.settings.floor_budget * limit - served).max(0.0);
            self.settings.floor.min(budget / less_urgent)
        } else {
            0.0
        };
        // Requests on open flows of less urgent priorities do not keep out the most urgent one.
        let first = self.priorities.first().map_or(0.0, continued);
        let room = room - floor * less_urgent;
        let known = self.settings.min_processed * self.processed_recently(now);
        let mut rest = room.max(known - first);
        for (index, priority) in self.priorities.iter().enumerate() {
            let floor = if index == 0 { 0.0 } else { floor };
            let wanted = rate(priority) * (1.0 - floor);
            if priority.number == number {
                let share = if wanted > rest {
                    rest.max(0.0) / wanted
                } else {
                    1.0
                };
                return floor + share * (1.0 - floor);
            }
            rest = if index == 0 { room } else { rest } - wanted;
        }
        1.0
    }

    /// Returns the share for one caller of a priority: callers that were reset before get up to twice the share of the
    /// others, such that the share of all of them stays as it is.
    fn share_of_caller(&self, now: Duration, number: u32, share: f64, is_returning: bool) -> f64 {
        let window = self.settings.rate_window;
        let entry = self.priorities.iter().find(|entry| entry.number == number);
        let part = entry.map_or(0.0, |entry| {
            entry.returning.per_second(now, window) / entry.offered.per_second(now, window)
        });
        let part = part.clamp(0.0, 1.0);
        // New callers keep half of the share at least.
        let most = if part > 0.0 {
            share * (1.0 + part) / (2.0 * part)
        } else {
            1.0
        };
        let preferred = (2.0 * share).min(most).min(1.0).max(share);
        if is_returning {
            preferred
        } else if part < 1.0 {
            (share - part * preferred) / (1.0 - part)
        } else {
            share
        }
    }

    /// Raises the limit for the time without evidence of overload.
    fn advance(&mut self, now: Duration) {
        let settings = self.settings;
        let elapsed = now.saturating_sub(self.raised_until).as_secs_f64();
        self.raised_until = self.raised_until.max(now);
        let offered = self.offered(now);
        let Some(limit) = &mut self.limit else {
            return;
        };
        let clean_time = now.saturating_sub(self.last_evidence.unwrap_or_default());
        let is_clean = clean_time >= settings.hold.mul_f64(settings.clean_part)
            && self.clean_responses >= settings.clean_responses;
        if is_clean && *limit < offered {
            // Everything is admitted at the end of the hold; the limit is to be close to that by then.
            let remaining = settings.hold.saturating_sub(clean_time).as_secs_f64();
            let growth = (offered / *limit).ln() / remaining.max(elapsed);
            *limit *= (growth.min(settings.max_growth) * elapsed).exp();
        }
        self.clamp(now, offered);
    }

    /// Keeps the limit within a range from which it takes effect or can be lifted quickly.
    fn clamp(&mut self, now: Duration, offered: f64) {
        let least = self.guaranteed(now).max(MIN_LIMIT);
        let most = self.settings.max_processed * self.processed_recently(now);
        if let Some(limit) = &mut self.limit {
            *limit = limit.min(1.5 * offered).min(most).max(least);
        }
    }

    /// Returns the rate of requests that upstreams are known to process.
    fn guaranteed(&self, now: Duration) -> f64 {
        let settings = &self.settings;
        settings.min_processed * self.processed_recently(now)
    }

    /// Returns the rate of requests that upstreams have processed, or that of the last moments if it is higher.
    fn processed_recently(&self, now: Duration) -> f64 {
        let settings = &self.settings;
        let recent = self.processed_last.per_second(now, settings.rate_window);
        self.processed
            .per_second(now, settings.processed_window)
            .max(recent)
    }

    /// Returns the rate of requests that callers send or ask for.
    fn offered(&self, now: Duration) -> f64 {
        let window = self.settings.rate_window;
        let rates = self.priorities.iter();
        let rates = rates.flat_map(|priority| [&priority.offered, &priority.continued]);
        rates.map(|rate| rate.per_second(now, window)).sum()
    }

    fn priority(&mut self, number: u32) -> &mut Priority {
        let found = self
            .priorities
            .binary_search_by_key(&number, |entry| entry.number);
        let index = found.unwrap_or_else(|index| {
            let entry = Priority {
                number,
                offered: Rate::default(),
                returning: Rate::default(),
                continued: Rate::default(),
            };
            self.priorities.insert(index, entry);
            index
        });
        &mut self.priorities[index]
    }
}

/// Returns the class of a priority in [`Counts`].
fn class(priority: u32) -> usize {
    usize::try_from(priority).map_or(CLASSES - 1, |class| class.min(CLASSES - 1))
}

impl Responses {
    fn record(&mut self, now: Duration, settings: &Settings, outcome: Outcome) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let decay = (-elapsed / settings.memory.as_secs_f64()).exp()
            * (1.0 - 1.0 / settings.memory_responses);
        self.at = self.at.max(now);
        self.all = self.all * decay + 1.0;
        self.refused = self.refused * decay + f64::from(u8::from(outcome == Outcome::Refused));
        self.late = self.late * decay + f64::from(u8::from(outcome == Outcome::Late));
    }

    fn show_overload(&self, settings: &Settings) -> bool {
        let is_above = |count: f64, share: f64| count >= settings.min_evidence + share * self.all;
        is_above(self.refused, settings.refusal_threshold)
            || is_above(self.late + self.refused, settings.late_threshold)
    }
}

impl Rate {
    fn record(&mut self, now: Duration, window: Duration) {
        self.count = self.decayed(now, window) + 1.0;
        self.at = self.at.max(now);
    }

    fn per_second(&self, now: Duration, window: Duration) -> f64 {
        self.decayed(now, window) / window.as_secs_f64()
    }

    fn decayed(&self, now: Duration, window: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-elapsed / window.as_secs_f64()).exp()
    }
}

impl Callers {
    fn contains(&self, caller: &IpAddr) -> bool {
        self.reset_at.contains_key(caller)
    }

    fn insert(&mut self, now: Duration, caller: IpAddr, settings: &Settings) {
        // A caller that is reset again keeps its place, so that each has one entry in the order.
        if self.contains(&caller) || settings.max_callers == 0 {
            return;
        }
        if self.order.len() >= settings.max_callers {
            self.remove_oldest();
        }
        self.reset_at.insert(caller, now);
        self.order.push_back((now, caller));
    }

    fn remove(&mut self, caller: &IpAddr) {
        self.reset_at.remove(caller);
    }

    fn remove_oldest(&mut self) {
        if let Some((at, caller)) = self.order.pop_front()
            && self.reset_at.get(&caller) == Some(&at)
        {
            self.reset_at.remove(&caller);
        }
    }

    fn expire(&mut self, now: Duration, settings: &Settings) {
        while let Some((at, _)) = self.order.front()
            && now >= *at + settings.return_window
        {
            self.remove_oldest();
        }
    }
}
