//! Assignment of the targets of a generated fleet to nodes.

use super::FleetSample;
use indexmap::IndexMap;
use nutmegspread_model::NodeId;
use nutmegspread_policy::fleet::OwnerCandidate;

/// Owners of each target, as positions in [`FleetSample::nodes`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipPlan {
    /// Owners of each target in the order of [`FleetSample::targets`], leading owner first.
    pub owners: Vec<Vec<usize>>,
    /// Number of nodes in the fleet, including lost nodes.
    pub node_count: usize,
}

impl OwnershipPlan {
    /// Builds a plan from the owners of each target, in the order of [`FleetSample::targets`].
    ///
    /// # Panics
    /// When an owner is not a node of the fleet.
    pub fn from_owners(
        sample: &FleetSample,
        owners: impl Iterator<Item = Vec<OwnerCandidate>>,
    ) -> Self {
        let positions: IndexMap<NodeId, usize> = sample
            .nodes
            .iter()
            .enumerate()
            .map(|(position, node)| (node.node.clone(), position))
            .collect();
        let position_of = |owner: OwnerCandidate| positions[&owner.node];
        let owners = owners
            .map(|owners| owners.into_iter().map(position_of).collect())
            .collect();
        Self {
            owners,
            node_count: sample.nodes.len(),
        }
    }

    /// Number of targets that each node owns, alone or with other nodes.
    pub fn node_loads(&self) -> Vec<usize> {
        let mut loads = vec![0; self.node_count];
        for owner in self.owners.iter().flatten() {
            loads[*owner] += 1;
        }
        loads
    }

    /// Number of pairs of a target and its owner that are in `later` but not in this plan.
    pub fn new_pairs(&self, later: &Self) -> usize {
        let pairs = self.owners.iter().zip(&later.owners);
        pairs
            .map(|(old, new)| new.iter().filter(|owner| !old.contains(owner)).count())
            .sum()
    }

    /// Number of pairs of a target and its owner in which `alive` is `false` for the owner.
    pub fn lost_pairs(&self, alive: &[bool]) -> usize {
        self.owners
            .iter()
            .flatten()
            .filter(|owner| !alive[**owner])
            .count()
    }

    /// Number of distinct nodes that lead the given targets.
    pub fn distinct_owners(&self, targets: impl Iterator<Item = usize>) -> usize {
        let mut seen = vec![false; self.node_count];
        for target in targets {
            if let Some(owner) = self.owners[target].first() {
                seen[*owner] = true;
            }
        }
        seen.into_iter().filter(|seen| *seen).count()
    }
}
