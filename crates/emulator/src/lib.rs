//! Emulated environment of a balancer: the platform, the packet-spraying fabric, upstreams and callers.
//!
//! The demo, the load generator and the tests use them. Each emulator speaks the published protocol of what it
//! emulates: HTTP for the platform, PROXY protocol v2 for the fabric, CoAP for upstreams and callers.

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
