//! Which nodes are live, which of them are advertised to callers, and which watch the store.

use crate::membership::member_record::MemberRecord;
use crate::membership::member_settings::MemberSettings;
use crate::membership::read_urgency::ReadUrgency;
use crate::membership::watch_role::WatchRole;
use crate::{FailureDomain, NodeName};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct HeardMember {
    record: MemberRecord,
    /// Time at which the last message from the peer was received.
    heard: Instant,
}

/// The peers from which this node has recently received messages.
#[derive(Clone, Debug)]
pub struct MemberView {
    settings: MemberSettings,
    /// Start time of this node.
    started: Instant,
    /// Last record of each known peer.
    members: IndexMap<NodeName, HeardMember>,
}

impl MemberView {
    /// Creates a view without peers for a node that starts at `now`.
    pub fn new(settings: MemberSettings, now: Instant) -> Self {
        Self {
            settings,
            started: now,
            members: IndexMap::new(),
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
        self.members
            .insert(record.node.clone(), HeardMember { record, heard: now });
        is_new
    }

    /// Removes peers from which no message has been received for `shares_within`.
    pub fn expire(&mut self, now: Instant) {
        let within = self.settings.shares_within;
        self.members
            .retain(|_, member| now.saturating_duration_since(member.heard) < within);
    }

    /// Returns the records of the ready nodes to advertise to callers. `own` is this node's record.
    ///
    /// If there are enough large nodes, only these are advertised, because a query over many shards
    /// takes several times as long on a small node. Nodes that do not reach enough targets are left
    /// out, unless no ready node reaches enough.
    pub fn advertised(&self, now: Instant, own: &MemberRecord) -> Vec<MemberRecord> {
        let ready: Vec<&MemberRecord> = std::iter::once(own)
            .chain(self.live_records(now))
            .filter(|record| record.ready)
            .collect();
        let minimum_cores = maximum(&ready, |record| record.cores) / 2.0;
        let named = prefer(ready, 1, |record| record.serves);
        let named = prefer(named, self.settings.least_named, |record| {
            record.cores >= minimum_cores
        });
        named.into_iter().cloned().collect()
    }

    /// Returns this node's share of limits that are common to all nodes, from 0 to 1.
    ///
    /// The advertised nodes divide the limits evenly, except for `unnamed_share`, which the other
    /// nodes divide. This node counts as advertised if it would be advertised when it is ready and
    /// reaches enough targets. During `named_within` after the start, the share is computed from
    /// the number of known nodes alone.
    pub fn limit_share(&self, now: Instant, own: &MemberRecord) -> f64 {
        let node_count = 1 + self.members.len();
        if now.saturating_duration_since(self.started) < self.settings.named_within {
            return 1.0 / node_count.max(self.settings.assumed_nodes) as f64;
        }
        let ready_record = MemberRecord {
            ready: true,
            serves: true,
            ..own.clone()
        };
        let named = self.advertised(now, &ready_record);
        let others = node_count.saturating_sub(named.len());
        let reserved = if others == 0 {
            0.0
        } else {
            self.settings.unnamed_share
        };
        if named.iter().any(|record| record.node == own.node) {
            (1.0 - reserved) / named.len() as f64
        } else {
            reserved / others as f64
        }
    }

    /// Returns the sorted names of the nodes that divide limits which can only be divided into
    /// whole attempts: the advertised nodes. Returns `None` during `named_within` after the start,
    /// when messages of some nodes may not have been received yet.
    pub fn sharers(&self, now: Instant, own: &MemberRecord) -> Option<Vec<NodeName>> {
        if now.saturating_duration_since(self.started) < self.settings.named_within {
            return None;
        }
        let named = self.advertised(now, own);
        let mut nodes: Vec<NodeName> = named.into_iter().map(|record| record.node).collect();
        nodes.sort();
        Some(nodes)
    }

    /// Returns this node's role towards the store: the first `watchers` candidates that reach the
    /// store watch it, the first of them leads, and the other nodes follow them.
    pub fn watch_role(&self, now: Instant, own: &MemberRecord) -> WatchRole {
        let candidates = self.candidates(now, own);
        let rank = candidates
            .iter()
            .filter(|record| record.reaches_store)
            .position(|record| record.node == own.node);
        let is_starting = now.saturating_duration_since(self.started) < self.settings.greeting_time;
        if is_starting && self.members.is_empty() {
            return WatchRole::Follow;
        }
        match rank {
            Some(0) => WatchRole::Lead,
            Some(rank) if rank < self.settings.watchers => WatchRole::Watch,
            // A candidate that does not reach the store also keeps watching it. Otherwise, after an
            // outage, no node would notice that the store is available again.
            None if self.is_candidate(now, own) => WatchRole::Watch,
            _ => WatchRole::Follow,
        }
    }

    /// Whether another node watches the store while this one leads.
    pub fn has_other_watcher(&self, now: Instant, own: &MemberRecord) -> bool {
        let candidates = self.candidates(now, own);
        let mut others = candidates.iter().filter(|record| record.node != own.node);
        others.any(|record| record.reaches_store)
    }

    /// How urgently this node has to read objects of this `age` from the store, whatever its role.
    /// `kind` is an index into [`MemberRecord::ages_ms`].
    ///
    /// The nodes that are no candidates read the store at once if a candidate got a confirmation
    /// that they lack. If the objects of all candidates are as old, either the store is unavailable
    /// or the candidates are cut off from it, so that the other nodes try it in turn.
    pub fn read_urgency(
        &self,
        now: Instant,
        own: &MemberRecord,
        kind: usize,
        age: Duration,
    ) -> ReadUrgency {
        let settings = &self.settings;
        if !self.is_old(age) {
            return ReadUrgency::None;
        }
        let ranked = self.ranked(now, own);
        let rank = ranked
            .iter()
            .take_while(|record| record.node != own.node)
            .count();
        let spread = settings.age_spread * rank as u32 / ranked.len() as u32;
        if rank < settings.candidates {
            return ReadUrgency::at_once_if(age > settings.candidate_age + spread);
        }
        let (candidates, others) = ranked.split_at(settings.candidates);
        let is_confirmed = candidates.iter().any(|record| {
            let confirmed_age = self.confirmed_age(now, record, kind);
            record.reaches_store
                && confirmed_age.is_some_and(|confirmed_age| confirmed_age < settings.candidate_age)
        });
        if is_confirmed {
            return ReadUrgency::at_once_if(age > settings.follower_age + spread);
        }
        let waited = age.saturating_sub(settings.follower_age);
        let turns = waited.as_millis() / settings.turn_time.as_millis().max(1);
        let turn = turns as usize % others.len();
        if age > settings.follower_age && turn == rank - settings.candidates {
            ReadUrgency::InTurn
        } else {
            ReadUrgency::None
        }
    }

    /// Whether objects of this `age` should have been confirmed since.
    pub fn is_old(&self, age: Duration) -> bool {
        age > self.settings.candidate_age
    }

    /// Time since the store last confirmed a kind of objects to a peer, by its last record.
    fn confirmed_age(&self, now: Instant, record: &MemberRecord, kind: usize) -> Option<Duration> {
        let heard = self.members.get(&record.node)?.heard;
        let age_ms = u64::from(*record.ages_ms.get(kind)?);
        Some(Duration::from_millis(age_ms) + now.saturating_duration_since(heard))
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
    fn candidates<'a>(&'a self, now: Instant, own: &'a MemberRecord) -> Vec<&'a MemberRecord> {
        let mut ranked = self.ranked(now, own);
        ranked.truncate(self.settings.candidates);
        ranked
    }

    /// Returns all live nodes by their rank as watchers: the first of each failure domain, then the
    /// second of each, and so on, because a domain may be cut off from the store. Within a domain
    /// and among equals, nodes are ordered by cores and then by name.
    fn ranked<'a>(&'a self, now: Instant, own: &'a MemberRecord) -> Vec<&'a MemberRecord> {
        let mut records: Vec<&MemberRecord> =
            std::iter::once(own).chain(self.live_records(now)).collect();
        records.sort_by(|left, right| {
            right
                .cores
                .total_cmp(&left.cores)
                .then_with(|| left.node.cmp(&right.node))
        });
        let mut counts: IndexMap<&FailureDomain, usize> = IndexMap::new();
        let mut ranked: Vec<(usize, &MemberRecord)> = records
            .into_iter()
            .map(|record| {
                let count = counts.entry(&record.domain).or_default();
                *count += 1;
                (*count, record)
            })
            .collect();
        ranked.sort_by_key(|(position, _)| *position);
        ranked.into_iter().map(|(_, record)| record).collect()
    }

    /// Whether this node started less than `settling_time` ago, so that messages from nodes that
    /// started at the same time may still be on their way.
    pub fn is_settling(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < self.settings.settling_time
    }

    /// Addresses for messages to all known peers.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.values().map(|member| member.record.peers)
    }

    /// Number of known peers: those from which a message was received less than `shares_within` ago.
    pub fn known_peers(&self) -> usize {
        self.members.len()
    }

    /// Number of live peers: those from which a message was received less than `named_within` ago.
    pub fn live_peers(&self, now: Instant) -> usize {
        self.live_records(now).count()
    }

    /// Records of the live peers.
    fn live_records(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        let within = self.settings.named_within;
        self.members
            .values()
            .filter(move |member| now.saturating_duration_since(member.heard) < within)
            .map(|member| &member.record)
    }

    /// Returns the addresses of the live peers that know a later change of a kind than the one at
    /// store revision `revision`, latest first. `kind` is an index into [`MemberRecord::revisions`].
    pub fn peers_ahead(&self, now: Instant, kind: usize, revision: u64) -> Vec<SocketAddr> {
        let mut peers: Vec<(u64, SocketAddr)> = self
            .live_records(now)
            .filter_map(|record| Some((*record.revisions.get(kind)?, record.peers)))
            .filter(|(reached, _)| *reached > revision)
            .collect();
        peers.sort_by_key(|(reached, _)| std::cmp::Reverse(*reached));
        peers.into_iter().map(|(_, address)| address).collect()
    }
}

/// Returns the records for which `fits` holds if there are at least `least` of them; otherwise all
/// `records`.
fn prefer(
    records: Vec<&MemberRecord>,
    least: usize,
    fits: impl Fn(&MemberRecord) -> bool,
) -> Vec<&MemberRecord> {
    let fitting: Vec<&MemberRecord> = records
        .iter()
        .copied()
        .filter(|record| fits(record))
        .collect();
    if fitting.len() >= least {
        fitting
    } else {
        records
    }
}

/// Returns the largest `value` among the records; 0 if there are none.
fn maximum(records: &[&MemberRecord], value: impl Fn(&MemberRecord) -> f64) -> f64 {
    records
        .iter()
        .map(|record| value(record))
        .fold(0.0, f64::max)
}
