//! State of the control thread: objects of the store, the other nodes, and the rollouts under way.

use crate::control::configuration_intake::newer_configuration;
use crate::control::known_objects::KnownObjects;
use crate::control::relay_answer::{RelayAnswer, RelayObject};
use crate::control::rollout_set::RolloutSet;
use crate::control::store_read::StoreRead;
use crate::control::unreadable_log::UnreadableLog;
use crate::{FleetView, SharedState};
use indexmap::{IndexMap, IndexSet};
use nutmegspread_platform::{
    MAIN_CONFIGURATION, ObjectChange, ObjectKind, StoreObject, decode_record, decode_rollout,
    decode_target,
};
use nutmegspread_tier::{
    ContactSettings, EvidenceLimits, FailureDomain, FleetPlace, MemberRecord, MemberSettings,
    MemberTable, MemberView, NodeName, ReadUrgency, RegistryChange, RegistrySettings,
    RolloutEvidence, RouteTable, StoreContact, TableChanges, TargetId, TargetRecord,
    TargetRegistry, WatchRole,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Largest number of addresses that are kept besides those of the known peers.
const MAX_ROSTER: usize = 32;

/// Kinds of objects that every node follows, in the order of `MemberRecord::revisions`.
pub const FOLLOWED_KINDS: [ObjectKind; 4] = [
    ObjectKind::Configuration,
    ObjectKind::Targets,
    ObjectKind::Evacuations,
    ObjectKind::Rollouts,
];

/// Kind that the first watcher watches; the answers tell it the revision of the whole store.
const CONFIRMING_KIND: ObjectKind = ObjectKind::Configuration;
/// Longest duration of one watch call; the store allows up to 30 s.
const LONGEST_WATCH: Duration = Duration::from_secs(25);

/// State of the control thread: objects of the store, the other nodes, and the rollouts under way.
#[derive(Debug)]
pub struct ControlState {
    pub(super) shared: Arc<SharedState>,
    /// Configuration in force; `None` until one is known.
    table: Option<Arc<RouteTable>>,
    registry: TargetRegistry,
    /// Evacuated failure domains.
    evacuated: IndexSet<FailureDomain>,
    pub(super) rollouts: RolloutSet,
    /// The other nodes, as known from their heartbeats.
    pub(super) members: MemberView,
    /// Table of the live nodes that this node hears, for those that follow it.
    table_of_members: MemberTable,
    /// Whether this node was cut off from its peers.
    pub(super) contact: StoreContact,
    /// Record that this node sends in its heartbeats; refreshed by [`Self::own_record`].
    own: MemberRecord,
    /// Addresses of peers from the store's roster and from heartbeats, the latest last; heartbeats
    /// are sent to them also while nothing has been received from them.
    roster: IndexSet<SocketAddr>,
    unreadable: UnreadableLog,
    /// Copies of the store's objects, which this node relays to others.
    objects: IndexMap<ObjectKind, KnownObjects>,
    /// Time at which the store last answered again after an outage; see
    /// [`Self::record_store_answer`].
    returned: Option<Instant>,
    /// Kinds whose last call to the store failed.
    failed_kinds: IndexSet<ObjectKind>,
    /// Latest revision of the whole store that this node saw as the first watcher, and when.
    store_revision: Option<(u64, Instant)>,
    /// Time of this node's start.
    started: Instant,
    /// Position among the peers at which the addresses of the next heartbeat start.
    next_known: usize,
    /// Role of this node towards the store at the last call of [`Self::expire`].
    role: WatchRole,
    /// Place of this node in the fleet at the last call of [`Self::expire`].
    place: FleetPlace,
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
        let contact = ContactSettings {
            lapse_time: shared.settings.load().lapse_time(),
        };
        Self {
            unreadable: UnreadableLog::new(Arc::clone(&shared)),
            shared,
            table: None,
            registry: TargetRegistry::new(RegistrySettings::default()),
            evacuated: IndexSet::new(),
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
            failed_kinds: IndexSet::new(),
            store_revision: None,
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
                self.rollouts.retain(now, &names);
                for object in objects {
                    self.apply_rollout(now, object);
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
        if self
            .revision(kind)
            .is_some_and(|known| answer.revision <= known)
        {
            return;
        }
        let confirmed = answer
            .age_ms
            .and_then(|age| now.checked_sub(Duration::from_millis(age)));
        let was_away = kind == ObjectKind::Targets && self.is_store_away(now);
        if let Some(returned) = answer.returned_ms.map(Duration::from_millis)
            && let Some(returned) = now.checked_sub(returned)
            && was_away
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
        if let Some(known) = self.objects.get_mut(&kind)
            && let Some(confirmed) = confirmed
        {
            known.confirm_by_peer(confirmed);
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
        known.revision()?;
        let reached = known.changed();
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
            age_ms: known.own_age(now).map(millis),
            returned_ms,
        })
    }

    /// Revision of the store up to which this node knows a kind of objects.
    pub fn revision(&self, kind: ObjectKind) -> Option<u64> {
        self.objects.get(&kind).and_then(KnownObjects::revision)
    }

    /// Revision of the last change of a kind that this node knows.
    fn changed(&self, kind: ObjectKind) -> u64 {
        self.objects.get(&kind).map_or(0, KnownObjects::changed)
    }

    /// Records an answer of the store for a kind at `revision`, which confirms that kind, and all
    /// others that are known up to there. If this node is the first watcher, it has the store
    /// confirm the other kinds.
    pub fn confirm_revision(&mut self, now: Instant, kind: ObjectKind, revision: u64) {
        self.contact.record_confirmation(now);
        for (known_kind, known) in &mut self.objects {
            if *known_kind == kind || known.revision().is_some_and(|known| known >= revision) {
                known.confirm(now);
            }
        }
        let own = self.own_record(now);
        if self.members.watch_role(now, &own) == WatchRole::Lead {
            self.store_revision = Some((revision, now));
        }
    }

    /// Whether the store may hold changes of a kind that this node does not know, as its revision
    /// is later than that of the kind.
    fn is_unconfirmed(&self, now: Instant, kind: ObjectKind) -> bool {
        self.store_revision.is_some_and(|(revision, seen)| {
            let known = self.revision(kind).unwrap_or(0);
            known < revision && self.age(now, kind) > now.saturating_duration_since(seen)
        })
    }

    /// Time since the store last confirmed that this node's objects of a kind were current, or since
    /// the start of this node if it never did.
    pub fn age(&self, now: Instant, kind: ObjectKind) -> Duration {
        let age = self.confirmed_age(now, kind);
        age.unwrap_or_else(|| now.saturating_duration_since(self.started))
    }

    /// Time since the store last confirmed this node's objects of a kind; `None` if it never did.
    pub fn confirmed_age(&self, now: Instant, kind: ObjectKind) -> Option<Duration> {
        self.objects.get(&kind).and_then(|known| known.age(now))
    }

    /// Whether this node has to read a kind of objects from the store, whatever its role, because of
    /// the age of those that it has. If it is only its turn to try the store, it asks for one kind,
    /// and for the others once that call was answered.
    fn is_overdue(&self, now: Instant, own: &MemberRecord, kind: ObjectKind) -> bool {
        let index = kind_index(kind).unwrap_or(usize::MAX);
        let age = self.age(now, kind);
        match self.members.read_urgency(now, own, index, age) {
            ReadUrgency::AtOnce => true,
            ReadUrgency::InTurn if kind == CONFIRMING_KIND => true,
            ReadUrgency::InTurn | ReadUrgency::None => {
                self.is_answered(now) && self.members.is_old(age)
            }
        }
    }

    /// Whether the store has just answered a call of this node.
    fn is_answered(&self, now: Instant) -> bool {
        let confirming = self.objects.get(&CONFIRMING_KIND);
        let age = confirming.and_then(|known| known.own_age(now));
        age.is_some_and(|age| age < self.members.confirm_interval())
    }

    /// Whether the store was unavailable for so long that registrations may have lapsed. A node that
    /// is cut off from the store alone still gets confirmations through its peers.
    fn is_store_away(&mut self, now: Instant) -> bool {
        self.observe_peers(now);
        self.contact
            .is_store_away(now, self.age(now, ObjectKind::Targets))
    }

    pub(super) fn observe_peers(&mut self, now: Instant) {
        let live = self.members.live_heard_peers(now);
        self.contact
            .observe_peers(now, live, self.members.heard_peers());
    }

    /// Adds addresses to the roster, which keeps the latest ones.
    fn add_to_roster(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.roster.shift_remove(address);
            self.roster.insert(*address);
        }
        let surplus = self.roster.len().saturating_sub(MAX_ROSTER);
        self.roster.drain(..surplus);
    }

    /// Returns how this node should read a kind of objects from the store now.
    ///
    /// A node that has no objects of the kind yet starts at once if its role is to watch. Once it
    /// has them, it waits until the nodes that started together have received each other's
    /// heartbeats, because only then their roles are certain.
    pub fn store_read(&mut self, now: Instant, kind: ObjectKind) -> StoreRead {
        let is_known = self.revision(kind).is_some();
        let own = self.own_record(now);
        if kind == CONFIRMING_KIND && self.is_waiting_for_confirmation(now, &own) {
            return StoreRead::Confirm;
        }
        if is_known && self.members.is_settling(now) {
            return StoreRead::Skip;
        }
        if self.is_overdue(now, &own, kind)
            || (is_known && self.is_unconfirmed(now, kind))
            || (is_known && self.failed_kinds.contains(&kind) && self.is_watching(now))
        {
            return StoreRead::Confirm;
        }
        match self.members.watch_role(now, &own) {
            WatchRole::Lead if kind == CONFIRMING_KIND || !is_known => {
                StoreRead::Watch(self.members.confirm_interval())
            }
            // The other watcher reports changes at once; without one, they would wait for the next
            // confirmation.
            WatchRole::Lead if self.members.has_other_watcher(now, &own) => StoreRead::Skip,
            WatchRole::Lead => StoreRead::Watch(LONGEST_WATCH),
            WatchRole::Watch => StoreRead::Watch(LONGEST_WATCH),
            WatchRole::Follow => StoreRead::Skip,
        }
    }

    /// Whether this node has to get the first confirmation of a configuration with tenants. Its first
    /// list may be seconds old, and no node accepts a key before a confirmation.
    fn is_waiting_for_confirmation(&self, now: Instant, own: &MemberRecord) -> bool {
        let has_tenants = self
            .table
            .as_ref()
            .is_some_and(|table| table.tenants.is_some());
        has_tenants
            && self.confirmed_age(now, CONFIRMING_KIND).is_none()
            && self.members.watch_role(now, own) == WatchRole::Lead
    }

    /// Time after which the first watcher has the store confirm again that nothing has changed.
    pub fn confirm_interval(&self) -> Duration {
        self.members.confirm_interval()
    }

    /// Whether this node's role is to watch the store.
    pub fn is_watching(&mut self, now: Instant) -> bool {
        let own = self.own_record(now);
        self.members.watch_role(now, &own) != WatchRole::Follow
    }

    /// Peers that know a later change of a kind than this node, the latest first.
    pub fn peers_ahead(&self, now: Instant, kind: ObjectKind) -> Vec<SocketAddr> {
        let revision = self.revision(kind).unwrap_or(0);
        kind_index(kind).map_or_else(Vec::new, |index| {
            self.members.peers_ahead(now, index, revision)
        })
    }

    /// Longest random delay before this node sends a relay call; `None` if it should call at once
    /// because other nodes will follow it.
    pub fn relay_call_spread(&mut self, now: Instant) -> Option<Duration> {
        let own = self.own_record(now);
        self.members.relay_call_spread(now, &own)
    }

    /// Forgets a failed call for a kind that this node does not read from the store any more, once
    /// its objects are confirmed through peers.
    pub fn forget_failure(&mut self, now: Instant, kind: ObjectKind) {
        if self.age(now, kind) < self.members.confirm_interval() {
            self.set_store_reachable(kind, true);
        }
    }

    /// Records whether the store answered the last call of this node for a kind. Returns whether
    /// this changes what the other nodes should know.
    pub fn set_store_reachable(&mut self, kind: ObjectKind, is_reachable: bool) -> bool {
        if is_reachable {
            self.failed_kinds.shift_remove(&kind);
        } else {
            self.failed_kinds.insert(kind);
        }
        let reaches_store = self.failed_kinds.is_empty();
        let has_changed = self.own.reaches_store != reaches_store;
        self.own.reaches_store = reaches_store;
        self.shared
            .reaches_store
            .store(reaches_store, Ordering::Relaxed);
        has_changed
    }

    /// Number of live peers.
    pub fn live_peers(&self, now: Instant) -> usize {
        self.members.live_peers(now)
    }

    /// Place of this node in the fleet.
    pub fn place(&self) -> FleetPlace {
        self.place
    }

    /// Whether peers depend on the heartbeats of this node, because it is advertised to callers or
    /// may watch the store.
    pub fn is_depended_on(&mut self, now: Instant) -> bool {
        let own = self.own_record(now);
        self.was_named || self.members.is_candidate(now, &own)
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
            ObjectKind::Configuration | ObjectKind::Members | ObjectKind::Usage => {}
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
            ObjectKind::Rollouts if is_removed => {
                self.rollouts.remove(now, &object.name, object.revision);
            }
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

    /// Records that the store has just answered. If it was unavailable for so long that registrations
    /// may have lapsed, targets whose registrations are removed now are kept for a while, because
    /// they may only have been unable to renew them.
    pub fn record_store_answer(&mut self, now: Instant) {
        if self.is_store_away(now) {
            self.registry.store_returned(now);
            self.returned = Some(now);
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
        self.confirm_by_peer(now, &record);
        self.add_to_roster(&record.known);
        let is_new = self.members.apply_record(now, record);
        if is_new {
            log::info!(event = "node_heard", node:% = node, peers:% = address;
                "received a heartbeat of a new peer");
        }
        is_new
    }

    /// Takes over the confirmations of a peer for the kinds that this node knows at least up to the
    /// last change that the peer knows.
    fn confirm_by_peer(&mut self, now: Instant, record: &MemberRecord) {
        let known = FOLLOWED_KINDS.iter().zip(&record.revisions);
        for ((kind, changed), age_ms) in known.zip(&record.ages_ms) {
            let age = Duration::from_millis(u64::from(*age_ms));
            let confirmed = now.checked_sub(age);
            let confirmed = confirmed.filter(|_| *age_ms < MemberRecord::MAX_AGE_MS);
            if let Some(confirmed) = confirmed {
                self.contact.record_confirmation(confirmed);
            }
            if let Some(confirmed) = confirmed
                && let Some(known) = self.objects.get_mut(kind)
                && known.revision().is_some_and(|known| known >= *changed)
            {
                known.confirm_by_peer(confirmed);
            }
        }
    }

    /// The record of this node with its current state, without addresses of peers and rollout
    /// evidence.
    pub fn own_record(&mut self, now: Instant) -> MemberRecord {
        let leaving = self.shared.leaving.load(Ordering::Relaxed);
        let has_targets = self.revision(ObjectKind::Targets).is_some();
        self.own.ready = self.table.is_some() && has_targets && !leaving;
        self.own.serves = self.shared.serves(self.table.as_deref(), now);
        self.own.level = self.shared.stated_level.load(Ordering::Relaxed);
        self.own.revisions = FOLLOWED_KINDS
            .iter()
            .map(|kind| self.changed(*kind))
            .collect();
        let longest = Duration::from_millis(u64::from(MemberRecord::MAX_AGE_MS));
        let known = FOLLOWED_KINDS.iter().map(|kind| self.objects.get(kind));
        self.own.ages_ms = known
            .map(|known| {
                known
                    .and_then(|known| known.own_age(now))
                    .unwrap_or(longest)
            })
            .map(|age| age.min(longest).as_millis() as u32)
            .collect();
        self.own.clone()
    }

    /// The next heartbeat of this node, without evidence on rollouts. It carries up to `addresses`
    /// addresses of hubs, taken in turn.
    pub fn heartbeat(&mut self, now: Instant, addresses: usize) -> MemberRecord {
        let own = self.own_record(now);
        let hubs = self.members.hubs(now, &own);
        let hubs: Vec<SocketAddr> = hubs
            .iter()
            .map(|hub| hub.peers)
            .filter(|hub| *hub != own.peers)
            .collect();
        let known = hubs
            .iter()
            .cycle()
            .skip(self.next_known)
            .take(addresses.min(hubs.len()));
        let known = known.copied().collect();
        self.next_known = (self.next_known + addresses) % hubs.len().max(1);
        let table = match self.place {
            FleetPlace::Hub => self.table_of_members.version(),
            FleetPlace::Mesh | FleetPlace::Leaf => 0,
        };
        MemberRecord {
            known,
            is_rare: !self.is_depended_on(now),
            table,
            ..own
        }
    }

    /// Evidence on rollouts for the next messages to peers, of which there is at least one; see
    /// [`EvidenceSchedule::next_messages`](nutmegspread_tier::EvidenceSchedule::next_messages).
    pub fn next_evidence(
        &mut self,
        now: Instant,
        limits: EvidenceLimits,
        size: impl Fn(&RolloutEvidence) -> usize,
    ) -> Vec<Vec<RolloutEvidence>> {
        let ledger = &self.shared.evidence;
        self.rollouts.next_evidence(now, ledger, limits, size)
    }

    /// Whether this node has to search for peers, see [`MemberView::is_searching`].
    pub fn is_searching(&self, now: Instant) -> bool {
        self.members.is_searching(now, self.place)
    }

    /// Whether the sender of a heartbeat has to be told which nodes are hubs. During a rollout, nodes
    /// send heartbeats to all.
    pub fn is_misdirected(&self, now: Instant, record: &MemberRecord) -> bool {
        !self.rollouts.is_undecided() && self.members.is_misdirected(now, self.place, record)
    }

    /// Kinds of which the sender of a heartbeat knows a later change than this node.
    pub fn kinds_behind(&self, record: &MemberRecord) -> Vec<ObjectKind> {
        let known = FOLLOWED_KINDS.into_iter().zip(&record.revisions);
        known
            .filter(|(kind, changed)| **changed > self.revision(*kind).unwrap_or(0))
            .map(|(kind, _)| kind)
            .collect()
    }

    /// Hubs whose tables of live nodes this node follows and does not have in their present version:
    /// the name and address of each, and the version that this node has.
    pub fn tables_behind(&self, now: Instant) -> Vec<(NodeName, SocketAddr, u64)> {
        self.members.tables_behind(now, &self.own)
    }

    /// Changes of this node's table of live nodes after `version`.
    pub fn table_changes(&self, version: u64) -> TableChanges {
        self.table_of_members.changes_since(version)
    }

    /// Applies changes of the table of a hub, which it sent for version `known`.
    pub fn apply_table(&mut self, now: Instant, hub: &NodeName, known: u64, changes: TableChanges) {
        log::debug!(event = "table", hub:% = hub, version = changes.version,
            records = changes.records.len(), removed = changes.removed.len();
            "applied changes of a table of live nodes");
        self.members
            .apply_table(now, &self.own, hub, known, changes);
    }

    /// Records that the store has reached `era`. No rollout state that was decided before is written.
    pub fn begin_era(&mut self, now: Instant, era: u64) {
        self.rollouts.begin_era(now, era);
    }

    /// Addresses of the peers that a heartbeat is sent to. A hub sends it to all, as does a node that
    /// has read the store for the others, and every node during a rollout, which is judged by the
    /// counts of all nodes; otherwise it goes to the hubs. With `is_search`, it also goes to addresses
    /// at which no peer is known, by which parts of the fleet that lost each other meet again.
    pub fn recipients(&mut self, now: Instant, is_search: bool) -> IndexSet<SocketAddr> {
        let own = self.own_record(now);
        let is_heard_by_all =
            self.rollouts.is_undecided() || self.is_answered(now) || self.place != FleetPlace::Leaf;
        let mut recipients = if is_heard_by_all {
            self.members.peers(now)
        } else {
            let hubs = self.members.hubs(now, &own);
            hubs.iter().map(|hub| hub.peers).collect()
        };
        if is_search {
            let settings = self.shared.settings.load();
            let seeds = settings.seeds.iter();
            let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), settings.peer_port));
            let known = if self.is_searching(now) {
                IndexSet::new()
            } else {
                self.members.peers(now)
            };
            let unknown = self.roster.iter().copied().chain(seeds);
            recipients.extend(unknown.filter(|address| !known.contains(address)));
        }
        recipients.swap_remove(&own.peers);
        recipients
    }

    /// Whether this node is ready for requests of callers, also for those that need a key.
    pub fn is_ready(&mut self, now: Instant) -> bool {
        self.own_record(now).ready && self.shared.accepts_keys(self.table.as_deref(), now)
    }

    /// Addresses of the nodes that are advertised to callers.
    pub fn addresses(&mut self, now: Instant) -> Vec<SocketAddr> {
        let own = self.own_record(now);
        let advertised = self.members.advertised(now, &own);
        advertised.iter().map(|record| record.callers).collect()
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
        if object.name != MAIN_CONFIGURATION {
            return;
        }
        match newer_configuration(&self.shared, self.table.as_ref(), object) {
            Ok(Some(table)) => self.table = Some(table),
            Ok(None) => {}
            Err(error) => self.unreadable.record(object, &error.to_string()),
        }
    }

    fn apply_rollout(&mut self, now: Instant, object: &StoreObject) {
        match decode_rollout(object) {
            Ok(order) => self.rollouts.apply_order(now, &object.name, order),
            Err(error) => self.unreadable.record(object, &error.to_string()),
        }
    }

    fn read_target(&mut self, object: &StoreObject) -> Option<Arc<TargetRecord>> {
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
fn kind_index(kind: ObjectKind) -> Option<usize> {
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

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
