//! Progress of a query on one shard.

use nutmegspread_model::MonotonicTime;

/// Result of this query's attempts on one replica of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReplicaState {
    /// No attempt was sent to it yet.
    #[default]
    Untried,
    /// An attempt was sent and has not ended.
    Pending,
    /// The last attempt failed.
    Failed,
    /// The target no longer holds the snapshot.
    WithoutSnapshot,
}

/// Progress on one shard of the query's snapshot.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardProgress {
    pub(super) answered: bool,
    /// Number of unanswered attempts.
    pub(super) outstanding: u32,
    /// Whether the next attempt counts as an extra attempt.
    pub(super) next_is_extra: bool,
    pub(super) replicas: Vec<ReplicaState>,
    /// When the shard is checked next: to send its next attempt, or to hedge its only unanswered
    /// one.
    pub(super) due: Option<MonotonicTime>,
    /// How often the shard has backed off; the next backoff grows with this number.
    pub(super) backoffs: u32,
}

impl ShardProgress {
    pub(super) fn new(replica_count: usize) -> Self {
        Self {
            replicas: vec![ReplicaState::Untried; replica_count],
            ..Default::default()
        }
    }
}
