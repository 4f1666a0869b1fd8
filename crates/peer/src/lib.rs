//! Messages and links between balancers.
//!
//! Datagrams of flows travel between balancers as [`datagram::Frame`]s over UDP.

pub mod datagram;
pub mod error;

pub use crate::error::{Error, Result};
