//! Operator side.
