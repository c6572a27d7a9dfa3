//! The state machine for one node's membership in the fleet.

use super::{
    FleetAction, FleetInput, FleetOutput, FleetSettings, FleetView, MembershipInput, NodeView,
    OwnView, PeerState, RosterState, SentLog,
};
use indexmap::IndexMap;
use nutmegspread_model::{MonotonicTime, NodeId, NodeRecord, Revision, rendezvous_weight};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Decides, for one node, which nodes are live, which node owns which share of a target, and
/// which addresses callers get.
#[derive(Clone, Debug)]
pub struct FleetPolicy {
    pub(super) settings: FleetSettings,
    pub(super) roster: RosterState,
    /// Nodes of which a report was received, and those to which heartbeats are sent.
    pub(super) peers: IndexMap<NodeId, PeerState>,
    /// Members of this node's view, and the views that limit its shares.
    pub(super) own: OwnView,
    /// When this node sent its recent heartbeats.
    pub(super) sent: SentLog,
    /// Configuration revision that this node applies.
    pub(super) revision: Revision,
    /// When the platform last confirmed that it stores `revision`.
    pub(super) confirmed_at: Option<MonotonicTime>,
    pub(super) rng: SmallRng,
    /// Time of the current step.
    pub(super) now: MonotonicTime,
    /// When the next heartbeats are due.
    pub(super) next_heartbeat: MonotonicTime,
    /// Since when the roster has needed a change; `None` while it needs none.
    pub(super) change_since: Option<MonotonicTime>,
    /// When this node last proposed a roster.
    pub(super) proposed_at: Option<MonotonicTime>,
    /// When this node began its planned stop; `None` unless it is leaving.
    pub(super) leaving_since: Option<MonotonicTime>,
    /// When the platform last answered.
    pub(super) platform_at: MonotonicTime,
    /// Time of the last step at which the fence had not ended.
    pub(super) majority_at: MonotonicTime,
    /// The state that other parts of the node read, as of the last step.
    pub(super) view: FleetView,
}

impl FleetPolicy {
    /// Creates the policy of a node that has just started and knows no peers.
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

    /// Applies an input and returns the actions that follow from it.
    pub fn step(&mut self, now: MonotonicTime, input: FleetInput) -> FleetOutput {
        self.now = now;
        self.expire_shares();
        let mut actions = Vec::new();
        self.apply_input(input, &mut actions);
        self.update_view();
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.settings.heartbeat_interval;
            self.remove_old_peers();
            self.send_heartbeats(&mut actions);
            self.replace_unresponsive_streams(&mut actions);
            self.propose_roster(&mut actions);
        }
        FleetOutput {
            actions,
            wake_at: self.wake_at(),
        }
    }

    fn apply_input(&mut self, input: FleetInput, actions: &mut Vec<FleetAction>) {
        match input {
            FleetInput::Tick => {}
            FleetInput::PlatformAnswered => self.platform_at = self.now,
            FleetInput::NodeList(list) => self.apply_node_list(list),
            FleetInput::Roster(record) => {
                self.roster.accept(record);
            }
            FleetInput::Message(message) => self.apply_message(*message, actions),
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

    fn apply_node_list(&mut self, list: Vec<NodeRecord>) {
        self.platform_at = self.now;
        let within = self.settings.suspect_after;
        let (now, peers, own) = (self.now, &self.peers, &self.settings.node);
        let is_live = |node: &str| {
            node == &**own
                || peers
                    .get(node)
                    .is_some_and(|peer| peer.is_fresh(now, within))
        };
        self.roster
            .apply_node_list(now, list, self.settings.gone_after, is_live);
    }

    /// Gives up all shares once the fence has ended: a majority has acknowledged no heartbeat that
    /// this node sent within [`FleetSettings::fence_after`].
    fn expire_shares(&mut self) {
        let in_use = !self.own.holding.is_empty();
        if in_use && self.now >= self.shares_valid_until() {
            self.own.give_up_shares(self.now);
        }
    }

    /// Recomputes the members of this node's view, marks the view as settled if
    /// [`Self::members_agree`], and publishes the result.
    fn update_view(&mut self) {
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
        if !self.own.settled && self.members_agree() {
            self.own.settle();
            self.roster.settled_version = self.own.roster_version;
        }
        self.publish_view();
    }

    /// Whether this node is a member of its own view, the view contains a majority, and all members
    /// have held this same view for [`FleetSettings::settle_after`].
    ///
    /// What a peer holds is known from its reports, of which the latest must have been made within
    /// [`FleetSettings::fence_after`].
    fn members_agree(&self) -> bool {
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
                peer.is_some_and(|peer| peer.has_held_view(self.own.digest, since, until))
            })
    }

    /// Whether this node's view contains a majority of every set of voters.
    pub(super) fn is_quorate(&self) -> bool {
        self.roster
            .has_majority(|node| self.own.contains_node(node))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Whether a node is live: it is this node, or a report of it was received, directly or through
    /// a peer, within [`FleetSettings::suspect_after`].
    pub(super) fn is_live(&self, node: &str) -> bool {
        let within = self.settings.suspect_after;
        node == &*self.settings.node
            || self
                .peers
                .get(node)
                .is_some_and(|peer| peer.is_fresh(self.now, within))
    }

    /// When the fence ends: [`FleetSettings::fence_after`] after this node sent the newest
    /// heartbeat that a majority has acknowledged; zero if a majority has acknowledged none.
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
        let leave_duration = self.settings.leave_duration();
        self.view = FleetView {
            nodes: self.live_nodes(),
            roster_version: self.own.roster_version,
            digest: self.own.digest,
            settled: self.own.settled,
            has_majority,
            shares_valid_until: if self.own.holding.is_empty() {
                MonotonicTime::ZERO
            } else {
                valid_until
            },
            share_losses: self.own.holding.losses(),
            leave_at: self.leaving_since.map(|since| since + leave_duration),
        };
    }

    fn live_nodes(&self) -> Vec<NodeView> {
        let records = self
            .roster
            .nodes()
            .filter(|record| self.is_live(&record.node));
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
        let valid_until = self.view.shares_valid_until;
        if valid_until > self.now {
            self.next_heartbeat.min(valid_until)
        } else {
            self.next_heartbeat
        }
    }
}
