//! The view of one node: the members of the fleet, and the state that limits its shares.

use super::{OwnerCandidate, ShareHolding, ViewDigest};
use nutmegspread_model::{Incarnation, MonotonicTime, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// A member of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Id and failure domain of the node.
    pub candidate: OwnerCandidate,
    /// Process start of the node that is a member; another start of it is not.
    pub incarnation: Incarnation,
}

/// The current view of a node, and the earlier views that limit the shares in use.
#[derive(Clone, Debug, Default)]
pub struct OwnView {
    /// Members in order of their ids.
    pub members: Vec<MemberEntry>,
    /// Version of the roster from which the members were computed.
    pub roster_version: u64,
    /// Hash of the roster version and the members.
    pub digest: ViewDigest,
    /// Number of changes of the view.
    pub epoch: u64,
    /// Time of the last change of the view or, if later, of the last expiry of the shares.
    pub since: MonotonicTime,
    /// Whether all members have agreed on the view for long enough.
    pub settled: bool,
    /// Views that limit the shares in use.
    pub holding: ShareHolding,
}

impl OwnView {
    /// Sets the current members; if they have changed, shares may decrease at once, but increase
    /// only when the view settles.
    ///
    /// All shares are given up if a roster version was skipped.
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

    /// Gives up all shares until the view settles again.
    pub fn give_up_shares(&mut self, now: MonotonicTime) {
        self.holding.clear();
        self.settled = false;
        self.since = now;
    }

    /// Marks the view as settled; from then on, it alone limits the shares.
    pub fn settle(&mut self) {
        self.settled = true;
        self.holding.settle(&self.candidates());
    }

    /// Whether the given process start of a node is a member.
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

    /// The members as candidates for the ownership of targets.
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
