//! The `demo` command: runs a deployment with callers on loopback and checks the guarantees to callers.

use {
    crate::{
        command::Result,
        demo_report::{GuaranteeChecks, ServiceSummary},
        demo_site::{self, Site},
        logs,
        settings::Log,
    },
    argh::FromArgs,
    coap_lite::RequestType,
    skylarkflow_emulator::{
        caller::Caller,
        load_generator::{LoadGenerator, RequestKind, Settings},
    },
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        path::{Path, PathBuf},
        thread,
        time::{Duration, Instant},
    },
};

/// Requests per second to each service, about half of its capacity.
const REQUESTS_PER_SECOND: f64 = 250.0;

/// Flows of each service.
const FLOWS_PER_SERVICE: usize = 200;

/// Time under load before, between and after the planned changes.
const PHASE_TIME: Duration = Duration::from_secs(4);

/// Time after the start of a drain from which the upstream must get no new flows.
const DRAIN_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Flows that are opened to check which upstreams get new flows.
const NEW_FLOWS: usize = 60;

/// Timeout of the first request of a new flow.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest permitted drain of a balancer, equal to the default of `drain.limit`.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Replace a balancer and drain an upstream under load, and check that the guarantees to callers hold.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "demo",
    example = "Run the demo at the sizes of the second deployment:\n$ skylarkflow demo --deployment verfkant",
    error_code(1, "A guarantee was violated.")
)]
pub struct Demo {
    /// deployment to run: cascade (default) or verfkant
    #[argh(option, default = "demo_site::Deployment::Cascade")]
    deployment: demo_site::Deployment,
    /// seed of the request arrivals and of the fabric
    #[argh(option, default = "1")]
    seed: u64,
    /// path of the file to append the log lines of all balancers to
    #[argh(option)]
    log: Option<PathBuf>,
}

impl Demo {
    /// Runs the demo.
    ///
    /// # Errors
    ///
    /// Fails if a guarantee was violated or a socket cannot be opened.
    pub fn run(self) -> Result {
        let writer = self
            .log
            .as_ref()
            .map(|path| logs::start(&log_settings(path)));
        let writer = writer.transpose()?;
        let result = self.run_deployment();
        if let Some(writer) = writer {
            writer.close();
        }
        result
    }

    fn run_deployment(&self) -> Result {
        let mut site = Site::start(self.deployment, self.seed)?;
        println!("{site}");
        let loads = site.services().map(|address| self.start_load(address));
        let loads = loads.collect::<io::Result<Vec<LoadGenerator>>>()?;
        thread::sleep(PHASE_TIME);
        let mut checks = GuaranteeChecks::default();
        checks.check_balancer_drain(replace_balancer(&mut site)?, DRAIN_TIMEOUT);
        thread::sleep(PHASE_TIME);
        let drained = drain_upstream(&mut site, &mut checks)?;
        thread::sleep(PHASE_TIME);
        println!(
            "upstream {drained} is still draining; its flows remain until the callers close them"
        );
        let reports = loads.into_iter().map(LoadGenerator::finish);
        for ((name, upstreams), report) in site.upstreams().zip(reports) {
            checks.check_service(&ServiceSummary::new(name, &report, upstreams));
        }
        checks.finish()
    }

    fn start_load(&self, service: SocketAddr) -> io::Result<LoadGenerator> {
        let get = RequestKind::default();
        let post = RequestKind {
            name: "post",
            method: RequestType::Post,
            path: "weights".to_owned(),
            ..RequestKind::default()
        };
        LoadGenerator::start(Settings {
            service,
            flows: FLOWS_PER_SERVICE,
            rate: REQUESTS_PER_SECOND,
            mix: vec![get, post],
            seed: self.seed,
            ..Settings::default()
        })
    }
}

fn log_settings(path: &Path) -> Log {
    Log {
        file: Some(path.to_owned()),
        ..Log::default()
    }
}

fn replace_balancer(site: &mut Site) -> io::Result<Duration> {
    let joined = site.add_balancer()?;
    site.activate_balancers()?;
    println!("balancer {joined} has joined");
    let start = Instant::now();
    let drained = site.drain_balancer()?;
    let elapsed = start.elapsed();
    println!("balancer {drained} handed its flows over and stopped after {elapsed:.1?}");
    Ok(elapsed)
}

fn drain_upstream(site: &mut Site, checks: &mut GuaranteeChecks) -> io::Result<String> {
    let (service, name) = site.drain_upstream()?;
    println!("upstream {name} is draining");
    thread::sleep(DRAIN_PROPAGATION_TIME);
    let mut responses = BTreeMap::<String, u32>::new();
    for _ in 0..NEW_FLOWS {
        let mut caller = Caller::new(service)?;
        let response = caller.request(RequestType::Get, "stops", RESPONSE_TIMEOUT)?;
        let text = String::from_utf8_lossy(&response.payload).into_owned();
        let upstream = text.split(' ').next().unwrap_or_default();
        *responses.entry(upstream.to_owned()).or_default() += 1;
    }
    checks.check_draining_upstream(responses.get(&name).copied().unwrap_or_default(), NEW_FLOWS);
    Ok(name)
}
