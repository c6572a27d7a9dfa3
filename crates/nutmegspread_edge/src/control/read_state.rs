//! When this node reads which objects from the store, and how old its knowledge is.

use crate::control::control_state::{CONFIRMING_KIND, ControlState, LONGEST_WATCH, kind_index};
use crate::control::store_read::StoreRead;
use nutmegspread_platform::ObjectKind;
use nutmegspread_tier::{
    EraObservation, MemberRecord, ReadUrgency, StatedEra, StorePosition, WatchRole,
};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

impl ControlState {
    /// Records an answer of the store for a kind at `position`, which confirms that kind, and all
    /// others that are known up to there. If this node is the first watcher, it has the store
    /// confirm the other kinds.
    pub fn confirm_position(&mut self, now: Instant, kind: ObjectKind, position: StorePosition) {
        self.contact.record_confirmation(now);
        for (known_kind, known) in &mut self.objects {
            if *known_kind == kind || known.position() >= Some(position) {
                known.confirm(now);
            }
        }
        let own = self.own_record(now);
        if self.members.watch_role(now, &own) == WatchRole::Lead {
            self.store_position = Some((position, now));
        }
    }

    /// Whether the store may hold changes of a kind that this node does not know, as its position
    /// is later than that of the kind.
    pub(super) fn is_unconfirmed(&self, now: Instant, kind: ObjectKind) -> bool {
        self.store_position.is_some_and(|(position, seen)| {
            self.position(kind) < Some(position)
                && self.age(now, kind) > now.saturating_duration_since(seen)
        })
    }

    /// The latest era of the store that this node knows; 0 if the store states none.
    pub fn era(&self) -> u64 {
        self.eras.latest()
    }

    /// Whether a kind is known only from an era before the latest one, so that a list is needed.
    pub fn is_outdated(&self, kind: ObjectKind) -> bool {
        let known = self.position(kind);
        known.is_some_and(|known| known.era < self.era())
    }

    /// Whether another node should list a kind in the latest era, and this one can have the list of it.
    fn is_turn_of_another(&self, now: Instant, own: &MemberRecord, kind: ObjectKind) -> bool {
        let first = usize::from(kind != CONFIRMING_KIND);
        !self.has_era_lasted(now, self.members.list_turn(now, own, first))
    }

    /// Records what an answer of the store states about its era. Returns the era of the answer, or
    /// `None` if it is an earlier one than the latest. An answer that states none is of the era that
    /// was known when the call was `sent`.
    pub fn observe_answer(&mut self, now: Instant, stated: StatedEra, sent: u64) -> Option<u64> {
        let observation = self.eras.observe(stated);
        self.begin_era(now, observation);
        let era = match stated {
            StatedEra::Number(era) => era,
            StatedEra::Missing | StatedEra::Unreadable => sent,
        };
        (era == self.era()).then_some(era)
    }

    /// Whether this node has known the latest era of the store for `time`.
    pub fn has_era_lasted(&self, now: Instant, time: Duration) -> bool {
        let began = self.era_began.unwrap_or(self.started);
        now.saturating_duration_since(began) >= time
    }

    /// Records the era that a peer knows; 0 if it knows none.
    pub(super) fn observe_peer_era(&mut self, now: Instant, era: u64) {
        let observation = self.eras.observe_peer(era);
        self.begin_era(now, observation);
    }

    /// Has the objects of a kind count as of an earlier era, so that a list of the latest one does not
    /// remove at once what it lacks. Rollouts tell by the era of each order.
    pub(super) fn keep_as_past(&mut self, now: Instant, kind: ObjectKind) {
        match kind {
            ObjectKind::Targets => self.registry.begin_era(now),
            ObjectKind::Evacuations => self.evacuations.begin_era(),
            _ => {}
        }
    }

    /// Keeps what this node knows against the older copy from which the store has come back, until
    /// what was lost has been written again.
    fn begin_era(&mut self, now: Instant, observation: EraObservation) {
        let has_begun = match observation {
            EraObservation::Risen { .. } => true,
            // What is known is of the time before the store stated an era, or of era 0.
            EraObservation::First => {
                self.era() > 0
                    && self
                        .objects
                        .values()
                        .any(|known| known.position().is_some())
            }
            _ => false,
        };
        if !has_begun {
            return;
        }
        self.keep_as_past(now, ObjectKind::Targets);
        self.keep_as_past(now, ObjectKind::Evacuations);
        self.rollouts.begin_era(now, self.eras.latest());
        self.returned = Some(now);
        self.era_began = Some(now);
        self.store_position = None;
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
    pub(super) fn is_overdue(&self, now: Instant, own: &MemberRecord, kind: ObjectKind) -> bool {
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
    pub(super) fn is_answered(&self, now: Instant) -> bool {
        let confirming = self.objects.get(&CONFIRMING_KIND);
        let age = confirming.and_then(|known| known.own_age(now));
        age.is_some_and(|age| age < self.members.confirm_interval())
    }

    /// Whether the store was unavailable for so long that registrations may have lapsed. A node that
    /// is cut off from the store alone still gets confirmations through its peers.
    pub(super) fn is_store_away(&mut self, now: Instant) -> bool {
        self.observe_peers(now);
        self.contact
            .is_store_away(now, self.age(now, ObjectKind::Targets))
    }

    pub(super) fn observe_peers(&mut self, now: Instant) {
        let live = self.members.live_heard_peers(now);
        self.contact
            .observe_peers(now, live, self.members.heard_peers());
    }

    /// Returns how this node should read a kind of objects from the store now.
    ///
    /// A node that has no objects of the kind yet starts at once if its role is to watch. Once it
    /// has them, it waits until the nodes that started together have received each other's
    /// heartbeats, because only then their roles are certain.
    pub fn store_read(&mut self, now: Instant, kind: ObjectKind) -> StoreRead {
        let is_known = self.position(kind).is_some();
        let own = self.own_record(now);
        if kind == CONFIRMING_KIND && self.is_waiting_for_confirmation(now, &own) {
            return StoreRead::Confirm;
        }
        let is_outdated = self.is_outdated(kind);
        if is_outdated && self.is_turn_of_another(now, &own, kind) {
            return StoreRead::Skip;
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
    pub(super) fn is_waiting_for_confirmation(&self, now: Instant, own: &MemberRecord) -> bool {
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

    /// Records that the store has just answered. If it was unavailable for so long that registrations
    /// may have lapsed, targets whose registrations are removed now are kept for a while, because
    /// they may only have been unable to renew them.
    pub fn record_store_answer(&mut self, now: Instant) {
        if self.is_store_away(now) {
            self.registry.store_returned(now);
            self.returned = Some(now);
        }
    }
}
