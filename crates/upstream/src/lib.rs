//! Upstream side.
