//! The view of one node: the members of the fleet, and the views that limit the node's shares.

use super::{OwnerCandidate, ShareHolding, ViewDigest};
use nutmegspread_model::{Incarnation, MonotonicTime, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// A member of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Id and failure domain of the node.
    pub candidate: OwnerCandidate,
    /// Incarnation of the node that is a member; a restarted node has to become a member again.
    pub incarnation: Incarnation,
}

/// The current view of a node, and the views that limit the shares that the node may use.
#[derive(Clone, Debug, Default)]
pub struct OwnView {
    /// Members in order of their ids.
    pub members: Vec<MemberEntry>,
    /// Version of the roster from which the members were computed.
    pub roster_version: u64,
    /// Hash of the roster version and the members.
    pub digest: ViewDigest,
    /// Number of times that the view has changed.
    pub epoch: u64,
    /// When the view last changed or, if later, when the node last gave up all shares.
    pub since: MonotonicTime,
    /// Whether all members have held this view for
    /// [`FleetSettings::settle_after`](super::FleetSettings::settle_after).
    pub settled: bool,
    /// The last settled view and the views since, all of which limit the node's shares.
    pub holding: ShareHolding,
}

impl OwnView {
    /// Sets the roster version and the members. If they have changed, shares may decrease at once,
    /// but increase only when the view settles.
    ///
    /// All shares are given up if a roster version was skipped: the nodes of a roster still vote
    /// under the next version, but not under later ones.
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

    /// Whether this incarnation of a node is a member.
    pub fn contains(&self, node: &str, incarnation: Incarnation) -> bool {
        self.members
            .iter()
            .any(|member| &*member.candidate.node == node && member.incarnation == incarnation)
    }

    /// Whether any incarnation of a node is a member.
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
