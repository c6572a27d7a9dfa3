//! What other parts of a node ask of the fleet.

use super::share_division::usable_count;
use super::{FleetPolicy, FleetView, choose_addresses, choose_owners};
use crate::routing::TargetShare;
use nutmegspread_model::{
    AddressAnswer, NodeId, NodeRecord, RefusalReason, Revision, TargetLimits,
};
use rand::Rng;

impl FleetPolicy {
    /// The fleet as of the last step.
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Nodes of the roster, whether heard or not.
    pub fn roster_nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.roster.nodes()
    }

    /// Owners of a target, best first, and the share that this node may use.
    ///
    /// The share holds until [`FleetView::shares_valid_until`].
    pub fn owners_of(&self, target: &str, limits: &TargetLimits) -> (Vec<NodeId>, TargetShare) {
        let count = usable_count(limits, self.settings.owner_count);
        let current = self.own.candidates();
        let settled = choose_owners(target, self.own.holding.settled_view(), count);
        let remaining = settled
            .into_iter()
            .filter(|owner| self.own.contains_node(&owner.node));
        let mut owners: Vec<NodeId> = remaining.map(|owner| owner.node.clone()).collect();
        for owner in choose_owners(target, &current, count) {
            if !owners.contains(&owner.node) {
                owners.push(owner.node.clone());
            }
        }
        owners.truncate(count);
        (owners, self.share_of(target, limits))
    }

    /// Addresses for a caller, spread over the nodes that are heard and do not stop.
    pub fn answer_addresses<R: Rng>(
        &self,
        caller_domain: Option<&str>,
        rng: &mut R,
    ) -> AddressAnswer {
        choose_addresses(&self.settings, &self.view, caller_domain, rng)
    }

    /// Why new work is refused; `None` when the node takes work.
    pub fn refuse_work(&self) -> Option<RefusalReason> {
        if self.view.leave_at.is_some_and(|at| self.now >= at) {
            return Some(RefusalReason::Leaving);
        }
        let bound = self.settings.cut_off_after;
        let alone = self.now.saturating_sub(self.majority_at) >= bound;
        let unseen = self.now.saturating_sub(self.platform_at) >= bound;
        (alone && unseen).then_some(RefusalReason::CutOff)
    }

    /// Nodes of the roster that do not, as far as known, apply a revision.
    pub fn lagging_nodes(&self, revision: Revision) -> Vec<NodeId> {
        let applies = |node: &NodeId| match self.peers.get(node) {
            _ if *node == self.settings.node => self.revision >= revision,
            Some(peer) => {
                let report = peer.report.as_ref();
                self.is_heard(node) && report.is_some_and(|report| report.revision >= revision)
            }
            None => false,
        };
        let nodes = self.roster.nodes().map(|record| &record.node);
        nodes.filter(|node| !applies(node)).cloned().collect()
    }

    fn share_of(&self, target: &str, limits: &TargetLimits) -> TargetShare {
        if self.now >= self.view.shares_valid_until {
            return TargetShare::default();
        }
        let count = self.settings.owner_count;
        self.own
            .holding
            .share(&self.settings.node, target, limits, count)
    }
}
