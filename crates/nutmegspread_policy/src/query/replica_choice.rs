//! Which replica gets the next attempt of a shard.

use super::ServiceTable;
use super::shard_progress::ReplicaUse;
use crate::routing::{ServiceView, TargetView};
use nutmegspread_model::{MonotonicTime, NodeId, TargetId};
use rand::Rng;
use std::cmp::Ordering;
use std::time::Duration;

/// Share of first attempts that the worse one of two targets gets, 0 to 1; without it a target
/// that was slow once would never be seen to have recovered.
const TRICKLE_SHARE: f64 = 0.05;
/// That share while the worse one is cold, so that it becomes warm in good time, 0 to 1.
const COLD_SHARE: f64 = 0.2;

/// A replica of a shard and the owner to send through.
#[derive(Clone, Debug)]
pub(super) struct ReplicaPick {
    pub(super) replica: usize,
    pub(super) target: TargetId,
    pub(super) owner: Option<NodeId>,
}

/// What the choice looks at.
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
    doubtful: bool,
    cost: Duration,
}

impl ReplicaChoice<'_> {
    /// Draws two candidates and takes the better one; fresh replicas go before failed ones.
    pub(super) fn pick(
        &self,
        replicas: &[TargetId],
        uses: &[ReplicaUse],
        rng: &mut impl Rng,
    ) -> Option<ReplicaPick> {
        let chosen = self
            .pick_among(replicas, uses, ReplicaUse::Fresh, rng)
            .or_else(|| self.pick_among(replicas, uses, ReplicaUse::Failed, rng))?;
        Some(ReplicaPick {
            replica: chosen.replica,
            target: chosen.target.clone(),
            owner: choose_owner(chosen.view, chosen.cold, rng),
        })
    }

    fn pick_among<'a>(
        &'a self,
        replicas: &'a [TargetId],
        uses: &[ReplicaUse],
        wanted: ReplicaUse,
        rng: &mut impl Rng,
    ) -> Option<ReplicaCandidate<'a>> {
        let mut candidates = replicas
            .iter()
            .zip(uses)
            .enumerate()
            .filter(|(_, (_, known))| **known == wanted)
            .filter_map(|(replica, (target, _))| self.candidate(replica, target));
        // Reservoir of two: a uniform pair without a list.
        let mut first = candidates.next()?;
        let mut second: Option<ReplicaCandidate<'a>> = None;
        for (seen, candidate) in candidates.enumerate() {
            let total = seen + 2;
            let slot = if total == 2 {
                1
            } else {
                rng.random_range(0..total)
            };
            match slot {
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

    /// The better one of two, but now and then the worse one for a first attempt.
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
            TRICKLE_SHARE
        };
        let trickle = !self.extra && rng.random::<f64>() < share;
        if trickle { worse } else { better }
    }

    fn candidate<'a>(
        &'a self,
        replica: usize,
        target: &'a TargetId,
    ) -> Option<ReplicaCandidate<'a>> {
        let view = self.view.usable_target(target, self.version)?;
        let seen = self.table.observation(target);
        let cold = seen.is_some_and(|seen| seen.is_cold(self.now, view.return_count));
        let may_be_cold = seen.is_none_or(|seen| seen.may_be_cold(self.now, view.return_count));
        if self.extra && may_be_cold {
            return None;
        }
        let suspect = seen.is_some_and(|seen| seen.is_suspect(self.now));
        Some(ReplicaCandidate {
            replica,
            target,
            view,
            cold,
            doubtful: cold || suspect,
            cost: seen.map(super::TargetObservation::cost).unwrap_or_default(),
        })
    }
}

impl ReplicaCandidate<'_> {
    /// Lower is better: sound targets first, then those with the shorter expected wait.
    fn rank(&self) -> (bool, Duration) {
        (self.doubtful, self.cost)
    }
}

/// Owner to send through; `None` for this node. A cold target is reached by its first owner only.
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
