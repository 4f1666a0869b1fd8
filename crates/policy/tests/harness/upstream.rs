//! Simulated upstreams.

use {
    super::{SimEvent, Simulation},
    rand::Rng,
    skylarkflow_policy::{
        VmId,
        balancer::{Action, Event},
        exchange::{Kind, Outcome, Response, Token},
        flow::Key,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// An upstream that deduplicates requests by Message ID, as RFC 7252 requires.
#[derive(Debug)]
pub struct Server {
    pub service: String,
    pub slots: usize,
    /// Upper limit of the random service time.
    pub max_service_time: Duration,
    /// Share of requests that are refused at random.
    pub shed: f64,
    pub down_until: Duration,
    /// New flows that open here more than 3 s after this time are counted as an error. It is the time of the drain, or
    /// later if tables reach balancers with a skew of more than 3 s.
    pub draining_since: Option<Duration>,
    running_requests: usize,
    jobs: BTreeMap<(VmId, u64), Job>,
    /// Token of each dispatch, by balancer and Message ID.
    tokens_by_message_id: BTreeMap<(VmId, u16), u64>,
}

#[derive(Debug)]
struct Job {
    message_id: u16,
    id: u64,
    response: Option<Response>,
    /// Transmissions of a separate response.
    transmissions: u32,
}

/// Service time above which an upstream acknowledges the request with an empty message and sends a separate response.
const SEPARATE_RESPONSE_AFTER: Duration = Duration::from_millis(800);

impl Server {
    pub fn new(service: &str, slots: usize, max_service_time: Duration) -> Server {
        Server {
            service: service.to_owned(),
            slots,
            max_service_time,
            shed: 0.0,
            down_until: Duration::ZERO,
            draining_since: None,
            running_requests: 0,
            jobs: BTreeMap::new(),
            tokens_by_message_id: BTreeMap::new(),
        }
    }

    /// Drops all state, as a restart of the process does.
    pub fn restart(&mut self, until: Duration) {
        self.down_until = until;
        self.running_requests = 0;
        self.jobs.clear();
        self.tokens_by_message_id.clear();
    }
}

impl Simulation {
    /// Returns whether an upstream is up and belongs to the pool that serves a flow.
    pub fn is_in_service(&self, address: SocketAddr, key: &Key) -> bool {
        let now = self.now;
        let server = self.servers.get(&address);
        let mut routes = self.routes.iter();
        let route = routes.find(|route| route.address == key.service);
        server.is_some_and(|server| {
            let is_member = route.is_some_and(|route| route.pool == server.service);
            is_member && server.down_until <= now
        })
    }

    pub fn receive_at_upstream(&mut self, to: SocketAddr, from: VmId, action: Action) {
        let Some(server) = self.servers.get_mut(&to) else {
            return;
        };
        if server.down_until > self.now {
            return;
        }
        match action {
            Action::Dispatch {
                service,
                token,
                message_id,
                deadline,
                bytes,
                ..
            } => {
                let token = token.value().unwrap();
                if server
                    .tokens_by_message_id
                    .insert((from, message_id), token)
                    .is_some()
                {
                    return self.send_stored_response(to, from, token);
                }
                let id = u64::from_be_bytes(bytes.try_into().unwrap());
                self.accept_dispatch(to, from, token, message_id, id, &service, deadline);
            }
            Action::Acknowledge { message_id, .. } => {
                server.jobs.retain(|_, job| {
                    let sent = job.response.as_ref().map(|one| one.message_id);
                    sent != Some(message_id) || job.transmissions == 0
                });
            }
            _ => {}
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "these are the fields of one message"
    )]
    fn accept_dispatch(
        &mut self,
        to: SocketAddr,
        from: VmId,
        token: u64,
        message_id: u16,
        id: u64,
        service: &str,
        deadline: Duration,
    ) {
        if deadline <= self.now {
            return self.increment("late dispatches");
        }
        let is_shed = {
            let shed = self.servers[&to].shed;
            self.rng.random_bool(shed)
        };
        let checks_service = !self.is_disabled("service check");
        let Some(server) = self.servers.get_mut(&to) else {
            return;
        };
        let is_foreign = server.service != service;
        let outcome = if is_foreign && checks_service {
            Some(Outcome::Draining)
        } else if is_shed || server.running_requests >= server.slots * 4 {
            Some(Outcome::Refused)
        } else {
            None
        };
        let mut job = Job {
            message_id,
            id,
            response: None,
            transmissions: 0,
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.dispatches += 1;
            request.refusals += u32::from(outcome.is_some());
        }
        if let Some(outcome) = outcome {
            job.response = Some(piggybacked(message_id, token, outcome, id));
            server.jobs.insert((from, token), job);
            return self.send_stored_response(to, from, token);
        }
        server.running_requests += 1;
        server.jobs.insert((from, token), job);
        let max_service_time = server.max_service_time;
        self.record_run(to, id, is_foreign);
        let service_time = max_service_time.mul_f64(self.rng.random_range(0.2..1.0));
        self.schedule(
            self.now + service_time,
            SimEvent::RequestCompleted {
                at: to,
                from,
                token,
            },
        );
        if service_time > SEPARATE_RESPONSE_AFTER {
            let response = Response {
                kind: Kind::Acknowledgement,
                message_id,
                token: Token::default(),
                outcome: Outcome::Accepted,
                bytes: Vec::new(),
            };
            self.send_to_balancer(to, from, response);
        }
    }

    /// Records that a request ran and checks that its flow has kept its upstream.
    fn record_run(&mut self, at: SocketAddr, id: u64, is_foreign: bool) {
        if is_foreign {
            self.increment("misdelivered");
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.runs += 1;
        let caller = &mut self.callers[request.caller];
        let key = caller.key;
        let former = caller.upstream.replace(at);
        if former.is_some_and(|former| former != at && self.is_in_service(former, &key)) {
            if std::env::var_os("TRACE").is_some() {
                eprintln!("{:?} broken flow {key:?} with seed {}", self.now, self.seed);
            }
            self.broken_flows.insert(key);
        }
        let draining_since = self.servers[&at].draining_since;
        if former.is_none()
            && draining_since.is_some_and(|since| self.now > since + Duration::from_secs(3))
        {
            self.increment("new flows on a leaving upstream");
        }
    }

    pub fn complete_job(&mut self, at: SocketAddr, from: VmId, token: u64) {
        let message_id = self.rng.random();
        let Some(server) = self.servers.get_mut(&at) else {
            return;
        };
        let Some(job) = server.jobs.get_mut(&(from, token)) else {
            return;
        };
        server.running_requests = server.running_requests.saturating_sub(1);
        let mut response = piggybacked(job.message_id, token, Outcome::Answered, job.id);
        if server.max_service_time > SEPARATE_RESPONSE_AFTER {
            response.kind = Kind::Confirmable;
            response.message_id = message_id;
        }
        job.response = Some(response);
        self.transmit_response(at, from, token);
    }

    /// Sends a response. A separate response is retransmitted until it is acknowledged; a piggybacked one is sent once.
    pub fn transmit_response(&mut self, at: SocketAddr, from: VmId, token: u64) {
        let Some(server) = self.servers.get_mut(&at) else {
            return;
        };
        let Some(job) = server.jobs.get_mut(&(from, token)) else {
            return;
        };
        let is_separate = job
            .response
            .as_ref()
            .is_some_and(|one| one.kind == Kind::Confirmable);
        if is_separate && job.transmissions < 5 {
            job.transmissions += 1;
            let next = self.now + Duration::from_secs(2 << job.transmissions);
            self.schedule(next, SimEvent::RetransmitResponse { at, from, token });
        }
        self.send_stored_response(at, from, token);
    }

    fn send_stored_response(&mut self, at: SocketAddr, from: VmId, token: u64) {
        let server = self.servers.get(&at);
        let job = server.and_then(|server| server.jobs.get(&(from, token)));
        if let Some(response) = job.and_then(|job| job.response.clone()) {
            self.send_to_balancer(at, from, response);
        }
    }

    fn send_to_balancer(&mut self, source: SocketAddr, to: VmId, response: Response) {
        let event = Event::Response { source, response };
        self.transmit(SimEvent::BalancerEvent { to, event });
    }
}

fn piggybacked(message_id: u16, token: u64, outcome: Outcome, id: u64) -> Response {
    Response {
        kind: Kind::Acknowledgement,
        message_id,
        token: Token::from(token),
        outcome,
        bytes: id.to_be_bytes().to_vec(),
    }
}
