//! Caller side of skylarkflow: datagrams of the fabric and CoAP messages of callers.
//!
//! [`envelope`] reads and writes the PROXY protocol header that carries the original addresses, [`message`] converts
//! between CoAP and the types of `skylarkflow-policy`.

pub mod envelope;
pub mod error;
pub mod message;

pub use crate::error::{Error, Result};
