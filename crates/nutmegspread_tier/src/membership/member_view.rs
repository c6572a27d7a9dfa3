//! Which nodes are live, which of them are advertised to callers, and which watch the store.

use crate::membership::fleet_place::FleetPlace;
use crate::membership::followed_tables::{FollowedTables, choose_followed};
use crate::membership::heard_member::HeardMember;
use crate::membership::member_ranking::MemberRanking;
use crate::membership::member_record::MemberRecord;
use crate::membership::member_settings::MemberSettings;
use crate::membership::member_table::TableChanges;
use crate::membership::watch_ranking::rank_watchers;
use crate::{NodeName, StorePosition};
use indexmap::{IndexMap, IndexSet};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The other nodes, as known from their messages and from the tables of hubs.
///
/// Load pattern: hundreds of nodes at rest, in turn restarted, or killed at once. Up to `mesh_nodes`
/// nodes hear each other; in a larger fleet each node hears the hubs alone, so that what it receives
/// does not grow with the fleet.
#[derive(Clone, Debug)]
pub struct MemberView {
    pub(super) settings: MemberSettings,
    /// Start time of this node.
    pub(super) started: Instant,
    /// Last record of each peer that was heard.
    pub(super) members: IndexMap<NodeName, HeardMember>,
    /// The live nodes that hubs hear.
    tables: FollowedTables,
    /// The last ranking of the live nodes; `None` after a change of their records.
    ranking: RefCell<Option<MemberRanking>>,
}

impl MemberView {
    /// Creates a view without peers for a node that starts at `now`.
    pub fn new(settings: MemberSettings, now: Instant) -> Self {
        Self {
            settings,
            started: now,
            members: IndexMap::new(),
            tables: FollowedTables::default(),
            ranking: RefCell::default(),
        }
    }

    /// Applies a record received from a peer. Returns whether the peer is new or has started again
    /// since its last record.
    ///
    /// A record with an earlier start time than the peer's last one is either a delayed message or
    /// comes from a peer that restarted after its clock had been set back. A peer sends nothing
    /// during a restart, so the record is ignored only if the last one was received less than
    /// `late_within` ago.
    pub fn apply_record(&mut self, now: Instant, record: MemberRecord) -> bool {
        let known = self.members.get(&record.node);
        let is_late = known.is_some_and(|known| {
            record.started_ms < known.record.started_ms
                && now.saturating_duration_since(known.heard) < self.settings.late_within
        });
        if is_late {
            return false;
        }
        let is_new = known.is_none_or(|known| known.record.started_ms != record.started_ms);
        if known.is_none_or(|known| !self.ranks_alike(now, known, &record)) {
            self.ranking.replace(None);
        }
        self.members
            .insert(record.node.clone(), HeardMember { record, heard: now });
        is_new
    }

    /// Removes peers from which no message has been received for `shares_within`.
    pub fn expire(&mut self, now: Instant) {
        let within = self.settings.shares_within;
        self.ranking.replace(None);
        self.members
            .retain(|_, member| member.is_heard(now, within));
        let members = &self.members;
        self.tables.keep_hubs(|hub| members.contains_key(hub));
    }

    /// Hubs whose tables this node follows and does not have in their present version: the name and
    /// address of each, and the version that this node has.
    pub fn tables_behind(
        &self,
        now: Instant,
        own: &MemberRecord,
    ) -> Vec<(NodeName, SocketAddr, u64)> {
        self.tables.behind(&self.followed_hubs(now, own))
    }

    /// Applies changes of the table of a hub that is live. `known` is the version for which the hub
    /// sent them.
    pub fn apply_table(
        &mut self,
        now: Instant,
        own: &MemberRecord,
        hub: &NodeName,
        known: u64,
        changes: TableChanges,
    ) {
        self.ranking.replace(None);
        if let Some(hub) = self.members.get(hub) {
            self.tables.apply(&hub.record, known, changes, &own.node);
        }
        let followed = self.followed_hubs(now, own);
        let followed: Vec<NodeName> = followed.iter().map(|hub| hub.node.clone()).collect();
        self.tables.keep_followed(&followed);
        self.ranking.replace(None);
    }

    /// The hubs whose tables this node follows: different nodes follow different ones. A node that
    /// was a hub earlier may not hear all nodes any more.
    fn followed_hubs<'a>(&'a self, now: Instant, own: &'a MemberRecord) -> Vec<&'a MemberRecord> {
        let within = self.settings.named_within;
        let hubs: Vec<&MemberRecord> = self
            .hubs(now, own)
            .into_iter()
            .filter(|hub| hub.table > 0 && hub.node != own.node)
            .filter(|hub| self.is_heard(now, &hub.node, within))
            .collect();
        choose_followed(&own.node, &hubs, self.settings.followed_hubs)
    }

    /// Returns this node's place in the fleet.
    pub fn place(&self, now: Instant, own: &MemberRecord) -> FleetPlace {
        let ranking = self.ranking(now, own);
        if ranking.length <= self.settings.mesh_nodes {
            FleetPlace::Mesh
        } else if ranking.own_rank < self.settings.candidates {
            FleetPlace::Hub
        } else {
            FleetPlace::Leaf
        }
    }

    /// Whether this node has to search for peers: it heard no hub lately, or in a small fleet no peer.
    pub fn is_searching(&self, now: Instant, place: FleetPlace) -> bool {
        let within = self.settings.search_after;
        let mut recent = self.members.values();
        !recent.any(|member| {
            member.is_heard(now, within) && (place == FleetPlace::Mesh || member.record.table > 0)
        })
    }

    /// Whether a peer sent a heartbeat to this node although it is no hub, so that the peer has to be
    /// told which nodes are. Hubs send to all. What a peer sends soon after another message may be
    /// its answer to one of this node, and is not answered again.
    pub fn is_misdirected(&self, now: Instant, place: FleetPlace, record: &MemberRecord) -> bool {
        let is_answer = self.is_heard(now, &record.node, self.settings.answer_within);
        place == FleetPlace::Leaf && record.table == 0 && !is_answer
    }

    /// The nodes that all other nodes hear.
    pub fn hubs<'a>(&'a self, now: Instant, own: &'a MemberRecord) -> Vec<&'a MemberRecord> {
        let is_mesh = self.ranking(now, own).length <= self.settings.mesh_nodes;
        self.first_ranked(
            now,
            own,
            if is_mesh {
                self.settings.mesh_nodes
            } else {
                self.settings.candidates
            },
        )
    }

    /// Time after which the first watcher has the store confirm again that nothing has changed.
    pub fn confirm_interval(&self) -> Duration {
        self.settings.confirm_interval
    }

    /// Returns the time over which this node spreads its calls to relays, so that the followers do
    /// not all call the watchers at once. Returns `None` if this node is a candidate: candidates
    /// call without delay, so that they can relay to others early.
    pub fn relay_call_spread(&self, now: Instant, own: &MemberRecord) -> Option<Duration> {
        (!self.is_candidate(now, own))
            .then(|| self.settings.spread_each * self.live_peers(now) as u32)
    }

    /// Whether this node is a candidate for watching the store.
    pub fn is_candidate(&self, now: Instant, own: &MemberRecord) -> bool {
        let candidates = self.candidates(now, own);
        candidates.iter().any(|record| record.node == own.node)
    }

    /// Returns the nodes that may watch the store, in the order in which they do.
    pub(super) fn candidates<'a>(
        &'a self,
        now: Instant,
        own: &'a MemberRecord,
    ) -> Vec<&'a MemberRecord> {
        self.first_ranked(now, own, self.settings.candidates)
    }

    /// Returns the first `count` live nodes by their rank as watchers.
    fn first_ranked<'a>(
        &'a self,
        now: Instant,
        own: &'a MemberRecord,
        count: usize,
    ) -> Vec<&'a MemberRecord> {
        let names = self.ranking(now, own).first;
        let records = names.iter().take(count).filter_map(|name| {
            if *name == own.node {
                Some(own)
            } else {
                self.live_record(now, name)
            }
        });
        records.collect()
    }

    /// Returns the ranking of the live nodes, which is computed if the last one does not hold.
    pub(super) fn ranking(&self, now: Instant, own: &MemberRecord) -> MemberRanking {
        let mut kept = self.ranking.borrow_mut();
        if let Some(ranking) = kept.as_ref().filter(|ranking| ranking.holds(now, own)) {
            return ranking.clone();
        }
        let ranked = rank_watchers(std::iter::once(own).chain(self.live_records(now)).collect());
        let settings = &self.settings;
        let count = settings.mesh_nodes.max(settings.candidates);
        let until = self.next_loss(now);
        kept.insert(MemberRanking::new(&ranked, own, count, (now, until)))
            .clone()
    }

    /// Earliest time after `now` at which a peer that is not heard again stops being live, or at which
    /// the table of a silent hub is not used any more.
    fn next_loss(&self, now: Instant) -> Instant {
        let settings = &self.settings;
        let limits = [
            settings.named_within,
            settings.rare_within,
            settings.orphan_time,
        ];
        let members = self.members.values();
        let times = members.flat_map(|member| limits.map(|limit| member.heard + limit));
        let next = times.filter(|time| *time > now).min();
        next.unwrap_or(now + settings.named_within)
    }

    /// Whether a peer that sends `record` after `known` has the same rank, and its table the same use.
    fn ranks_alike(&self, now: Instant, known: &HeardMember, record: &MemberRecord) -> bool {
        let before = &known.record;
        known.is_heard(now, self.settings.named_within)
            && before.started_ms == record.started_ms
            && before.cores == record.cores
            && before.domain == record.domain
            && (before.table > 0) == (record.table > 0)
    }

    /// Whether this node started less than `settling_time` ago, so that messages from nodes that
    /// started at the same time may still be on their way.
    pub fn is_settling(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < self.settings.settling_time
    }

    /// Addresses for messages to all known peers.
    pub fn peers(&self, now: Instant) -> IndexSet<SocketAddr> {
        let heard = self.members.values().map(|member| &member.record);
        let records = heard.chain(self.live_records(now));
        records.map(|record| record.peers).collect()
    }

    /// Number of peers from which a message was received less than `shares_within` ago.
    pub fn heard_peers(&self) -> usize {
        self.members.len()
    }

    /// Number of these peers that are live.
    pub fn live_heard_peers(&self, now: Instant) -> usize {
        let live = self.live_records(now);
        let heard = live
            .iter()
            .filter(|record| self.members.contains_key(&record.node));
        heard.count()
    }

    /// Number of live peers.
    pub fn live_peers(&self, now: Instant) -> usize {
        self.live_records(now).len()
    }

    /// Number of peers that are live or were heard less than `shares_within` ago.
    pub(super) fn known_count(&self, now: Instant) -> usize {
        let live = self.live_records(now);
        let unheard = live
            .iter()
            .filter(|record| !self.members.contains_key(&record.node));
        self.members.len() + unheard.count()
    }

    /// Records of the live peers: those from which a message was received less than `named_within`
    /// ago, and those in the tables of live hubs. If there is no live hub, the tables of those that
    /// fell silent last are used for a while, without these hubs.
    pub(super) fn live_records(&self, now: Instant) -> Vec<&MemberRecord> {
        let mut live: IndexMap<&NodeName, &MemberRecord> = self
            .heard_records(now)
            .map(|record| (&record.node, record))
            .collect();
        let (within, is_orphan) = self.table_use(now);
        for record in self.tables.records(|hub| self.is_heard(now, hub, within)) {
            if !self.is_outdated(record, is_orphan) {
                live.entry(&record.node).or_insert(record);
            }
        }
        live.into_values().collect()
    }

    /// Record of a live peer, as among [`Self::live_records`].
    fn live_record(&self, now: Instant, node: &NodeName) -> Option<&MemberRecord> {
        if let Some(member) = self.members.get(node)
            && member.is_live(now, &self.settings)
        {
            return Some(&member.record);
        }
        let (within, is_orphan) = self.table_use(now);
        let is_used = |hub: &NodeName| self.is_heard(now, hub, within);
        self.tables
            .record(node, is_used, |record| !self.is_outdated(record, is_orphan))
    }

    /// Time for which the table of a silent hub is used, and whether there is no live hub.
    fn table_use(&self, now: Instant) -> (Duration, bool) {
        let within = self.settings.named_within;
        let is_orphan = !self
            .tables
            .hubs()
            .any(|hub| self.is_heard(now, hub, within));
        if is_orphan {
            (self.settings.orphan_time, true)
        } else {
            (within, false)
        }
    }

    /// Whether a later record than this one of a table was heard, or the node was a hub and is silent.
    fn is_outdated(&self, record: &MemberRecord, is_orphan: bool) -> bool {
        let heard = self.members.get(&record.node).map(|member| &member.record);
        heard.is_some_and(|heard| {
            heard.started_ms > record.started_ms || (is_orphan && heard.table > 0)
        })
    }

    /// Records of the peers from which a message was received recently: less than `named_within` ago,
    /// or `rare_within` if they send few.
    pub fn heard_records(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        let live = self.members.values();
        live.filter(move |member| member.is_live(now, &self.settings))
            .map(|member| &member.record)
    }

    fn is_heard(&self, now: Instant, node: &NodeName, within: Duration) -> bool {
        let member = self.members.get(node);
        member.is_some_and(|member| member.is_heard(now, within))
    }

    /// Returns the addresses of the live peers that are ready for callers.
    pub fn ready_peers(&self, now: Instant) -> Vec<SocketAddr> {
        self.heard_records(now)
            .filter(|record| record.ready)
            .map(|record| record.peers)
            .collect()
    }

    /// Returns the addresses of the live peers that keep a later configuration against the store than
    /// `version`.
    pub fn peers_keeping(&self, now: Instant, version: u64) -> Vec<SocketAddr> {
        self.heard_records(now)
            .filter(|record| record.keeps_after(version))
            .map(|record| record.peers)
            .collect()
    }

    /// Returns the addresses of the live peers that know a later change of a kind than the one at
    /// `known`, latest first. `kind` is an index into [`MemberRecord::revisions`].
    pub fn peers_ahead(&self, now: Instant, kind: usize, known: StorePosition) -> Vec<SocketAddr> {
        let mut peers: Vec<(StorePosition, SocketAddr)> = self
            .heard_records(now)
            .filter_map(|record| {
                let reached = *record.revisions.get(kind)?;
                let is_ahead = record.is_ahead(reached, known);
                is_ahead.then(|| (record.position(reached), record.peers))
            })
            .collect();
        peers.sort_by_key(|(reached, _)| std::cmp::Reverse(*reached));
        peers.into_iter().map(|(_, address)| address).collect()
    }
}
