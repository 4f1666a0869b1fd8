//! Platform side.
