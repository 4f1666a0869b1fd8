//! The main job on an embedded default: callers, a spraying fabric, balancers and upstreams on loopback.

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
        load::{Kind, Load, Settings},
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

/// Requests a second to each service, about half of its capacity.
const REQUESTS_PER_SECOND: f64 = 250.0;

/// Flows of each service.
const FLOWS_PER_SERVICE: usize = 200;

/// Time before, between and after the planned changes.
const PHASE_TIME: Duration = Duration::from_secs(4);

/// Time after which an upstream that is leaving must get no new flows.
const DRAIN_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Flows that are opened to see which upstreams get new flows.
const NEW_FLOWS: usize = 60;

/// Time for an answer to a new flow.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for a planned stop, from the settings' default limit.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Show a planned balancer change and an upstream drain under load, and check that no promise is broken.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "demo",
    example = "Run the demo at the sizes of the second deployment:\n$ skylarkflow demo --deployment verfkant",
    error_code(1, "a promise was broken")
)]
pub struct Demo {
    /// deployment to run: cascade (default) or verfkant
    #[argh(option, default = "demo_site::Deployment::Cascade")]
    deployment: demo_site::Deployment,
    /// seed of arrivals and of the fabric
    #[argh(option, default = "1")]
    seed: u64,
    /// file that the log lines of all balancers are appended to
    #[argh(option)]
    log: Option<PathBuf>,
}

impl Demo {
    /// Runs the demo.
    ///
    /// # Errors
    ///
    /// Fails if a promise was broken or a socket cannot be had.
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
        let loads = loads.collect::<io::Result<Vec<Load>>>()?;
        thread::sleep(PHASE_TIME);
        let mut checks = GuaranteeChecks::default();
        checks.check_planned_stop(replace_balancer(&mut site)?, STOP_TIMEOUT);
        thread::sleep(PHASE_TIME);
        let drained = drain_upstream(&mut site, &mut checks)?;
        thread::sleep(PHASE_TIME);
        println!(
            "upstream {drained} has been leaving; its flows stay until the callers close them"
        );
        let reports = loads.into_iter().map(Load::finish);
        for ((name, upstreams), report) in site.upstreams().zip(reports) {
            checks.check_service(&ServiceSummary::new(name, &report, upstreams));
        }
        checks.finish()
    }

    fn start_load(&self, service: SocketAddr) -> io::Result<Load> {
        let get = Kind::default();
        let post = Kind {
            name: "post",
            method: RequestType::Post,
            path: "weights".to_owned(),
            ..Kind::default()
        };
        Load::start(Settings {
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
    site.await_balancers()?;
    println!("balancer {joined} has joined");
    let start = Instant::now();
    let left = site.drain_balancer()?;
    let elapsed = start.elapsed();
    println!("balancer {left} has handed its flows over and stopped after {elapsed:.1?}");
    Ok(elapsed)
}

fn drain_upstream(site: &mut Site, checks: &mut GuaranteeChecks) -> io::Result<String> {
    let (service, name) = site.drain_upstream()?;
    println!("upstream {name} is leaving");
    thread::sleep(DRAIN_PROPAGATION_TIME);
    let mut answers = BTreeMap::<String, u32>::new();
    for _ in 0..NEW_FLOWS {
        let mut caller = Caller::new(service)?;
        let response = caller.request(RequestType::Get, "stops", ANSWER_TIMEOUT)?;
        let text = String::from_utf8_lossy(&response.payload).into_owned();
        let upstream = text.split(' ').next().unwrap_or_default();
        *answers.entry(upstream.to_owned()).or_default() += 1;
    }
    checks.check_draining_upstream(answers.get(&name).copied().unwrap_or_default(), NEW_FLOWS);
    Ok(name)
}
