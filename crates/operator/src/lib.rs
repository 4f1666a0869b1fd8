//! Administration API of skylarkflow and its client.

pub mod wire;
