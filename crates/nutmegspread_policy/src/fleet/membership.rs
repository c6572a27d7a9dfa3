//! The members of a view: nodes that exchange messages with a majority in both directions.

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
    /// A member is removed only when recent reports rule out a majority: too many voters do not
    /// receive its messages, or it does not receive theirs. Missing reports do not count, so that
    /// reports lost on the way to this node do not remove members.
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

    /// Whether a majority receives the node's messages and the node those of a majority.
    fn has_majority_contact(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        self.roster
            .has_majority(|voter| self.receives_from(voter, node, incarnation) == Some(true))
            && self
                .roster
                .has_majority(|other| self.receives_from_any_start(node, other) == Some(true))
    }

    /// Whether recent reports rule out that the node exchanges messages with a majority.
    fn has_lost_majority(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        let sets = self.roster.voter_sets();
        sets.iter().any(|voters| {
            let not_received =
                |voter: &NodeId| self.receives_from(voter, node, incarnation) == Some(false);
            let not_receiving =
                |other: &NodeId| self.receives_from_any_start(node, other) == Some(false);
            let blocking = voters.len() - voters.len() / 2;
            count_voters(voters, not_received) >= blocking
                || count_voters(voters, not_receiving) >= blocking
        })
    }

    /// Whether `voter` receives messages directly from a process start of `node`; `None` if no
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

    /// Whether `node` receives messages directly from any process start of `other`; `None` if no
    /// recent report of `node` is known.
    fn receives_from_any_start(&self, node: &NodeId, other: &NodeId) -> Option<bool> {
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

fn count_voters(voters: &[&NodeId], holds: impl Fn(&NodeId) -> bool) -> usize {
    voters.iter().filter(|voter| holds(voter)).count()
}
