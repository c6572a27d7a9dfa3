//! Which views bound the shares that a node may use.

use super::{OwnerCandidate, share_of};
use crate::routing::TargetShare;
use nutmegspread_model::TargetLimits;

const MAXIMUM_VIEWS: usize = 8;

/// The views that a node held since the last one that settled, that one included.
///
/// A share is the least that any of them grants. Other nodes may have settled on any of these
/// views, so that none may be exceeded; the last view alone counts once it has settled.
#[derive(Clone, Debug, Default)]
pub struct ShareHolding {
    views: Vec<Vec<OwnerCandidate>>,
}

impl ShareHolding {
    /// Gives up every share until a view settles.
    pub fn clear(&mut self) {
        self.views.clear();
    }

    /// Whether any share may be in use.
    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }

    /// Starts to hold a view that has not settled.
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

    /// Lets a settled view alone bound the shares.
    pub fn settle(&mut self, view: &[OwnerCandidate]) {
        self.views = vec![view.to_vec()];
    }

    /// The view that settled last.
    pub fn settled_view(&self) -> &[OwnerCandidate] {
        self.views.first().map_or(&[], Vec::as_slice)
    }

    /// Least share that any view grants.
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
        shares.reduce(least_share).unwrap_or_default()
    }
}

fn least_share(left: TargetShare, right: TargetShare) -> TargetShare {
    TargetShare {
        slots: left.slots.min(right.slots),
        connections: left.connections.min(right.connections),
        leads: left.leads && right.leads,
    }
}
