//! Deduplication of the requests of a flow.
//!
//! A window of recent requests tells new requests from retransmissions. See
//! [requests](../../../docs/design.md#6-requests).

use {
    crate::exchange::{Body, Effect, Token},
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
};

/// EXCHANGE_LIFETIME of RFC 7252: time after which a Message ID may be reused.
pub const EXCHANGE_LIFETIME: Duration = Duration::from_secs(247);

/// Time after which no retransmission of an older request can arrive: MAX_TRANSMIT_SPAN of RFC 7252 (45 s), 5 s for the
/// largest datagram delay and 5 s for views that differ between balancers.
pub const QUARANTINE: Duration = Duration::from_secs(45 + 5 + 5);

/// Longest response body that is transferred to another balancer, so that a handover record fits a datagram.
const MAX_TRANSFERRED_BODY_BYTES: usize = 256;

/// Maximum number of cached responses per flow. A caller has few requests outstanding (NSTART of RFC 7252 is 1).
const MAX_CACHED_RESPONSES: usize = 16;

/// A recent request as it is transferred to another balancer, which then recognizes its retransmissions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "WireMark", into = "WireMark")]
pub struct Mark {
    /// Message ID that the caller chose.
    pub message_id: u16,
    /// Token that the caller chose.
    pub token: Token,
    /// Whether the request is idempotent.
    pub effect: Effect,
    /// Time since the request arrived.
    pub age: Duration,
    /// Whether it has been answered.
    pub state: State,
}

/// Whether a request has been answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// It has not been answered.
    InFlight,
    /// It has been answered; `None` if the response is no longer cached.
    Answered(Option<Body>),
}

#[derive(Deserialize, Serialize)]
struct WireMark(u16, Token, bool, u32, State);

/// Result of looking up a datagram in the window of its flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookupResult {
    /// A request that is not in the window.
    New,
    /// A retransmission of an unanswered request, which first arrived at the given time.
    InFlight(Duration),
    /// A retransmission of an answered request.
    Answered(Body),
    /// A retransmission of an answered request whose response is no longer cached.
    Evicted,
    /// A request with the Message ID of another one and a different token.
    Conflict,
}

/// Limit on the bytes of cached responses of all flows of a balancer.
#[derive(Debug)]
pub struct CacheLimit {
    used: AtomicUsize,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct RecentRequest {
    message_id: u16,
    token: Token,
    effect: Effect,
    arrived: Duration,
    state: State,
}

/// The recent requests of one flow, oldest first.
#[derive(Debug, Default)]
pub struct Window {
    requests: VecDeque<RecentRequest>,
}

impl CacheLimit {
    /// Creates a limit in bytes.
    pub fn new(bytes: usize) -> CacheLimit {
        CacheLimit {
            used: AtomicUsize::new(0),
            bytes,
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: usize) -> bool {
        let used = self.used.fetch_add(bytes, Ordering::Relaxed);
        let fits = used + bytes <= self.bytes;
        if !fits {
            self.release(bytes);
        }
        fits
    }

    fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Window {
    /// Looks up a datagram by its Message ID and token.
    pub fn lookup(&self, message_id: u16, token: Token) -> LookupResult {
        let Some(request) = self.request(message_id) else {
            return LookupResult::New;
        };
        if request.token != token {
            return LookupResult::Conflict;
        }
        match &request.state {
            State::InFlight => LookupResult::InFlight(request.arrived),
            State::Answered(Some(body)) => LookupResult::Answered(body.clone()),
            State::Answered(None) => LookupResult::Evicted,
        }
    }

    /// Adds a request in flight; replaces an earlier one with the same Message ID.
    pub fn insert(&mut self, now: Duration, message_id: u16, token: Token, effect: Effect) {
        self.requests
            .retain(|request| request.message_id != message_id);
        self.requests.push_back(RecentRequest {
            message_id,
            token,
            effect,
            arrived: now,
            state: State::InFlight,
        });
    }

    /// Records the response to a request if it is in the window, and caches it if the limits allow.
    pub fn record_answer(&mut self, message_id: u16, body: &Body, limit: &CacheLimit) {
        self.evict_surplus(limit);
        let Some(request) = self
            .requests
            .iter_mut()
            .find(|one| one.message_id == message_id)
        else {
            return;
        };
        request.evict(limit);
        let is_cached = limit.reserve(body.len());
        request.state = State::Answered(is_cached.then(|| body.clone()));
    }

    /// Removes a request that was dropped, so that its retransmission is treated as new.
    pub fn remove(&mut self, message_id: u16) {
        self.requests
            .retain(|request| request.message_id != message_id);
    }

    /// Removes requests whose Message ID may be reused.
    pub fn expire(&mut self, now: Duration, limit: &CacheLimit) {
        while let Some(request) = self.requests.front_mut()
            && request.arrived + EXCHANGE_LIFETIME <= now
        {
            request.evict(limit);
            self.requests.pop_front();
        }
    }

    /// Removes all requests.
    pub fn clear(&mut self, limit: &CacheLimit) {
        self.requests
            .iter_mut()
            .for_each(|request| request.evict(limit));
        self.requests.clear();
    }

    /// Returns whether the window has no requests.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether the window has requests that a new owner of the flow needs to know.
    pub fn has_marks(&self, now: Duration) -> bool {
        self.requests
            .iter()
            .any(|request| request.must_transfer(now))
    }

    /// Returns the requests that a new owner of the flow needs to recognize retransmissions.
    pub fn marks(&self, now: Duration) -> Vec<Mark> {
        let requests = self
            .requests
            .iter()
            .filter(|request| request.must_transfer(now));
        requests.map(|request| request.mark(now)).collect()
    }

    /// Adds requests that another balancer has seen. A recorded response completes a request that is in flight here.
    pub fn merge(&mut self, now: Duration, marks: Vec<Mark>, limit: &CacheLimit) {
        for mark in marks {
            if self.request(mark.message_id).is_none() {
                let arrived = now.saturating_sub(mark.age);
                self.insert(arrived, mark.message_id, mark.token, mark.effect);
            }
            self.merge_answer(&mark, limit);
        }
        let requests = self.requests.make_contiguous();
        requests.sort_by_key(|request| request.arrived);
    }

    fn merge_answer(&mut self, mark: &Mark, limit: &CacheLimit) {
        let State::Answered(body) = &mark.state else {
            return;
        };
        let mut requests = self.requests.iter_mut();
        let Some(request) = requests.find(|request| request.message_id == mark.message_id) else {
            return;
        };
        if request.token != mark.token || request.state != State::InFlight {
            return;
        }
        match body {
            Some(body) => self.record_answer(mark.message_id, body, limit),
            None => request.state = State::Answered(None),
        }
    }

    fn evict_surplus(&mut self, limit: &CacheLimit) {
        let is_cached = |request: &RecentRequest| matches!(request.state, State::Answered(Some(_)));
        let cached = self
            .requests
            .iter()
            .filter(|request| is_cached(request))
            .count();
        let surplus = (cached + 1).saturating_sub(MAX_CACHED_RESPONSES);
        let requests = self
            .requests
            .iter_mut()
            .filter(|request| is_cached(request));
        requests
            .take(surplus)
            .for_each(|request| request.evict(limit));
    }

    fn request(&self, message_id: u16) -> Option<&RecentRequest> {
        self.requests
            .iter()
            .find(|request| request.message_id == message_id)
    }
}

impl RecentRequest {
    /// Returns whether a new owner has to know the request. Requests that were answered with "did not run" are
    /// transferred for every method, since a late retransmission must not run afterwards.
    fn must_transfer(&self, now: Duration) -> bool {
        let refused = matches!(self.state, State::Answered(Some(Body::NotRun { .. })));
        let in_flight = self.state == State::InFlight;
        let matters = refused || in_flight || self.effect == Effect::NonIdempotent;
        matters && now < self.arrived + QUARANTINE
    }

    fn mark(&self, now: Duration) -> Mark {
        let state = match &self.state {
            State::Answered(Some(body)) if body.len() > MAX_TRANSFERRED_BODY_BYTES => {
                State::Answered(None)
            }
            state => state.clone(),
        };
        Mark {
            message_id: self.message_id,
            token: self.token,
            effect: self.effect,
            age: now.saturating_sub(self.arrived),
            state,
        }
    }

    fn evict(&mut self, limit: &CacheLimit) {
        if let State::Answered(body) = &mut self.state
            && let Some(body) = body.take()
        {
            limit.release(body.len());
        }
    }
}

impl Mark {
    /// Returns an estimate of the encoded size, in bytes.
    pub fn size(&self) -> usize {
        const FIXED_BYTES: usize = 40;
        match &self.state {
            State::Answered(Some(body)) => FIXED_BYTES + body.len(),
            _ => FIXED_BYTES,
        }
    }
}

impl From<WireMark> for Mark {
    fn from(WireMark(message_id, token, is_idempotent, age, state): WireMark) -> Mark {
        let effect = if is_idempotent {
            Effect::Idempotent
        } else {
            Effect::NonIdempotent
        };
        Mark {
            message_id,
            token,
            effect,
            age: Duration::from_millis(age.into()),
            state,
        }
    }
}

impl From<Mark> for WireMark {
    fn from(mark: Mark) -> WireMark {
        let is_idempotent = mark.effect == Effect::Idempotent;
        let age = mark.age.as_millis() as u32;
        WireMark(mark.message_id, mark.token, is_idempotent, age, mark.state)
    }
}
