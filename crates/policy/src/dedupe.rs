//! Recent requests of a flow.
//!
//! See [requests](../../../docs/design.md#6-requests).

use {
    crate::exchange::{Body, Effect},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A recent request as it moves between balancers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mark {
    /// Message ID that the caller chose.
    pub message_id: u16,
    /// Whether a second run is harmless.
    pub effect: Effect,
    /// Time since the request arrived.
    pub age: Duration,
    /// How far the request is.
    pub state: State,
}

/// How far a request is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// It has no answer yet.
    InFlight,
    /// It has been answered.
    Answered(Option<Body>),
}
