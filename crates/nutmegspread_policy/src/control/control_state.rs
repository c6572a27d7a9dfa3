//! The aggregate of all control state of one node.

use super::rollout_link::{RolloutLink, as_effects, as_version_move};
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

/// Configuration, fleet, verdicts, drains and snapshot maps of one node.
///
/// Each aggregate keeps its own rules; this one only passes results between them.
#[derive(Debug)]
pub struct ControlState {
    settings: ControlSettings,
    now: MonotonicTime,
    wall: SystemTime,
    document: Arc<ConfigurationDocument>,
    configuration: ConfigurationPolicy,
    stored_revision: Revision,
    configuration_wake_at: MonotonicTime,
    fleet_wake_at: MonotonicTime,
    candidates: Vec<WatchCandidate>,
    fleet: FleetPolicy,
    verdicts: VerdictTable,
    drains: DrainTable,
    maps: SnapshotTable,
    warmth: WarmthTable,
    rollouts: RolloutLink,
    nodes: IndexMap<NodeId, NodeRecord>,
    vms: VmTable,
    watching: bool,
}

impl ControlState {
    /// A node that knows nothing yet.
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

    /// Takes one input; `now` is the process's own clock and `wall` the VM's.
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
        self.pass_on(&input, &mut output);
        self.take(input, &mut output);
        self.tell_nodes(&mut output);
        self.choose_watch(&mut output);
        let wake_at = self.fleet_wake_at.min(self.configuration_wake_at);
        let rollouts_wake_at = self.rollouts.table.wake_at();
        output.wake_at = Some(rollouts_wake_at.map_or(wake_at, |time| time.min(wake_at)));
        output.view = changes_view.then(|| self.build_view());
        output
    }

    /// Configuration in force.
    pub fn document(&self) -> &ConfigurationDocument {
        &self.document
    }

    /// Addresses for a caller; `None` while no node is known to take work.
    pub fn answer_addresses<R: Rng>(
        &self,
        caller_domain: Option<&str>,
        rng: &mut R,
    ) -> Option<AddressAnswer> {
        let answer = self.fleet.answer_addresses(caller_domain, rng);
        (!answer.addresses.is_empty()).then_some(answer)
    }

    /// What is in force where.
    pub fn status(&self) -> StatusReport {
        let nodes = self.fleet.view().nodes.iter();
        let status_of = |node: &crate::fleet::NodeView| NodeStatus {
            domain: node.domain.clone(),
            revision: node.revision,
            member: node.member,
            leaving: node.leaving,
        };
        StatusReport {
            node: self.settings.fleet.node.clone(),
            revision: self.document().revision,
            confirmed_age_ms: self.confirmed_age_ms(),
            refuse_work: self.refuse_work(),
            nodes: nodes
                .map(|node| (node.node.clone(), status_of(node)))
                .collect(),
            lagging: self.fleet.lagging_nodes(self.document().revision),
            rollouts: self.rollouts.table.statements(self.wall),
        }
    }

    fn take(&mut self, input: ControlInput, output: &mut ControlOutput) {
        match input {
            ControlInput::Start => {
                output
                    .effects
                    .push(ControlEffect::StoreRecord(self.settings.record()));
                self.step_fleet(FleetInput::Tick, output);
            }
            ControlInput::Configuration(change) => self.take_configuration(change, output),
            ControlInput::Applied(document) => self.hear_document(document, output),
            ControlInput::Maps(change) => {
                self.note_contact(&change, output);
                self.take_maps(change.into_present());
            }
            ControlInput::Verdicts(change) => {
                self.note_contact(&change, output);
                self.take_verdicts(&change.into_present());
            }
            ControlInput::Nodes(change) => self.take_nodes(change, output),
            ControlInput::Vms(change) => {
                self.note_contact(&change, output);
                self.vms.apply(change);
                self.tell_list(output);
            }
            ControlInput::Roster(change) => {
                self.note_contact(&change, output);
                for roster in change.into_present() {
                    self.step_fleet(FleetInput::Roster(roster), output);
                }
            }
            ControlInput::Peer { from, message } => self.take_peer(from, message, output),
            ControlInput::Warmth { target, mark } => {
                self.announce_warmth(&target, mark, output);
            }
            ControlInput::Tick => {
                self.step_fleet(FleetInput::Tick, output);
                self.step_configuration(ConfigurationInput::Tick, output);
                self.repeat_warmth(output);
                self.tick_rollouts(output);
            }
            ControlInput::Query { service, input } => {
                let table = &mut self.rollouts.table;
                table.step_service(self.now, self.wall, &service, &input);
            }
            ControlInput::Rollout { rollout, input } => {
                let table = &mut self.rollouts.table;
                let actions = table.step(self.now, self.wall, &rollout, input);
                output.effects.extend(as_effects(actions));
            }
            ControlInput::Leave => self.step_fleet(FleetInput::Leave, output),
        }
    }

    /// Tells the other nodes of a change that came through a watch.
    fn pass_on(&self, input: &ControlInput, output: &mut ControlOutput) {
        let changed = match input {
            ControlInput::Configuration(change) => (WatchedKind::Configuration, change.is_event()),
            ControlInput::Maps(change) => (WatchedKind::Maps, change.is_event()),
            ControlInput::Verdicts(change) => (WatchedKind::Verdicts, change.is_event()),
            ControlInput::Nodes(change) => (WatchedKind::Nodes, change.is_event()),
            ControlInput::Vms(change) => (WatchedKind::Vms, change.is_event()),
            ControlInput::Roster(change) => (WatchedKind::Roster, change.is_event()),
            _ => return,
        };
        if let (kind, true) = changed {
            self.send_to_all(&PeerMessage::Changed(kind), output);
        }
    }

    fn choose_watch(&mut self, output: &mut ControlOutput) {
        let watching = is_watcher(&self.settings.fleet.node, self.fleet.view());
        if watching != self.watching {
            self.watching = watching;
            output.effects.push(ControlEffect::Watch(watching));
        }
    }

    fn note_contact<T>(&mut self, change: &ObjectChange<T>, output: &mut ControlOutput) {
        if change.is_contact() {
            self.step_fleet(FleetInput::PlatformSeen, output);
        }
    }

    fn take_configuration(
        &mut self,
        change: ObjectChange<ConfigurationDocument>,
        output: &mut ControlOutput,
    ) {
        self.note_contact(&change, output);
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
        for document in change.into_present() {
            self.hear_document(document, output);
        }
    }

    /// Passes on what the platform holds; a bookmark later confirms this revision and no other.
    fn hear_document(&mut self, document: ConfigurationDocument, output: &mut ControlOutput) {
        self.stored_revision = document.revision;
        let input = ConfigurationInput::PlatformDocument {
            document: Arc::new(document),
            as_of: self.now,
        };
        self.step_configuration(input, output);
    }

    fn step_configuration(&mut self, input: ConfigurationInput, output: &mut ControlOutput) {
        let before = self.configuration.confirmed_at();
        let configuration_output = self.configuration.step(self.now, input);
        self.configuration_wake_at = configuration_output.wake_at;
        let mut changed = before != self.configuration.confirmed_at();
        for action in configuration_output.actions {
            changed |= matches!(action, ConfigurationAction::Apply(_));
            self.take_configuration_action(action, output);
        }
        if changed {
            self.tell_revision(output);
        }
    }

    fn take_configuration_action(
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
            // The watchers of all kinds are chosen by `is_watcher`.
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

    fn tell_revision(&mut self, output: &mut ControlOutput) {
        let input = FleetInput::ConfigurationRevision {
            revision: self.document.revision,
            confirmed_at: self.configuration.confirmed_at(),
        };
        self.step_fleet(input, output);
    }

    /// Tells the configuration policy of the roster, and who is heard, when that has changed.
    fn tell_nodes(&mut self, output: &mut ControlOutput) {
        let heard = &self.fleet.view().nodes;
        let candidates: Vec<WatchCandidate> = self
            .fleet
            .roster_nodes()
            .map(|record| WatchCandidate {
                node: record.node.clone(),
                domain: record.domain.clone(),
                heard: heard.iter().any(|node| node.node == record.node),
            })
            .collect();
        if candidates != self.candidates {
            self.candidates.clone_from(&candidates);
            self.step_configuration(ConfigurationInput::Nodes(candidates), output);
        }
    }

    fn take_maps(&mut self, maps: Vec<SnapshotMap>) {
        for map in maps {
            self.maps.apply(map);
        }
    }

    fn take_verdicts(&mut self, records: &[VerdictRecord]) {
        for record in records {
            self.verdicts.apply(record);
        }
    }

    fn take_nodes(&mut self, change: ObjectChange<NodeRecord>, output: &mut ControlOutput) {
        self.note_contact(&change, output);
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
            // A list confirmed again lets the time pass after which a missing VM counts as gone.
            ObjectChange::Confirmed => {}
            ObjectChange::Lost => return,
        }
        self.tell_list(output);
    }

    fn tell_list(&mut self, output: &mut ControlOutput) {
        let records = self.nodes.values();
        let listed = records.filter_map(|record| self.vms.listed(record));
        let input = FleetInput::NodeList(listed.collect());
        self.step_fleet(input, output);
    }

    fn take_peer(&mut self, from: NodeId, message: PeerMessage, output: &mut ControlOutput) {
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
                output.effects.extend(as_effects(actions));
            }
            PeerMessage::Changed(kind) => {
                if !self.watching {
                    output.effects.push(ControlEffect::ReadKind(kind));
                }
            }
            PeerMessage::Warmth { marks } => self.note_marks(marks, output),
        }
    }

    fn note_marks(&mut self, marks: Vec<(TargetId, WarmthMark)>, output: &mut ControlOutput) {
        for (target, mark) in marks {
            if self.warmth.merge(&target, mark) {
                output
                    .effects
                    .push(ControlEffect::NoteWarmth { target, mark });
            }
        }
    }

    fn announce_warmth(&mut self, target: &TargetId, mark: WarmthMark, output: &mut ControlOutput) {
        if self.warmth.merge(target, mark) {
            let marks = vec![(target.clone(), mark)];
            self.send_to_all(&PeerMessage::Warmth { marks }, output);
        }
    }

    fn repeat_warmth(&mut self, output: &mut ControlOutput) {
        if let Some(message) = self.warmth.repeat(self.now) {
            self.send_to_all(&message, output);
        }
    }

    fn tick_rollouts(&mut self, output: &mut ControlOutput) {
        let nodes = self.fleet.view().nodes.iter();
        let members: Vec<NodeId> = nodes.map(|node| node.node.clone()).collect();
        let table = &mut self.rollouts.table;
        table.set_members(self.now, self.wall, &members);
        let actions = table.tick(self.now, self.wall);
        output.effects.extend(as_effects(actions));
        if let Some(message) = self.rollouts.message_if_due(self.now) {
            self.send_to_all(&message, output);
        }
    }

    fn send_to_all(&self, message: &PeerMessage, output: &mut ControlOutput) {
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
            self.take_fleet_action(action, output);
        }
    }

    fn take_fleet_action(&mut self, action: FleetAction, output: &mut ControlOutput) {
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
            FleetAction::ConfigurationDigest {
                node,
                revision,
                confirmed_at,
            } => {
                let input = ConfigurationInput::PeerDigest {
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
                let service_move = table.version_split(service, settings, self.wall);
                service_move.map(as_version_move)
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
