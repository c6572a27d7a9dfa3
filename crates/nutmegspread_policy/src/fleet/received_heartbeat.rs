//! Processing of heartbeats received from peers.

use super::{FleetAction, FleetPolicy, GossipMessage, NodeReport};
use nutmegspread_model::NodeId;

impl FleetPolicy {
    /// Applies a heartbeat: the sender's report and, if the sender is in this node's cell, the
    /// roster and the relayed reports.
    ///
    /// A heartbeat that arrives after a newer one of the same peer is ignored.
    pub(super) fn apply_message(&mut self, message: GossipMessage, actions: &mut Vec<FleetAction>) {
        let GossipMessage {
            address,
            cell,
            report,
            relayed,
            roster,
        } = message;
        if report.node == self.settings.node {
            return;
        }
        let (node, sequence, incarnation) =
            (report.node.clone(), report.sequence, report.incarnation);
        let outside = cell != self.settings.cell;
        self.apply_report(report);
        let Some(peer) = self.peers.get_mut(&node) else {
            return;
        };
        if peer.incarnation() != incarnation || sequence <= peer.direct_sequence {
            return;
        }
        peer.outside = outside;
        peer.direct_sequence = sequence;
        peer.direct_at = Some(self.now);
        peer.address = address;
        if !outside {
            if let Some(record) = roster {
                self.roster.accept(record);
            }
            for report in relayed {
                self.apply_report(report);
            }
        }
        self.pass_on_revision(&node, actions);
    }

    /// Stores a report of a peer if it is newer than the known one, and when this node sent the
    /// heartbeat that the report acknowledges.
    fn apply_report(&mut self, report: NodeReport) {
        if report.node == self.settings.node {
            return;
        }
        let own_entry = report.seen_entry(&self.settings.node, self.settings.incarnation);
        let echo_at = own_entry.and_then(|entry| self.sent.sent_at(entry.sequence));
        let is_member = own_entry.is_some_and(|entry| entry.member);
        let peer = self.peers.entry(report.node.clone()).or_default();
        if !peer.accept(self.now, report) {
            return;
        }
        peer.echo_at = peer.echo_at.max(echo_at);
        if is_member {
            peer.acknowledged_at = peer.acknowledged_at.max(echo_at);
        }
    }

    /// Passes the revision that a peer applies to the configuration policy, unless it is older than
    /// the one that this node applies.
    fn pass_on_revision(&self, node: &NodeId, actions: &mut Vec<FleetAction>) {
        let Some(peer) = self.peers.get(node) else {
            return;
        };
        let Some(report) = peer
            .report
            .as_ref()
            .filter(|report| report.revision >= self.revision)
        else {
            return;
        };
        let age = report
            .confirmed_age_ms
            .map(std::time::Duration::from_millis);
        let confirmed_at = peer
            .echo_at
            .zip(age)
            .and_then(|(at, age)| at.checked_sub(age));
        actions.push(FleetAction::PeerRevision {
            node: node.clone(),
            revision: report.revision,
            confirmed_at,
        });
    }
}
