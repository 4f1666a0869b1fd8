//! Client of the platform's object store and VM list.
//!
//! [`wire`] holds the JSON types of the store's HTTP API and of the configuration objects, [`store`] the client.

pub mod error;
pub mod store;
pub mod wire;

pub use crate::error::{Error, Result};
