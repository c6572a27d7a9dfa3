//! Progress of a query on one shard.

use nutmegspread_model::MonotonicTime;

/// State of one query's attempts on one replica of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReplicaState {
    /// The query has not sent an attempt to the replica yet.
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
    /// Whether a whole reply was received.
    pub(super) answered: bool,
    /// Number of unanswered attempts.
    pub(super) outstanding: u32,
    /// Whether the next attempt counts as an extra attempt, because an earlier attempt for the
    /// shard was hedged or failed after it may have reached its target.
    pub(super) next_is_extra: bool,
    /// State of each replica, in the order in which the snapshot map lists the replicas.
    pub(super) replicas: Vec<ReplicaState>,
    /// When the shard is checked next: to send its next attempt, or to hedge its only unanswered
    /// one.
    pub(super) due: Option<MonotonicTime>,
    /// Number of backoffs so far; each one doubles the next, up to a maximum.
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
