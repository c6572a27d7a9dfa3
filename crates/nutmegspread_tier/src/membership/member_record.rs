//! State of a node that it sends to its peers.

use crate::room::LevelStage;
use crate::{FailureDomain, NodeName, RolloutEvidence, StorePosition};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a node that it sends to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the node that sent the record.
    pub node: NodeName,
    /// Start time of the node in milliseconds since the Unix epoch; distinguishes its starts.
    pub started_ms: u64,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for messages from other nodes.
    pub peers: SocketAddr,
    /// Failure domain of the node's VM.
    pub domain: FailureDomain,
    /// Processor cores available to the node; may be a fraction.
    pub cores: f64,
    /// Whether the node is ready for callers.
    pub ready: bool,
    /// Whether the node reaches enough targets to serve callers, and accepts their keys.
    pub serves: bool,
    /// Whether the store answered the node's last call for each kind; also true while no call was
    /// needed.
    pub reaches_store: bool,
    /// Store revision of the last change of each kind of object that the node knows of its era, in a
    /// fixed order of kinds; 0 for a kind that it has not read in that era.
    pub revisions: Vec<u64>,
    /// Time in milliseconds since the store last confirmed to the node that there was no later
    /// change of each kind; at most [`Self::MAX_AGE_MS`].
    pub ages_ms: Vec<u32>,
    /// Addresses of some of the node's peers, from which new nodes learn about other nodes.
    pub known: Vec<SocketAddr>,
    /// The node's evidence on the current rollouts.
    pub rollouts: Vec<RolloutEvidence>,
    /// Whether the node sends heartbeats less often, because its peers hardly depend on them.
    pub is_rare: bool,
    /// Version of the node's table of live nodes; 0 if the node is no hub.
    pub table: u64,
    /// Level of the node as it states it, see [`StatedLevel`](crate::StatedLevel). It follows the
    /// encoded record in messages, so that nodes of an earlier release can read the record.
    #[serde(skip)]
    pub level: u8,
    /// Latest era of the store that the node knows, 0 if the store states none. It follows the encoded
    /// record in messages, like the level.
    #[serde(skip)]
    pub era: u64,
    /// Version of the configuration in force, if the store has come back from an older copy and has
    /// only an earlier one; otherwise 0. It follows the era in messages.
    #[serde(skip)]
    pub kept_version: u64,
}

impl MemberRecord {
    /// Largest age in [`Self::ages_ms`], which also stands for objects that were never confirmed.
    pub const MAX_AGE_MS: u32 = 60_000;

    /// Whether the node keeps a later configuration against the store than `version`.
    pub fn keeps_after(&self, version: u64) -> bool {
        self.kept_version > version
    }

    /// Position of a change in [`Self::revisions`].
    pub fn position(&self, revision: u64) -> StorePosition {
        let era = self.era;
        StorePosition { era, revision }
    }

    /// Whether the node knows a later change than `known` if `revision` is its last one of the kind.
    pub fn is_ahead(&self, revision: u64, known: StorePosition) -> bool {
        revision > 0 && self.position(revision) > known
    }

    /// The record without what changes often, as it stands in the tables of hubs.
    pub fn summary(&self) -> Self {
        Self {
            reaches_store: true,
            revisions: Vec::new(),
            ages_ms: Vec::new(),
            known: Vec::new(),
            rollouts: Vec::new(),
            table: 0,
            level: LevelStage::of(self.level).least(),
            era: 0,
            kept_version: 0,
            ..self.clone()
        }
    }
}
