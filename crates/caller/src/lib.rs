//! Codecs for the traffic of callers: datagrams from the fabric and the CoAP messages in them.
//!
//! [`proxy_header`] reads and writes the PROXY protocol header that carries the original addresses. [`message`]
//! converts between CoAP messages and the types of `skylarkflow-policy`.

pub mod error;
pub mod message;
pub mod proxy_header;

pub use crate::error::{Error, Result};
