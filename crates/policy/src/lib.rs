//! Decision logic of the skylarkflow load balancer, without I/O.
//!
//! Every state machine in this crate takes the current time, an event and, where it needs one, a seeded random number
//! generator, and returns actions. Nothing here opens a socket, reads a clock or starts a thread, so a test in virtual
//! time is deterministic. See [the design page](../../../docs/design.md) for the rules and their reasons.
//!
//! [`balancer::Core`] combines the modules into one balancer and is the place to start reading.

pub mod admission;
mod admit;
mod answer;
mod background_handover;
pub mod balancer;
pub mod budget;
pub mod class;
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
pub mod handover;
pub mod health;
pub mod id;
mod interval;
pub mod lookup;
pub mod member;
pub mod members;
pub mod node;
pub mod owner;
pub mod path;
mod peer_messages;
pub mod placement;
pub mod pool;
pub mod queue;
pub mod quorum;
mod remote;
pub mod retry;
pub mod roster;
mod shard;
pub mod spread;
pub mod swim;
pub mod upstream;
pub mod view_history;
pub mod vm;
pub mod zone;

pub use crate::id::{Generation, Incarnation, Map, PoolId, RouteId, Set, UpstreamId, VmId};
