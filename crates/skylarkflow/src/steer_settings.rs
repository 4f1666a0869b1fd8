//! Settings of a balancer that routes the packets of a flow by the cookie that they carry.

use {
    crate::{
        settings::{self, Error, Finding, Log},
        steer_sources::ObjectKind,
    },
    serde::{Deserialize, Deserializer, de::Error as _},
    skylarkflow_steering::{
        admission, directory, gossip::PeerInfo, lifecycle, list_watch, placement, warmup_budget,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        path::Path,
        time::Duration,
    },
};

/// Part of the grace period that is reserved for writing the log after the latest exit of a draining balancer.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Settings of a balancer; see [the settings page](../../../docs/settings.md).
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address that receives the callers' datagrams; callers receive resets on the same port.
    pub datagrams: SocketAddr,
    /// Address of the HTTP server for readiness and metrics.
    pub http: SocketAddr,
    /// Address of an optional second HTTP server with the same paths, on a port that does not change.
    pub metrics: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Ports for messages between balancers.
    pub peers: Peers,
    /// Time limits that the platform guarantees.
    pub bounds: Bounds,
    /// Decisions that follow the load.
    pub load: Load,
    /// Logging.
    pub log: Log,
}

/// Ports for messages between balancers, the same on every VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// First port.
    pub first_port: u16,
    /// Last port.
    pub last_port: u16,
}

/// Time limits that the platform guarantees.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Age in seconds at which a flow may be discarded.
    pub flow_seconds: f64,
    /// Grace period in seconds between SIGTERM and SIGKILL.
    pub grace_seconds: f64,
    /// Time in milliseconds within which the evacuation of a zone has to be in force; `None` if zones are not evacuated.
    #[serde(deserialize_with = "optional_number")]
    pub evacuate_ms: Option<f64>,
    /// Factor of the rate of a pool in the bound of openings for a cold upstream; `None` without a bound.
    #[serde(deserialize_with = "optional_number")]
    pub warmup_excess: Option<f64>,
    /// Openings in a second beside it.
    #[serde(deserialize_with = "optional_number")]
    pub warmup_slack: Option<f64>,
}

/// Decisions that follow the load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// How the upstream of a new flow is chosen.
    pub placement: Placement,
    /// Whether new flows are refused when upstreams have no room.
    pub admission: Admission,
}

/// How the upstream of a new flow is chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Placement {
    /// By the flows and requests that this balancer has placed.
    #[default]
    Counts,
    /// By the remaining work that is learned from responses.
    Learned,
    /// In addition, each balancer prefers some upstreams of its zone.
    Subset,
}

/// Whether new flows are refused when upstreams have no room.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Admission {
    /// All are admitted.
    #[default]
    None,
    /// The admitted share follows the refusals of upstreams.
    Adaptive,
}

/// Number of which a template writes the text between quotes.
#[derive(Deserialize)]
#[serde(untagged)]
enum OptionalNumber {
    Number(f64),
    Text(String),
}

/// Reads a number that may be absent: the text is empty if the platform does not state it, or is still the placeholder
/// if the template was rendered by a program that does not know it.
fn optional_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    match Option::<OptionalNumber>::deserialize(deserializer)? {
        None => Ok(None),
        Some(OptionalNumber::Number(number)) => Ok(Some(number)),
        Some(OptionalNumber::Text(text)) if text.is_empty() || text.starts_with("{{") => Ok(None),
        Some(OptionalNumber::Text(text)) => {
            // YAML writes special values with a point, as in `.nan`.
            let text = text.replace(".nan", "nan").replace(".inf", "inf");
            text.parse().map(Some).map_err(D::Error::custom)
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            name: "balancer".to_owned(),
            zone: "zone".to_owned(),
            datagrams: any_port,
            http: any_port,
            metrics: None,
            store: SocketAddr::from((Ipv4Addr::LOCALHOST, 8080)),
            peers: Peers::default(),
            bounds: Bounds::default(),
            load: Load::default(),
            log: Log::default(),
        }
    }
}

impl Default for Peers {
    fn default() -> Peers {
        Peers {
            first_port: 7200,
            last_port: 7215,
        }
    }
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            flow_seconds: 60.0,
            grace_seconds: 6.0,
            evacuate_ms: None,
            warmup_excess: None,
            warmup_slack: None,
        }
    }
}

impl Settings {
    /// Returns the settings of the upstream directory.
    pub fn upstream_directory(&self) -> directory::Settings {
        directory::Settings {
            retention: Duration::from_secs_f64(self.bounds.flow_seconds),
            ..directory::Settings::default()
        }
    }

    /// Returns the settings of the admission of new flows; `None` admits all.
    pub fn admission(&self) -> Option<admission::Settings> {
        match self.load.admission {
            Admission::None => None,
            Admission::Adaptive => Some(admission::Settings::default()),
        }
    }

    /// Returns the settings of the drain of this balancer.
    pub fn lifecycle(&self) -> lifecycle::Settings {
        let grace = Duration::from_secs_f64(self.bounds.grace_seconds);
        lifecycle::Settings {
            max_drain_time: grace.saturating_sub(EXIT_RESERVE),
            ..lifecycle::Settings::default()
        }
    }

    /// Returns the settings of the choice of an upstream.
    pub fn placement(&self) -> placement::Settings {
        let policy = match self.load.placement {
            Placement::Counts => placement::Policy::Counts,
            Placement::Learned => placement::Policy::Learned,
            Placement::Subset => placement::Policy::Subset,
        };
        placement::Settings {
            policy,
            ..placement::Settings::default()
        }
    }

    /// Returns the bounds of cold upstreams; `None` if the platform states none.
    pub fn warmup_bounds(&self) -> Option<warmup_budget::Bounds> {
        Some(warmup_budget::Bounds {
            excess: self.bounds.warmup_excess?,
            slack: self.bounds.warmup_slack?,
        })
    }

    /// Returns the name, zone and address under which peers know this balancer.
    pub fn peer_info(&self) -> PeerInfo {
        PeerInfo {
            name: self.name.clone(),
            zone: self.zone.clone(),
            address: SocketAddr::new(self.datagrams.ip(), self.peers.first_port),
        }
    }

    /// Returns the settings for listing and watching a kind of object of the store.
    pub fn list_watch(&self, kind: ObjectKind) -> list_watch::Settings {
        list_watch::Settings {
            prefers_peers: kind == ObjectKind::Evacuations,
            ..list_watch::Settings::default()
        }
    }
}

/// Reads and checks settings.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed, or with all findings of [`check`].
pub fn from_path(path: &Path) -> Result<Settings, Error> {
    settings::read(path, check)
}

/// Returns a finding for each invalid setting.
pub fn check(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut report = |field, problem: &str| {
        findings.push(Finding {
            field,
            problem: problem.to_owned(),
        });
    };
    if settings.name.is_empty() {
        report("name", "is empty");
    }
    if settings.zone.is_empty() {
        report("zone", "is empty");
    }
    if settings.peers.first_port > settings.peers.last_port {
        report("peers.first_port", "is above peers.last_port");
    }
    let Bounds {
        flow_seconds,
        grace_seconds,
        evacuate_ms,
        warmup_excess,
        warmup_slack,
    } = settings.bounds;
    if !(1.0..=86_400.0).contains(&flow_seconds) {
        report("bounds.flow_seconds", "is not within 1 to 86400");
    }
    if !(1.0..=3_600.0).contains(&grace_seconds) {
        report("bounds.grace_seconds", "is not within 1 to 3600");
    }
    if evacuate_ms.is_some_and(|millis| !(1.0..=3_600_000.0).contains(&millis)) {
        report("bounds.evacuate_ms", "is not within 1 to 3600000");
    }
    if warmup_excess.is_some_and(|excess| !(0.0..=1_000.0).contains(&excess)) {
        report("bounds.warmup_excess", "is not within 0 to 1000");
    }
    if warmup_slack.is_some_and(|slack| !(0.0..=1_000_000.0).contains(&slack)) {
        report("bounds.warmup_slack", "is not within 0 to 1000000");
    }
    match (warmup_excess, warmup_slack) {
        (Some(_), None) => report(
            "bounds.warmup_slack",
            "is missing beside bounds.warmup_excess",
        ),
        (None, Some(_)) => report(
            "bounds.warmup_excess",
            "is missing beside bounds.warmup_slack",
        ),
        _ => {}
    }
    findings
}
