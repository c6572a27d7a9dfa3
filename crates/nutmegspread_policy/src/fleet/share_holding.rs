//! The views that limit the shares that a node may use.

use super::{OwnerCandidate, share_of};
use crate::routing::TargetShare;
use nutmegspread_model::TargetLimits;

/// Maximum number of views to keep; if one more is added, all shares are given up until a view
/// settles.
const MAXIMUM_VIEWS: usize = 8;

/// The last settled view of a node, and the views that the node has held since then.
///
/// The share that the node may use is the minimum of its shares in all these views: other nodes may
/// have settled on any of them, so a larger share could make the sum exceed the target's limits.
/// When a view settles, the others are removed.
#[derive(Clone, Debug, Default)]
pub struct ShareHolding {
    /// Members of each view; the first view is the settled one. Empty while no share may be used.
    views: Vec<Vec<OwnerCandidate>>,
    /// Number of times that all shares were given up.
    losses: u64,
}

impl ShareHolding {
    /// Gives up all shares until a view settles.
    pub fn clear(&mut self) {
        self.losses += u64::from(!self.views.is_empty());
        self.views.clear();
    }

    /// Number of times that all shares were given up while some could be used.
    pub fn losses(&self) -> u64 {
        self.losses
    }

    /// Whether no view has settled since all shares were given up, so that no share may be used.
    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }

    /// Adds a view that has not settled; ignored if the view is already kept, or if no view has
    /// settled since all shares were given up.
    pub fn add(&mut self, view: &[OwnerCandidate]) {
        if self.views.is_empty() || self.views.iter().any(|held| held == view) {
            return;
        }
        if self.views.len() == MAXIMUM_VIEWS {
            self.clear();
            return;
        }
        self.views.push(view.to_vec());
    }

    /// Replaces all views by one that has settled.
    pub fn settle(&mut self, view: &[OwnerCandidate]) {
        self.views = vec![view.to_vec()];
    }

    /// Members of the view that settled last; empty if all shares have been given up since then.
    pub fn settled_view(&self) -> &[OwnerCandidate] {
        self.views.first().map_or(&[], Vec::as_slice)
    }

    /// The minimum of the node's shares of a target in all views.
    pub fn share(
        &self,
        node: &str,
        target: &str,
        limits: &TargetLimits,
        owner_count: usize,
    ) -> TargetShare {
        let shares = self
            .views
            .iter()
            .map(|view| share_of(node, target, limits, view, owner_count));
        shares.reduce(minimum_share).unwrap_or_default()
    }
}

fn minimum_share(left: TargetShare, right: TargetShare) -> TargetShare {
    TargetShare {
        slots: left.slots.min(right.slots),
        connections: left.connections.min(right.connections),
        leads: left.leads && right.leads,
    }
}
