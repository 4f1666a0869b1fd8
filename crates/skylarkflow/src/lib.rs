//! Layer-4 load balancer for small service operators.
//!
//! [`daemon::Daemon`] starts a balancer on threads of its own; [`command`] is the command line around it. The decisions
//! are in `skylarkflow-policy`. See [the design page](../../../docs/design.md).

mod admin;
mod adoption;
mod apply;
mod base;
pub mod bench;
mod bench_control;
mod bench_datagrams;
mod bench_decisions;
mod bench_fleet;
mod bench_network;
mod bench_objects;
mod bench_relay;
mod bench_relays;
mod bench_steps;
mod bench_tables;
mod caller;
mod check;
pub mod clock;
pub mod command;
pub mod context;
mod control;
pub mod daemon;
mod demo;
mod demo_report;
mod demo_site;
mod drain;
pub mod emulate;
mod emulate_callers;
mod emulate_site;
pub mod event;
mod figure;
mod ingress;
pub mod journal;
mod listener;
pub mod logs;
mod measure;
pub mod metrics;
mod notes;
mod peers;
pub mod perform;
mod receiver;
mod reports;
mod run;
pub mod settings;
pub mod sockets;
mod state;
mod status;
mod tables;
mod timer;
mod upstreams;
