//! Caller side.
