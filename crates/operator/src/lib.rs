//! Client of the administration API of a balancer.
//!
//! [`wire`] holds the JSON types, [`client`] the HTTP client. [`status`] compares the state of several balancers,
//! [`drain`] starts the drain of one balancer and waits for its end.

pub mod client;
pub mod drain;
pub mod error;
pub mod status;
pub mod wire;

pub use crate::error::{Error, Result};
