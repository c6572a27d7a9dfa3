//! What a failed attempt did to its target.

use nutmegspread_model::{RunState, SubFailure};

/// Whether a failed attempt put load on its target.
pub(super) fn reached_target(failure: SubFailure, run: RunState) -> bool {
    run == RunState::Unknown || matches!(failure, SubFailure::Shed | SubFailure::SnapshotGone)
}

/// Whether the next attempt of the shard counts as extra. A target without the snapshot does no
/// work, and each of them is asked once a query.
pub(super) fn spends_first(failure: SubFailure, run: RunState) -> bool {
    reached_target(failure, run) && failure != SubFailure::SnapshotGone
}
