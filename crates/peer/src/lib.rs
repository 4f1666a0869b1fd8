//! Messages and links between balancers.
//!
//! Callers' datagrams and small control messages travel as UDP [`datagram`]s. [`control`] messages that are too large
//! for a datagram travel over a link. Callers' datagrams never use a link, so that large messages cannot delay them.

pub mod control;
pub mod datagram;
pub mod error;
pub mod link;
pub mod report;
pub mod tables;

pub use crate::error::{Error, Result};
