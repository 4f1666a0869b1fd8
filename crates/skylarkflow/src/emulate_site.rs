//! The `emulate site` command: platform, fabric and all upstreams of a deployment in one process.

use {
    crate::{
        command::{CommandError, Result},
        emulate, settings, table_files,
    },
    argh::FromArgs,
    serde_json::json,
    skylarkflow_emulator::{
        fabric::{self, Fabric, Target},
        platform::Platform,
        upstream::{self, Behaviour, Upstream},
    },
    skylarkflow_policy::vm::{Record, Role, State},
    skylarkflow_store::wire,
    std::{io, net::SocketAddr, path::PathBuf, time::Duration},
    tokio::runtime::Runtime,
};

/// Run the platform, the fabric and all upstreams of a table of pools, for the balancers with the given settings.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "site")]
pub struct SiteCommand {
    /// address of the platform's HTTP API
    #[argh(option)]
    platform: SocketAddr,
    /// path of the table of routes
    #[argh(option)]
    routes: PathBuf,
    /// path of the table of pools
    #[argh(option)]
    pools: PathBuf,
    /// processing time of a request at an upstream in milliseconds
    #[argh(option, default = "5")]
    service_time_ms: u64,
    /// paths of the settings of the balancers
    #[argh(positional)]
    settings: Vec<PathBuf>,
}

impl SiteCommand {
    /// Runs until the process is stopped.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or has findings, or an address cannot be bound.
    pub fn run(self) -> Result {
        let tables =
            table_files::read_and_check(&self.routes, &self.pools).map_err(|findings| {
                table_files::print_findings(&findings);
                CommandError::from(io::Error::from(io::ErrorKind::InvalidInput))
            })?;
        let settings = self.settings.iter().map(|path| settings::from_path(path));
        let settings: Vec<settings::Settings> = settings
            .collect::<std::result::Result<_, _>>()
            .map_err(CommandError::invalid_input)?;
        let runtime = Runtime::new()?;
        let platform = Platform::default();
        let address = runtime.block_on(platform.serve(self.platform))?;
        settings
            .iter()
            .map(vm_record)
            .for_each(|vm| platform.set_vm(vm));
        let upstreams = self.start_upstreams(&tables.pools)?;
        let fabric = Fabric::start(fabric::Settings {
            services: tables.routes.iter().map(|route| route.address).collect(),
            balancers: settings.iter().map(fabric_target).collect(),
            ..fabric::Settings::default()
        })?;
        let count = upstreams.len();
        let services = fabric.services();
        println!(
            "{}",
            json!({ "platform": address, "services": services, "upstreams": count })
        );
        emulate::park_forever()
    }

    fn start_upstreams(&self, pools: &[wire::Pool]) -> io::Result<Vec<Upstream>> {
        let mut upstreams = Vec::new();
        for pool in pools {
            for entry in &pool.upstreams {
                upstreams.push(self.start_upstream(pool, entry)?);
            }
        }
        Ok(upstreams)
    }

    fn start_upstream(&self, pool: &wire::Pool, entry: &wire::Upstream) -> io::Result<Upstream> {
        Upstream::start(upstream::Settings {
            address: entry.address,
            name: entry.name.clone(),
            service: pool.name.clone(),
            slots: pool.slots as usize,
            behaviour: Behaviour {
                service_time: Duration::from_millis(self.service_time_ms),
                ..Behaviour::default()
            },
            ..upstream::Settings::default()
        })
    }
}

fn vm_record(settings: &settings::Settings) -> Record {
    Record {
        name: settings.name.clone(),
        address: settings.peer,
        zone: settings.zone.clone(),
        role: Role::Entry,
        state: State::Live,
    }
}

fn fabric_target(settings: &settings::Settings) -> Target {
    Target {
        ingress: settings.ingress,
        admin: Some(settings.admin.address),
    }
}
