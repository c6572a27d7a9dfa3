//! The view of one node: its members, and the shares that follow.

use super::{OwnerCandidate, ShareHolding, ViewDigest};
use nutmegspread_model::{Incarnation, MonotonicTime, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// A member of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Node and failure domain.
    pub candidate: OwnerCandidate,
    /// Process start that is a member.
    pub incarnation: Incarnation,
}

/// The current view and everything that bounds the shares in use.
#[derive(Clone, Debug, Default)]
pub struct OwnView {
    /// Members in order of their ids.
    pub members: Vec<MemberEntry>,
    /// Version of the roster from which they come.
    pub roster_version: u64,
    /// Hash of version and members.
    pub digest: ViewDigest,
    /// Count of changes.
    pub epoch: u64,
    /// Since when the view has held without a lapse of the fence.
    pub since: MonotonicTime,
    /// Whether the view has settled.
    pub settled: bool,
    /// Views that bound the shares.
    pub holding: ShareHolding,
}

impl OwnView {
    /// Takes the members found now; shares shrink at once when they differ.
    pub fn update(&mut self, now: MonotonicTime, version: u64, members: Vec<MemberEntry>) {
        if version == self.roster_version && members == self.members {
            return;
        }
        if version > self.roster_version + 1 {
            self.holding.clear();
        }
        self.digest = view_digest(version, &members);
        self.members = members;
        self.roster_version = version;
        self.epoch += 1;
        self.since = now;
        self.settled = false;
        self.holding.add(&self.candidates());
    }

    /// Gives up all shares; they come back only when the view settles anew.
    pub fn lapse(&mut self, now: MonotonicTime) {
        self.holding.clear();
        self.settled = false;
        self.since = now;
    }

    /// Lets the view alone bound the shares.
    pub fn settle(&mut self) {
        self.settled = true;
        self.holding.settle(&self.candidates());
    }

    /// Whether a process start of a node is a member.
    pub fn contains(&self, node: &str, incarnation: Incarnation) -> bool {
        self.members
            .iter()
            .any(|member| &*member.candidate.node == node && member.incarnation == incarnation)
    }

    /// Whether any process start of a node is a member.
    pub fn contains_node(&self, node: &NodeId) -> bool {
        self.members
            .iter()
            .any(|member| member.candidate.node == *node)
    }

    /// Nodes that can own targets.
    pub fn candidates(&self) -> Vec<OwnerCandidate> {
        self.members
            .iter()
            .map(|member| member.candidate.clone())
            .collect()
    }
}

fn view_digest(version: u64, members: &[MemberEntry]) -> ViewDigest {
    let mut bytes = version.to_le_bytes().to_vec();
    for member in members {
        bytes.extend_from_slice(member.candidate.node.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(&member.incarnation.to_le_bytes());
    }
    xxh3_64(&bytes)
}
