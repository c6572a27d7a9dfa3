//! What a rollout asks to be done.

use nutmegspread_model::{MonotonicTime, ResourceVersion, RolloutRecord};

/// A call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    /// Read the record.
    Read,
    /// Write the record, if it is still at `base`.
    Write {
        /// Token to store with the write.
        token: String,
        /// State to store.
        record: RolloutRecord,
        /// Version to replace; `None` creates the object and fails if there is one.
        base: Option<ResourceVersion>,
    },
}

/// Result of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutOutput {
    /// What to do, in order.
    pub actions: Vec<RolloutAction>,
    /// When to step with [`super::RolloutInput::Tick`] at the latest; `None` when all is settled.
    pub wake_at: Option<MonotonicTime>,
}
