//! Administration API of skylarkflow and its client.
//!
//! [`wire`] holds the JSON types, [`client`] the client, [`status`] the comparison of balancers, [`drain`] the planned
//! stop of one.

pub mod client;
pub mod drain;
pub mod error;
pub mod status;
pub mod wire;

pub use crate::error::{Error, Result};
