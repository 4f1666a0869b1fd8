//! Decision logic of stateless flow steering, without I/O.
//!
//! Upstreams answer callers directly (direct server return), and both ends return a cookie with every packet. A
//! balancer writes a cookie that identifies the chosen upstream into the opening packet of a flow. Any balancer can
//! then forward any later packet of the flow without per-flow state. See [the platform
//! page](../../../docs/platform.md).
//!
//! Start at [`balancer::Balancer`], which decides about each packet by means of a [`table::Table`]. [`directory`] and
//! [`list_watch`] keep the table up to date; [`gossip`] exchanges table versions between balancers.

pub mod balancer;
pub mod cookie;
pub mod directory;
mod directory_entry;
pub mod fault_injection;
pub mod fetches;
pub mod gossip;
pub mod lifecycle;
pub mod list_watch;
pub mod liveness;
pub mod placement;
pub mod position;
mod receivers;
pub mod report;
pub mod segment;
pub mod table;
pub mod tracker;
pub mod upstream;
pub mod warmup_budget;
