//! Decisions of stateless flow steering, free of I/O.
//!
//! Where upstreams answer callers directly and both ends return a cookie with every packet, a balancer writes the
//! identity of the chosen upstream into the cookie of the opening packet. Any balancer can then forward any later packet
//! without knowing the flow. See [the platform page](../../../docs/platform.md).
//!
//! Start at [`balancer::Balancer`], which decides about single packets against a [`table::Table`]. [`directory`] and
//! [`list_watch`] keep the table up to date.

pub mod balancer;
pub mod cookie;
pub mod directory;
pub mod fault_injection;
pub mod gossip;
pub mod lifecycle;
pub mod list_watch;
pub mod liveness;
pub mod placement;
pub mod segment;
pub mod table;
pub mod tracker;
pub mod upstream;
