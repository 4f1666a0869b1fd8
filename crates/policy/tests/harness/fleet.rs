//! Balancers that come and go, and tables that change, each seen at different times.

use {
    super::{Happening, Node, TICK, World, upstream::Server},
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

/// A planned change or a fault.
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
    /// Ends a leaving balancer at its limit.
    Exit {
        name: String,
    },
    Crash {
        name: String,
    },
    Detected {
        name: String,
    },
    Pause {
        name: String,
        period: Duration,
    },
    Resumed {
        name: String,
    },
    AddUpstreams {
        pool: String,
        count: usize,
    },
    Drain {
        pool: String,
        name: String,
    },
    Weight {
        pool: String,
        name: String,
        weight: u32,
    },
    Move {
        from: String,
        name: String,
        to: String,
    },
    Restart {
        name: String,
        period: Duration,
    },
    Shed {
        name: String,
        share: f64,
    },
    Work {
        name: String,
        longest: Duration,
    },
    Freeze {
        name: String,
    },
    /// Restarts a balancer under its old name before the others notice.
    Reboot {
        name: String,
    },
    Fresh {
        count: usize,
        over: Duration,
    },
    /// Keeps the callers from sending new requests.
    Silence {
        period: Duration,
    },
}

/// Time for which a message from a majority holds the fence.
pub const FENCE: Duration = Duration::from_secs(2);

/// Time until the others declare a silent balancer dead.
const DETECTION: Duration = Duration::from_secs(3);

pub fn address(network: u8, index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, network, (index >> 8) as u8, index as u8], port))
}

impl World {
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Join { name, zone } => self.join(&name, &zone),
            Step::Leave { name, limit } => {
                self.leave(&name);
                if limit > Duration::ZERO {
                    let at = self.now + limit;
                    self.schedule(at, Happening::Script(Step::Exit { name }));
                }
            }
            Step::Exit { name } => self.exit(id::from_name(&name)),
            Step::Crash { name } => {
                self.nodes.remove(&id::from_name(&name));
                let at = self.now + DETECTION;
                self.schedule(at, Happening::Script(Step::Detected { name }));
            }
            Step::Detected { name } => self.detected(&name),
            Step::Pause { name, period } => self.pause(&name, period),
            Step::Resumed { name } => self.resumed(&name),
            Step::Restart { name, period } => {
                let until = self.now + period;
                self.server(&name).restart(until);
            }
            Step::Shed { name, share } => self.server(&name).shed = share,
            Step::Work { name, longest } => self.server(&name).work = longest,
            Step::Freeze { name } => {
                if let Some(node) = self.nodes.get_mut(&id::from_name(&name)) {
                    node.tables = usize::MAX;
                }
            }
            Step::Reboot { name } => {
                let id = id::from_name(&name);
                let zone = self.nodes[&id].member.zone.clone();
                self.members.retain(|member| member.id != id);
                self.fabric.retain(|&one| one != id);
                self.join(&name, &zone);
            }
            Step::Fresh { count, over } => self.add_fresh(count, over),
            Step::Silence { period } => self.silent_until = self.now + period,
            step => self.edit(step),
        }
    }

    /// Schedules random steps within a period.
    pub fn add_chaos(&mut self, steps: usize, period: Duration) {
        let mut balancers: Vec<String> =
            (0..self.nodes.len()).map(|one| format!("b{one}")).collect();
        for index in 0..steps {
            let at = self.now + period.mul_f64(self.rng.random_range(0.05..0.95));
            let victim = self.rng.random_range(0..balancers.len());
            let is_spare = balancers.len() > 1;
            let upstream = format!("u{}", self.rng.random_range(0..self.servers.len()));
            let period = Duration::from_secs(30);
            let longest = Duration::from_secs(self.rng.random_range(1..12));
            let step = match self.rng.random_range(0..10) {
                0 | 1 if is_spare => Step::Crash {
                    name: balancers.remove(victim),
                },
                2 if is_spare => Step::Pause {
                    name: balancers.remove(victim),
                    period,
                },
                3 if is_spare => Step::Leave {
                    name: balancers.remove(victim),
                    limit: Duration::ZERO,
                },
                4 => Step::Restart {
                    name: upstream,
                    period: Duration::from_secs(8),
                },
                5 => Step::Work {
                    name: upstream,
                    longest,
                },
                6 => Step::Drain {
                    pool: "dispatch".to_owned(),
                    name: upstream,
                },
                7 => Step::AddUpstreams {
                    pool: "dispatch".to_owned(),
                    count: 1,
                },
                9 if is_spare => Step::Reboot {
                    name: balancers.remove(victim),
                },
                8 => Step::Shed {
                    name: upstream,
                    share: 0.5,
                },
                _ => Step::Join {
                    name: format!("c{index}"),
                    zone: "z0".to_owned(),
                },
            };
            self.schedule(at, Happening::Script(step));
        }
    }

    fn edit(&mut self, step: Step) {
        match step {
            Step::AddUpstreams { pool, count } => self.add_upstreams(&pool, count),
            Step::Drain { pool, name } => {
                let now = self.now;
                let skew = self.faults.skew;
                self.server(&name).leaving_since =
                    Some(now + skew.saturating_sub(Duration::from_secs(3)));
                self.upstream(&pool, &name).drain = true;
            }
            Step::Weight { pool, name, weight } => self.upstream(&pool, &name).weight = weight,
            Step::Move { from, name, to } => self.relocate(&from, &name, &to),
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

    /// Gives the address of an upstream to another service.
    fn relocate(&mut self, from: &str, name: &str, to: &str) {
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
        for id in self.nodes.keys().copied().collect::<Vec<VmId>>() {
            let at = self.now + self.skew();
            self.schedule(at, Happening::Tables { id, version });
        }
    }

    fn skew(&mut self) -> Duration {
        self.faults.skew.mul_f64(self.rng.random_range(0.0..=1.0))
    }

    pub fn see_tables(&mut self, id: VmId, version: usize) {
        let now = self.now;
        let tables = self.tables[version].clone();
        if let Some(node) = self.nodes.get_mut(&id)
            && node.tables <= version
        {
            node.tables = version;
            node.core.set_tables(now, tables);
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
        let node = Node {
            core,
            member: member.clone(),
            incarnation,
            paused_until: Duration::ZERO,
            leaving: false,
            view: 0,
            tables: 0,
            fenced_at: Duration::ZERO,
        };
        // A balancer is ready, and so a member, only once it has heard from a majority.
        node.core.set_fence(self.now, self.now + FENCE);
        self.nodes.insert(id, node);
        self.members.push(member);
        self.publish_view();
        // A joining balancer learns tables and members from a peer before it is ready.
        self.see_tables(id, self.tables.len() - 1);
        self.see_view(id, self.views.len() - 1);
        self.fabric.push(id);
        let offset = TICK.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(self.now + offset, Happening::Tick { id, incarnation });
    }

    fn leave(&mut self, name: &str) {
        let id = id::from_name(name);
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        node.leaving = true;
        node.core.leave(now);
        self.members.retain(|member| member.id != id);
        let member = self.nodes[&id].member.clone();
        self.leaving.push(member);
        self.fabric.retain(|&one| one != id);
        self.publish_view();
    }

    /// Ends a balancer that has handed everything over.
    pub fn finish_leave(&mut self, id: VmId) {
        let is_over = |node: &Node| node.leaving && node.core.is_drained();
        if self.nodes.get(&id).is_some_and(is_over) {
            self.exit(id);
        }
    }

    fn exit(&mut self, id: VmId) {
        if self.nodes.remove(&id).is_some() {
            self.leaving.retain(|member| member.id != id);
            self.count("left");
            self.publish_view();
        }
    }

    fn detected(&mut self, name: &str) {
        let id = id::from_name(name);
        self.members.retain(|member| member.id != id);
        self.fabric.retain(|&one| one != id);
        self.publish_view();
    }

    fn pause(&mut self, name: &str, period: Duration) {
        let until = self.now + period;
        if let Some(node) = self.nodes.get_mut(&id::from_name(name)) {
            node.paused_until = until;
        }
        let name = name.to_owned();
        if period > DETECTION {
            let at = self.now + DETECTION;
            let step = Step::Detected { name: name.clone() };
            self.schedule(at, Happening::Script(step));
            let step = Step::Resumed { name };
            self.schedule(until + DETECTION, Happening::Script(step));
        }
    }

    /// Lets the others know that a paused balancer answers again.
    fn resumed(&mut self, name: &str) {
        let id = id::from_name(name);
        let member = self.nodes[&id].member.clone();
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
        for id in self.nodes.keys().copied().collect::<Vec<VmId>>() {
            let at = self.now + self.skew();
            self.schedule(at, Happening::View { id, version });
        }
    }

    pub fn see_view(&mut self, id: VmId, version: usize) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.paused_until > now {
            let at = node.paused_until;
            return self.schedule(at, Happening::View { id, version });
        }
        if node.view <= version {
            node.view = version;
            node.core.set_view(now, self.views[version].clone());
        }
    }

    /// Opens flows one after the other within a period.
    fn add_fresh(&mut self, count: usize, over: Duration) {
        self.add_callers(0, 1);
        if count > 1 {
            let step = over / count as u32;
            let over = over - step;
            let next = Step::Fresh {
                count: count - 1,
                over,
            };
            self.schedule(self.now + step, Happening::Script(next));
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
