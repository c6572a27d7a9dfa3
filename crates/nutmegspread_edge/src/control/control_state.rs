//! State of the control thread: objects of the store, the other nodes, and the rollouts under way.

use crate::control::known_objects::KnownObjects;
use crate::control::rollout_set::RolloutSet;
use crate::control::store_eras::StoreEras;
use crate::control::unreadable_log::UnreadableLog;
use crate::{FleetView, SharedState};
use indexmap::{IndexMap, IndexSet};
use nutmegspread_platform::{
    ObjectChange, ObjectKind, StoreObject, decode_record, decode_rollout, decode_target,
};
use nutmegspread_tier::{
    ContactSettings, EvacuationSet, EvacuationSettings, FailureDomain, FleetPlace, MemberRecord,
    MemberSettings, MemberTable, MemberView, NodeName, RegistryChange, RegistrySettings,
    RolloutOrder, RouteTable, StoreContact, StorePosition, TargetId, TargetRecord, TargetRegistry,
    WatchRole,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest number of addresses that are kept besides those of the known peers.
pub(super) const MAX_ROSTER: usize = 32;

/// Kinds of objects that every node follows, in the order of `MemberRecord::revisions`.
pub const FOLLOWED_KINDS: [ObjectKind; 4] = [
    ObjectKind::Configuration,
    ObjectKind::Targets,
    ObjectKind::Evacuations,
    ObjectKind::Rollouts,
];

/// Kind that the first watcher watches; the answers tell it the revision of the whole store.
pub(super) const CONFIRMING_KIND: ObjectKind = ObjectKind::Configuration;
/// Longest duration of one watch call; the store allows up to 30 s.
pub(super) const LONGEST_WATCH: Duration = Duration::from_secs(25);

/// State of the control thread: objects of the store, the other nodes, and the rollouts under way.
#[derive(Debug)]
pub struct ControlState {
    pub(super) shared: Arc<SharedState>,
    /// Configuration in force; `None` until one is known.
    pub(super) table: Option<Arc<RouteTable>>,
    /// Its contents, as they are relayed to peers.
    pub(super) contents_in_force: Option<String>,
    pub(super) registry: TargetRegistry,
    /// Evacuated failure domains.
    pub(super) evacuations: EvacuationSet,
    pub(super) rollouts: RolloutSet,
    /// The other nodes, as known from their heartbeats.
    pub(super) members: MemberView,
    /// Table of the live nodes that this node hears, for those that follow it.
    pub(super) table_of_members: MemberTable,
    /// Whether this node was cut off from its peers.
    pub(super) contact: StoreContact,
    /// Record that this node sends in its heartbeats; refreshed by [`Self::own_record`].
    pub(super) own: MemberRecord,
    /// Addresses of peers from the store's roster and from heartbeats, the latest last; heartbeats
    /// are sent to them also while nothing has been received from them.
    pub(super) roster: IndexSet<SocketAddr>,
    pub(super) unreadable: UnreadableLog,
    /// Era of the store.
    pub(super) eras: StoreEras,
    /// Copies of the store's objects, which this node relays to others.
    pub(super) objects: IndexMap<ObjectKind, KnownObjects>,
    /// Time at which the store last answered again after an outage; see
    /// [`Self::record_store_answer`].
    pub(super) returned: Option<Instant>,
    /// Version in force, if the store has only an earlier one; otherwise 0.
    pub(super) kept_version: u64,
    /// When this node learned that the store has come back from an older copy.
    pub(super) era_began: Option<Instant>,
    /// Kinds whose last call to the store failed.
    pub(super) failed_kinds: IndexSet<ObjectKind>,
    /// Latest position of the whole store that this node saw as the first watcher, and when.
    pub(super) store_position: Option<(StorePosition, Instant)>,
    /// Time of this node's start.
    pub(super) started: Instant,
    /// Position among the peers at which the addresses of the next heartbeat start.
    pub(super) next_known: usize,
    /// Role of this node towards the store at the last call of [`Self::expire`].
    pub(super) role: WatchRole,
    /// Place of this node in the fleet at the last call of [`Self::expire`].
    pub(super) place: FleetPlace,
    /// Whether this node was advertised to callers at the last call of [`Self::expire`].
    pub(super) was_named: bool,
    /// This node's share of the limits that are common to all nodes; 0 until it is computed.
    pub(super) part: f64,
    /// Nodes that share limits of whole requests; `None` while heartbeats of some nodes may not
    /// have been received yet.
    pub(super) sharers: Option<Vec<NodeName>>,
    /// Number of views published so far.
    pub(super) views: u64,
}

impl ControlState {
    /// Creates the state of a node that has read no object yet.
    pub fn new(shared: Arc<SharedState>, own: MemberRecord, now: Instant) -> Self {
        let contact = ContactSettings {
            lapse_time: shared.settings.load().lapse_time(),
        };
        Self {
            unreadable: UnreadableLog::new(Arc::clone(&shared)),
            eras: StoreEras::new(Arc::clone(&shared)),
            shared,
            table: None,
            contents_in_force: None,
            registry: TargetRegistry::new(RegistrySettings::default()),
            evacuations: EvacuationSet::new(EvacuationSettings::default()),
            rollouts: RolloutSet::default(),
            members: MemberView::new(MemberSettings::default(), now),
            table_of_members: MemberTable::default(),
            contact: StoreContact::new(contact),
            own,
            roster: IndexSet::new(),
            objects: FOLLOWED_KINDS
                .iter()
                .map(|kind| (*kind, KnownObjects::default()))
                .collect(),
            returned: None,
            era_began: None,
            kept_version: 0,
            failed_kinds: IndexSet::new(),
            store_position: None,
            started: now,
            next_known: 0,
            role: WatchRole::Follow,
            place: FleetPlace::Mesh,
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
        position: StorePosition,
    ) {
        if let Some(known) = self.objects.get_mut(&kind) {
            known.replace(objects, position);
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
                let domains = objects.iter().map(|object| object.name.as_str().into());
                if self.evacuations.replace(now, domains) {
                    log::info!(event = "evacuations", domains:? = self.evacuations.domains();
                        "list of evacuated failure domains changed");
                }
            }
            ObjectKind::Rollouts => {
                let names: IndexSet<&str> =
                    objects.iter().map(|object| object.name.as_str()).collect();
                self.rollouts.retain(now, &names);
                for object in objects {
                    self.apply_rollout(now, object, position.era);
                }
            }
            ObjectKind::Members => objects.iter().for_each(|object| {
                match decode_record::<SocketAddr>(&object.contents) {
                    Ok(address) => self.add_to_roster(&[address]),
                    Err(error) => self.unreadable.record(object, &error.to_string()),
                }
            }),
            ObjectKind::Usage => {}
        }
        if position.era < self.era() {
            self.keep_as_past(now, kind);
        }
        self.publish(now);
    }

    /// Applies changes of objects of a kind, in order, after which the kind is known up to `position`.
    /// They follow what is known, so they are of the same era.
    pub fn apply_changes(
        &mut self,
        now: Instant,
        kind: ObjectKind,
        changes: &[ObjectChange],
        position: StorePosition,
    ) {
        for change in changes {
            self.apply_change(now, kind, change, position.revision);
        }
        if let Some(known) = self.objects.get_mut(&kind) {
            known.set_position(position);
        }
        if !changes.is_empty() {
            self.publish(now);
        }
    }

    /// Position in the store's history up to which this node knows a kind of objects.
    pub fn position(&self, kind: ObjectKind) -> Option<StorePosition> {
        self.objects.get(&kind).and_then(KnownObjects::position)
    }

    /// Applies one change of an object.
    pub(super) fn apply_change(
        &mut self,
        now: Instant,
        kind: ObjectKind,
        change: &ObjectChange,
        revision: u64,
    ) {
        let ObjectChange { object, is_removed } = change;
        let is_removed = *is_removed;
        if let Some(known) = self.objects.get_mut(&kind) {
            known.apply_change(object, is_removed, revision);
        }
        match kind {
            ObjectKind::Configuration if !is_removed => {
                self.apply_configuration(object);
            }
            ObjectKind::Configuration | ObjectKind::Members | ObjectKind::Usage => {}
            ObjectKind::Targets => {
                let id: TargetId = object.name.as_str().into();
                let change = if is_removed {
                    // A relay leaves out the changes before a removal.
                    if let Ok(last) = decode_target(&id, &object.contents) {
                        self.registry.record_last(now, &id, Arc::new(last));
                    }
                    RegistryChange::Remove(id)
                } else {
                    RegistryChange::Put(id, self.read_target(object))
                };
                log_target(&change, object.revision);
                self.registry.apply(now, change);
            }
            ObjectKind::Rollouts if is_removed => {
                self.rollouts.remove(now, &object.name, object.revision);
            }
            ObjectKind::Rollouts => {
                let era = self.position(kind).unwrap_or_default().era;
                self.apply_rollout(now, object, era);
            }
            ObjectKind::Evacuations => {
                let domain: FailureDomain = object.name.as_str().into();
                log::info!(event = "evacuation", domain:% = domain, revision = object.revision,
                    active = !is_removed; "evacuation of a failure domain started or ended");
                if is_removed {
                    self.evacuations.remove(&domain);
                } else {
                    self.evacuations.put(domain);
                }
            }
        }
    }

    /// Drops peers and targets that were silent or missing for too long, and judges the rollouts.
    /// Publishes a new view if targets, rollouts, or this node's share or advertisement changed.
    pub fn expire(&mut self, now: Instant) {
        self.observe_peers(now);
        self.members.expire(now);
        let own = self.own_record(now);
        let heard = self.members.heard_records(now);
        self.table_of_members
            .update(heard.chain(std::iter::once(&own)));
        let place = self.members.place(now, &own);
        if place != self.place {
            log::info!(event = "fleet_place", place:? = place, before:? = self.place,
                live = self.members.live_peers(now) + 1; "place in the fleet changed");
            self.place = place;
        }
        let role = self.members.watch_role(now, &own);
        if role != self.role {
            let ages: Vec<u64> = FOLLOWED_KINDS
                .iter()
                .map(|kind| millis(self.age(now, *kind)))
                .collect();
            log::info!(event = "watch_role", role:? = role, before:? = self.role,
                reaches_store = own.reaches_store, ages_ms:? = ages;
                "role towards the store changed");
            self.role = role;
        }
        let rollouts_changed = self.rollouts.judge(now, &own, &self.shared.evidence);
        let share = self.members.limit_share(now, &own);
        let advertised = self.members.advertised(now, &own);
        let is_advertised = advertised.iter().any(|record| record.node == own.node);
        let sharers = self.members.sharers(now, &own);
        let has_changed = share != self.part
            || sharers != self.sharers
            || is_advertised != self.was_named
            || rollouts_changed;
        self.part = share;
        self.sharers = sharers;
        self.was_named = is_advertised;
        let confirmed = self.confirmed_age(now, ObjectKind::Targets);
        let confirmed = confirmed.and_then(|age| now.checked_sub(age));
        let has_renewed = confirmed.is_some_and(|at| self.registry.admit_renewed(now, at));
        let has_expired = self.registry.expire(now) | self.evacuations.expire(now) | has_renewed;
        if has_expired || has_changed {
            self.publish(now);
        }
    }

    /// Whether this node is ready for requests of callers, also for those that need a key.
    pub fn is_ready(&mut self, now: Instant) -> bool {
        self.own_record(now).ready && self.shared.accepts_keys(self.table.as_deref(), now)
    }

    /// Publishes a view with the current state for the traffic thread.
    pub fn publish(&mut self, now: Instant) {
        self.views += 1;
        if self.part == 0.0 {
            let own = self.own_record(now);
            self.part = self.members.limit_share(now, &own);
        }
        self.shared.view.store(Arc::new(FleetView {
            table: self.table.clone(),
            targets: self.registry.usable(),
            evacuated: self.evacuations.domains(),
            rollouts: self.rollouts.services(now),
            part: self.part,
            sharers: self.sharers.clone(),
            is_named: self.was_named,
            made: now,
            number: self.views,
        }));
        self.shared.view_changed.notify_one();
    }

    pub(super) fn apply_rollout(&mut self, now: Instant, object: &StoreObject, era: u64) {
        match decode_rollout(object) {
            Ok(order) => {
                let order = RolloutOrder { era, ..order };
                self.rollouts.apply_order(now, &object.name, order);
            }
            Err(error) => self.unreadable.record(object, &error.to_string()),
        }
    }

    pub(super) fn read_target(&mut self, object: &StoreObject) -> Option<Arc<TargetRecord>> {
        match decode_target(&object.name, &object.contents) {
            Ok(record) => Some(Arc::new(record)),
            Err(error) => {
                self.unreadable.record(object, &error.to_string());
                None
            }
        }
    }
}

/// Position of a kind in the lists of a [`MemberRecord`].
pub(super) fn kind_index(kind: ObjectKind) -> Option<usize> {
    FOLLOWED_KINDS.iter().position(|followed| *followed == kind)
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

pub(super) fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
