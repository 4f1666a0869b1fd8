//! Client of the product's own platform (object store and VM list), and the two tables that operators edit.
//!
//! The adapter to the users' platform, which has other names and formats, is in `platform/`; both use [`http`].
//!
//! [`wire`] holds the JSON types of the store's HTTP API and of the configuration objects, [`store`] the client.
//! [`table`] reads the tables, [`check`](mod@check) reports all problems in them as [`finding`]s,
//! [`plan`](mod@plan) compares them with the store and [`apply`](mod@apply) writes the difference. See
//! `docs/design.md`, section 9.

pub mod apply;
pub mod check;
pub mod difference;
pub mod error;
pub mod finding;
pub mod http;
pub mod json;
pub mod object;
pub mod plan;
pub mod store;
pub mod table;
pub mod wire;
mod yaml;

pub use crate::error::{Error, Result};
