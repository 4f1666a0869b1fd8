//! A deployment for the demo: platform, fabric, balancers and upstreams as threads of this process.

use {
    crate::{
        daemon::{Daemon, Handle},
        settings::Settings,
    },
    coap_lite::RequestType,
    derive_more::Display,
    skylarkflow_emulator::{
        caller::Caller,
        fabric::{self, Fabric, Target},
        platform::Platform,
        upstream::{self, Behaviour, Upstream},
    },
    skylarkflow_policy::vm::{Record, Role, State},
    skylarkflow_store::{store::Store, wire},
    std::{
        fmt::{self, Display, Formatter},
        io,
        net::{Ipv4Addr, SocketAddr},
        str::FromStr,
        thread,
        time::{Duration, Instant},
    },
    tokio::runtime::Runtime,
};

/// Processing time of a request at an upstream.
const SERVICE_TIME: Duration = Duration::from_millis(8);

/// Requests that an upstream queues while its slots are occupied.
const UPSTREAM_QUEUE_LENGTH: usize = 16;

/// Open flows that an upstream accepts.
const MAX_OPEN_FLOWS: u32 = 2_000;

/// Deadline of a request, from its arrival to its response.
const DEADLINE: Duration = Duration::from_secs(10);

/// Timeout until all balancers are ready, and until all services answer.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a balancer's readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of one attempt to get the first response of a service.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);

const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A predefined deployment.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Deployment {
    /// Three zones, services `dispatch` and `manifests`, 2 slots per upstream.
    #[display("cascade")]
    Cascade,
    /// Four zones, services `siteline` and `swatchbook`, 3 slots per upstream.
    #[display("verfkant")]
    Verfkant,
}

/// Zones, services and sizes of a deployment.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    zones: &'static [&'static str],
    services: [(&'static str, usize); 2],
    slots: u32,
    balancers: usize,
}

/// A running deployment.
pub struct Site {
    deployment: Deployment,
    sizes: Sizes,
    runtime: Runtime,
    platform: Platform,
    platform_url: String,
    fabric: Fabric,
    balancers: Vec<(String, Handle)>,
    started_balancers: usize,
    pools: Vec<(wire::Pool, Vec<Upstream>)>,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Deployment, String> {
        match text {
            "cascade" => Ok(Deployment::Cascade),
            "verfkant" => Ok(Deployment::Verfkant),
            _ => Err(format!(
                "unknown deployment `{text}`; expected cascade or verfkant"
            )),
        }
    }
}

impl Deployment {
    fn sizes(self) -> Sizes {
        match self {
            Deployment::Cascade => Sizes {
                zones: &["tacoma", "salem", "spokane"],
                services: [("dispatch", 14), ("manifests", 4)],
                slots: 2,
                balancers: 9,
            },
            Deployment::Verfkant => Sizes {
                zones: &["gp-a", "gp-b", "gp-c", "gp-d"],
                services: [("siteline", 14), ("swatchbook", 4)],
                slots: 3,
                balancers: 8,
            },
        }
    }
}

impl Site {
    /// Starts a deployment and waits until all services answer.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be opened, or if the balancers are not ready or a service does not answer within 20 s.
    pub fn start(deployment: Deployment, seed: u64) -> io::Result<Site> {
        let sizes = deployment.sizes();
        let runtime = Runtime::new()?;
        let platform = Platform::default();
        let address = runtime.block_on(platform.serve(ANY_LOOPBACK_PORT))?;
        let fabric = Fabric::start(fabric::Settings {
            services: vec![ANY_LOOPBACK_PORT; sizes.services.len()],
            seed,
            ..fabric::Settings::default()
        })?;
        let mut site = Site {
            deployment,
            sizes,
            runtime,
            platform,
            platform_url: format!("http://{address}"),
            fabric,
            balancers: Vec::new(),
            started_balancers: 0,
            pools: Vec::new(),
        };
        site.start_pools()?;
        for _ in 0..sizes.balancers {
            site.add_balancer()?;
        }
        site.activate_balancers()?;
        site.wait_until_served()?;
        Ok(site)
    }

    /// Returns the addresses of the services.
    pub fn services(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.fabric.services().iter().copied()
    }

    /// Returns the upstreams of each service.
    pub fn upstreams(&self) -> impl Iterator<Item = (&str, &[Upstream])> {
        let pools = self.pools.iter();
        pools.map(|(pool, upstreams)| (&*pool.name, &**upstreams))
    }

    /// Starts another balancer, adds its VM to the platform and returns its name.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be opened.
    pub fn add_balancer(&mut self) -> io::Result<String> {
        let name = format!("entry-{}", self.started_balancers + 1);
        let zone = self.sizes.zones[self.started_balancers % self.sizes.zones.len()];
        self.started_balancers += 1;
        let handle =
            Daemon::start(self.balancer_settings(&name, zone)).map_err(io::Error::other)?;
        self.platform.set_vm(Record {
            name: name.clone(),
            address: handle.addresses().peer,
            zone: zone.to_owned(),
            role: Role::Entry,
            state: State::Live,
        });
        self.balancers.push((name.clone(), handle));
        Ok(name)
    }

    /// Waits until every balancer is ready, then lets the fabric send to all of them.
    ///
    /// # Errors
    ///
    /// Fails if a balancer is not ready after 20 s.
    pub fn activate_balancers(&self) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        for (_, handle) in &self.balancers {
            while !handle.is_ready() {
                if Instant::now() > end {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        self.update_fabric();
        Ok(())
    }

    /// Drains the oldest balancer, waits until it has stopped and returns its name.
    ///
    /// # Errors
    ///
    /// Fails if there is no balancer.
    pub fn drain_balancer(&mut self) -> io::Result<String> {
        let (name, handle) = self.balancers.first().ok_or(io::ErrorKind::NotFound)?;
        let name = name.clone();
        handle.drain();
        let (_, handle) = self.balancers.remove(0);
        handle.join();
        self.platform.remove_vm(&name);
        self.update_fabric();
        Ok(name)
    }

    /// Starts to drain the first upstream of the first pool; returns the service's address and the upstream's name.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the write.
    pub fn drain_upstream(&mut self) -> io::Result<(SocketAddr, String)> {
        let (pool, _) = &mut self.pools[0];
        pool.generation += 1;
        pool.upstreams[0].drain = true;
        let name = pool.upstreams[0].name.clone();
        let pool = pool.clone();
        self.put_object(&format!("{}{}", wire::POOL_PREFIX, pool.name), &pool)?;
        Ok((self.fabric.services()[0], name))
    }

    fn balancer_settings(&self, name: &str, zone: &str) -> Settings {
        Settings {
            name: name.to_owned(),
            zone: zone.to_owned(),
            zones: self
                .sizes
                .zones
                .iter()
                .map(|&zone| zone.to_owned())
                .collect(),
            platform: self.platform_url.clone(),
            ..Settings::default()
        }
    }

    fn update_fabric(&self) {
        let target = |(_, handle): &(String, Handle)| Target {
            ingress: handle.addresses().ingress,
            admin: Some(handle.addresses().admin),
        };
        self.fabric
            .set_balancers(self.balancers.iter().map(target).collect());
    }

    fn start_pools(&mut self) -> io::Result<()> {
        let addresses = self.fabric.services().to_vec();
        for ((service, count), address) in self.sizes.services.into_iter().zip(addresses) {
            let (pool, upstreams) = start_pool(service, count, &self.sizes)?;
            let route = wire::Route {
                name: service.to_owned(),
                generation: 1,
                address,
                pool: service.to_owned(),
                deadline: DEADLINE,
                edit: None,
            };
            self.put_object(&format!("{}{service}", wire::POOL_PREFIX), &pool)?;
            self.put_object(&format!("{}{service}", wire::ROUTE_PREFIX), &route)?;
            self.pools.push((pool, upstreams));
        }
        Ok(())
    }

    fn put_object(&self, key: &str, value: &impl serde::Serialize) -> io::Result<()> {
        let value = serde_json::to_value(value)?;
        let store = Store::new(&self.platform_url);
        self.runtime.block_on(async {
            let present = store.get(key).await.map_err(io::Error::other)?;
            let version = present.map_or(0, |object| object.version);
            store
                .put(key, &value, version)
                .await
                .map_err(io::Error::other)?;
            Ok(())
        })
    }

    fn wait_until_served(&self) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        for service in self.services() {
            while !is_served(service)? {
                if Instant::now() > end {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        Ok(())
    }
}

impl Display for Site {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Sizes {
            zones,
            services,
            slots,
            ..
        } = self.sizes;
        let balancers = self.balancers.len();
        writeln!(
            formatter,
            "deployment {}: {balancers} balancers in {}",
            self.deployment,
            zones.join(", ")
        )?;
        for (service, count) in services {
            writeln!(
                formatter,
                "  service {service}: {count} upstreams of {slots} slots"
            )?;
        }
        Ok(())
    }
}

fn start_pool(
    service: &str,
    count: usize,
    sizes: &Sizes,
) -> io::Result<(wire::Pool, Vec<Upstream>)> {
    let mut pool_entries = Vec::new();
    let mut upstreams = Vec::new();
    for index in 0..count {
        let name = format!("{service}-{}", index + 1);
        let upstream = Upstream::start(upstream::Settings {
            name: name.clone(),
            service: service.to_owned(),
            slots: sizes.slots as usize,
            queue: UPSTREAM_QUEUE_LENGTH,
            behaviour: Behaviour {
                service_time: SERVICE_TIME,
                ..Behaviour::default()
            },
            ..upstream::Settings::default()
        })?;
        pool_entries.push(wire::Upstream {
            name,
            address: upstream.address(),
            zone: sizes.zones[index % sizes.zones.len()].to_owned(),
            weight: 1,
            drain: false,
        });
        upstreams.push(upstream);
    }
    let pool = wire::Pool {
        name: service.to_owned(),
        generation: 1,
        slots: sizes.slots,
        connections: MAX_OPEN_FLOWS,
        upstreams: pool_entries,
        edit: None,
    };
    Ok((pool, upstreams))
}

fn is_served(service: SocketAddr) -> io::Result<bool> {
    let mut caller = Caller::new(service)?;
    Ok(caller
        .request(RequestType::Get, "ready", ATTEMPT_TIMEOUT)
        .is_ok())
}
