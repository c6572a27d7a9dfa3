//! Rollouts within the control state: when to tell other nodes, and how traffic is divided.

use super::{ControlEffect, PeerMessage};
use crate::rollout::{RolloutAction, RolloutLimits, RolloutTable, VersionSplit};
use crate::routing::VersionMove;
use nutmegspread_model::{Incarnation, MonotonicTime, NodeId, RolloutId};
use std::time::Duration;

/// Interval at which brakes are passed on, lost messages included.
const BRAKE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which counts and records are passed on.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);

/// The rollouts of a node and the time of its next message about them.
#[derive(Debug)]
pub(super) struct RolloutLink {
    pub table: RolloutTable,
    next_brakes: MonotonicTime,
    next_evidence: MonotonicTime,
}

impl RolloutLink {
    /// Starts without rollouts.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            table: RolloutTable::new(node, incarnation, RolloutLimits::default()),
            next_brakes: MonotonicTime::ZERO,
            next_evidence: MonotonicTime::ZERO,
        }
    }

    /// The message to pass on, when it is time and there is something to tell.
    pub fn message_if_due(&mut self, now: MonotonicTime) -> Option<PeerMessage> {
        let gossip = if now >= self.next_evidence {
            self.next_evidence = now + EVIDENCE_INTERVAL;
            self.table.gossip()
        } else if now >= self.next_brakes {
            self.table.brake_gossip()
        } else {
            return None;
        };
        self.next_brakes = now + BRAKE_INTERVAL;
        (!gossip.is_empty()).then(|| PeerMessage::Rollouts(Box::new(gossip)))
    }
}

/// The calls that rollouts ask for.
pub(super) fn as_effects(
    actions: Vec<(RolloutId, RolloutAction)>,
) -> impl Iterator<Item = ControlEffect> {
    let actions = actions.into_iter();
    actions.map(|(rollout, action)| ControlEffect::Rollout { rollout, action })
}

/// The division of a service's traffic as routing takes it.
pub(super) fn as_version_move(service_move: VersionSplit) -> VersionMove {
    VersionMove {
        from: service_move.from,
        to: service_move.to,
        share: service_move.share,
        route_shares: service_move.route_shares,
    }
}
