//! Methods with which other parts of the node read the state of the fleet policy.

use super::share_division::limit_owner_count;
use super::{FleetPolicy, FleetView, choose_addresses, choose_owners};
use crate::routing::TargetShare;
use nutmegspread_model::{
    AddressAnswer, NodeId, NodeRecord, RefusalReason, Revision, TargetLimits,
};
use rand::Rng;

impl FleetPolicy {
    /// The state of the fleet after the last step.
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Nodes of the roster, live or not, except those that count as gone: not live and missing from
    /// the platform's list for [`FleetSettings::gone_after`](super::FleetSettings::gone_after).
    pub fn roster_nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.roster.nodes()
    }

    /// Owners of a target, and the share of its limits that this node may use.
    ///
    /// Owners chosen from the last settled view come first if they are still members; owners that
    /// only the current view gives follow, since they hold no share before this view settles. The
    /// share is valid until [`FleetView::shares_valid_until`].
    pub fn owners_of(&self, target: &str, limits: &TargetLimits) -> (Vec<NodeId>, TargetShare) {
        let count = limit_owner_count(limits, self.settings.owner_count);
        let current = self.own.candidates();
        let settled_owners = choose_owners(target, self.own.holding.settled_view(), count);
        let remaining = settled_owners
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

    /// Addresses to advertise to a caller, of live nodes that are not leaving; see
    /// [`choose_addresses`].
    pub fn answer_addresses<R: Rng>(
        &self,
        caller_domain: Option<&str>,
        rng: &mut R,
    ) -> AddressAnswer {
        choose_addresses(&self.settings, &self.view, caller_domain, rng)
    }

    /// Why this node refuses new work; `None` while it accepts work.
    pub fn refuse_work(&self) -> Option<RefusalReason> {
        if self.view.leave_at.is_some_and(|at| self.now >= at) {
            return Some(RefusalReason::Leaving);
        }
        let cut_off_after = self.settings.cut_off_after;
        let without_majority = self.now.saturating_sub(self.majority_at) >= cut_off_after;
        let without_platform = self.now.saturating_sub(self.platform_at) >= cut_off_after;
        (without_majority && without_platform).then_some(RefusalReason::CutOff)
    }

    /// Nodes of the roster that are not known to apply `revision` or a newer one.
    pub fn lagging_nodes(&self, revision: Revision) -> Vec<NodeId> {
        let applies = |node: &NodeId| match self.peers.get(node) {
            _ if *node == self.settings.node => self.revision >= revision,
            Some(peer) => {
                let report = peer.report.as_ref();
                self.is_live(node) && report.is_some_and(|report| report.revision >= revision)
            }
            None => false,
        };
        let nodes = self.roster.nodes().map(|record| &record.node);
        nodes.filter(|node| !applies(node)).cloned().collect()
    }

    /// The share of a target that this node may use now; empty after
    /// [`FleetView::shares_valid_until`].
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
