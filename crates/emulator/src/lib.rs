//! Emulated peers of a balancer: the platform, the packet-spraying fabric, upstreams and callers.
//!
//! They serve the demo, the load generator and the tests. Every one of them speaks the published protocol of the peer
//! that it emulates: HTTP for the platform, PROXY protocol v2 for the fabric, CoAP for upstreams and callers.

pub mod caller;
pub mod exchange;
pub mod fabric;
pub mod fault;
mod job;
pub mod load_generator;
pub mod objects;
pub mod platform;
pub mod response;
pub mod socket;
pub mod upstream;
