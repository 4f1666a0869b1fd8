//! Caller side of skylarkflow: datagrams of the fabric and CoAP messages of callers.
//!
//! [`proxy_header`] reads and writes the PROXY protocol header that carries the original addresses, [`message`] converts
//! between CoAP and the types of `skylarkflow-policy`.

pub mod error;
pub mod message;
pub mod proxy_header;

pub use crate::error::{Error, Result};
