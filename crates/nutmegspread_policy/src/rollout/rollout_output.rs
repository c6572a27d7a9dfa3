//! Output of the rollout policy.

use nutmegspread_model::{MonotonicTime, ResourceVersion, RolloutRecord};

/// A call to the platform that the caller of the policy has to make.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    /// Read the rollout record.
    Read,
    /// Write the rollout record if the stored object still has the resource version `base`.
    Write {
        /// Token to store with the record, which identifies the write.
        token: String,
        /// The record to store.
        record: RolloutRecord,
        /// Resource version to replace; `None` creates the object and fails if it exists.
        base: Option<ResourceVersion>,
    },
}

/// Output of one call of [`super::RolloutPolicy::step`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutOutput {
    /// Calls to make, in this order.
    pub actions: Vec<RolloutAction>,
    /// Latest time for the next [`super::RolloutInput::Tick`]; `None` if the record can no longer
    /// change, so that no further tick is needed.
    pub wake_at: Option<MonotonicTime>,
}
