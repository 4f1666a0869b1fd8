//! Peer side.
