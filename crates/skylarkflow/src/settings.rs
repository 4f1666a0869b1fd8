//! Settings of a balancer.

use {
    serde::Deserialize,
    std::net::{Ipv4Addr, SocketAddr},
};

/// Settings of a balancer, read from YAML; see [the configuration page](../../../docs/configuration.md).
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, unique in the deployment.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address that the fabric delivers datagrams to.
    pub ingress: SocketAddr,
    /// Address that other balancers send to.
    pub peer: SocketAddr,
    /// Base URL of the platform.
    pub platform: String,
}

impl Default for Settings {
    fn default() -> Settings {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            name: "balancer".to_owned(),
            zone: "zone".to_owned(),
            ingress: any,
            peer: any,
            platform: "http://127.0.0.1:8080".to_owned(),
        }
    }
}
