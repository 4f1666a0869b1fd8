//! Decisions of the skylarkflow load balancer, free of I/O.
//!
//! Every state machine in this crate takes a time, an event and, where it needs one, a seeded random source, and
//! returns actions. Nothing here opens a socket, reads a clock or starts a thread, so that a script in virtual time
//! gives the same verdict on every run. See [the design page](../../../docs/design.md) for the rules and their reasons.
//!
//! Start at [`balancer::Core`], which puts the modules together for one balancer.

mod background;
pub mod balancer;
mod complete_request;
pub mod concurrency_limit;
pub mod config;
pub mod config_object;
pub mod config_reader;
pub mod config_relay;
pub mod config_store;
mod context;
pub mod dedupe;
pub mod deployment;
pub mod dispatch;
pub mod drain;
pub mod event;
pub mod exchange;
pub mod flow;
pub mod gossip;
pub mod handover;
pub mod health;
pub mod history;
pub mod id;
pub mod lookup;
pub mod member;
pub mod member_list;
mod membership_interval;
pub mod node;
pub mod owner;
pub mod path;
pub mod placement;
pub mod pool;
pub mod queue;
pub mod quorum;
mod receive_request;
pub mod retry;
pub mod service_time;
mod shard;
pub mod swim;
pub mod token_bucket;
mod transfer;
pub mod upstream;
pub mod upstream_set;
pub mod vm;
pub mod zone;
mod zone_probe;

pub use crate::id::{Generation, Incarnation, Map, PoolId, RouteId, Set, UpstreamId, VmId};
