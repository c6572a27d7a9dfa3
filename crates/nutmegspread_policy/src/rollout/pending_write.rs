//! A write whose end is not known.

use nutmegspread_model::{MonotonicTime, RolloutRecord};

/// A write that was handed to the platform.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    /// Token stored with the write.
    pub token: String,
    /// State that it stores.
    pub record: RolloutRecord,
    /// When it counts as lost.
    pub expires: MonotonicTime,
    /// Whether the answer was lost, so that a read has to tell.
    pub is_lost: bool,
}
