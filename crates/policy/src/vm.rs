//! VMs as the platform lists them.

use {
    crate::id::{self, VmId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a VM does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs a balancer.
    Entry,
    /// Runs an upstream.
    Upstream,
}

/// Whether the platform is about to take a VM away.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In use.
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// One row of the platform's VM list, which lags behind the truth.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name, unique in a deployment.
    pub name: String,
    /// Address of the balancer's peer socket, or of the upstream.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// What the VM does.
    pub role: Role,
    /// Whether the VM is leaving.
    pub state: State,
}

impl Record {
    /// Returns the identifier that balancers use for this VM.
    pub fn id(&self) -> VmId {
        id::from_name(&self.name)
    }
}
