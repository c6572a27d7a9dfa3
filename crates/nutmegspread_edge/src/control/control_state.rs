//! State of the control thread: objects of the store, the other nodes, and the rollouts under way.

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

/// Largest number of unreadable objects that are logged; each is logged once per revision.
const MAX_LOGGED_UNREADABLE: usize = 64;

/// Time without an answer from any peer after which this node reads the store itself.
const RELAY_FAILURE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Kinds of objects that every node follows, in the order of `MemberRecord::revisions`.
pub const FOLLOWED_KINDS: [ObjectKind; 4] = [
    ObjectKind::Configuration,
    ObjectKind::Targets,
    ObjectKind::Evacuations,
    ObjectKind::Rollouts,
];

/// State of the control thread: objects of the store, the other nodes, and the rollouts under way.
#[derive(Debug)]
pub struct ControlState {
    shared: Arc<SharedState>,
    /// Configuration in force; `None` until one is known.
    table: Option<Arc<RouteTable>>,
    registry: TargetRegistry,
    /// Evacuated failure domains.
    evacuated: IndexSet<FailureDomain>,
    rollouts: RolloutSet,
    /// The other nodes, as known from their heartbeats.
    members: MemberView,
    /// Record that this node sends in its heartbeats; refreshed by [`Self::own_record`].
    own: MemberRecord,
    /// Addresses of peers from the store's roster and from heartbeats; heartbeats are sent to all
    /// of them, also while nothing has been received from them.
    roster: IndexSet<SocketAddr>,
    /// Last logged revision of each object that could not be decoded, by object name.
    unreadable: IndexMap<String, u64>,
    /// Copies of the store's objects, which this node relays to others.
    objects: IndexMap<ObjectKind, KnownObjects>,
    /// Time at which the store last was unavailable or became available again; see
    /// [`Self::store_returned`].
    returned: Option<Instant>,
    /// Time of the first failed relay call since the last successful one.
    relay_failing: Option<Instant>,
    /// Position among the peers at which the addresses of the next heartbeat start.
    next_known: usize,
    /// Whether this node was advertised to callers at the last call of [`Self::expire`].
    was_named: bool,
    /// This node's share of the limits that are common to all nodes; 0 until it is computed.
    part: f64,
    /// Nodes that share limits of whole requests; `None` while heartbeats of some nodes may not
    /// have been received yet.
    sharers: Option<Vec<NodeName>>,
    /// Number of views published so far.
    views: u64,
}

impl ControlState {
    /// Creates the state of a node that has read no object yet.
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

    /// Applies a complete list of the objects of a kind, and publishes a new view.
    pub fn apply_list(
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
                    self.apply_configuration(object);
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
                    log::info!(event = "evacuations", domains:? = evacuated;
                        "list of evacuated failure domains changed");
                }
                self.evacuated = evacuated;
            }
            ObjectKind::Rollouts => {
                let names: IndexSet<&str> =
                    objects.iter().map(|object| object.name.as_str()).collect();
                self.rollouts.retain(&names);
                for object in objects {
                    self.apply_rollout(now, object);
                }
            }
            ObjectKind::Members => {
                for object in objects {
                    match decode_record::<SocketAddr>(&object.contents) {
                        Ok(address) => {
                            self.roster.insert(address);
                        }
                        Err(error) => self.log_unreadable(object, &error.to_string()),
                    }
                }
            }
        }
        self.publish(now);
    }

    /// Applies changes of objects of a kind, in order, after which the kind is known up to
    /// `revision`.
    pub fn apply_changes(
        &mut self,
        now: Instant,
        kind: ObjectKind,
        changes: &[ObjectChange],
        revision: u64,
    ) {
        for change in changes {
            self.apply_change(now, kind, &change.object, change.is_removed, revision);
        }
        if let Some(known) = self.objects.get_mut(&kind) {
            known.set_revision(revision);
        }
        if !changes.is_empty() {
            self.publish(now);
        }
    }

    /// Applies a peer's answer to a relay call, unless this node already knows at least its
    /// revision.
    pub fn apply_relay_answer(&mut self, now: Instant, kind: ObjectKind, answer: RelayAnswer) {
        self.relay_failing = None;
        let known_revision = self.revision(kind).unwrap_or(0);
        if answer.revision <= known_revision {
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
            self.apply_list(now, kind, &put, answer.revision);
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
        // Removals are applied first, because an object that was removed and created again occurs
        // in both lists.
        let changes: Vec<ObjectChange> = removed.chain(put).collect();
        self.apply_changes(now, kind, &changes, answer.revision);
    }

    /// Returns the objects of a kind that a peer lacks if it knows the kind up to `revision`.
    /// Returns `None` if this node has not read the kind yet.
    pub fn answer_relay(
        &self,
        now: Instant,
        kind: ObjectKind,
        revision: u64,
    ) -> Option<RelayAnswer> {
        let known = self.objects.get(&kind)?;
        let reached = known.revision()?;
        let is_complete = !known.has_removals_since(revision);
        let since = if is_complete { 0 } else { revision };
        let put = known.changed_since(since).map(|object| RelayObject {
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

    /// Revision of the store up to which this node knows a kind of objects.
    pub fn revision(&self, kind: ObjectKind) -> Option<u64> {
        self.objects.get(&kind).and_then(KnownObjects::revision)
    }

    /// Records that the store has just confirmed that this node's objects of a kind are current.
    pub fn confirm(&mut self, now: Instant, kind: ObjectKind) {
        if let Some(known) = self.objects.get_mut(&kind) {
            known.confirm(now);
        }
    }

    /// Time since the store last confirmed that this node's objects of a kind were current; `None`
    /// if it never did.
    pub fn age(&self, now: Instant, kind: ObjectKind) -> Option<Duration> {
        self.objects.get(&kind)?.age(now)
    }

    /// Whether this node should read a kind of objects from the store now.
    ///
    /// A node that has no objects of the kind yet starts at once if its role is to watch. Once it
    /// has them, it waits until the nodes that started together have received each other's
    /// heartbeats, because only then their roles are certain.
    pub fn should_read_store(&mut self, now: Instant, kind: ObjectKind) -> bool {
        let is_settling = self.members.is_settling(now) && self.revision(kind).is_some();
        !is_settling && self.is_watching(now)
    }

    /// Whether this node should watch the store: its role requires it, or no peer has answered a
    /// relay call for some time.
    pub fn is_watching(&mut self, now: Instant) -> bool {
        let own = self.own_record();
        let is_failing = self
            .relay_failing
            .is_some_and(|since| now.saturating_duration_since(since) > RELAY_FAILURE_TIMEOUT);
        is_failing || self.members.watch_role(now, &own) == WatchRole::Watch
    }

    /// Peers that know a later revision of a kind than this node, the latest revision first.
    pub fn peers_ahead(&self, now: Instant, kind: ObjectKind) -> Vec<SocketAddr> {
        let index = FOLLOWED_KINDS.iter().position(|followed| *followed == kind);
        let revision = self.revision(kind).unwrap_or(0);
        index.map_or_else(Vec::new, |index| {
            self.members.peers_ahead(now, index, revision)
        })
    }

    /// Longest random delay before this node sends a relay call; `None` if it should call at once
    /// because other nodes will follow it.
    pub fn relay_call_spread(&mut self, now: Instant) -> Option<Duration> {
        let own = self.own_record();
        self.members.relay_call_spread(now, &own)
    }

    /// Records that a relay call failed.
    pub fn record_relay_failure(&mut self, now: Instant) {
        self.relay_failing.get_or_insert(now);
    }

    /// Records whether the store answered the last call of this node.
    pub fn set_store_reachable(&mut self, reaches_store: bool) {
        self.own.reaches_store = reaches_store;
        self.shared
            .reaches_store
            .store(reaches_store, Ordering::Relaxed);
    }

    /// Whether no peer is live.
    pub fn has_no_live_peers(&self, now: Instant) -> bool {
        self.members.live_peers(now) == 0
    }

    /// Whether this node is advertised to callers.
    pub fn is_advertised(&self) -> bool {
        self.was_named
    }

    /// Applies one change of an object.
    fn apply_change(
        &mut self,
        now: Instant,
        kind: ObjectKind,
        object: &StoreObject,
        is_removed: bool,
        revision: u64,
    ) {
        if let Some(known) = self.objects.get_mut(&kind) {
            known.apply_change(object, is_removed, revision);
        }
        match kind {
            ObjectKind::Configuration if !is_removed => self.apply_configuration(object),
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
            ObjectKind::Rollouts => self.apply_rollout(now, object),
            ObjectKind::Evacuations => {
                let domain: FailureDomain = object.name.as_str().into();
                log::info!(event = "evacuation", domain:% = domain, revision = object.revision,
                    active = !is_removed; "evacuation of a failure domain started or ended");
                if is_removed {
                    self.evacuated.shift_remove(&domain);
                } else {
                    self.evacuated.insert(domain);
                }
            }
        }
    }

    /// Records that the store is unavailable, or has just become available again. For a while after
    /// this, a target is kept when its registration is removed, because it may only have been
    /// unable to renew the registration.
    pub fn store_returned(&mut self, now: Instant) {
        self.registry.store_returned(now);
        self.returned = Some(now);
    }

    /// Drops peers and targets that were silent or missing for too long, and judges the rollouts.
    /// Publishes a new view if targets, rollouts, or this node's share or advertisement changed.
    pub fn expire(&mut self, now: Instant) {
        self.members.expire(now);
        let own = self.own_record();
        let rollouts_changed = self.rollouts.judge(now, &own, &self.shared.evidence);
        let share = self.members.limit_share(now, &own);
        let is_advertised = self
            .members
            .advertised(now, &own)
            .iter()
            .any(|record| record.node == own.node);
        let sharers = self.members.sharers(now, &own);
        let has_changed = share != self.part
            || sharers != self.sharers
            || is_advertised != self.was_named
            || rollouts_changed;
        self.part = share;
        self.sharers = sharers;
        self.was_named = is_advertised;
        if self.registry.expire(now) || has_changed {
            self.publish(now);
        }
    }

    /// Applies a heartbeat of a peer; returns whether the peer is new.
    pub fn apply_heartbeat(&mut self, now: Instant, record: MemberRecord) -> bool {
        if record.node == self.own.node {
            return false;
        }
        let (node, address) = (record.node.clone(), record.peers);
        self.rollouts.apply_evidence(now, &record);
        self.roster.extend(record.known.iter().copied());
        let is_new = self.members.apply_record(now, record);
        if is_new {
            log::info!(event = "node_heard", node:% = node, peers:% = address;
                "received a heartbeat of a new peer");
        }
        is_new
    }

    /// The record of this node with its current state, without addresses of peers and rollout
    /// evidence.
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

    /// The next heartbeat of this node. It carries up to `addresses` addresses of peers, taken in
    /// turn.
    pub fn heartbeat(&mut self, now: Instant, addresses: usize) -> MemberRecord {
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
            rollouts: self.rollouts.evidence(now, &self.shared.evidence),
            ..self.own_record()
        }
    }

    /// Returns the rollout states that this node should write to the store now, each with the name
    /// of its object and its order.
    pub fn rollout_writes(&mut self, now: Instant) -> Vec<(String, RolloutOrder, RolloutState)> {
        if self.rollouts.is_empty() || !self.is_watching(now) {
            return Vec::new();
        }
        self.rollouts.writes(now)
    }

    /// Addresses of the peers that heartbeats are sent to.
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

    /// Whether this node is ready for requests of callers.
    pub fn is_ready(&mut self) -> bool {
        self.own_record().ready
    }

    /// Addresses of the nodes that are advertised to callers.
    pub fn addresses(&mut self, now: Instant) -> Vec<SocketAddr> {
        let own = self.own_record();
        let advertised = self.members.advertised(now, &own);
        advertised.iter().map(|record| record.callers).collect()
    }

    /// Publishes a view with the current state for the traffic thread.
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

    fn apply_configuration(&mut self, object: &StoreObject) {
        match decode_configuration(&object.contents) {
            Ok(table) => {
                let current_version = self.table.as_ref().map_or(0, |table| table.version);
                if table.version > current_version {
                    log::info!(event = "configuration", version = table.version,
                        before = current_version, revision = object.revision;
                        "applied a new configuration");
                    self.table = Some(Arc::new(table));
                }
            }
            Err(error) => self.log_unreadable(object, &error.to_string()),
        }
    }

    fn apply_rollout(&mut self, now: Instant, object: &StoreObject) {
        match decode_rollout(object) {
            Ok(order) => self.rollouts.apply_order(now, &object.name, order),
            Err(error) => self.log_unreadable(object, &error.to_string()),
        }
    }

    fn read_target(&mut self, object: &StoreObject) -> Option<Arc<TargetRecord>> {
        match decode_target(&object.name, &object.contents) {
            Ok(record) => Some(Arc::new(record)),
            Err(error) => {
                self.log_unreadable(object, &error.to_string());
                None
            }
        }
    }

    fn log_unreadable(&mut self, object: &StoreObject, reason: &str) {
        let known = self.unreadable.get(&object.name);
        if known == Some(&object.revision) || self.unreadable.len() >= MAX_LOGGED_UNREADABLE {
            return;
        }
        self.unreadable.insert(object.name.clone(), object.revision);
        log::warn!(event = "unreadable", object = object.name.as_str(), revision = object.revision,
            reason; "skipped an object of the store that cannot be decoded");
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
            log::info!(event = "target", target:% = id, revision;
                "registration cannot be decoded as a target");
        }
        RegistryChange::Remove(id) => {
            log::info!(event = "target", target:% = id, revision; "registration removed");
        }
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
