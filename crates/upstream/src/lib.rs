//! Upstream side of skylarkflow: CoAP messages to and from upstreams.

pub mod error;
pub mod message;

pub use crate::error::{Error, Result};
