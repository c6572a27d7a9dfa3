//! Chooses the replica that gets the next attempt for a shard.

use super::ServiceTable;
use super::shard_progress::ReplicaState;
use crate::routing::{ServiceView, TargetView};
use nutmegspread_model::{MonotonicTime, NodeId, TargetId};
use rand::Rng;
use std::cmp::Ordering;
use std::time::Duration;

/// Probability that a first attempt goes to the worse one of two candidates, 0 to 1. Without such
/// attempts a node would never find out that a slow target has recovered.
const RECOVERY_PROBABILITY: f64 = 0.05;
/// Probability used instead of `RECOVERY_PROBABILITY` if the worse candidate is cold, 0 to 1. It
/// is higher, so that the cold target soon becomes warm.
const COLD_PROBABILITY: f64 = 0.2;

/// The chosen replica of a shard, and the node through which the attempt is sent.
#[derive(Clone, Debug)]
pub(super) struct ReplicaPick {
    /// Index of the target in the shard's list of replicas.
    pub(super) replica: usize,
    pub(super) target: TargetId,
    /// Node that sends the attempt to the target, as it owns a share of the target's limits; `None`
    /// if this node sends it.
    pub(super) owner: Option<NodeId>,
}

/// The state from which a replica is chosen.
pub(super) struct ReplicaChoice<'a> {
    pub(super) now: MonotonicTime,
    pub(super) version: &'a str,
    pub(super) view: &'a ServiceView,
    pub(super) table: &'a ServiceTable,
    /// Whether the attempt is a hedge or retry.
    pub(super) extra: bool,
}

/// A replica that may get the attempt.
#[derive(Clone, Copy)]
struct ReplicaCandidate<'a> {
    /// Index of the target in the shard's list of replicas.
    replica: usize,
    target: &'a TargetId,
    view: &'a TargetView,
    cold: bool,
    /// Whether the target is cold or suspect.
    degraded: bool,
    /// Expected duration of the attempt.
    cost: Duration,
}

impl ReplicaChoice<'_> {
    /// Draws two candidates at random and chooses the better one. Failed replicas are candidates
    /// only if no untried one is usable.
    pub(super) fn pick(
        &self,
        replicas: &[TargetId],
        states: &[ReplicaState],
        rng: &mut impl Rng,
    ) -> Option<ReplicaPick> {
        let chosen = self
            .pick_among(replicas, states, ReplicaState::Untried, rng)
            .or_else(|| self.pick_among(replicas, states, ReplicaState::Failed, rng))?;
        Some(ReplicaPick {
            replica: chosen.replica,
            target: chosen.target.clone(),
            owner: choose_owner(chosen.view, chosen.cold, rng),
        })
    }

    fn pick_among<'a>(
        &'a self,
        replicas: &'a [TargetId],
        states: &[ReplicaState],
        wanted: ReplicaState,
        rng: &mut impl Rng,
    ) -> Option<ReplicaCandidate<'a>> {
        let mut candidates = replicas
            .iter()
            .zip(states)
            .enumerate()
            .filter(|(_, (_, state))| **state == wanted)
            .filter_map(|(replica, (target, _))| self.candidate(replica, target));
        // Reservoir sampling of two candidates, which avoids collecting them into a list.
        let mut first = candidates.next()?;
        let mut second: Option<ReplicaCandidate<'a>> = None;
        for (index, candidate) in candidates.enumerate() {
            let total = index + 2;
            let position = if total == 2 {
                1
            } else {
                rng.random_range(0..total)
            };
            match position {
                0 => first = candidate,
                1 => second = Some(candidate),
                _ => {}
            }
        }
        Some(match second {
            Some(second) => self.better(first, second, rng),
            None => first,
        })
    }

    /// Chooses the better one of two candidates; a first attempt sometimes goes to the worse one.
    fn better<'a>(
        &self,
        first: ReplicaCandidate<'a>,
        second: ReplicaCandidate<'a>,
        rng: &mut impl Rng,
    ) -> ReplicaCandidate<'a> {
        let first_is_better = match first.rank().cmp(&second.rank()) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => rng.random(),
        };
        let (better, worse) = if first_is_better {
            (first, second)
        } else {
            (second, first)
        };
        let probability = if worse.cold {
            COLD_PROBABILITY
        } else {
            RECOVERY_PROBABILITY
        };
        let take_worse = !self.extra && rng.random::<f64>() < probability;
        if take_worse { worse } else { better }
    }

    /// Returns the replica as a candidate; `None` if its target isn't usable, or if the attempt is
    /// an extra attempt and the target may be cold.
    fn candidate<'a>(
        &'a self,
        replica: usize,
        target: &'a TargetId,
    ) -> Option<ReplicaCandidate<'a>> {
        let view = self.view.usable_target(target, self.version)?;
        let observation = self.table.observation(target);
        let cold =
            observation.is_some_and(|observation| observation.is_cold(self.now, view.return_count));
        let may_be_cold = observation
            .is_none_or(|observation| observation.may_be_cold(self.now, view.return_count));
        if self.extra && may_be_cold {
            return None;
        }
        let suspect = observation.is_some_and(|observation| observation.is_suspect(self.now));
        Some(ReplicaCandidate {
            replica,
            target,
            view,
            cold,
            degraded: cold || suspect,
            cost: observation
                .map(super::TargetObservation::cost)
                .unwrap_or_default(),
        })
    }
}

impl ReplicaCandidate<'_> {
    /// Sort key, lower is better: targets that are neither cold nor suspect come first; among equal
    /// ones, the shorter expected duration decides.
    fn rank(&self) -> (bool, Duration) {
        (self.degraded, self.cost)
    }
}

/// Chooses the node that sends the attempt to the target; `None` for this node.
///
/// A cold target gets attempts only from the first of its owners. For other targets, this node
/// sends the attempt if it owns a share, and otherwise a random owner does.
fn choose_owner(view: &TargetView, cold: bool, rng: &mut impl Rng) -> Option<NodeId> {
    if cold {
        return (!view.share.leads)
            .then(|| view.owners.first().cloned())
            .flatten();
    }
    if !view.share.is_empty() || view.owners.is_empty() {
        return None;
    }
    let owner = rng.random_range(0..view.owners.len());
    Some(view.owners[owner].clone())
}
