//! What the membership says about the reports of usage.

use crate::control::control_state::ControlState;
use indexmap::IndexSet;
use nutmegspread_tier::{DutyStanding, NodeRun, WatchRole};
use std::net::SocketAddr;
use std::time::Instant;

impl ControlState {
    /// Whether this node should report usage, and whether it hears most others.
    pub fn usage_standing(&mut self, now: Instant) -> DutyStanding {
        self.observe_peers(now);
        let own = self.own_record(now);
        let role = self.members.watch_role(now, &own);
        DutyStanding {
            is_candidate: role == WatchRole::Lead && !self.members.is_settling(now),
            is_cut_off: self.contact.is_cut_off(),
        }
    }

    /// The live runs of nodes; see [`MemberView::live_runs`](nutmegspread_tier::MemberView::live_runs).
    pub fn live_runs(&mut self, now: Instant) -> IndexSet<NodeRun> {
        let own = self.own_record(now);
        self.members.live_runs(now, &own)
    }

    /// The node that this node sends its counts of usage to; see
    /// [`MemberView::usage_receiver`](nutmegspread_tier::MemberView::usage_receiver).
    pub fn usage_receiver(&mut self, now: Instant) -> Option<(NodeRun, SocketAddr)> {
        let own = self.own_record(now);
        let receiver = self.members.usage_receiver(now, &own)?;
        let run = NodeRun {
            node: receiver.node.clone(),
            started_ms: receiver.started_ms,
        };
        Some((run, receiver.peers))
    }
}
