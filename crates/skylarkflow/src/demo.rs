//! The main job on an embedded default: callers, a spraying fabric, balancers and upstreams on loopback.

use {
    crate::{
        command::Result,
        demo_report::{Findings, Service},
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

/// Requests a second to each service, about half of its capacity.
const RATE: f64 = 250.0;

/// Flows of each service.
const FLOWS: usize = 200;

/// Time before, between and after the planned changes.
const PHASE: Duration = Duration::from_secs(4);

/// Time after which an upstream that is leaving must get no new flows.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Flows that are opened to see which upstreams get new flows.
const NEW_FLOWS: usize = 60;

/// Time for an answer to a new flow.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// Time for a planned stop, from the settings' default limit.
const STOP_BOUND: Duration = Duration::from_secs(30);

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
        let writer = self.log.as_ref().map(|path| logs::start(&log(path)));
        let writer = writer.transpose()?;
        let result = self.show();
        if let Some(writer) = writer {
            writer.close();
        }
        result
    }

    fn show(&self) -> Result {
        let mut site = Site::start(self.deployment, self.seed)?;
        println!("{site}");
        let loads = site.services().map(|address| self.load(address));
        let loads = loads.collect::<io::Result<Vec<LoadGenerator>>>()?;
        thread::sleep(PHASE);
        let mut findings = Findings::default();
        findings.planned_stop(replace_balancer(&mut site)?, STOP_BOUND);
        thread::sleep(PHASE);
        let drained = drain_upstream(&mut site, &mut findings)?;
        thread::sleep(PHASE);
        println!(
            "upstream {drained} has been leaving; its flows stay until the callers close them"
        );
        let reports = loads.into_iter().map(LoadGenerator::finish);
        for ((name, upstreams), report) in site.upstreams().zip(reports) {
            findings.service(&Service::new(name, &report, upstreams));
        }
        findings.verdict()
    }

    fn load(&self, service: SocketAddr) -> io::Result<LoadGenerator> {
        let read = RequestKind::default();
        let write = RequestKind {
            name: "post",
            method: RequestType::Post,
            path: "weights".to_owned(),
            ..RequestKind::default()
        };
        LoadGenerator::start(Settings {
            service,
            flows: FLOWS,
            rate: RATE,
            mix: vec![read, write],
            seed: self.seed,
            ..Settings::default()
        })
    }
}

fn log(path: &Path) -> Log {
    Log {
        file: Some(path.to_owned()),
        ..Log::default()
    }
}

fn replace_balancer(site: &mut Site) -> io::Result<Duration> {
    let joined = site.add_balancer()?;
    site.admit_balancers()?;
    println!("balancer {joined} has joined");
    let start = Instant::now();
    let left = site.drain_balancer()?;
    let elapsed = start.elapsed();
    println!("balancer {left} has handed its flows over and stopped after {elapsed:.1?}");
    Ok(elapsed)
}

fn drain_upstream(site: &mut Site, findings: &mut Findings) -> io::Result<String> {
    let (service, name) = site.drain_upstream()?;
    println!("upstream {name} is leaving");
    thread::sleep(DRAIN_BOUND);
    let mut answers = BTreeMap::<String, u32>::new();
    for _ in 0..NEW_FLOWS {
        let mut caller = Caller::new(service)?;
        let response = caller.request(RequestType::Get, "stops", ANSWER_LIMIT)?;
        let text = String::from_utf8_lossy(&response.payload).into_owned();
        let upstream = text.split(' ').next().unwrap_or_default();
        *answers.entry(upstream.to_owned()).or_default() += 1;
    }
    findings.leaving_upstream(answers.get(&name).copied().unwrap_or_default(), NEW_FLOWS);
    Ok(name)
}
