//! Settings of a balancer.
//!
//! Contains every limit of a table, a queue or a message, with its unit and its default. [`check`] reports all findings
//! at once, so that an operator can correct them together.

use {
    derive_more::{Display, Error},
    log::LevelFilter,
    serde::{Deserialize, de::DeserializeOwned},
    std::{
        collections::BTreeMap,
        fmt, fs, io,
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Largest UDP payload over IPv4, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Minimum of `limits.flow_idle`: EXCHANGE_LIFETIME of RFC 7252. A retransmission can arrive until then, and its flow
/// holds the state that deduplicates it.
const MIN_FLOW_IDLE: Duration = Duration::from_secs(247);

/// Settings of a balancer, read from YAML; see [the settings page](../../../docs/settings.md).
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, unique in the deployment.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Availability zones of the deployment. Any of them can be the home zone of a flow, even if no balancer of it is
    /// known.
    pub zones: Vec<String>,
    /// Address that the fabric delivers datagrams to.
    pub ingress: SocketAddr,
    /// Address that other balancers send to: UDP for datagrams, TCP for links.
    pub peer: SocketAddr,
    /// Base URL of the platform.
    pub platform: String,
    /// Numbers of threads.
    pub workers: Workers,
    /// Limits of tables, queues and messages.
    pub limits: Limits,
    /// Drain of this balancer before it stops.
    pub drain: Drain,
    /// Administration API.
    pub admin: Admin,
    /// Logs.
    pub log: Log,
    /// Metrics.
    pub metrics: Metrics,
}

/// Number of threads that receive from each socket.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workers {
    /// Threads that receive datagrams of the fabric.
    pub ingress: usize,
    /// Threads that receive datagrams of other balancers.
    pub peer: usize,
    /// Threads that receive datagrams of upstreams.
    pub upstream: usize,
}

/// Limits of tables, queues and messages.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum length of a received datagram, in bytes; longer ones are dropped and counted.
    pub datagram_bytes: usize,
    /// Maximum length of a control message sent as a datagram, in bytes; longer ones are sent over a link.
    pub control_bytes: usize,
    /// Maximum length of a message sent over a link, in bytes.
    pub link_bytes: usize,
    /// Maximum number of messages queued for one link; further ones are dropped and counted.
    pub link_queue: usize,
    /// Maximum number of links accepted from other balancers at a time.
    pub links: usize,
    /// Maximum number of inputs queued for the control thread; further ones are dropped and counted.
    pub control_queue: usize,
    /// Maximum number of open flows.
    pub flows: usize,
    /// Time without a request after which a flow is closed.
    #[serde(with = "humantime_serde")]
    pub flow_idle: Duration,
    /// Maximum size of the cache of responses to retransmitted requests, in bytes.
    pub cache_bytes: usize,
    /// Size of the receive buffer of each UDP socket, in bytes; the kernel may cap it.
    pub socket_bytes: usize,
}

/// Drain of a balancer before it stops.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// Longest time from the start of the drain to the exit.
    #[serde(with = "humantime_serde")]
    pub limit: Duration,
    /// Time without a datagram of the fabric after which a drained balancer exits. Until then it forwards datagrams,
    /// because the fabric may not have noticed yet that it is not ready.
    #[serde(with = "humantime_serde")]
    pub quiet: Duration,
}

/// Administration API.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admin {
    /// Address of the HTTP server.
    pub address: SocketAddr,
    /// Bearer token that every request must carry; required unless the address is loopback.
    pub token: Option<String>,
    /// Maximum number of open connections; further ones wait in the backlog.
    pub connections: usize,
}

/// Logs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Format of a line.
    pub format: Format,
    /// File that lines are appended to; if absent, lines are written to `output`.
    pub file: Option<PathBuf>,
    /// Stream that lines are written to if no file is set.
    pub output: Stream,
    /// Least severe level that is written.
    pub level: Level,
    /// Levels of individual targets, such as `flow` or `config`; see the catalogue of events.
    pub targets: BTreeMap<String, Level>,
    /// Maximum number of lines queued for writing; further ones are dropped and counted.
    pub queue: QueueLength,
}

/// Maximum number of queued log lines.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(transparent)]
pub struct QueueLength(pub usize);

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Stream that log lines are written to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Stream {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing.
    Off,
    /// Faults that an operator must fix.
    Error,
    /// Faults that the balancer handles itself.
    Warn,
    /// Decisions, such as the upstream of a flow.
    #[default]
    Info,
    /// Details of individual datagrams and flows.
    Debug,
    /// Everything.
    Trace,
}

/// Metrics.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// Address of a statsd server; if absent, metrics are available only over the administration API.
    pub statsd: Option<SocketAddr>,
    /// Prefix of every metric name.
    pub prefix: String,
    /// Time between two reports to the statsd server.
    #[serde(with = "humantime_serde")]
    pub interval: Duration,
}

/// Reason why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The file cannot be read.
    #[display("cannot read the settings {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not valid YAML, or a setting is unknown or has the wrong type.
    #[display("cannot parse the settings {}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: Box<serde_saphyr::Error>,
    },
    /// Values are missing, out of range or contradictory.
    #[display("the settings are not usable: {}", FindingList(findings))]
    #[error(ignore)]
    Check {
        /// All findings.
        findings: Vec<Finding>,
    },
}

/// An invalid setting.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{field}: {problem}")]
pub struct Finding {
    /// Path of the setting, such as `admin.token`.
    pub field: &'static str,
    /// What is wrong.
    pub problem: String,
}

struct FindingList<'a>(&'a [Finding]);

impl Default for Settings {
    fn default() -> Settings {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            name: "balancer".to_owned(),
            zone: "zone".to_owned(),
            zones: Vec::new(),
            ingress: loopback,
            peer: loopback,
            platform: "http://127.0.0.1:8080".to_owned(),
            workers: Workers::default(),
            limits: Limits::default(),
            drain: Drain::default(),
            admin: Admin::default(),
            log: Log::default(),
            metrics: Metrics::default(),
        }
    }
}

impl Default for Workers {
    fn default() -> Workers {
        Workers {
            ingress: 2,
            peer: 2,
            upstream: 2,
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            datagram_bytes: MAX_DATAGRAM_BYTES,
            control_bytes: 1_400,
            link_bytes: 4 << 20,
            link_queue: 256,
            links: 64,
            control_queue: 4_096,
            flows: 400_000,
            flow_idle: Duration::from_secs(3_600),
            cache_bytes: 16 << 20,
            socket_bytes: 4 << 20,
        }
    }
}

impl Default for Drain {
    fn default() -> Drain {
        Drain {
            limit: Duration::from_secs(30),
            quiet: Duration::from_secs(1),
        }
    }
}

impl Default for Admin {
    fn default() -> Admin {
        Admin {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            token: None,
            connections: 64,
        }
    }
}

impl Default for QueueLength {
    fn default() -> QueueLength {
        QueueLength(65_536)
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            statsd: None,
            prefix: "skylarkflow".to_owned(),
            interval: Duration::from_secs(1),
        }
    }
}

impl Level {
    /// Returns the filter of the log crate.
    pub fn filter(self) -> LevelFilter {
        match self {
            Level::Off => LevelFilter::Off,
            Level::Error => LevelFilter::Error,
            Level::Warn => LevelFilter::Warn,
            Level::Info => LevelFilter::Info,
            Level::Debug => LevelFilter::Debug,
            Level::Trace => LevelFilter::Trace,
        }
    }
}

impl fmt::Display for FindingList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(formatter, "{separator}{finding}")?;
        }
        Ok(())
    }
}

/// Reads and checks the settings of a balancer.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed, or with every finding of [`check`].
pub fn from_path(path: &Path) -> Result<Settings, Error> {
    read(path, check)
}

/// Reads settings of any type and checks them with `check`.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed, or with every finding of `check`.
pub fn read<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Vec<Finding>,
) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    let settings = serde_saphyr::from_str(&text).map_err(|source| Error::Parse {
        path: path.to_owned(),
        source: Box::new(source),
    })?;
    let findings = check(&settings);
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(Error::Check { findings })
    }
}

/// Returns all invalid settings.
pub fn check(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_names(settings, &mut findings);
    check_ranges(settings, &mut findings);
    check_admin(&settings.admin, &mut findings);
    if settings.drain.quiet >= settings.drain.limit {
        let Drain { quiet, limit } = settings.drain;
        let quiet = humantime::format_duration(quiet);
        let limit = humantime::format_duration(limit);
        let problem = format!("is {quiet}, must be below drain.limit {limit}");
        findings.push(new_finding("drain.quiet", problem));
    }
    if settings.limits.flow_idle < MIN_FLOW_IDLE {
        let idle = humantime::format_duration(settings.limits.flow_idle);
        let minimum = humantime::format_duration(MIN_FLOW_IDLE);
        findings.push(new_finding(
            "limits.flow_idle",
            format!("is {idle}, must be at least {minimum}"),
        ));
    }
    if settings.metrics.interval.is_zero() {
        findings.push(new_finding(
            "metrics.interval",
            "is zero, must be above zero",
        ));
    }
    findings
}

fn check_names(settings: &Settings, findings: &mut Vec<Finding>) {
    if settings.name.is_empty() {
        findings.push(new_finding("name", "is empty"));
    }
    if settings.zone.is_empty() {
        findings.push(new_finding("zone", "is empty"));
    }
    if !settings.zones.is_empty() && !settings.zones.contains(&settings.zone) {
        let problem = format!("must contain {:?}, the zone of this VM", settings.zone);
        findings.push(new_finding("zones", problem));
    }
    if !settings.platform.starts_with("http://") {
        let problem = format!("is {:?}, must start with http://", settings.platform);
        findings.push(new_finding("platform", problem));
    }
}

fn check_ranges(settings: &Settings, findings: &mut Vec<Finding>) {
    let Settings {
        workers,
        limits,
        log,
        ..
    } = settings;
    let ranges = [
        ("workers.ingress", workers.ingress, 1, 64),
        ("workers.peer", workers.peer, 1, 64),
        ("workers.upstream", workers.upstream, 1, 64),
        (
            "limits.datagram_bytes",
            limits.datagram_bytes,
            576,
            MAX_DATAGRAM_BYTES,
        ),
        (
            "limits.control_bytes",
            limits.control_bytes,
            512,
            MAX_DATAGRAM_BYTES,
        ),
        ("limits.link_bytes", limits.link_bytes, 1 << 20, 64 << 20),
        ("limits.link_queue", limits.link_queue, 1, 65_536),
        ("limits.links", limits.links, 1, 4_096),
        ("limits.control_queue", limits.control_queue, 1, 1 << 20),
        ("limits.flows", limits.flows, 64, 1 << 26),
        ("limits.cache_bytes", limits.cache_bytes, 65_536, 4 << 30),
        ("limits.socket_bytes", limits.socket_bytes, 4_096, 256 << 20),
        ("admin.connections", settings.admin.connections, 1, 4_096),
        ("log.queue", log.queue.0, 1, 1 << 24),
    ];
    for (field, value, min, max) in ranges {
        if !(min..=max).contains(&value) {
            let problem = format!("is {value}, must be {min} to {max}");
            findings.push(new_finding(field, problem));
        }
    }
}

fn check_admin(admin: &Admin, findings: &mut Vec<Finding>) {
    let token = admin.token.as_deref();
    if token.is_some_and(str::is_empty) {
        findings.push(new_finding("admin.token", "is empty"));
    }
    if token.is_none() && !admin.address.ip().is_loopback() {
        let problem = format!(
            "is required because admin.address {} is not loopback",
            admin.address
        );
        findings.push(new_finding("admin.token", problem));
    }
}

fn new_finding(field: &'static str, problem: impl Into<String>) -> Finding {
    Finding {
        field,
        problem: problem.into(),
    }
}
