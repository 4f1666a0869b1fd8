//! Scripted changes of the balancers, upstreams and tables of a simulation. Each balancer learns of them after its own
//! delay.

use {
    super::{Balancer, SimEvent, Simulation, TICK, upstream::Server},
    rand::Rng,
    skylarkflow_policy::{
        VmId,
        balancer::Core,
        config::{Pool, Route, Snapshot, Upstream},
        dispatch::FifoDispatcher,
        flow::Key,
        id,
        owner::{Member, View},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// An operator's change or a fault in a simulation.
#[derive(Clone, Debug)]
pub enum Step {
    Join {
        name: String,
        zone: String,
    },
    Leave {
        name: String,
        /// Time after which the balancer exits although it has not handed over everything.
        limit: Duration,
    },
    /// Stops a draining balancer that has reached its time limit.
    Exit {
        name: String,
    },
    Crash {
        name: String,
    },
    /// The other balancers declare a balancer dead.
    DeclareDead {
        name: String,
    },
    /// Suspends the process of a balancer.
    Pause {
        name: String,
        period: Duration,
    },
    /// A balancer that was paused for long becomes a member again.
    Rejoin {
        name: String,
    },
    AddUpstreams {
        pool: String,
        count: usize,
    },
    DrainUpstream {
        pool: String,
        name: String,
    },
    SetWeight {
        pool: String,
        name: String,
        weight: u32,
    },
    /// Moves an upstream's address from one pool to another.
    MoveUpstream {
        from: String,
        name: String,
        to: String,
    },
    RestartUpstream {
        name: String,
        period: Duration,
    },
    /// An upstream refuses a share of its requests.
    ShedRequests {
        name: String,
        share: f64,
    },
    SetServiceTime {
        name: String,
        max_service_time: Duration,
    },
    /// A balancer keeps its tables from then on.
    FreezeTables {
        name: String,
    },
    /// Restarts a balancer under its old name before the others notice.
    RestartBalancer {
        name: String,
    },
    /// Opens new flows, evenly spaced over a period.
    OpenFlows {
        count: usize,
        over: Duration,
    },
    /// Callers send no new requests for a period.
    SuspendRequests {
        period: Duration,
    },
}

/// Time for which a balancer holds the fence (the majority lease) after messages from a majority of its zone.
pub const FENCE_DURATION: Duration = Duration::from_secs(2);

/// Time until the other balancers declare one dead that no longer answers.
const DEATH_DETECTION_TIME: Duration = Duration::from_secs(3);

pub fn address(network: u8, index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, network, (index >> 8) as u8, index as u8], port))
}

impl Simulation {
    pub fn run_step(&mut self, step: Step) {
        match step {
            Step::Join { name, zone } => self.join(&name, &zone),
            Step::Leave { name, limit } => {
                self.leave(&name);
                if limit > Duration::ZERO {
                    let at = self.now + limit;
                    self.schedule(at, SimEvent::Script(Step::Exit { name }));
                }
            }
            Step::Exit { name } => self.exit(id::from_name(&name)),
            Step::Crash { name } => {
                self.balancers.remove(&id::from_name(&name));
                let at = self.now + DEATH_DETECTION_TIME;
                self.schedule(at, SimEvent::Script(Step::DeclareDead { name }));
            }
            Step::DeclareDead { name } => self.declare_dead(&name),
            Step::Pause { name, period } => self.pause(&name, period),
            Step::Rejoin { name } => self.rejoin(&name),
            Step::RestartUpstream { name, period } => {
                let until = self.now + period;
                self.server(&name).restart(until);
            }
            Step::ShedRequests { name, share } => self.server(&name).shed = share,
            Step::SetServiceTime {
                name,
                max_service_time,
            } => self.server(&name).max_service_time = max_service_time,
            Step::FreezeTables { name } => {
                if let Some(balancer) = self.balancers.get_mut(&id::from_name(&name)) {
                    balancer.tables = usize::MAX;
                }
            }
            Step::RestartBalancer { name } => {
                let id = id::from_name(&name);
                let zone = self.balancers[&id].member.zone.clone();
                self.members.retain(|member| member.id != id);
                self.fabric.retain(|&one| one != id);
                self.join(&name, &zone);
            }
            Step::OpenFlows { count, over } => self.open_flows(count, over),
            Step::SuspendRequests { period } => self.requests_suspended_until = self.now + period,
            step => self.change_tables(step),
        }
    }

    /// Schedules random steps within a period, which leave at least one of the initial balancers untouched.
    pub fn schedule_random_steps(&mut self, steps: usize, period: Duration) {
        let mut names: Vec<String> = (0..self.balancers.len())
            .map(|one| format!("b{one}"))
            .collect();
        for index in 0..steps {
            let at = self.now + period.mul_f64(self.rng.random_range(0.05..0.95));
            let victim = self.rng.random_range(0..names.len());
            let is_spare = names.len() > 1;
            let upstream = format!("u{}", self.rng.random_range(0..self.servers.len()));
            let period = Duration::from_secs(30);
            let max_service_time = Duration::from_secs(self.rng.random_range(1..12));
            let step = match self.rng.random_range(0..10) {
                0 | 1 if is_spare => Step::Crash {
                    name: names.remove(victim),
                },
                2 if is_spare => Step::Pause {
                    name: names.remove(victim),
                    period,
                },
                3 if is_spare => Step::Leave {
                    name: names.remove(victim),
                    limit: Duration::ZERO,
                },
                4 => Step::RestartUpstream {
                    name: upstream,
                    period: Duration::from_secs(8),
                },
                5 => Step::SetServiceTime {
                    name: upstream,
                    max_service_time,
                },
                6 => Step::DrainUpstream {
                    pool: "dispatch".to_owned(),
                    name: upstream,
                },
                7 => Step::AddUpstreams {
                    pool: "dispatch".to_owned(),
                    count: 1,
                },
                9 if is_spare => Step::RestartBalancer {
                    name: names.remove(victim),
                },
                8 => Step::ShedRequests {
                    name: upstream,
                    share: 0.5,
                },
                _ => Step::Join {
                    name: format!("c{index}"),
                    zone: "z0".to_owned(),
                },
            };
            self.schedule(at, SimEvent::Script(step));
        }
    }

    fn change_tables(&mut self, step: Step) {
        match step {
            Step::AddUpstreams { pool, count } => self.add_upstreams(&pool, count),
            Step::DrainUpstream { pool, name } => {
                let now = self.now;
                let skew = self.faults.skew;
                self.server(&name).draining_since =
                    Some(now + skew.saturating_sub(Duration::from_secs(3)));
                self.upstream(&pool, &name).drain = true;
            }
            Step::SetWeight { pool, name, weight } => self.upstream(&pool, &name).weight = weight,
            Step::MoveUpstream { from, name, to } => self.move_upstream(&from, &name, &to),
            _ => return,
        }
        self.publish_tables();
    }

    fn server(&mut self, name: &str) -> &mut Server {
        let mut upstreams = self.pools.iter().flat_map(|pool| &pool.upstreams);
        let address = upstreams.find(|one| one.name == name).unwrap().address;
        self.servers.get_mut(&address).unwrap()
    }

    fn upstream(&mut self, pool: &str, name: &str) -> &mut Upstream {
        let pool = self.pools.iter_mut().find(|one| one.name == pool).unwrap();
        pool.generation += 1;
        let mut upstreams = pool.upstreams.iter_mut();
        upstreams.find(|one| one.name == name).unwrap()
    }

    /// Moves the address of an upstream to the pool of another service.
    fn move_upstream(&mut self, from: &str, name: &str, to: &str) {
        let mut moved = self.upstream(from, name).clone();
        let source = self.pools.iter_mut().find(|one| one.name == from).unwrap();
        source.upstreams.retain(|one| one.name != name);
        self.servers.get_mut(&moved.address).unwrap().service = to.to_owned();
        moved.name = format!("{name}-{to}");
        let target = self.pools.iter_mut().find(|one| one.name == to).unwrap();
        target.generation += 1;
        target.upstreams.push(moved);
    }

    pub fn add_service(&mut self, name: &str, upstreams: usize, slots: u32, deadline: Duration) {
        let index = self.routes.len();
        self.routes.push(Route {
            name: name.to_owned(),
            generation: 1,
            address: address(8, index, 5683),
            pool: name.to_owned(),
            deadline,
        });
        self.pools.push(Pool {
            name: name.to_owned(),
            generation: 1,
            slots,
            connections: 2_000,
            upstreams: Vec::new(),
        });
        self.add_upstreams(name, upstreams);
    }

    fn add_upstreams(&mut self, pool: &str, count: usize) {
        for _ in 0..count {
            let index = self.servers.len();
            let pool = self.pools.iter_mut().find(|one| one.name == pool).unwrap();
            pool.generation += 1;
            let address = address(7, index, 5683);
            pool.upstreams.push(Upstream {
                name: format!("u{index}"),
                address,
                zone: "z0".to_owned(),
                weight: 1,
                drain: false,
            });
            let work = Duration::from_millis(40);
            let server = Server::new(&pool.name, pool.slots as usize, work);
            self.servers.insert(address, server);
        }
    }

    pub fn publish_tables(&mut self) {
        let snapshot = Snapshot::new(self.routes.clone(), self.pools.clone());
        self.tables.push(Arc::new(snapshot));
        let version = self.tables.len() - 1;
        for id in self.balancers.keys().copied().collect::<Vec<VmId>>() {
            let at = self.now + self.random_skew();
            self.schedule(at, SimEvent::TablesReceived { id, version });
        }
    }

    fn random_skew(&mut self) -> Duration {
        self.faults.skew.mul_f64(self.rng.random_range(0.0..=1.0))
    }

    pub fn apply_tables(&mut self, id: VmId, version: usize) {
        let now = self.now;
        let tables = self.tables[version].clone();
        if let Some(balancer) = self.balancers.get_mut(&id)
            && balancer.tables <= version
        {
            balancer.tables = version;
            balancer.core.set_tables(now, tables);
        }
    }

    pub fn join(&mut self, name: &str, zone: &str) {
        let id = id::from_name(name);
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let member = Member {
            id,
            zone: zone.to_owned(),
            address: address(6, incarnation as usize, 7400),
        };
        let core = Core::new(id, incarnation, FifoDispatcher::factory());
        let balancer = Balancer {
            core,
            member: member.clone(),
            incarnation,
            paused_until: Duration::ZERO,
            leaving: false,
            view: 0,
            tables: 0,
            fence_extended_at: Duration::ZERO,
        };
        // A balancer becomes a member only once it is ready, and so after it has received messages from a majority.
        balancer.core.set_fence(self.now, self.now + FENCE_DURATION);
        self.balancers.insert(id, balancer);
        self.members.push(member);
        self.publish_view();
        // A joining balancer gets the tables and the members from a peer before it is ready.
        self.apply_tables(id, self.tables.len() - 1);
        self.apply_view(id, self.views.len() - 1);
        self.fabric.push(id);
        let offset = TICK.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(self.now + offset, SimEvent::Tick { id, incarnation });
    }

    fn leave(&mut self, name: &str) {
        let id = id::from_name(name);
        let now = self.now;
        let balancer = self.balancers.get_mut(&id).unwrap();
        balancer.leaving = true;
        balancer.core.leave(now);
        self.members.retain(|member| member.id != id);
        let member = self.balancers[&id].member.clone();
        self.leaving.push(member);
        self.fabric.retain(|&one| one != id);
        self.publish_view();
    }

    /// Stops a draining balancer that has handed over all its flows.
    pub fn exit_if_drained(&mut self, id: VmId) {
        let is_drained = |balancer: &Balancer| balancer.leaving && balancer.core.is_drained();
        if self.balancers.get(&id).is_some_and(is_drained) {
            self.exit(id);
        }
    }

    fn exit(&mut self, id: VmId) {
        if self.balancers.remove(&id).is_some() {
            self.leaving.retain(|member| member.id != id);
            self.increment("left");
            self.publish_view();
        }
    }

    fn declare_dead(&mut self, name: &str) {
        let id = id::from_name(name);
        self.members.retain(|member| member.id != id);
        self.fabric.retain(|&one| one != id);
        self.publish_view();
    }

    fn pause(&mut self, name: &str, period: Duration) {
        let until = self.now + period;
        if let Some(balancer) = self.balancers.get_mut(&id::from_name(name)) {
            balancer.paused_until = until;
        }
        let name = name.to_owned();
        if period > DEATH_DETECTION_TIME {
            let at = self.now + DEATH_DETECTION_TIME;
            let step = Step::DeclareDead { name: name.clone() };
            self.schedule(at, SimEvent::Script(step));
            let step = Step::Rejoin { name };
            self.schedule(until + DEATH_DETECTION_TIME, SimEvent::Script(step));
        }
    }

    /// Makes a balancer a member again after a pause in which it was declared dead.
    fn rejoin(&mut self, name: &str) {
        let id = id::from_name(name);
        let member = self.balancers[&id].member.clone();
        self.members.push(member);
        self.fabric.push(id);
        self.publish_view();
    }

    pub fn publish_view(&mut self) {
        let zones: Vec<String> = (0..self.zones).map(|zone| format!("z{zone}")).collect();
        let zones = zones.iter().map(|zone| &**zone);
        let view = View::new(zones, &self.members).with_leaving(&self.leaving);
        self.views.push(view);
        let version = self.views.len() - 1;
        for id in self.balancers.keys().copied().collect::<Vec<VmId>>() {
            let at = self.now + self.random_skew();
            self.schedule(at, SimEvent::ViewReceived { id, version });
        }
    }

    pub fn apply_view(&mut self, id: VmId, version: usize) {
        let now = self.now;
        let Some(balancer) = self.balancers.get_mut(&id) else {
            return;
        };
        if balancer.paused_until > now {
            let at = balancer.paused_until;
            return self.schedule(at, SimEvent::ViewReceived { id, version });
        }
        if balancer.view <= version {
            balancer.view = version;
            balancer.core.set_view(now, self.views[version].clone());
        }
    }

    /// Opens one flow and schedules the remaining ones evenly over a period.
    fn open_flows(&mut self, count: usize, over: Duration) {
        self.add_callers(0, 1);
        if count > 1 {
            let step = over / count as u32;
            let over = over - step;
            let next = Step::OpenFlows {
                count: count - 1,
                over,
            };
            self.schedule(self.now + step, SimEvent::Script(next));
        }
    }

    pub fn add_callers(&mut self, service: usize, count: usize) {
        for _ in 0..count {
            let index = self.callers.len();
            let port = 20_000 + index as u16;
            self.add_caller(Key {
                caller: address(100 + service as u8, index, port),
                service: self.routes[service].address,
            });
        }
    }
}
