//! The `emulate` command: runs the components around the balancers as separate processes, for trials and tests.

use {
    crate::{command::Result, emulate_callers::CallersCommand, emulate_site::SiteCommand},
    argh::FromArgs,
    serde_json::json,
    skylarkflow_emulator::{
        fabric::{self, Fabric},
        platform::Platform,
        upstream::{self, Behaviour, Upstream},
    },
    std::{future, net::SocketAddr, thread, time::Duration},
    tokio::runtime,
};

/// Run an emulated component until the process is stopped; prints its addresses as one line of JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "emulate")]
pub struct Emulate {
    #[argh(subcommand)]
    component: Component,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Component {
    Callers(CallersCommand),
    Fabric(FabricCommand),
    Platform(PlatformCommand),
    Site(SiteCommand),
    Upstream(UpstreamCommand),
}

/// Distribute the datagrams of callers randomly over balancers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fabric")]
struct FabricCommand {
    /// address of a service; port 0 selects a free port; repeatable
    #[argh(option)]
    service: Vec<SocketAddr>,
    /// ingress address of a balancer that gets datagrams without a readiness check; repeatable
    #[argh(option)]
    balancer: Vec<SocketAddr>,
    /// seed of the random choice of a balancer
    #[argh(option, default = "1")]
    seed: u64,
}

/// Serve the object store and the VM list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformCommand {
    /// address of the HTTP API
    #[argh(option)]
    address: SocketAddr,
}

/// Serve CoAP requests as an upstream.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstream")]
struct UpstreamCommand {
    /// address of the CoAP server
    #[argh(option)]
    address: SocketAddr,
    /// name of the upstream, which its responses contain
    #[argh(option)]
    name: String,
    /// service that the upstream belongs to
    #[argh(option)]
    service: String,
    /// requests processed at a time
    #[argh(option, default = "2")]
    slots: usize,
    /// processing time of a request in milliseconds
    #[argh(option, default = "0")]
    service_time_ms: u64,
}

impl Emulate {
    /// Runs the emulated component.
    pub fn run(self) -> Result {
        match self.component {
            Component::Callers(callers) => callers.run(),
            Component::Fabric(component) => component.run(),
            Component::Platform(component) => component.run(),
            Component::Site(site) => site.run(),
            Component::Upstream(component) => component.run(),
        }
    }
}

impl FabricCommand {
    fn run(self) -> Result {
        let balancers = self.balancer.into_iter();
        let balancers = balancers
            .map(|ingress| fabric::Target {
                ingress,
                admin: None,
            })
            .collect();
        let fabric = Fabric::start(fabric::Settings {
            services: self.service,
            balancers,
            seed: self.seed,
        })?;
        println!("{}", json!({ "services": fabric.services() }));
        park_forever()
    }
}

impl PlatformCommand {
    fn run(self) -> Result {
        let runtime = runtime::Runtime::new()?;
        runtime.block_on(async {
            let address = Platform::default().serve(self.address).await?;
            println!("{}", json!({ "address": address }));
            future::pending::<Result>().await
        })
    }
}

impl UpstreamCommand {
    fn run(self) -> Result {
        let upstream = Upstream::start(upstream::Settings {
            address: self.address,
            name: self.name,
            service: self.service,
            slots: self.slots,
            behaviour: Behaviour {
                service_time: Duration::from_millis(self.service_time_ms),
                ..Behaviour::default()
            },
            ..upstream::Settings::default()
        })?;
        println!("{}", json!({ "address": upstream.address() }));
        park_forever()
    }
}

/// Parks this thread until the process is stopped.
pub fn park_forever() -> Result {
    loop {
        thread::park();
    }
}
