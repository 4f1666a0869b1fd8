//! Decision logic of the skylarkflow load balancer, without I/O.
//!
//! Every state machine in this crate takes the current time, an event and, where it needs one, a seeded random number
//! generator, and returns actions. Nothing here opens a socket, reads a clock or starts a thread, so a test in virtual
//! time is deterministic. See [the design page](../../../docs/design.md) for the rules and their reasons.
//!
//! [`balancer::Core`] combines the modules into one balancer and is the place to start reading.

mod background_handover;
pub mod balancer;
pub mod compact;
mod complete_request;
pub mod concurrency_limit;
pub mod config;
pub mod config_object;
pub mod config_reader;
pub mod config_relay;
pub mod config_store;
pub mod dedupe;
pub mod deployment;
pub mod dispatch;
pub mod drain;
pub mod event;
mod event_context;
pub mod exchange;
pub mod flow;
pub mod gossip;
pub mod handover;
pub mod health;
pub mod id;
pub mod lookup;
pub mod member;
pub mod member_list;
mod membership_interval;
pub mod node;
pub mod owner;
pub mod path;
mod peer_messages;
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
pub mod upstream;
pub mod upstream_set;
pub mod view_history;
pub mod vm;
pub mod zone;
mod zone_probe;

pub use crate::id::{Generation, Incarnation, Map, PoolId, RouteId, Set, UpstreamId, VmId};
