//! Settings of a balancer that steers flows by cookies.

use {
    crate::settings::{self, Error, Finding, Log},
    serde::Deserialize,
    skylarkflow_steering::{directory, gossip::PeerInfo, lifecycle, list_watch},
    std::{
        net::{Ipv4Addr, SocketAddr},
        path::Path,
        time::Duration,
    },
};

/// Time kept in reserve between the last chance to exit and the end of the grace time, for the log to be written.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Settings of a balancer; see [the settings page](../../../docs/settings.md).
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address that takes the callers' datagrams; callers get resets on its port.
    pub datagrams: SocketAddr,
    /// Address of the HTTP server for readiness and metrics.
    pub http: SocketAddr,
    /// Address of a second HTTP server with the same paths, on a port that does not change.
    pub metrics: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Ports for messages between balancers.
    pub peers: Peers,
    /// Promises of the platform.
    pub bounds: Bounds,
    /// Logs.
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

/// Promises of the platform.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Age in seconds at which a flow may be discarded.
    pub flow_seconds: f64,
    /// Time in seconds between the signal to stop and the kill.
    pub grace_seconds: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            name: "balancer".to_owned(),
            zone: "zone".to_owned(),
            datagrams: any,
            http: any,
            metrics: None,
            store: SocketAddr::from((Ipv4Addr::LOCALHOST, 8080)),
            peers: Peers::default(),
            bounds: Bounds::default(),
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
        }
    }
}

impl Settings {
    /// Returns the settings of the directory of upstreams.
    pub fn directory(&self) -> directory::Settings {
        directory::Settings {
            retention: Duration::from_secs_f64(self.bounds.flow_seconds),
            ..directory::Settings::default()
        }
    }

    /// Returns the settings of a planned stop.
    pub fn lifecycle(&self) -> lifecycle::Settings {
        let grace = Duration::from_secs_f64(self.bounds.grace_seconds);
        lifecycle::Settings {
            max_stop_time: grace.saturating_sub(EXIT_RESERVE),
            ..lifecycle::Settings::default()
        }
    }

    /// Returns where the balancer is for others.
    pub fn place(&self) -> PeerInfo {
        PeerInfo {
            name: self.name.clone(),
            zone: self.zone.clone(),
            address: SocketAddr::new(self.datagrams.ip(), self.peers.first_port),
        }
    }

    /// Returns the settings of the readers of the store.
    pub fn feed(&self) -> list_watch::Settings {
        list_watch::Settings::default()
    }
}

/// Reads and checks settings.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed, or with every finding of [`check`].
pub fn from_path(path: &Path) -> Result<Settings, Error> {
    settings::read(path, check)
}

/// Returns everything that is wrong with settings.
pub fn check(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut find = |field, problem: &str| {
        findings.push(Finding {
            field,
            problem: problem.to_owned(),
        });
    };
    if settings.name.is_empty() {
        find("name", "is empty");
    }
    if settings.zone.is_empty() {
        find("zone", "is empty");
    }
    if settings.peers.first_port > settings.peers.last_port {
        find("peers.first_port", "is above peers.last_port");
    }
    let Bounds {
        flow_seconds,
        grace_seconds,
    } = settings.bounds;
    if !(1.0..=86_400.0).contains(&flow_seconds) {
        find("bounds.flow_seconds", "is not within 1 to 86400");
    }
    if !(1.0..=3_600.0).contains(&grace_seconds) {
        find("bounds.grace_seconds", "is not within 1 to 3600");
    }
    findings
}
