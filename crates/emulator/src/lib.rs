//! Emulated peers.
