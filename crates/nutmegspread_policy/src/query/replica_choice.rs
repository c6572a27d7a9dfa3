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
const RECOVERY_SHARE: f64 = 0.05;
/// Probability used instead of `RECOVERY_SHARE` if the worse candidate is cold, 0 to 1. It is
/// higher, so that the cold target soon becomes warm.
const COLD_SHARE: f64 = 0.2;

/// The chosen replica of a shard and the owner through which the attempt is sent.
#[derive(Clone, Debug)]
pub(super) struct ReplicaPick {
    pub(super) replica: usize,
    pub(super) target: TargetId,
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

#[derive(Clone, Copy)]
struct ReplicaCandidate<'a> {
    replica: usize,
    target: &'a TargetId,
    view: &'a TargetView,
    cold: bool,
    degraded: bool,
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
        let share = if worse.cold {
            COLD_SHARE
        } else {
            RECOVERY_SHARE
        };
        let take_worse = !self.extra && rng.random::<f64>() < share;
        if take_worse { worse } else { better }
    }

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
    /// Sort key, lower is better: healthy targets first, then by expected wait.
    fn rank(&self) -> (bool, Duration) {
        (self.degraded, self.cost)
    }
}

/// Owner through which the attempt is sent; `None` for this node. Only the first owner of a cold
/// target sends to it.
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
