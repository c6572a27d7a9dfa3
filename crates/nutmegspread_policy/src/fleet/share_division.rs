//! Division of one target's limits among a set of nodes.

use crate::routing::TargetShare;
use nutmegspread_model::{DomainName, NodeId, TargetLimits, rank_candidates};

/// Slots of each owner, at least, where a target has several owners.
const LEAST_SLOTS: u32 = 2;

/// A node that can own targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Identifier.
    pub node: NodeId,
    /// Failure domain.
    pub domain: DomainName,
}

impl AsRef<str> for OwnerCandidate {
    fn as_ref(&self) -> &str {
        &self.node
    }
}

/// Owners of a target, first the one that leads.
///
/// The order depends on the target's id and the candidates alone, so that revisions of the
/// configuration in transit cannot move ownership. Owners lie in different failure domains where
/// there is a choice.
pub fn choose_owners<'a>(
    target: &str,
    candidates: &'a [OwnerCandidate],
    count: usize,
) -> Vec<&'a OwnerCandidate> {
    let mut ranked = rank_candidates(target, candidates);
    let mut owners: Vec<&OwnerCandidate> = Vec::new();
    while owners.len() < count && !ranked.is_empty() {
        let elsewhere = ranked
            .iter()
            .position(|candidate| owners.iter().all(|owner| owner.domain != candidate.domain));
        owners.push(ranked.remove(elsewhere.unwrap_or(0)));
    }
    owners
}

/// Part of the limits that the owner at a position holds; the remainder goes to the first.
///
/// The parts of `count` owners add up to the limits.
pub fn divide_limits(limits: &TargetLimits, position: usize, count: usize) -> TargetShare {
    TargetShare {
        slots: part(limits.slots, position, count),
        connections: part(limits.connections, position, count),
        leads: position == 0,
    }
}

/// Share of one node in a target when `candidates` own all targets.
pub fn share_of(
    node: &str,
    target: &str,
    limits: &TargetLimits,
    candidates: &[OwnerCandidate],
    owner_count: usize,
) -> TargetShare {
    let count = usable_count(limits, owner_count);
    let owners = choose_owners(target, candidates, count);
    match owners.iter().position(|owner| &*owner.node == node) {
        Some(position) => divide_limits(limits, position, owners.len()),
        None => TargetShare::default(),
    }
}

/// Owners of a target; each gets at least [`LEAST_SLOTS`] slots where there are several.
///
/// A queue before two slots waits much less than two queues before one slot each.
pub fn usable_count(limits: &TargetLimits, owner_count: usize) -> usize {
    let most = (limits.slots / LEAST_SLOTS).min(limits.connections);
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    owner_count.min(most).max(1)
}

fn part(total: u32, position: usize, count: usize) -> u32 {
    let count = u32::try_from(count).unwrap_or(u32::MAX).max(1);
    let base = total / count;
    if position == 0 {
        base + total % count
    } else {
        base
    }
}
