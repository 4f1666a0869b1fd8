//! Settings of a balancer.
//!
//! Every limit of a table, a queue or a message is here, with its unit and its default. [`check`] reports all findings
//! at once, so that an operator corrects a file in one go.

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

/// Least time after which an idle flow may end: EXCHANGE_LIFETIME of RFC 7252, since a retransmission must find the
/// window of its flow.
const MIN_FLOW_IDLE: Duration = Duration::from_secs(247);

/// Settings of a balancer, read from YAML; see [the settings page](../../../docs/settings.md).
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, unique in the deployment.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Availability zones of the deployment that may be the home of a flow even when no balancer of them is known.
    pub zones: Vec<String>,
    /// Address that the fabric delivers datagrams to.
    pub ingress: SocketAddr,
    /// Address that other balancers send to; UDP for datagrams, TCP for links.
    pub peer: SocketAddr,
    /// Base URL of the platform.
    pub platform: String,
    /// Threads.
    pub workers: Workers,
    /// Limits of tables, queues and messages.
    pub limits: Limits,
    /// Planned stop.
    pub drain: Drain,
    /// Administration API.
    pub admin: Admin,
    /// Logs.
    pub log: Log,
    /// Metrics.
    pub metrics: Metrics,
}

/// Threads that read each socket.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workers {
    /// Threads that read datagrams of the fabric.
    pub ingress: usize,
    /// Threads that read datagrams of other balancers.
    pub peer: usize,
    /// Threads that read datagrams of upstreams.
    pub upstream: usize,
}

/// Limits of tables, queues and messages.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Longest datagram that is accepted, in bytes; longer ones are dropped and counted.
    pub datagram_bytes: usize,
    /// Longest control message sent as a datagram, in bytes; longer ones go over a link.
    pub control_bytes: usize,
    /// Longest message of a link, in bytes.
    pub link_bytes: usize,
    /// Messages that wait for one link; more are dropped and counted.
    pub link_queue: usize,
    /// Links that this balancer accepts at a time.
    pub links: usize,
    /// Control messages that wait for the control thread; more are dropped and counted.
    pub control_queue: usize,
    /// Open flows.
    pub flows: usize,
    /// Time without a request after which a flow has ended.
    #[serde(with = "humantime_serde")]
    pub flow_idle: Duration,
    /// Cached responses for retransmissions, in bytes.
    pub cache_bytes: usize,
    /// Receive buffer of each UDP socket, in bytes; the kernel may give less.
    pub socket_bytes: usize,
}

/// Planned stop.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// Time from the first signal to the exit at most.
    #[serde(with = "humantime_serde")]
    pub limit: Duration,
    /// Time without a datagram of the fabric after which a drained balancer exits, so that it passes datagrams on until
    /// the fabric has seen that it is not ready.
    #[serde(with = "humantime_serde")]
    pub quiet: Duration,
}

/// Administration API.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admin {
    /// Address of the HTTP server.
    pub address: SocketAddr,
    /// Bearer token that every call must carry; needed for an address other than loopback.
    pub token: Option<String>,
    /// Connections at a time; more wait in the backlog.
    pub connections: usize,
}

/// Logs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Form of a line.
    pub format: Format,
    /// File that lines are appended to; the standard output stream of `output` if absent.
    pub file: Option<PathBuf>,
    /// Stream that lines are written to without a file.
    pub output: Stream,
    /// Least severe level that is written.
    pub level: Level,
    /// Levels of single targets, such as `flow` or `config`; see the catalogue of events.
    pub targets: BTreeMap<String, Level>,
    /// Lines that wait to be written; more are dropped and counted.
    pub queue: QueueLength,
}

/// Length of the queue of log lines.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(transparent)]
pub struct QueueLength(pub usize);

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object.
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
    /// Faults that need an operator.
    Error,
    /// Faults that the balancer has handled.
    Warn,
    /// Decisions.
    #[default]
    Info,
    /// Details of single datagrams.
    Debug,
    /// Everything.
    Trace,
}

/// Metrics.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// Address of a statsd server; without it the metrics are only in the administration API.
    pub statsd: Option<SocketAddr>,
    /// Prefix of every name.
    pub prefix: String,
    /// Time between two reports.
    #[serde(with = "humantime_serde")]
    pub interval: Duration,
}

/// Settings that cannot be used.
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
    /// The file is not YAML of the expected form.
    #[display("cannot parse the settings {}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: Box<serde_saphyr::Error>,
    },
    /// Values are out of range.
    #[display("the settings are not usable: {}", FindingList(findings))]
    #[error(ignore)]
    Check {
        /// Everything that is wrong.
        findings: Vec<Finding>,
    },
}

/// One thing that is wrong with settings.
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

/// Reads and checks settings.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed, or with every finding of [`check`].
pub fn from_path(path: &Path) -> Result<Settings, Error> {
    read(path, check)
}

/// Reads settings of any command and checks them.
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

/// Returns everything that is wrong with settings.
pub fn check(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_names(settings, &mut findings);
    check_ranges(settings, &mut findings);
    check_admin(&settings.admin, &mut findings);
    if settings.drain.quiet >= settings.drain.limit {
        findings.push(new_finding("drain.quiet", "is not below drain.limit"));
    }
    if settings.limits.flow_idle < MIN_FLOW_IDLE {
        let least = humantime::format_duration(MIN_FLOW_IDLE);
        findings.push(new_finding("limits.flow_idle", format!("is below {least}")));
    }
    if settings.metrics.interval.is_zero() {
        findings.push(new_finding("metrics.interval", "is zero"));
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
        let problem = format!("does not contain the zone {:?} of this VM", settings.zone);
        findings.push(new_finding("zones", problem));
    }
    if !settings.platform.starts_with("http://") {
        findings.push(new_finding("platform", "is not an http:// URL"));
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
        let problem = format!("is needed because {} is not loopback", admin.address);
        findings.push(new_finding("admin.token", problem));
    }
}

fn new_finding(field: &'static str, problem: impl Into<String>) -> Finding {
    Finding {
        field,
        problem: problem.into(),
    }
}
