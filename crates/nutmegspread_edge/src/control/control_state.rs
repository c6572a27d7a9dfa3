//! Everything that the control thread knows.

use crate::control::known_objects::KnownObjects;
use crate::control::relay_answer::{RelayAnswer, RelayObject};
use crate::control::rollout_set::RolloutSet;
use crate::{FleetView, SharedState};
use indexmap::{IndexMap, IndexSet};
use nutmegspread_platform::{
    ObjectChange, ObjectKind, StoreObject, decode_configuration, decode_record, decode_rollout,
    decode_target,
};
use nutmegspread_tier::{
    FailureDomain, MemberRecord, MemberSettings, MemberView, NodeName, RegistryChange,
    RegistrySettings, RolloutOrder, RolloutState, RouteTable, TargetId, TargetRecord,
    TargetRegistry, WatchRole,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Entries that cannot be read are logged once each, for this many at most.
const LOGGED_UNREADABLE: usize = 64;

/// Time for which no other node answers before this one asks the store itself.
const RELAY_PATIENCE: Duration = Duration::from_millis(1500);
/// Kinds that every node knows, in the order of `MemberRecord::revisions`.
pub const FOLLOWED_KINDS: [ObjectKind; 4] = [
    ObjectKind::Configuration,
    ObjectKind::Targets,
    ObjectKind::Evacuations,
    ObjectKind::Rollouts,
];

/// Everything that the control thread knows.
#[derive(Debug)]
pub struct ControlState {
    shared: Arc<SharedState>,
    table: Option<Arc<RouteTable>>,
    registry: TargetRegistry,
    evacuated: IndexSet<FailureDomain>,
    rollouts: RolloutSet,
    members: MemberView,
    own: MemberRecord,
    /// Addresses found in the store, which are greeted until they are heard.
    roster: IndexSet<SocketAddr>,
    unreadable: IndexMap<String, u64>,
    objects: IndexMap<ObjectKind, KnownObjects>,
    returned: Option<Instant>,
    relay_failing: Option<Instant>,
    next_known: usize,
    was_named: bool,
    part: f64,
    sharers: Option<Vec<NodeName>>,
    views: u64,
}

impl ControlState {
    /// Starts with nothing known.
    pub fn new(shared: Arc<SharedState>, own: MemberRecord, now: Instant) -> Self {
        Self {
            shared,
            table: None,
            registry: TargetRegistry::new(RegistrySettings::default()),
            evacuated: IndexSet::new(),
            rollouts: RolloutSet::default(),
            members: MemberView::new(MemberSettings::default(), now),
            own,
            roster: IndexSet::new(),
            unreadable: IndexMap::new(),
            objects: FOLLOWED_KINDS
                .iter()
                .map(|kind| (*kind, KnownObjects::default()))
                .collect(),
            returned: None,
            relay_failing: None,
            next_known: 0,
            was_named: true,
            part: 0.0,
            sharers: None,
            views: 0,
        }
    }

    /// Takes a complete list of the objects of a kind.
    pub fn take_list(
        &mut self,
        now: Instant,
        kind: ObjectKind,
        objects: &[StoreObject],
        revision: u64,
    ) {
        if let Some(known) = self.objects.get_mut(&kind) {
            known.replace(objects, revision);
        }
        match kind {
            ObjectKind::Configuration => {
                for object in objects {
                    self.take_configuration(object);
                }
            }
            ObjectKind::Targets => {
                let entries: Vec<(TargetId, Option<Arc<TargetRecord>>)> = objects
                    .iter()
                    .map(|object| (object.name.as_str().into(), self.read_target(object)))
                    .collect();
                self.registry.replace(now, entries.into_iter());
            }
            ObjectKind::Evacuations => {
                let evacuated: IndexSet<FailureDomain> = objects
                    .iter()
                    .map(|object| object.name.as_str().into())
                    .collect();
                if evacuated != self.evacuated {
                    log::info!(event = "evacuations", domains:? = evacuated; "evacuations listed");
                }
                self.evacuated = evacuated;
            }
            ObjectKind::Rollouts => {
                let names: IndexSet<&str> =
                    objects.iter().map(|object| object.name.as_str()).collect();
                self.rollouts.keep(&names);
                for object in objects {
                    self.take_rollout(now, object);
                }
            }
            ObjectKind::Members => {
                for object in objects {
                    match decode_record::<SocketAddr>(&object.contents) {
                        Ok(peers) => {
                            self.roster.insert(peers);
                        }
                        Err(error) => self.note_unreadable(object, &error.to_string()),
                    }
                }
            }
        }
        self.publish(now);
    }

    /// Takes the changes of a watch, which bring a kind to `revision`.
    pub fn take_changes(
        &mut self,
        now: Instant,
        kind: ObjectKind,
        changes: &[ObjectChange],
        revision: u64,
    ) {
        for change in changes {
            self.take_change(now, kind, &change.object, change.is_removed, revision);
        }
        if let Some(known) = self.objects.get_mut(&kind) {
            known.reach(revision);
        }
        if !changes.is_empty() {
            self.publish(now);
        }
    }

    /// Takes what another node tells of a kind.
    pub fn take_relay(&mut self, now: Instant, kind: ObjectKind, answer: RelayAnswer) {
        self.relay_failing = None;
        let held = self.revision(kind).unwrap_or(0);
        if answer.revision <= held {
            return;
        }
        if let Some(returned) = answer.returned_ms.map(Duration::from_millis)
            && let Some(returned) = now.checked_sub(returned)
        {
            self.registry.store_returned(returned);
            self.returned = Some(returned);
        }
        let (mut put, mut removed) = (Vec::new(), Vec::new());
        for object in answer.objects {
            let RelayObject {
                name,
                revision,
                contents,
                status,
            } = object;
            match contents {
                Some(contents) => put.push(StoreObject {
                    name,
                    revision,
                    contents,
                    status,
                }),
                None => removed.push(StoreObject {
                    name,
                    revision,
                    contents: "null".to_owned(),
                    status: None,
                }),
            }
        }
        if answer.is_complete {
            self.take_list(now, kind, &put, answer.revision);
            return;
        }
        let removed = removed.into_iter().map(|object| ObjectChange {
            object,
            is_removed: true,
        });
        let put = put.into_iter().map(|object| ObjectChange {
            object,
            is_removed: false,
        });
        // An object that was removed and created again is put, so removals go first.
        let changes: Vec<ObjectChange> = removed.chain(put).collect();
        self.take_changes(now, kind, &changes, answer.revision);
    }

    /// What another node that knows `kind` up to `revision` lacks.
    pub fn relay(&self, now: Instant, kind: ObjectKind, revision: u64) -> Option<RelayAnswer> {
        let known = self.objects.get(&kind)?;
        let reached = known.revision()?;
        let is_complete = !known.covers(revision);
        let since = if is_complete { 0 } else { revision };
        let put = known.put_since(since).map(|object| RelayObject {
            name: object.name.clone(),
            revision: object.revision,
            contents: Some(object.contents.clone()),
            status: object.status.clone(),
        });
        let removed = known.removed_since(revision).map(|name| RelayObject {
            name: name.to_owned(),
            revision: reached,
            contents: None,
            status: None,
        });
        let objects = if is_complete {
            put.collect()
        } else {
            put.chain(removed).collect()
        };
        let returned_ms = self
            .returned
            .map(|returned| now.saturating_duration_since(returned).as_millis() as u64);
        Some(RelayAnswer {
            revision: reached,
            is_complete,
            objects,
            returned_ms,
        })
    }

    /// Revision up to which a kind is known.
    pub fn revision(&self, kind: ObjectKind) -> Option<u64> {
        self.objects.get(&kind).and_then(KnownObjects::revision)
    }

    /// Whether this node asks the store for a kind of object now.
    ///
    /// A node that knows nothing asks at once. Who goes on to watch is clear once the nodes that
    /// started together have heard each other.
    pub fn is_asking(&mut self, now: Instant, kind: ObjectKind) -> bool {
        let is_settling = self.members.is_settling(now) && self.revision(kind).is_some();
        !is_settling && self.is_watching(now)
    }

    /// Whether it is this node's duty to watch the store.
    pub fn is_watching(&mut self, now: Instant) -> bool {
        let own = self.own_record();
        let is_failing = self
            .relay_failing
            .is_some_and(|since| now.saturating_duration_since(since) > RELAY_PATIENCE);
        is_failing || self.members.watch_role(now, &own) == WatchRole::Watch
    }

    /// Nodes that know more of a kind than this one, the furthest first.
    pub fn ahead(&self, now: Instant, kind: ObjectKind) -> Vec<SocketAddr> {
        let index = FOLLOWED_KINDS.iter().position(|followed| *followed == kind);
        let held = self.revision(kind).unwrap_or(0);
        index.map_or_else(Vec::new, |index| self.members.peers_ahead(now, index, held))
    }

    /// How long this node may wait before it asks others; nothing for those that tell others.
    pub fn relay_spread(&mut self, now: Instant) -> Option<Duration> {
        let own = self.own_record();
        self.members.relay_call_spread(now, &own)
    }

    /// Notes that another node did not tell what it knows.
    pub fn relay_failed(&mut self, now: Instant) {
        self.relay_failing.get_or_insert(now);
    }

    /// Notes whether the store answered this node's last call.
    pub fn note_store(&mut self, reaches_store: bool) {
        self.own.reaches_store = reaches_store;
        self.shared
            .reaches_store
            .store(reaches_store, Ordering::Relaxed);
    }

    /// Whether no other node is heard.
    pub fn is_alone(&self, now: Instant) -> bool {
        self.members.live_peers(now) == 0
    }

    /// Whether callers are sent to this node.
    pub fn is_named(&self) -> bool {
        self.was_named
    }

    /// Takes one change of an object.
    fn take_change(
        &mut self,
        now: Instant,
        kind: ObjectKind,
        object: &StoreObject,
        is_removed: bool,
        revision: u64,
    ) {
        if let Some(known) = self.objects.get_mut(&kind) {
            known.change(object, is_removed, revision);
        }
        match kind {
            ObjectKind::Configuration if !is_removed => self.take_configuration(object),
            ObjectKind::Configuration | ObjectKind::Members => {}
            ObjectKind::Targets => {
                let id: TargetId = object.name.as_str().into();
                let change = if is_removed {
                    RegistryChange::Remove(id)
                } else {
                    RegistryChange::Put(id, self.read_target(object))
                };
                log_target(&change, object.revision);
                self.registry.apply(now, change);
            }
            ObjectKind::Rollouts if is_removed => self.rollouts.remove(&object.name),
            ObjectKind::Rollouts => self.take_rollout(now, object),
            ObjectKind::Evacuations => {
                let domain: FailureDomain = object.name.as_str().into();
                log::info!(event = "evacuation", domain:% = domain, revision = object.revision,
                    active = !is_removed; "evacuation changed");
                if is_removed {
                    self.evacuated.shift_remove(&domain);
                } else {
                    self.evacuated.insert(domain);
                }
            }
        }
    }

    /// Notes that the registrations can be read again after they could not.
    pub fn store_returned(&mut self, now: Instant) {
        self.registry.store_returned(now);
        self.returned = Some(now);
    }

    /// Drops what has been missing or silent for too long.
    pub fn expire(&mut self, now: Instant) {
        self.members.expire(now);
        let own = self.own_record();
        let rollouts_changed = self.rollouts.judge(now, &own, &self.shared.evidence);
        let part = self.members.limit_share(now, &own);
        let is_named = self
            .members
            .advertised(now, &own)
            .iter()
            .any(|record| record.node == own.node);
        let sharers = self.members.sharers(now, &own);
        let has_changed = part != self.part
            || sharers != self.sharers
            || is_named != self.was_named
            || rollouts_changed;
        self.part = part;
        self.sharers = sharers;
        self.was_named = is_named;
        if self.registry.expire(now) || has_changed {
            self.publish(now);
        }
    }

    /// Notes a message of another node; returns whether the node is new.
    pub fn hear(&mut self, now: Instant, record: MemberRecord) -> bool {
        if record.node == self.own.node {
            return false;
        }
        let (node, peers) = (record.node.clone(), record.peers);
        self.rollouts.hear(now, &record);
        self.roster.extend(record.known.iter().copied());
        let is_new = self.members.apply_record(now, record);
        if is_new {
            log::info!(event = "node_heard", node:% = node, peers:% = peers; "another node is heard");
        }
        is_new
    }

    /// The message of this node to the others.
    pub fn own_record(&mut self) -> MemberRecord {
        let leaving = self.shared.leaving.load(Ordering::Relaxed);
        let has_targets = self.revision(ObjectKind::Targets).is_some();
        self.own.ready = self.table.is_some() && has_targets && !leaving;
        self.own.serves = self.shared.serviceable.load(Ordering::Relaxed);
        self.own.revisions = FOLLOWED_KINDS
            .iter()
            .map(|kind| self.revision(*kind).unwrap_or(0))
            .collect();
        self.own.clone()
    }

    /// The message of this node to another one, with up to `addresses` of others in turn.
    pub fn message(&mut self, addresses: usize) -> MemberRecord {
        let peers: Vec<SocketAddr> = self.members.peers().collect();
        let known = peers
            .iter()
            .cycle()
            .skip(self.next_known)
            .take(addresses.min(peers.len()));
        let known = known.copied().collect();
        self.next_known = (self.next_known + addresses) % peers.len().max(1);
        MemberRecord {
            known,
            rollouts: self
                .rollouts
                .evidence(Instant::now(), &self.shared.evidence),
            ..self.own_record()
        }
    }

    /// The states of rollouts that this node should write now, by name of the store's object.
    pub fn rollout_writes(&mut self, now: Instant) -> Vec<(String, RolloutOrder, RolloutState)> {
        if self.rollouts.is_empty() || !self.is_watching(now) {
            return Vec::new();
        }
        self.rollouts.writes(now)
    }

    /// Addresses of the other nodes that messages go to.
    pub fn peers(&self) -> IndexSet<SocketAddr> {
        let own = self.own.peers;
        let settings = self.shared.settings.load();
        let seeds = settings
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), settings.peer_port));
        self.members
            .peers()
            .chain(self.roster.iter().copied())
            .chain(seeds)
            .filter(|peer| *peer != own)
            .collect()
    }

    /// Whether callers should use this node.
    pub fn is_ready(&mut self) -> bool {
        self.own_record().ready
    }

    /// The nodes that callers should use.
    pub fn addresses(&mut self, now: Instant) -> Vec<SocketAddr> {
        let own = self.own_record();
        let named = self.members.advertised(now, &own);
        named.iter().map(|record| record.callers).collect()
    }

    /// Makes the newest state visible to traffic.
    pub fn publish(&mut self, now: Instant) {
        self.views += 1;
        if self.part == 0.0 {
            let own = self.own_record();
            self.part = self.members.limit_share(now, &own);
        }
        self.shared.view.store(Arc::new(FleetView {
            table: self.table.clone(),
            targets: self.registry.usable(),
            evacuated: self.evacuated.clone(),
            rollouts: self.rollouts.services(now),
            part: self.part,
            sharers: self.sharers.clone(),
            is_named: self.was_named,
            made: now,
            number: self.views,
        }));
        self.shared.view_changed.notify_one();
    }

    fn take_configuration(&mut self, object: &StoreObject) {
        match decode_configuration(&object.contents) {
            Ok(table) => {
                let held = self.table.as_ref().map_or(0, |held| held.version);
                if table.version > held {
                    log::info!(event = "configuration", version = table.version, before = held,
                        revision = object.revision; "configuration in force");
                    self.table = Some(Arc::new(table));
                }
            }
            Err(error) => self.note_unreadable(object, &error.to_string()),
        }
    }

    fn take_rollout(&mut self, now: Instant, object: &StoreObject) {
        match decode_rollout(object) {
            Ok(order) => self.rollouts.take(now, &object.name, order),
            Err(error) => self.note_unreadable(object, &error.to_string()),
        }
    }

    fn read_target(&mut self, object: &StoreObject) -> Option<Arc<TargetRecord>> {
        match decode_target(&object.name, &object.contents) {
            Ok(record) => Some(Arc::new(record)),
            Err(error) => {
                self.note_unreadable(object, &error.to_string());
                None
            }
        }
    }

    fn note_unreadable(&mut self, object: &StoreObject, reason: &str) {
        let known = self.unreadable.get(&object.name);
        if known == Some(&object.revision) || self.unreadable.len() >= LOGGED_UNREADABLE {
            return;
        }
        self.unreadable.insert(object.name.clone(), object.revision);
        log::warn!(event = "unreadable", object = object.name.as_str(), revision = object.revision,
            reason; "an object of the store cannot be read and is left out");
    }
}

fn log_target(change: &RegistryChange, revision: u64) {
    match change {
        RegistryChange::Put(id, Some(record)) => {
            log::info!(event = "target", target:% = id, service:% = record.service,
                draining = record.draining, started_ms = record.started_ms,
                cold_ms = millis(record.cold_left), revision; "target registered");
        }
        RegistryChange::Put(id, None) => {
            log::info!(event = "target", target:% = id, revision; "registration names no target");
        }
        RegistryChange::Remove(id) => {
            log::info!(event = "target", target:% = id, revision; "registration removed");
        }
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
