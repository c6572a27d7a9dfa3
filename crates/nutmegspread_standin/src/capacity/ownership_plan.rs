//! Which nodes own which targets of a generated fleet.

use super::FleetSample;
use indexmap::IndexMap;
use nutmegspread_model::NodeId;
use nutmegspread_policy::fleet::OwnerCandidate;

/// Owners of each target, as positions in the fleet's list of nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipPlan {
    /// One entry a target, leading owner first.
    pub owners: Vec<Vec<usize>>,
    /// Number of nodes of the fleet, lost ones included.
    pub node_count: usize,
}

impl OwnershipPlan {
    /// Turns owners into positions.
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
        let find = |owner: OwnerCandidate| positions[&owner.node];
        let owners = owners
            .map(|owners| owners.into_iter().map(find).collect())
            .collect();
        Self {
            owners,
            node_count: sample.nodes.len(),
        }
    }

    /// Targets that each node owns a part of.
    pub fn node_loads(&self) -> Vec<usize> {
        let mut loads = vec![0; self.node_count];
        for owner in self.owners.iter().flatten() {
            loads[*owner] += 1;
        }
        loads
    }

    /// Pairs of target and owner that `later` has and this plan has not.
    pub fn new_pairs(&self, later: &Self) -> usize {
        let pairs = self.owners.iter().zip(&later.owners);
        pairs
            .map(|(old, new)| new.iter().filter(|owner| !old.contains(owner)).count())
            .sum()
    }

    /// Pairs of target and owner whose node is lost.
    pub fn lost_pairs(&self, alive: &[bool]) -> usize {
        self.owners
            .iter()
            .flatten()
            .filter(|owner| !alive[**owner])
            .count()
    }

    /// Distinct leading owners of some targets.
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
