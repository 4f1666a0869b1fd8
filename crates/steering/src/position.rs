//! Points in the history of the store, which orders its responses and the tables of balancers.

/// Number of a history of the store. It rises when the store is restored from an older copy, since revisions count anew
/// from that of the copy.
pub type Epoch = u64;

/// Revision of the store; of two in the same epoch, the higher one is newer.
pub type Revision = u64;

/// Point in the history of the store. Revisions of different epochs must not be compared, see [the platform
/// page](../../../docs/platform.md#the-store).
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Epoch.
    pub epoch: Epoch,
    /// Revision in this epoch.
    pub revision: Revision,
}
