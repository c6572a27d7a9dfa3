//! How far one shard of a query has come.

use nutmegspread_model::MonotonicTime;

/// What a query knows of one replica of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReplicaUse {
    /// Not asked yet.
    #[default]
    Fresh,
    /// An attempt is out.
    Asked,
    /// An attempt failed.
    Failed,
    /// It no longer holds the snapshot.
    Gone,
}

/// One shard of the pinned snapshot.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardProgress {
    pub(super) answered: bool,
    pub(super) outstanding: u32,
    /// Whether the first attempt was spent, so that another one counts as extra.
    pub(super) first_spent: bool,
    pub(super) replicas: Vec<ReplicaUse>,
    /// When to look at the shard again.
    pub(super) due: Option<MonotonicTime>,
    /// Times that nothing could be sent for it.
    pub(super) pauses: u32,
}

impl ShardProgress {
    pub(super) fn new(replica_count: usize) -> Self {
        Self {
            replicas: vec![ReplicaUse::Fresh; replica_count],
            ..Default::default()
        }
    }
}
