//! A write of the rollout record whose outcome is not known yet.

use nutmegspread_model::{MonotonicTime, RolloutRecord};

/// A write that was sent to the platform.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    /// Token that the platform stores with the record and that identifies this write.
    pub token: String,
    /// The record to be stored.
    pub record: RolloutRecord,
    /// Time after which the write counts as lost if no answer was received.
    pub expires: MonotonicTime,
    /// Whether the write counts as lost: no answer was received in time, so only a read can show
    /// whether the write took effect.
    pub is_lost: bool,
}
