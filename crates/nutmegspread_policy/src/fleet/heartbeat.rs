//! Actions that a node runs at each heartbeat interval: heartbeats, replacements of streams to
//! peers, and proposals of a changed roster.

use super::{
    FleetAction, FleetPolicy, GossipMessage, NodeReport, PeerState, RosterState, SeenNode,
};
use indexmap::IndexMap;
use nutmegspread_model::{NodeId, rank_candidates};
use rand::Rng;
use std::time::Duration;

/// Time without a report after which the state of a peer is removed, if the peer is in neither the
/// platform's list nor the roster.
const REMOVE_PEERS_AFTER: Duration = Duration::from_secs(60);

impl FleetPolicy {
    /// Sends a heartbeat to each peer in this node's cell, and to a few nodes of other cells.
    pub(super) fn send_heartbeats(&mut self, actions: &mut Vec<FleetAction>) {
        let report = self.build_report();
        for (node, address) in self.cell_addresses() {
            let message = Box::new(self.cell_message(&node, &report));
            actions.push(FleetAction::Send {
                node,
                address,
                message,
            });
        }
        for (node, address) in self.outside_addresses() {
            let message = Box::new(self.outside_message(&node, &report));
            actions.push(FleetAction::Send {
                node,
                address,
                message,
            });
        }
    }

    /// Replaces the stream to each peer that has been unresponsive for
    /// [`FleetSettings::silent_after`](super::FleetSettings::silent_after).
    pub(super) fn replace_unresponsive_streams(&mut self, actions: &mut Vec<FleetAction>) {
        let silent_after = self.settings.silent_after;
        for (node, address) in self.cell_addresses() {
            let is_unresponsive = self.is_unresponsive(&node);
            let now = self.now;
            let peer = self.peers.entry(node.clone()).or_insert_with(|| PeerState {
                stream_since: now,
                address: address.clone(),
                ..Default::default()
            });
            if !is_unresponsive {
                peer.stream_since = now;
            } else if now.saturating_sub(peer.stream_since) >= silent_after {
                peer.stream_since = now;
                actions.push(FleetAction::ReplaceStream { node, address });
            }
        }
    }

    /// Proposes a changed roster once the need for a change has lasted for some time.
    ///
    /// The time is longer for each member that ranks before this node, so that normally only one
    /// member proposes the change. A node proposes nothing while it is leaving or, except for the
    /// first roster, while its view has not settled.
    pub(super) fn propose_roster(&mut self, actions: &mut Vec<FleetAction>) {
        let next = self
            .roster
            .next_record(&self.settings.cell, |node| self.is_live(node))
            .filter(|_| {
                let is_first_roster = self.roster.nodes().next().is_none();
                !self.is_leaving() && (is_first_roster || self.own.settled)
            });
        let Some(next) = next else {
            self.change_since = None;
            return;
        };
        let since = *self.change_since.get_or_insert(self.now);
        let interval = self.settings.proposal_interval;
        let due = since + interval * self.proposal_rank() + self.settings.heartbeat_interval * 2;
        let proposed_recently = self.proposed_at.is_some_and(|at| self.now < at + interval);
        if self.now >= due && !proposed_recently {
            self.proposed_at = Some(self.now);
            actions.push(FleetAction::ProposeRoster(next));
        }
    }

    pub(super) fn remove_old_peers(&mut self) {
        let now = self.now;
        let roster = &self.roster;
        self.peers.retain(|node, peer| {
            is_in_list_or_roster(roster, node) || peer.is_fresh(now, REMOVE_PEERS_AFTER)
        });
    }

    /// Number of members that propose a changed roster earlier than this node.
    fn proposal_rank(&self) -> u32 {
        let members = self
            .own
            .members
            .iter()
            .map(|member| &*member.candidate.node);
        let ranked = rank_candidates("roster", members);
        let position = ranked.iter().position(|node| *node == &*self.settings.node);
        u32::try_from(position.unwrap_or(0)).unwrap_or(u32::MAX)
    }

    /// Builds the report that all heartbeats of this interval carry, and records it as sent now.
    fn build_report(&mut self) -> NodeReport {
        let age = self
            .confirmed_at
            .map(|at| self.now.saturating_sub(at).as_millis());
        NodeReport {
            node: self.settings.node.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sent.record_send(self.now),
            view: self.own.digest,
            view_epoch: self.own.epoch,
            quorate: self.is_quorate(),
            leaving: self.is_leaving(),
            roster_version: self.roster.record.version,
            revision: self.revision,
            confirmed_age_ms: age.and_then(|age| u64::try_from(age).ok()),
            seen: self.seen_nodes(),
        }
    }

    fn seen_nodes(&self) -> Vec<SeenNode> {
        let within = self.settings.suspect_after;
        let peers = self.peers.iter();
        let fresh_peers =
            peers.filter(|(_, peer)| !peer.outside && peer.is_fresh(self.now, within));
        fresh_peers
            .filter_map(|(node, peer)| self.seen_node(node, peer))
            .collect()
    }

    fn seen_node(&self, node: &NodeId, peer: &PeerState) -> Option<SeenNode> {
        let report = peer.report.as_ref()?;
        Some(SeenNode {
            node: node.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            direct: peer.is_direct(self.now, self.settings.suspect_after),
            member: self.own.contains(node, report.incarnation),
        })
    }

    /// Heartbeat to a peer in this node's cell.
    fn cell_message(&self, receiver: &NodeId, report: &NodeReport) -> GossipMessage {
        let receiver_report = self
            .peers
            .get(receiver)
            .and_then(|peer| peer.report.as_ref());
        let version = self.roster.record.version;
        let receiver_lags = receiver_report.is_some_and(|known| known.roster_version < version);
        GossipMessage {
            address: self.settings.peer_address.clone(),
            cell: self.settings.cell.clone(),
            report: report.clone(),
            relayed: receiver_report
                .map(|known| self.relayed_reports(known))
                .unwrap_or_default(),
            roster: receiver_lags.then(|| self.roster.record.clone()),
        }
    }

    /// Heartbeat to a node of another cell: without a roster, reports of other nodes, and
    /// acknowledgements to nodes other than the receiver.
    fn outside_message(&self, receiver: &NodeId, report: &NodeReport) -> GossipMessage {
        let peer = self.peers.get(receiver);
        let seen = peer.and_then(|peer| self.seen_node(receiver, peer));
        GossipMessage {
            address: self.settings.peer_address.clone(),
            cell: self.settings.cell.clone(),
            report: NodeReport {
                seen: seen.into_iter().collect(),
                ..report.clone()
            },
            ..Default::default()
        }
    }

    /// Latest reports of nodes in the cell whose heartbeats reach this node directly but, by the
    /// receiver's own report, not the receiver.
    fn relayed_reports(&self, receiver_report: &NodeReport) -> Vec<NodeReport> {
        let within = self.settings.suspect_after;
        let peers = self.peers.iter().filter(|(node, peer)| {
            **node != receiver_report.node && !peer.outside && peer.is_direct(self.now, within)
        });
        let reports = peers.filter_map(|(_, peer)| peer.report.as_ref());
        reports
            .filter(|report| {
                let entry = receiver_report.seen_entry(&report.node, report.incarnation);
                !entry.is_some_and(|entry| entry.direct)
            })
            .cloned()
            .collect()
    }

    /// Whether heartbeats to or from a peer fail to arrive: this node recently received none
    /// directly from the peer, or the peer reports that it received none directly from this node.
    fn is_unresponsive(&self, node: &NodeId) -> bool {
        let within = self.settings.suspect_after;
        let Some(peer) = self.peers.get(node) else {
            return true;
        };
        if !peer.is_direct(self.now, within) {
            return true;
        }
        let report = peer.report.as_ref();
        let entry = report
            .and_then(|report| report.seen_entry(&self.settings.node, self.settings.incarnation));
        !entry.is_some_and(|entry| entry.direct)
    }

    /// Addresses of the peers in the cell: those in the roster, those that the platform lists as
    /// not leaving, and those from which a heartbeat was recently received directly.
    fn cell_addresses(&self) -> IndexMap<NodeId, String> {
        let listed = self.roster.listed.values();
        let listed = listed.filter(|record| record.cell == self.settings.cell && !record.leaving);
        let records = listed.chain(self.roster.nodes());
        let mut addresses: IndexMap<NodeId, String> = records
            .map(|record| (record.node.clone(), record.peer_address.clone()))
            .collect();
        for (node, peer) in &self.peers {
            if !peer.outside && peer.is_direct(self.now, self.settings.suspect_after) {
                addresses.insert(node.clone(), peer.address.clone());
            }
        }
        addresses.shift_remove(&self.settings.node);
        addresses
    }

    /// Addresses of a few nodes of other cells, chosen at random.
    fn outside_addresses(&mut self) -> Vec<(NodeId, String)> {
        let listed = &self.roster.listed;
        let count = self.settings.outside_neighbors;
        let mut chosen = IndexMap::new();
        for _ in 0..count * 4 {
            if chosen.len() == count || listed.is_empty() {
                break;
            }
            let position = self.rng.random_range(0..listed.len());
            let Some((node, record)) = listed.get_index(position) else {
                break;
            };
            if record.cell != self.settings.cell && !record.leaving {
                chosen.insert(node.clone(), record.peer_address.clone());
            }
        }
        chosen.into_iter().collect()
    }
}

fn is_in_list_or_roster(roster: &RosterState, node: &NodeId) -> bool {
    roster.listed.contains_key(node) || roster.nodes().any(|record| record.node == *node)
}
