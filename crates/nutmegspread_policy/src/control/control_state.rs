//! The control state of one node, combined from all its control policies.

use super::rollout_link::{RolloutLink, into_effects, into_version_move};
use super::vm_table::VmTable;
use super::warmth_table::WarmthTable;
use super::watch_role::is_watcher;
use super::{
    ControlEffect, ControlInput, ControlOutput, ControlSettings, NodeStatus, ObjectChange,
    PeerMessage, StatusReport, WatchedKind,
};
use crate::configuration::{
    ConfigurationAction, ConfigurationInput, ConfigurationPolicy, WatchCandidate,
};
use crate::fleet::{FleetAction, FleetInput, FleetPolicy};
use crate::routing::{DrainTable, RoutingView, SnapshotTable, ViewSources, build_services};
use crate::target::WarmthMark;
use crate::verdict::VerdictTable;
use indexmap::IndexMap;
use nutmegspread_model::{
    AddressAnswer, ConfigurationDocument, MonotonicTime, NodeId, NodeRecord, RefusalReason,
    Revision, ServiceName, SnapshotMap, TargetId, TargetLimits, TargetSettings, VerdictRecord,
};
use rand::Rng;
use std::sync::Arc;
use std::time::SystemTime;

/// Configuration, fleet, verdicts, drains, snapshot maps, warmth and rollouts of one node.
///
/// Each of these parts makes its own decisions; the control state only passes the results of one
/// part to the others.
#[derive(Debug)]
pub struct ControlState {
    settings: ControlSettings,
    /// Monotonic time of the current step.
    now: MonotonicTime,
    /// Wall clock time of the current step.
    wall: SystemTime,
    /// Configuration that this node applies; empty, with revision 0, before it has applied any.
    document: Arc<ConfigurationDocument>,
    configuration: ConfigurationPolicy,
    /// Revision of the document that the platform stores, as last read, watched or written; 0 if
    /// unknown.
    stored_revision: Revision,
    configuration_wake_at: MonotonicTime,
    fleet_wake_at: MonotonicTime,
    /// Nodes of the roster, as last passed to the configuration policy.
    candidates: Vec<WatchCandidate>,
    fleet: FleetPolicy,
    verdicts: VerdictTable,
    drains: DrainTable,
    maps: SnapshotTable,
    warmth: WarmthTable,
    rollouts: RolloutLink,
    /// The node records that the platform stores.
    nodes: IndexMap<NodeId, NodeRecord>,
    vms: VmTable,
    /// Whether this node is one of those that watch the platform.
    watching: bool,
}

impl ControlState {
    /// Creates the state of a node that has just started and has received no input.
    pub fn new(settings: ControlSettings, now: MonotonicTime) -> Self {
        let fleet = FleetPolicy::new(settings.fleet.clone(), now);
        let configuration = ConfigurationPolicy::new(settings.configuration(), now);
        let node = settings.fleet.node.clone();
        let rollouts = RolloutLink::new(node, settings.fleet.incarnation);
        Self {
            settings,
            now,
            wall: SystemTime::UNIX_EPOCH,
            document: Arc::default(),
            configuration,
            stored_revision: 0,
            configuration_wake_at: now,
            fleet_wake_at: now,
            candidates: Vec::new(),
            fleet,
            verdicts: VerdictTable::default(),
            drains: DrainTable::default(),
            maps: SnapshotTable::default(),
            warmth: WarmthTable::default(),
            rollouts,
            nodes: IndexMap::new(),
            vms: VmTable::default(),
            watching: true,
        }
    }

    /// Applies one input and returns the actions to run, the new view and the next wake-up time.
    ///
    /// `now` is the time of the process's monotonic clock, `wall` that of the VM's wall clock.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        wall: SystemTime,
        input: ControlInput,
    ) -> ControlOutput {
        self.now = now;
        self.wall = wall;
        let changes_view = !matches!(input, ControlInput::Query { .. });
        let mut output = ControlOutput::default();
        self.broadcast_change(&input, &mut output);
        self.apply_input(input, &mut output);
        self.update_watch_candidates(&mut output);
        self.update_watching(&mut output);
        let wake_at = self.fleet_wake_at.min(self.configuration_wake_at);
        let rollouts_wake_at = self.rollouts.table.wake_at();
        output.wake_at = Some(rollouts_wake_at.map_or(wake_at, |time| time.min(wake_at)));
        output.view = changes_view.then(|| self.build_view());
        output
    }

    /// Configuration that this node applies.
    pub fn document(&self) -> &ConfigurationDocument {
        &self.document
    }

    /// Node addresses to advertise to a caller; `None` while no node is known that is live and not
    /// leaving.
    pub fn answer_addresses<R: Rng>(
        &self,
        caller_domain: Option<&str>,
        rng: &mut R,
    ) -> Option<AddressAnswer> {
        let answer = self.fleet.answer_addresses(caller_domain, rng);
        (!answer.addresses.is_empty()).then_some(answer)
    }

    /// The state of this node, and of its peers as this node knows them.
    pub fn status(&self) -> StatusReport {
        let nodes = self.fleet.view().nodes.iter();
        StatusReport {
            node: self.settings.fleet.node.clone(),
            revision: self.document().revision,
            confirmed_age_ms: self.confirmed_age_ms(),
            refuse_work: self.refuse_work(),
            share_losses: self.fleet.view().share_losses,
            nodes: nodes
                .map(|node| (node.node.clone(), NodeStatus::from(node)))
                .collect(),
            lagging: self.fleet.lagging_nodes(self.document().revision),
            rollouts: self.rollouts.table.statements(self.wall),
        }
    }

    fn apply_input(&mut self, input: ControlInput, output: &mut ControlOutput) {
        match input {
            ControlInput::Start => {
                output
                    .effects
                    .push(ControlEffect::StoreRecord(self.settings.record()));
                self.step_fleet(FleetInput::Tick, output);
            }
            ControlInput::Configuration(change) => self.apply_configuration_change(change, output),
            ControlInput::Applied(document) => self.apply_platform_document(document, output),
            ControlInput::Maps(change) => {
                self.record_platform_contact(&change, output);
                self.apply_maps(change.into_existing());
            }
            ControlInput::Verdicts(change) => {
                self.record_platform_contact(&change, output);
                self.apply_verdicts(&change.into_existing());
            }
            ControlInput::Nodes(change) => self.apply_node_change(change, output),
            ControlInput::Vms(change) => {
                self.record_platform_contact(&change, output);
                self.vms.apply(change);
                self.update_fleet_node_list(output);
            }
            ControlInput::Roster(change) => {
                self.record_platform_contact(&change, output);
                for roster in change.into_existing() {
                    self.step_fleet(FleetInput::Roster(roster), output);
                }
            }
            ControlInput::Peer { from, message } => self.apply_peer_message(from, message, output),
            ControlInput::Warmth { target, mark } => {
                self.broadcast_warmth(&target, mark, output);
            }
            ControlInput::Tick => {
                self.step_fleet(FleetInput::Tick, output);
                self.step_configuration(ConfigurationInput::Tick, output);
                self.resend_warmth(output);
                self.tick_rollouts(output);
            }
            ControlInput::Query { service, input } => {
                let table = &mut self.rollouts.table;
                table.step_service(self.now, self.wall, &service, &input);
            }
            ControlInput::Rollout { rollout, input } => {
                let table = &mut self.rollouts.table;
                let actions = table.step(self.now, self.wall, &rollout, input);
                output.effects.extend(into_effects(actions));
            }
            ControlInput::Leave => self.step_fleet(FleetInput::Leave, output),
        }
    }

    /// If the input is a change that a watch of this node reported, sends the kind of the changed
    /// object to all peers, so that they read it.
    fn broadcast_change(&self, input: &ControlInput, output: &mut ControlOutput) {
        let changed = match input {
            ControlInput::Configuration(change) => {
                (WatchedKind::Configuration, change.is_watch_event())
            }
            ControlInput::Maps(change) => (WatchedKind::Maps, change.is_watch_event()),
            ControlInput::Verdicts(change) => (WatchedKind::Verdicts, change.is_watch_event()),
            ControlInput::Nodes(change) => (WatchedKind::Nodes, change.is_watch_event()),
            ControlInput::Vms(change) => (WatchedKind::Vms, change.is_watch_event()),
            ControlInput::Roster(change) => (WatchedKind::Roster, change.is_watch_event()),
            _ => return,
        };
        if let (kind, true) = changed {
            self.broadcast(&PeerMessage::Changed(kind), output);
        }
    }

    /// Starts watching the platform when this node becomes one of the watchers, and stops when it
    /// no longer is.
    fn update_watching(&mut self, output: &mut ControlOutput) {
        let watching = is_watcher(&self.settings.fleet.node, self.fleet.view());
        if watching != self.watching {
            self.watching = watching;
            output.effects.push(ControlEffect::Watch(watching));
        }
    }

    /// Records in the fleet policy that the platform has answered.
    fn record_platform_contact<T>(&mut self, change: &ObjectChange<T>, output: &mut ControlOutput) {
        if change.is_platform_answer() {
            self.step_fleet(FleetInput::PlatformAnswered, output);
        }
    }

    fn apply_configuration_change(
        &mut self,
        change: ObjectChange<ConfigurationDocument>,
        output: &mut ControlOutput,
    ) {
        self.record_platform_contact(&change, output);
        let input = match &change {
            ObjectChange::Listed(objects) if objects.is_empty() => {
                Some(ConfigurationInput::PlatformEmpty)
            }
            ObjectChange::Confirmed if self.stored_revision > 0 => {
                Some(ConfigurationInput::PlatformRevision {
                    revision: self.stored_revision,
                    as_of: self.now,
                })
            }
            ObjectChange::Lost => Some(ConfigurationInput::PlatformFailed),
            _ => None,
        };
        if let Some(input) = input {
            self.step_configuration(input, output);
        }
        for document in change.into_existing() {
            self.apply_platform_document(document, output);
        }
    }

    /// Passes a document that the platform stores to the configuration policy.
    ///
    /// [`ObjectChange::Confirmed`] names no revision: until the platform reports another document,
    /// it confirms that the platform still stores this one.
    fn apply_platform_document(
        &mut self,
        document: ConfigurationDocument,
        output: &mut ControlOutput,
    ) {
        self.stored_revision = document.revision;
        let input = ConfigurationInput::PlatformDocument {
            document: Arc::new(document),
            as_of: self.now,
        };
        self.step_configuration(input, output);
    }

    fn step_configuration(&mut self, input: ConfigurationInput, output: &mut ControlOutput) {
        let confirmed_before = self.configuration.confirmed_at();
        let configuration_output = self.configuration.step(self.now, input);
        self.configuration_wake_at = configuration_output.wake_at;
        let mut changed = confirmed_before != self.configuration.confirmed_at();
        for action in configuration_output.actions {
            changed |= matches!(action, ConfigurationAction::Apply(_));
            self.run_configuration_action(action, output);
        }
        if changed {
            self.update_fleet_revision(output);
        }
    }

    fn run_configuration_action(
        &mut self,
        action: ConfigurationAction,
        output: &mut ControlOutput,
    ) {
        match action {
            ConfigurationAction::Apply(document) => {
                self.drains.apply(&document);
                self.warmth
                    .retain(|target| document.targets.contains_key(target));
                let rollouts = &document.rollouts;
                self.rollouts.table.configure(self.now, self.wall, rollouts);
                self.document = document;
            }
            ConfigurationAction::ReadPlatform => {
                output.effects.push(ControlEffect::ReadConfiguration);
            }
            // `is_watcher` decides for all kinds at once whether this node watches.
            ConfigurationAction::OpenWatch | ConfigurationAction::CloseWatch => {}
            ConfigurationAction::FetchFromPeer { node, have } => {
                self.fetch_document(&node, have, output);
            }
        }
    }

    fn fetch_document(&self, node: &NodeId, have: Revision, output: &mut ControlOutput) {
        let nodes = &self.fleet.view().nodes;
        if let Some(peer) = nodes.iter().find(|peer| peer.node == *node) {
            let reply_to = self.settings.fleet.peer_address.clone();
            let message = PeerMessage::WantConfiguration { have, reply_to };
            let address = peer.peer_address.clone();
            output
                .effects
                .push(ControlEffect::Send { address, message });
        }
    }

    /// Passes the applied revision, and when the platform confirmed it, to the fleet policy, which
    /// sends both in heartbeats.
    fn update_fleet_revision(&mut self, output: &mut ControlOutput) {
        let input = FleetInput::ConfigurationRevision {
            revision: self.document.revision,
            confirmed_at: self.configuration.confirmed_at(),
        };
        self.step_fleet(input, output);
    }

    /// Passes the nodes of the roster, and which of them are live, to the configuration policy when
    /// they have changed.
    fn update_watch_candidates(&mut self, output: &mut ControlOutput) {
        let live_nodes = &self.fleet.view().nodes;
        let candidates: Vec<WatchCandidate> = self
            .fleet
            .roster_nodes()
            .map(|record| WatchCandidate {
                node: record.node.clone(),
                domain: record.domain.clone(),
                heard: live_nodes.iter().any(|node| node.node == record.node),
            })
            .collect();
        if candidates != self.candidates {
            self.candidates.clone_from(&candidates);
            self.step_configuration(ConfigurationInput::Nodes(candidates), output);
        }
    }

    fn apply_maps(&mut self, maps: Vec<SnapshotMap>) {
        for map in maps {
            self.maps.apply(map);
        }
    }

    fn apply_verdicts(&mut self, records: &[VerdictRecord]) {
        for record in records {
            self.verdicts.apply(record);
        }
    }

    fn apply_node_change(&mut self, change: ObjectChange<NodeRecord>, output: &mut ControlOutput) {
        self.record_platform_contact(&change, output);
        match change {
            ObjectChange::Listed(objects) => {
                self.nodes = objects
                    .into_iter()
                    .map(|object| (object.spec.node.clone(), object.spec))
                    .collect();
            }
            ObjectChange::Changed(object) => {
                self.nodes.insert(object.spec.node.clone(), object.spec);
            }
            ObjectChange::Deleted(object) => {
                self.nodes.shift_remove(&object.spec.node);
            }
            // The unchanged list goes to the fleet policy as well, since a node counts as gone only
            // when lists received over some time do not contain it.
            ObjectChange::Confirmed => {}
            ObjectChange::Lost => return,
        }
        self.update_fleet_node_list(output);
    }

    /// Passes the records of all nodes whose VM the platform lists to the fleet policy.
    fn update_fleet_node_list(&mut self, output: &mut ControlOutput) {
        let records = self.nodes.values();
        let listed = records.filter_map(|record| self.vms.record_if_listed(record));
        let input = FleetInput::NodeList(listed.collect());
        self.step_fleet(input, output);
    }

    fn apply_peer_message(
        &mut self,
        from: NodeId,
        message: PeerMessage,
        output: &mut ControlOutput,
    ) {
        match message {
            PeerMessage::Heartbeat(message) => {
                self.step_fleet(FleetInput::Message(message), output);
            }
            PeerMessage::WantConfiguration { have, reply_to } => {
                let message = PeerMessage::Configuration(self.configuration.reply_to(have));
                output.effects.push(ControlEffect::Send {
                    address: reply_to,
                    message,
                });
            }
            PeerMessage::Configuration(reply) => {
                let input = ConfigurationInput::PeerReply { node: from, reply };
                self.step_configuration(input, output);
            }
            PeerMessage::Rollouts(gossip) => {
                let table = &mut self.rollouts.table;
                let actions = table.receive(self.now, self.wall, *gossip);
                output.effects.extend(into_effects(actions));
            }
            PeerMessage::Changed(kind) => {
                if !self.watching {
                    output.effects.push(ControlEffect::ReadKind(kind));
                }
            }
            PeerMessage::Warmth { marks } => self.merge_received_marks(marks, output),
        }
    }

    fn merge_received_marks(
        &mut self,
        marks: Vec<(TargetId, WarmthMark)>,
        output: &mut ControlOutput,
    ) {
        for (target, mark) in marks {
            if self.warmth.merge(&target, mark) {
                output
                    .effects
                    .push(ControlEffect::RecordWarmth { target, mark });
            }
        }
    }

    /// Sends a warmth mark that this node measured to all peers if it is higher than the known one.
    fn broadcast_warmth(
        &mut self,
        target: &TargetId,
        mark: WarmthMark,
        output: &mut ControlOutput,
    ) {
        if self.warmth.merge(target, mark) {
            let marks = vec![(target.clone(), mark)];
            self.broadcast(&PeerMessage::Warmth { marks }, output);
        }
    }

    fn resend_warmth(&mut self, output: &mut ControlOutput) {
        if let Some(message) = self.warmth.message_if_due(self.now) {
            self.broadcast(&message, output);
        }
    }

    fn tick_rollouts(&mut self, output: &mut ControlOutput) {
        let nodes = self.fleet.view().nodes.iter();
        let members: Vec<NodeId> = nodes.map(|node| node.node.clone()).collect();
        let table = &mut self.rollouts.table;
        table.set_members(self.now, self.wall, &members);
        let actions = table.tick(self.now, self.wall);
        output.effects.extend(into_effects(actions));
        if let Some(message) = self.rollouts.message_if_due(self.now) {
            self.broadcast(&message, output);
        }
    }

    fn broadcast(&self, message: &PeerMessage, output: &mut ControlOutput) {
        let own = &self.settings.fleet.node;
        let others = self
            .fleet
            .view()
            .nodes
            .iter()
            .filter(|node| node.node != *own);
        output
            .effects
            .extend(others.map(|node| ControlEffect::Send {
                address: node.peer_address.clone(),
                message: message.clone(),
            }));
    }

    fn step_fleet(&mut self, input: FleetInput, output: &mut ControlOutput) {
        let fleet_output = self.fleet.step(self.now, input);
        self.fleet_wake_at = fleet_output.wake_at;
        for action in fleet_output.actions {
            self.run_fleet_action(action, output);
        }
    }

    fn run_fleet_action(&mut self, action: FleetAction, output: &mut ControlOutput) {
        match action {
            FleetAction::Send {
                address, message, ..
            } => {
                let message = PeerMessage::Heartbeat(message);
                output
                    .effects
                    .push(ControlEffect::Send { address, message });
            }
            FleetAction::ReplaceStream { address, .. } => {
                output
                    .effects
                    .push(ControlEffect::ReplaceStream { address });
            }
            FleetAction::ProposeRoster(roster) => {
                output.effects.push(ControlEffect::ProposeRoster(roster));
            }
            FleetAction::PeerRevision {
                node,
                revision,
                confirmed_at,
            } => {
                let input = ConfigurationInput::PeerRevision {
                    node,
                    revision,
                    confirmed_at,
                };
                self.step_configuration(input, output);
            }
        }
    }

    fn confirmed_age_ms(&self) -> Option<u64> {
        let age = self.now.saturating_sub(self.configuration.confirmed_at()?);
        u64::try_from(age.as_millis()).ok()
    }

    fn refuse_work(&self) -> Option<RefusalReason> {
        if self.document.revision == 0 {
            return Some(RefusalReason::NotReady);
        }
        self.fleet.refuse_work()
    }

    fn build_view(&self) -> RoutingView {
        let sources = ViewSources {
            document: &self.document,
            maps: &self.maps,
            drains: &self.drains,
            is_up: |target: &str, domain: &str| self.verdicts.is_up(target, domain),
            verdict_returns: |target: &str, domain: &str| {
                self.verdicts.return_count(target, domain)
            },
            owners: |id: &TargetId, _: &TargetSettings, limits: &TargetLimits| {
                self.fleet.owners_of(id, limits)
            },
            version_move: |service: &ServiceName| {
                let settings = self.document.services.get(service)?;
                let table = &self.rollouts.table;
                let split = table.version_split(service, settings, self.wall);
                split.map(into_version_move)
            },
        };
        let view = self.fleet.view();
        let peers = view.nodes.iter();
        RoutingView {
            revision: self.document.revision,
            refuse_work: self.refuse_work(),
            shares_valid_until: view.shares_valid_until,
            peers: peers
                .map(|node| (node.node.clone(), node.peer_address.clone()))
                .collect(),
            services: build_services(&sources),
        }
    }
}
