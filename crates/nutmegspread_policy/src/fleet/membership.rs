//! Who belongs to a view: the nodes that a majority hears and that hear a majority.

use super::{FleetSettings, MemberEntry, OwnView, OwnerCandidate, PeerState, RosterState};
use indexmap::IndexMap;
use nutmegspread_model::{Incarnation, MonotonicTime, NodeId, NodeRecord};

/// Everything from which the members of a view follow.
pub struct MembershipInput<'a> {
    /// Time of the step.
    pub now: MonotonicTime,
    /// Settings of this node.
    pub settings: &'a FleetSettings,
    /// Roster in force.
    pub roster: &'a RosterState,
    /// Other nodes.
    pub peers: &'a IndexMap<NodeId, PeerState>,
    /// View before this step.
    pub view: &'a OwnView,
    /// Whether this node stops.
    pub leaving: bool,
}

impl MembershipInput<'_> {
    /// Members in order of their ids.
    ///
    /// A member stays until a majority reports that it does not hear it, so that reports lost on
    /// the way to this node change nothing.
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
        let belongs = if self.view.contains(node, incarnation) {
            !self.is_refuted(node, incarnation)
        } else {
            self.is_supported(node, incarnation)
        };
        if !belongs || self.is_leaving(node) {
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

    fn is_supported(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        self.roster
            .has_majority(|voter| self.hears(voter, node, incarnation) == Some(true))
            && self
                .roster
                .has_majority(|other| self.hears_any(node, other) == Some(true))
    }

    fn is_refuted(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        let sets = self.roster.voter_sets();
        sets.iter().any(|voters| {
            let unheard = |voter: &NodeId| self.hears(voter, node, incarnation) == Some(false);
            let deaf = |other: &NodeId| self.hears_any(node, other) == Some(false);
            let blocking = voters.len() - voters.len() / 2;
            count(voters, unheard) >= blocking || count(voters, deaf) >= blocking
        })
    }

    /// Whether `voter` hears a process start of `node`; `None` when its report is old.
    fn hears(&self, voter: &NodeId, node: &NodeId, incarnation: Incarnation) -> Option<bool> {
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

    fn hears_any(&self, node: &NodeId, other: &NodeId) -> Option<bool> {
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

fn count(voters: &[&NodeId], holds: impl Fn(&NodeId) -> bool) -> usize {
    voters.iter().filter(|voter| holds(voter)).count()
}
