//! How a failed attempt affects its target and the budget of extra attempts.

use nutmegspread_model::{RunState, SubFailure};

/// Whether a failed attempt may have reached its target and caused load there.
pub(super) fn reached_target(failure: SubFailure, run: RunState) -> bool {
    run == RunState::Unknown || matches!(failure, SubFailure::Shed | SubFailure::SnapshotGone)
}

/// Whether, after this failure, the next attempt for the shard counts as an extra attempt.
///
/// `SnapshotGone` doesn't count: a target without the snapshot does no work, and each such target
/// gets at most one attempt per query.
pub(super) fn makes_next_extra(failure: SubFailure, run: RunState) -> bool {
    reached_target(failure, run) && failure != SubFailure::SnapshotGone
}
