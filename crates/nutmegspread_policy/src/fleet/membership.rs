//! The members of a view: nodes that exchange heartbeats with a majority of the voters in both
//! directions.

use super::{FleetSettings, MemberEntry, OwnView, OwnerCandidate, PeerState, RosterState};
use indexmap::IndexMap;
use nutmegspread_model::{Incarnation, MonotonicTime, NodeId, NodeRecord};

/// The state from which the members of a view are computed.
pub struct MembershipInput<'a> {
    /// Time of the current step.
    pub now: MonotonicTime,
    /// Settings of this node.
    pub settings: &'a FleetSettings,
    /// Roster that this node applies.
    pub roster: &'a RosterState,
    /// Peers by id.
    pub peers: &'a IndexMap<NodeId, PeerState>,
    /// View of this node before the current step.
    pub view: &'a OwnView,
    /// Whether this node has begun a planned stop.
    pub leaving: bool,
}

impl MembershipInput<'_> {
    /// Computes the members, in order of their ids.
    ///
    /// A node becomes a member when recent reports show that it exchanges heartbeats with a
    /// majority of the voters. It is removed when recent reports rule out such a majority: too many
    /// voters do not receive the node's heartbeats, or the node does not receive those of too many
    /// voters. A node without a recent report counts neither as receiving nor as not receiving, so
    /// that reports lost on the way to this node do not remove members. A node that is leaving is
    /// no member.
    pub fn members(&self) -> Vec<MemberEntry> {
        let mut members: Vec<MemberEntry> = self
            .roster
            .nodes()
            .filter_map(|record| self.member(record))
            .collect();
        members.sort_by(|a, b| a.candidate.node.cmp(&b.candidate.node));
        members
    }

    fn member(&self, record: &NodeRecord) -> Option<MemberEntry> {
        let node = &record.node;
        let incarnation = self.incarnation(node)?;
        let is_member = if self.view.contains(node, incarnation) {
            !self.has_lost_majority(node, incarnation)
        } else {
            self.has_majority_contact(node, incarnation)
        };
        if !is_member || self.is_leaving(node) {
            return None;
        }
        let candidate = OwnerCandidate {
            node: node.clone(),
            domain: record.domain.clone(),
        };
        Some(MemberEntry {
            candidate,
            incarnation,
        })
    }

    fn incarnation(&self, node: &NodeId) -> Option<Incarnation> {
        if *node == self.settings.node {
            return Some(self.settings.incarnation);
        }
        self.peers
            .get(node)?
            .report
            .as_ref()
            .map(|report| report.incarnation)
    }

    fn is_leaving(&self, node: &NodeId) -> bool {
        if *node == self.settings.node {
            return self.leaving;
        }
        let report = self.peers.get(node).and_then(|peer| peer.report.as_ref());
        report.is_some_and(|report| report.leaving)
    }

    /// Whether a majority receives the node's heartbeats, and the node receives those of a
    /// majority.
    fn has_majority_contact(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        self.roster
            .has_majority(|voter| self.receives_from(voter, node, incarnation) == Some(true))
            && self
                .roster
                .has_majority(|voter| self.receives_from_any_incarnation(node, voter) == Some(true))
    }

    /// Whether recent reports rule out that the node exchanges heartbeats with a majority of every
    /// set of voters.
    fn has_lost_majority(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        let sets = self.roster.voter_sets();
        sets.iter().any(|voters| {
            let does_not_receive_node =
                |voter: &NodeId| self.receives_from(voter, node, incarnation) == Some(false);
            let is_not_received_by_node =
                |voter: &NodeId| self.receives_from_any_incarnation(node, voter) == Some(false);
            let blocking_count = voters.len() - voters.len() / 2;
            count_voters(voters, does_not_receive_node) >= blocking_count
                || count_voters(voters, is_not_received_by_node) >= blocking_count
        })
    }

    /// Whether `voter` receives heartbeats directly from this incarnation of `node`; `None` if no
    /// recent report of `voter` is known.
    fn receives_from(
        &self,
        voter: &NodeId,
        node: &NodeId,
        incarnation: Incarnation,
    ) -> Option<bool> {
        if voter == node {
            return Some(true);
        }
        let within = self.settings.suspect_after;
        if *voter == self.settings.node {
            let peer = self.peers.get(node)?;
            return Some(peer.incarnation() == incarnation && peer.is_direct(self.now, within));
        }
        let peer = self
            .peers
            .get(voter)
            .filter(|peer| peer.is_fresh(self.now, within))?;
        let entry = peer.report.as_ref()?.seen_entry(node, incarnation);
        Some(entry.is_some_and(|entry| entry.direct))
    }

    /// Whether `node` receives heartbeats directly from any incarnation of `other`; `None` if no
    /// recent report of `node` is known.
    fn receives_from_any_incarnation(&self, node: &NodeId, other: &NodeId) -> Option<bool> {
        if node == other {
            return Some(true);
        }
        let within = self.settings.suspect_after;
        if *node == self.settings.node {
            let peer = self.peers.get(other);
            return Some(peer.is_some_and(|peer| peer.is_direct(self.now, within)));
        }
        let peer = self
            .peers
            .get(node)
            .filter(|peer| peer.is_fresh(self.now, within))?;
        let mut seen = peer.report.as_ref()?.seen.iter();
        Some(seen.any(|entry| entry.node == *other && entry.direct))
    }
}

fn count_voters(voters: &[&NodeId], predicate: impl Fn(&NodeId) -> bool) -> usize {
    voters.iter().filter(|voter| predicate(voter)).count()
}
