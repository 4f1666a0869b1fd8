//! Faults of the emulated platform and the count of its calls.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Faults that are in force until they are set to something else.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is answered with 503 at once, also a waiting watch.
    pub down: bool,
    /// No call is answered.
    pub silent: bool,
    /// Milliseconds that every call waits before it takes effect.
    pub delay_ms: u64,
    /// Number of writes from now on that take effect and are not answered.
    pub lost_answers: u32,
    /// The VM list stays as it is, whatever happens to the VMs.
    pub vms_frozen: bool,
}

/// Calls since the start, whatever their outcome.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Reads of objects, lists and the VM list.
    pub reads: u64,
    /// Writes, also refused ones.
    pub writes: u64,
    /// Watches; one that waits counts once.
    pub watches: u64,
}

impl Faults {
    /// Returns the time that every call waits before it takes effect.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
