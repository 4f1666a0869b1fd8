//! Faults injected into the emulated platform, and counts of its API calls.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Injected faults; they stay active until they are replaced.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call gets the status 503 after `delay_ms`; a watch that is already waiting gets it at once.
    pub down: bool,
    /// Calls are accepted but never get a response.
    pub silent: bool,
    /// Milliseconds by which every call is delayed before it takes effect.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but never get a response.
    pub lost_answers: u32,
    /// The VM list is served as it was when this fault was set, whatever VMs are added or removed.
    pub vms_frozen: bool,
}

/// Numbers of API calls since the start, whatever their outcome.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Reads of single objects, of object lists and of the VM list.
    pub reads: u64,
    /// Writes, including refused ones.
    pub writes: u64,
    /// Watches; each call counts once, however long it waits.
    pub watches: u64,
}

impl Faults {
    /// Returns the delay of every call before it takes effect.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
