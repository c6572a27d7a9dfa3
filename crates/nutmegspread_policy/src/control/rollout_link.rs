//! Connects rollouts to the control state: messages to peers, calls to the platform, and the split
//! of a service's traffic between two versions.

use super::{ControlEffect, PeerMessage};
use crate::rollout::{RolloutAction, RolloutLimits, RolloutTable, VersionSplit};
use crate::routing::VersionMove;
use nutmegspread_model::{Incarnation, MonotonicTime, NodeId, RolloutId};
use std::time::Duration;

/// Interval at which all brakes are resent to peers, in case a message was lost.
///
/// A brake marks a version as bad and stops its traffic on every node.
const BRAKE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which query counts, rollout records and brakes are sent to peers in one message.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);

/// The rollouts of a node, and the times of its next messages about them.
#[derive(Debug)]
pub(super) struct RolloutLink {
    pub table: RolloutTable,
    /// When the next message with brakes is due.
    next_brakes: MonotonicTime,
    /// When the next message with everything, query counts included, is due.
    next_evidence: MonotonicTime,
}

impl RolloutLink {
    /// Creates the link of a node without rollouts.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            table: RolloutTable::new(node, incarnation, RolloutLimits::default()),
            next_brakes: MonotonicTime::ZERO,
            next_evidence: MonotonicTime::ZERO,
        }
    }

    /// The message to send to all peers now; `None` if no message is due, or if it would be empty.
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

/// Wraps the actions of rollouts as effects of the control state.
pub(super) fn into_effects(
    actions: Vec<(RolloutId, RolloutAction)>,
) -> impl Iterator<Item = ControlEffect> {
    let actions = actions.into_iter();
    actions.map(|(rollout, action)| ControlEffect::Rollout { rollout, action })
}

/// Converts the traffic split of a service to the type that routing uses.
pub(super) fn into_version_move(split: VersionSplit) -> VersionMove {
    VersionMove {
        from: split.from,
        to: split.to,
        share: split.share,
        route_shares: split.route_shares,
    }
}
