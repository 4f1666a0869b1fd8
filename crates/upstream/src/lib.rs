//! Codec for the CoAP messages between balancers and upstreams.

pub mod error;
pub mod message;

pub use crate::error::{Error, Result};
