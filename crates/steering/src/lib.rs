//! Decision logic of stateless flow steering, without I/O.
//!
//! Upstreams answer callers directly (direct server return), and both ends return a cookie with every packet. A
//! balancer writes a cookie that identifies the chosen upstream into the opening packet of a flow. Any balancer can
//! then forward any later packet of the flow without per-flow state. See [the platform
//! page](../../../docs/platform.md).
//!
//! Start at [`balancer::Balancer`], which decides about each packet by means of a [`table::Table`]. [`directory`] and
//! [`list_watch`] keep the table up to date; [`gossip`] exchanges table versions between balancers.

pub mod admission;
pub mod balancer;
pub mod cookie;
pub mod cost;
pub mod directory;
mod directory_entry;
pub mod evacuation;
pub mod evacuation_watch;
pub mod fault_injection;
pub mod fetches;
pub mod gossip;
mod gossip_settings;
pub mod held_packets;
pub mod lifecycle;
pub mod list_watch;
pub mod liveness;
mod opening;
pub mod placement;
pub mod pool_admission;
pub mod position;
pub mod rank;
mod receivers;
pub mod refusal;
pub mod report;
pub mod segment;
pub mod speed;
pub mod subset;
pub mod table;
pub mod tracker;
pub mod upstream;
pub mod warmup_budget;
