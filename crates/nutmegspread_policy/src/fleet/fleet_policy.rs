//! The state machine of one node's part in the fleet.

use super::{
    FleetAction, FleetInput, FleetOutput, FleetSettings, FleetView, MembershipInput, NodeView,
    OwnView, PeerState, RosterState, SentLog,
};
use indexmap::IndexMap;
use nutmegspread_model::{MonotonicTime, NodeId, NodeRecord, Revision, rendezvous_weight};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Liveness, ownership and address answers as one node decides them.
#[derive(Clone, Debug)]
pub struct FleetPolicy {
    pub(super) settings: FleetSettings,
    pub(super) roster: RosterState,
    pub(super) peers: IndexMap<NodeId, PeerState>,
    pub(super) own: OwnView,
    pub(super) sent: SentLog,
    pub(super) revision: Revision,
    pub(super) confirmed_at: Option<MonotonicTime>,
    pub(super) rng: SmallRng,
    pub(super) now: MonotonicTime,
    pub(super) next_heartbeat: MonotonicTime,
    pub(super) change_since: Option<MonotonicTime>,
    pub(super) proposed_at: Option<MonotonicTime>,
    pub(super) leaving_since: Option<MonotonicTime>,
    pub(super) platform_at: MonotonicTime,
    pub(super) majority_at: MonotonicTime,
    pub(super) view: FleetView,
}

impl FleetPolicy {
    /// A node that has just started and knows nobody.
    pub fn new(settings: FleetSettings, now: MonotonicTime) -> Self {
        let seed = rendezvous_weight(&settings.node, &settings.incarnation.to_string());
        Self {
            settings,
            roster: RosterState::default(),
            peers: IndexMap::new(),
            own: OwnView {
                since: now,
                ..Default::default()
            },
            sent: SentLog::default(),
            revision: 0,
            confirmed_at: None,
            rng: SmallRng::seed_from_u64(seed),
            now,
            next_heartbeat: now,
            change_since: None,
            proposed_at: None,
            leaving_since: None,
            platform_at: now,
            majority_at: now,
            view: FleetView::default(),
        }
    }

    /// Takes an input and says what to do.
    pub fn step(&mut self, now: MonotonicTime, input: FleetInput) -> FleetOutput {
        self.now = now;
        self.expire_shares();
        let mut actions = Vec::new();
        self.take(input, &mut actions);
        self.refresh();
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.settings.heartbeat_interval;
            self.forget_old_peers();
            self.send_heartbeats(&mut actions);
            self.replace_silent_streams(&mut actions);
            self.propose_roster(&mut actions);
        }
        FleetOutput {
            actions,
            wake_at: self.wake_at(),
        }
    }

    fn take(&mut self, input: FleetInput, actions: &mut Vec<FleetAction>) {
        match input {
            FleetInput::Tick => {}
            FleetInput::PlatformSeen => self.platform_at = self.now,
            FleetInput::NodeList(list) => self.take_list(list),
            FleetInput::Roster(record) => {
                self.roster.accept(record);
            }
            FleetInput::Message(message) => self.take_message(*message, actions),
            FleetInput::ConfigurationRevision {
                revision,
                confirmed_at,
            } => {
                if revision > self.revision {
                    self.next_heartbeat = self.now;
                }
                self.revision = self.revision.max(revision);
                self.confirmed_at = confirmed_at;
            }
            FleetInput::Leave => {
                self.leaving_since.get_or_insert(self.now);
                self.next_heartbeat = self.now;
            }
        }
    }

    fn take_list(&mut self, list: Vec<NodeRecord>) {
        self.platform_at = self.now;
        let within = self.settings.suspect_after;
        let (now, peers, own) = (self.now, &self.peers, &self.settings.node);
        let is_heard = |node: &str| {
            node == &**own
                || peers
                    .get(node)
                    .is_some_and(|peer| peer.is_fresh(now, within))
        };
        self.roster
            .take_list(now, list, self.settings.gone_after, is_heard);
    }

    fn expire_shares(&mut self) {
        let in_use = !self.own.holding.is_empty();
        if in_use && self.now >= self.shares_valid_until() {
            self.own.lapse(self.now);
        }
    }

    fn refresh(&mut self) {
        let membership = MembershipInput {
            now: self.now,
            settings: &self.settings,
            roster: &self.roster,
            peers: &self.peers,
            view: &self.own,
            leaving: self.leaving_since.is_some(),
        };
        let members = membership.members();
        self.own
            .update(self.now, self.roster.record.version, members);
        if !self.own.settled && self.is_agreed() {
            self.own.settle();
            self.roster.settled_version = self.own.roster_version;
        }
        self.publish_view();
    }

    fn is_agreed(&self) -> bool {
        let Some(since) = self.now.checked_sub(self.settings.settle_after()) else {
            return false;
        };
        let until = self.now.saturating_sub(self.settings.fence_after);
        let others = self.own.members.iter().map(|member| &member.candidate.node);
        let mut others = others.filter(|node| **node != self.settings.node);
        self.own.contains_node(&self.settings.node)
            && self.own.since <= since
            && self.is_quorate()
            && others.all(|node| {
                let peer = self.peers.get(node);
                peer.is_some_and(|peer| peer.held_view(self.own.digest, since, until))
            })
    }

    /// Whether the view holds a majority of every set of voters.
    pub(super) fn is_quorate(&self) -> bool {
        self.roster
            .has_majority(|node| self.own.contains_node(node))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Whether a report of a node came lately, or it is this node.
    pub(super) fn is_heard(&self, node: &str) -> bool {
        let within = self.settings.suspect_after;
        node == &*self.settings.node
            || self
                .peers
                .get(node)
                .is_some_and(|peer| peer.is_fresh(self.now, within))
    }

    fn shares_valid_until(&self) -> MonotonicTime {
        let acknowledged_at = |node: &NodeId| {
            if *node == self.settings.node {
                return Some(self.now);
            }
            self.peers.get(node)?.acknowledged_at
        };
        let majority_at = self.roster.majority_time(acknowledged_at);
        majority_at.map_or(MonotonicTime::ZERO, |at| at + self.settings.fence_after)
    }

    fn publish_view(&mut self) {
        let valid_until = self.shares_valid_until();
        let has_majority = valid_until > self.now;
        if has_majority {
            self.majority_at = self.now;
        }
        let linger = self.settings.linger();
        self.view = FleetView {
            nodes: self.heard_nodes(),
            roster_version: self.own.roster_version,
            digest: self.own.digest,
            settled: self.own.settled,
            has_majority,
            shares_valid_until: if self.own.holding.is_empty() {
                MonotonicTime::ZERO
            } else {
                valid_until
            },
            leave_at: self.leaving_since.map(|since| since + linger),
        };
    }

    fn heard_nodes(&self) -> Vec<NodeView> {
        let records = self
            .roster
            .nodes()
            .filter(|record| self.is_heard(&record.node));
        records.map(|record| self.node_view(record)).collect()
    }

    fn node_view(&self, record: &NodeRecord) -> NodeView {
        let is_self = record.node == self.settings.node;
        let report = self
            .peers
            .get(&record.node)
            .and_then(|peer| peer.report.as_ref());
        let report = report.filter(|_| !is_self);
        NodeView {
            node: record.node.clone(),
            domain: record.domain.clone(),
            caller_address: record.caller_address.clone(),
            peer_address: record.peer_address.clone(),
            incarnation: report.map_or(self.settings.incarnation, |report| report.incarnation),
            member: self.own.contains_node(&record.node),
            leaving: report.map_or(self.is_leaving(), |report| report.leaving),
            revision: report.map_or(self.revision, |report| report.revision),
        }
    }

    fn wake_at(&self) -> MonotonicTime {
        let lapse = self.view.shares_valid_until;
        if lapse > self.now {
            self.next_heartbeat.min(lapse)
        } else {
            self.next_heartbeat
        }
    }
}
