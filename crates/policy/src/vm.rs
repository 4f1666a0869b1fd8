//! Records of the platform's VM list.

use {
    crate::id::{self, VmId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a VM runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs a balancer.
    Entry,
    /// Runs an upstream.
    Upstream,
}

/// Whether the platform is about to stop a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In use.
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// One entry of the platform's VM list, which may be outdated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name, unique in a deployment.
    pub name: String,
    /// Address of the balancer's peer socket, or of the upstream.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// What the VM runs.
    pub role: Role,
    /// Whether the VM is about to be stopped.
    pub state: State,
}

impl Record {
    /// Returns the identifier that balancers use for this VM.
    pub fn id(&self) -> VmId {
        id::from_name(&self.name)
    }
}
