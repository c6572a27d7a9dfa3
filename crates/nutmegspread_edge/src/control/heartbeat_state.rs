//! What this node tells its peers, and what it learns from their heartbeats.

use crate::control::control_state::{ControlState, FOLLOWED_KINDS, MAX_ROSTER};
use crate::control::known_objects::KnownObjects;
use indexmap::IndexSet;
use nutmegspread_platform::ObjectKind;
use nutmegspread_tier::{
    EvidenceLimits, FleetPlace, MemberRecord, NodeName, RolloutEvidence, TableChanges,
};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

impl ControlState {
    /// Adds addresses to the roster, which keeps the latest ones.
    pub(super) fn add_to_roster(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.roster.shift_remove(address);
            self.roster.insert(*address);
        }
        let surplus = self.roster.len().saturating_sub(MAX_ROSTER);
        self.roster.drain(..surplus);
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

    /// Applies a heartbeat of a peer; returns whether the peer is new.
    pub fn apply_heartbeat(&mut self, now: Instant, record: MemberRecord) -> bool {
        if record.node == self.own.node {
            return false;
        }
        let (node, address) = (record.node.clone(), record.peers);
        self.observe_peer_era(now, record.era);
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
    pub(super) fn confirm_by_peer(&mut self, now: Instant, record: &MemberRecord) {
        let known = FOLLOWED_KINDS.iter().zip(&record.revisions);
        for ((kind, revision), age_ms) in known.zip(&record.ages_ms) {
            let changed = record.position(*revision);
            let age = Duration::from_millis(u64::from(*age_ms));
            let confirmed = now.checked_sub(age);
            let confirmed = confirmed.filter(|_| *age_ms < MemberRecord::MAX_AGE_MS);
            if let Some(confirmed) = confirmed {
                self.contact.record_confirmation(confirmed);
            }
            if let Some(confirmed) = confirmed
                && let Some(known) = self.objects.get_mut(kind)
                && known
                    .position()
                    .is_some_and(|known| known.era == changed.era && known >= changed)
            {
                known.confirm_by_peer(confirmed);
            }
        }
    }

    /// The record of this node with its current state, without addresses of peers and rollout
    /// evidence.
    pub fn own_record(&mut self, now: Instant) -> MemberRecord {
        let leaving = self.shared.leaving.load(Ordering::Relaxed);
        let has_targets = self.position(ObjectKind::Targets).is_some();
        self.own.ready = self.table.is_some() && has_targets && !leaving;
        self.own.serves = self.shared.serves(self.table.as_deref(), now);
        self.own.level = self.shared.stated_level.load(Ordering::Relaxed);
        self.own.era = self.era();
        self.own.kept_version = self.kept_version;
        let longest = Duration::from_millis(u64::from(MemberRecord::MAX_AGE_MS));
        // What is known only from an earlier era counts as not read yet.
        let known: Vec<Option<&KnownObjects>> = FOLLOWED_KINDS
            .iter()
            .map(|kind| self.objects.get(kind))
            .map(|known| known.filter(|known| known.changed().era == self.own.era))
            .collect();
        self.own.revisions = known
            .iter()
            .map(|known| known.map_or(0, |known| known.changed().revision))
            .collect();
        self.own.ages_ms = known
            .iter()
            .map(|known| known.and_then(|known| known.own_age(now)))
            .map(|age| age.unwrap_or(longest).min(longest).as_millis() as u32)
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

    /// Addresses of the nodes that are advertised to callers.
    pub fn addresses(&mut self, now: Instant) -> Vec<SocketAddr> {
        let own = self.own_record(now);
        let advertised = self.members.advertised(now, &own);
        advertised.iter().map(|record| record.callers).collect()
    }
}
