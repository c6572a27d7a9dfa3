//! Division of a target's limits among the nodes that own shares of the target.

use crate::routing::TargetShare;
use nutmegspread_model::{DomainName, NodeId, TargetLimits, rank_candidates};

/// Minimum number of slots that each owner gets if a target has several owners.
///
/// The wait in one queue for two slots is much shorter than in two queues for one slot each.
const MINIMUM_SLOTS: u32 = 2;

/// A node that can own shares of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Id of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainName,
}

impl AsRef<str> for OwnerCandidate {
    fn as_ref(&self) -> &str {
        &self.node
    }
}

/// Chooses up to `count` owners of a target; the first one leads, which its
/// [`TargetShare::leads`] marks.
///
/// The choice depends only on the target's id and the candidates, so that it does not change
/// while a new configuration reaches the nodes. Owners are in different failure domains if there
/// are enough domains.
pub fn choose_owners<'a>(
    target: &str,
    candidates: &'a [OwnerCandidate],
    count: usize,
) -> Vec<&'a OwnerCandidate> {
    let mut ranked = rank_candidates(target, candidates);
    let mut owners: Vec<&OwnerCandidate> = Vec::new();
    while owners.len() < count && !ranked.is_empty() {
        let other_domain = ranked
            .iter()
            .position(|candidate| owners.iter().all(|owner| owner.domain != candidate.domain));
        owners.push(ranked.remove(other_domain.unwrap_or(0)));
    }
    owners
}

/// Share of a target's limits for the owner at `position`, counted from 0.
///
/// The limits are divided evenly among `count` owners, and the first owner also gets the remainder,
/// so that the shares add up to the limits.
pub fn divide_limits(limits: &TargetLimits, position: usize, count: usize) -> TargetShare {
    TargetShare {
        slots: divide_evenly(limits.slots, position, count),
        connections: divide_evenly(limits.connections, position, count),
        leads: position == 0,
    }
}

/// Share of a target that `node` owns if the owners are chosen from `candidates`; empty if `node`
/// is not chosen.
pub fn share_of(
    node: &str,
    target: &str,
    limits: &TargetLimits,
    candidates: &[OwnerCandidate],
    owner_count: usize,
) -> TargetShare {
    let count = limit_owner_count(limits, owner_count);
    let owners = choose_owners(target, candidates, count);
    match owners.iter().position(|owner| &*owner.node == node) {
        Some(position) => divide_limits(limits, position, owners.len()),
        None => TargetShare::default(),
    }
}

/// Number of owners of a target, at most `owner_count`; if there are several, each gets at least
/// [`MINIMUM_SLOTS`] slots and one connection.
pub fn limit_owner_count(limits: &TargetLimits, owner_count: usize) -> usize {
    let maximum_count = (limits.slots / MINIMUM_SLOTS).min(limits.connections);
    let maximum_count = usize::try_from(maximum_count).unwrap_or(usize::MAX);
    owner_count.min(maximum_count).max(1)
}

fn divide_evenly(total: u32, position: usize, count: usize) -> u32 {
    let count = u32::try_from(count).unwrap_or(u32::MAX).max(1);
    let base = total / count;
    if position == 0 {
        base + total % count
    } else {
        base
    }
}
