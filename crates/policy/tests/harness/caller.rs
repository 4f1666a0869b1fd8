//! Callers that follow the retransmission rules of RFC 7252.

use {
    super::{FABRIC, Request, SimEvent, Simulation, acknowledgement},
    rand::Rng,
    skylarkflow_policy::{
        balancer::Event,
        exchange::{self, Body, Effect, Kind, Reply, Token},
        flow::Key,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Result of a request from the point of view of its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestResult {
    Answered,
    NotRun,
    Unknown,
    /// No reply arrived before the caller stopped waiting.
    NoAnswer,
}

/// A caller with one flow and at most one request at a time.
pub struct Caller {
    pub key: Key,
    pub message_id: u16,
    pub current: Option<Current>,
    /// Upstream that ran the latest request.
    pub upstream: Option<SocketAddr>,
}

/// The request that a caller waits for.
#[derive(Clone)]
pub struct Current {
    pub id: u64,
    pub request: exchange::Request,
    pub timeout: Duration,
    pub attempts: u32,
    pub is_acknowledged: bool,
}

/// MAX_TRANSMIT_WAIT of RFC 7252: the time after which a caller stops waiting for a reply.
const MAX_TRANSMIT_WAIT: Duration = Duration::from_secs(93);

impl Simulation {
    pub fn add_caller(&mut self, key: Key) {
        let caller = self.callers.len();
        self.callers.push(Caller {
            key,
            message_id: self.rng.random(),
            current: None,
            upstream: None,
        });
        let at = self.now + self.think_time.mul_f64(self.rng.random_range(0.0..2.0));
        self.schedule(at, SimEvent::SendRequest { caller });
    }

    pub fn send_request(&mut self, caller: usize) {
        if self.now >= self.stop_at {
            return;
        }
        if self.now < self.requests_suspended_until {
            let pause = self.think_time.mul_f64(self.rng.random_range(0.2..1.8));
            return self.schedule(
                self.requests_suspended_until + pause,
                SimEvent::SendRequest { caller },
            );
        }
        let id = self.requests.len() as u64 + 1;
        let effect = if self.rng.random_bool(self.non_idempotent_share) {
            Effect::NonIdempotent
        } else {
            Effect::Idempotent
        };
        let timeout = Duration::from_secs(2).mul_f64(self.rng.random_range(1.0..1.5));
        let one = &mut self.callers[caller];
        one.message_id = one.message_id.wrapping_add(1);
        one.current = Some(Current {
            id,
            request: exchange::Request {
                kind: Kind::Confirmable,
                message_id: one.message_id,
                token: Token::from(id),
                effect,
                class: 0,
                bytes: id.to_be_bytes().to_vec(),
            },
            timeout,
            attempts: 0,
            is_acknowledged: false,
        });
        let request = Request {
            caller,
            effect,
            runs: 0,
            refusals: 0,
            dispatches: 0,
            transmissions: 0,
            result: None,
            reported_not_run: false,
        };
        self.requests.insert(id, request);
        self.retransmit(caller, id);
        self.schedule(
            self.now + MAX_TRANSMIT_WAIT,
            SimEvent::RequestTimeout { caller, id },
        );
    }

    pub fn retransmit(&mut self, caller: usize, id: u64) {
        let one = &mut self.callers[caller];
        let key = one.key;
        let Some(current) = one.current.as_mut().filter(|current| current.id == id) else {
            return;
        };
        if current.is_acknowledged || current.attempts > exchange::MAX_RETRANSMIT {
            return;
        }
        current.attempts += 1;
        let wait = current.timeout;
        current.timeout *= 2;
        let event = Event::Request {
            fabric: FABRIC.parse().unwrap(),
            key,
            request: current.request.clone(),
        };
        self.schedule(self.now + wait, SimEvent::Retransmit { caller, id });
        self.count_transmission(key, id);
        self.send_via_fabric(event);
    }

    /// Sends a datagram of a caller through the fabric, which delivers it to a random balancer.
    pub fn send_via_fabric(&mut self, event: Event) {
        if self.fabric.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.fabric.len());
        let to = self.fabric[index];
        self.transmit(SimEvent::CallerDatagram { to, event, hops: 0 });
    }

    /// Counts a transmission, and compares with a balancer that selects the upstream by the hash of the flow alone and
    /// keeps no state.
    fn count_transmission(&mut self, key: Key, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.transmissions += 1;
        }
        let index = self.rng.random_range(0..self.fabric.len().max(1));
        let Some(balancer) = self.fabric.get(index).and_then(|id| self.balancers.get(id)) else {
            return;
        };
        let tables = balancer.core.tables();
        let chosen = tables.routes.get(&key.service).and_then(|route| {
            let pool = tables.pools.get(&route.pool_id())?;
            let upstream = pool.upstream(pool.table.get(key.hash())?)?;
            Some(upstream.address)
        });
        let Some(chosen) = chosen else {
            return;
        };
        let former = self.plain_hash_upstreams.insert(key, chosen);
        if former.is_some_and(|former| former != chosen && self.is_in_service(former, &key)) {
            self.plain_hash_broken_flows.insert(key);
        }
    }

    pub fn receive_reply(&mut self, caller: usize, reply: Reply) {
        let key = self.callers[caller].key;
        if reply.kind == Kind::Confirmable {
            self.send_via_fabric(acknowledgement(key, reply.message_id));
        }
        let Some(current) = &mut self.callers[caller].current else {
            return;
        };
        if reply.body == Body::Empty {
            current.is_acknowledged |= reply.message_id == current.request.message_id;
            return;
        }
        if reply.token != current.request.token {
            return;
        }
        let id = current.id;
        let result = match &reply.body {
            Body::Answer(bytes) => {
                if bytes[..] != id.to_be_bytes() {
                    self.increment("wrong responses");
                }
                RequestResult::Answered
            }
            Body::NotRun { .. } => RequestResult::NotRun,
            Body::Unknown | Body::Empty => RequestResult::Unknown,
        };
        self.finish_request(caller, id, result);
    }

    pub fn time_out_request(&mut self, caller: usize, id: u64) {
        let current = &self.callers[caller].current;
        if current.as_ref().is_some_and(|current| current.id == id) {
            self.finish_request(caller, id, RequestResult::NoAnswer);
        }
    }

    fn finish_request(&mut self, caller: usize, id: u64, result: RequestResult) {
        self.callers[caller].current = None;
        if let Some(request) = self.requests.get_mut(&id) {
            request.result = Some(result);
            request.reported_not_run |= result == RequestResult::NotRun;
        }
        self.increment(match result {
            RequestResult::Answered => "answered",
            RequestResult::NotRun => "did not run",
            RequestResult::Unknown => "outcome unknown",
            RequestResult::NoAnswer => "no answer",
        });
        let at = self.now + self.think_time.mul_f64(self.rng.random_range(0.2..1.8));
        self.schedule(at, SimEvent::SendRequest { caller });
    }
}
