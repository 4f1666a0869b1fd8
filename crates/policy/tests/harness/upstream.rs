//! Scripted upstreams.

use {
    super::{Happening, World},
    rand::Rng,
    skylarkflow_policy::{
        VmId,
        balancer::{Action, Event},
        exchange::{Kind, Outcome, Response, Token},
        flow::Key,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// One upstream, which deduplicates by Message ID as RFC 7252 requires.
#[derive(Debug)]
pub struct Server {
    pub service: String,
    pub slots: usize,
    /// Longest service time.
    pub work: Duration,
    pub shed: f64,
    pub down_until: Duration,
    /// New work after this time on a leaving upstream is counted.
    pub leaving_since: Option<Duration>,
    busy: usize,
    jobs: BTreeMap<(VmId, u64), Job>,
    seen: BTreeMap<(VmId, u16), u64>,
}

#[derive(Debug)]
struct Job {
    message_id: u16,
    id: u64,
    response: Option<Response>,
    repeats: u32,
}

const ACCEPT_AFTER: Duration = Duration::from_millis(800);

impl Server {
    pub fn new(service: &str, slots: usize, work: Duration) -> Server {
        Server {
            service: service.to_owned(),
            slots,
            work,
            shed: 0.0,
            down_until: Duration::ZERO,
            leaving_since: None,
            busy: 0,
            jobs: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    /// Loses everything, as in a restart.
    pub fn restart(&mut self, until: Duration) {
        self.down_until = until;
        self.busy = 0;
        self.jobs.clear();
        self.seen.clear();
    }
}

impl World {
    /// Returns whether an upstream could still serve the flows of a service.
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

    pub fn serve(&mut self, to: SocketAddr, from: VmId, action: Action) {
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
                if server.seen.insert((from, message_id), token).is_some() {
                    return self.answer(to, from, token);
                }
                let id = u64::from_be_bytes(bytes.try_into().unwrap());
                self.dispatched(to, from, token, message_id, id, &service, deadline);
            }
            Action::Acknowledge { message_id, .. } => {
                server.jobs.retain(|_, job| {
                    let sent = job.response.as_ref().map(|one| one.message_id);
                    sent != Some(message_id) || job.repeats == 0
                });
            }
            _ => {}
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    fn dispatched(
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
            return self.count("late dispatches");
        }
        let is_shed = {
            let shed = self.servers[&to].shed;
            self.rng.random_bool(shed)
        };
        let checks_service = !self.lacks("service check");
        let Some(server) = self.servers.get_mut(&to) else {
            return;
        };
        let is_foreign = server.service != service;
        let outcome = if is_foreign && checks_service {
            Some(Outcome::Draining)
        } else if is_shed || server.busy >= server.slots * 4 {
            Some(Outcome::Refused)
        } else {
            None
        };
        let mut job = Job {
            message_id,
            id,
            response: None,
            repeats: 0,
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.dispatches += 1;
            request.refusals += u32::from(outcome.is_some());
        }
        if let Some(outcome) = outcome {
            job.response = Some(piggybacked(message_id, token, outcome, id));
            server.jobs.insert((from, token), job);
            return self.answer(to, from, token);
        }
        server.busy += 1;
        server.jobs.insert((from, token), job);
        let work = server.work;
        self.ran(to, id, is_foreign);
        let time = work.mul_f64(self.rng.random_range(0.2..1.0));
        self.schedule(
            self.now + time,
            Happening::Done {
                at: to,
                from,
                token,
            },
        );
        if time > ACCEPT_AFTER {
            let response = Response {
                kind: Kind::Acknowledgement,
                message_id,
                token: Token::default(),
                outcome: Outcome::Accepted,
                bytes: Vec::new(),
            };
            self.respond(to, from, response);
        }
    }

    /// Records a run and checks that the flow has kept its upstream.
    fn ran(&mut self, at: SocketAddr, id: u64, is_foreign: bool) {
        if is_foreign {
            self.count("misdelivered");
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
                eprintln!("{:?} BROKEN {key:?} seed {}", self.now, self.seed);
            }
            self.broken.insert(key);
        }
        let leaving = self.servers[&at].leaving_since;
        if former.is_none()
            && leaving.is_some_and(|since| self.now > since + Duration::from_secs(3))
        {
            self.count("new flows on a leaving upstream");
        }
    }

    pub fn done(&mut self, at: SocketAddr, from: VmId, token: u64) {
        let message_id = self.rng.random();
        let Some(server) = self.servers.get_mut(&at) else {
            return;
        };
        let Some(job) = server.jobs.get_mut(&(from, token)) else {
            return;
        };
        server.busy = server.busy.saturating_sub(1);
        let mut response = piggybacked(job.message_id, token, Outcome::Answered, job.id);
        if server.work > ACCEPT_AFTER {
            response.kind = Kind::Confirmable;
            response.message_id = message_id;
        }
        job.response = Some(response);
        self.repeat(at, from, token);
    }

    /// Sends a separate response until it is acknowledged, and a piggybacked one once.
    pub fn repeat(&mut self, at: SocketAddr, from: VmId, token: u64) {
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
        if is_separate && job.repeats < 5 {
            job.repeats += 1;
            let next = self.now + Duration::from_secs(2 << job.repeats);
            self.schedule(next, Happening::Repeat { at, from, token });
        }
        self.answer(at, from, token);
    }

    fn answer(&mut self, at: SocketAddr, from: VmId, token: u64) {
        let server = self.servers.get(&at);
        let job = server.and_then(|server| server.jobs.get(&(from, token)));
        if let Some(response) = job.and_then(|job| job.response.clone()) {
            self.respond(at, from, response);
        }
    }

    fn respond(&mut self, source: SocketAddr, to: VmId, response: Response) {
        let event = Event::Response { source, response };
        self.transmit(Happening::Direct { to, event });
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
