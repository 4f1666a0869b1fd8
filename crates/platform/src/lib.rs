//! Client of the platform's object store and VM list, and the two tables that operators edit.
//!
//! [`wire`] holds the JSON types of the store's HTTP API and of the configuration objects, [`store`] the client.
//! [`table`] reads the tables, [`check`](mod@check) reports everything that is wrong with them as [`finding`]s.

pub mod check;
pub mod error;
pub mod finding;
mod node;
pub mod store;
pub mod table;
pub mod wire;

pub use crate::error::{Error, Result};
