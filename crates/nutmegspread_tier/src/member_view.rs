//! Which nodes are live, which of them are advertised to callers, and which watch the store.

use crate::{FailureDomain, NodeName, RolloutEvidence};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Times after which a silent node is no longer used, and numbers of nodes in each role.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// A node from which no message was received for this long is not advertised to callers and
    /// takes no role.
    pub named_within: Duration,
    /// A node from which no message was received for this long is forgotten and has no share of
    /// common limits.
    pub shares_within: Duration,
    /// Longest time that a message takes from one node to another.
    pub late_within: Duration,
    /// Smallest number of nodes assumed in the time after the start in which messages of some nodes
    /// may not have been received yet.
    pub assumed_nodes: usize,
    /// Number of nodes that watch the store on behalf of all nodes.
    pub watchers: usize,
    /// Number of candidates for watching the store. Other nodes do not watch it while they receive
    /// messages from a candidate.
    pub candidates: usize,
    /// Time for each live peer over which the followers' calls to relays are spread.
    pub spread_each: Duration,
    /// Smallest number of large nodes with which only the large ones are advertised to callers.
    pub least_named: usize,
    /// Time that a new node waits for messages of other nodes before it watches the store itself.
    pub greeting_time: Duration,
    /// Time after its start by which a node has received messages from the nodes that started at
    /// the same time.
    pub settling_time: Duration,
    /// Fraction of common limits that is reserved for nodes that are not advertised to callers.
    pub unnamed_share: f64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            named_within: Duration::from_millis(1600),
            shares_within: Duration::from_secs(10),
            late_within: Duration::from_secs(1),
            assumed_nodes: 8,
            watchers: 2,
            candidates: 6,
            spread_each: Duration::from_millis(1),
            least_named: 5,
            greeting_time: Duration::from_millis(60),
            settling_time: Duration::from_millis(500),
            unnamed_share: 0.25,
        }
    }
}

/// State of a node that it sends to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the node that sent the record.
    pub node: NodeName,
    /// Start time of the node in milliseconds since the Unix epoch; distinguishes its starts.
    pub started_ms: u64,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for messages of other nodes.
    pub peers: SocketAddr,
    /// Failure domain of the node's VM.
    pub domain: FailureDomain,
    /// Processor cores available to the node; may be a fraction.
    pub cores: f64,
    /// Whether the node is ready for callers.
    pub ready: bool,
    /// Whether the node reaches enough targets to serve callers.
    pub serves: bool,
    /// Whether the store answered the node's last call; also true while no call was needed.
    pub reaches_store: bool,
    /// Store revision up to which the node knows each kind of object, in a fixed order of kinds.
    pub revisions: Vec<u64>,
    /// Addresses of some of the node's peers, from which new nodes learn about other nodes.
    pub known: Vec<SocketAddr>,
    /// The node's evidence on the current rollouts.
    pub rollouts: Vec<RolloutEvidence>,
}

/// Role of a node towards the store: whether it watches the store or follows other nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchRole {
    /// Read objects from the store and relay them to followers.
    Watch,
    /// Read objects through the first of these peers that answers.
    Follow(Vec<SocketAddr>),
}

#[derive(Clone, Debug)]
struct HeardMember {
    record: MemberRecord,
    /// Time at which the last message of the node was received.
    heard: Instant,
}

/// The peers from which this node has recently received messages.
#[derive(Clone, Debug)]
pub struct MemberView {
    settings: MemberSettings,
    started: Instant,
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
    /// A record with an earlier start time than the last one is either a delayed message or comes
    /// from a node that restarted after its clock had been set back. In the second case no message
    /// was received during the restart, so the record is ignored only if the last one is recent.
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

    /// Returns the ready nodes to advertise to callers, including `own` if it is ready.
    ///
    /// If there are enough large nodes, only these are advertised, because a query over many shards
    /// takes several times as long on a small node. Nodes that do not reach enough targets are left
    /// out unless this holds for all nodes.
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

    /// Returns the names of the nodes that share limits of whole requests, in sorted order. Returns
    /// `None` for a time after the start in which messages of some nodes may not have been received
    /// yet.
    pub fn sharers(&self, now: Instant, own: &MemberRecord) -> Option<Vec<NodeName>> {
        if now.saturating_duration_since(self.started) < self.settings.named_within {
            return None;
        }
        let named = self.advertised(now, own);
        let mut nodes: Vec<NodeName> = named.into_iter().map(|record| record.node).collect();
        nodes.sort();
        Some(nodes)
    }

    /// Returns this node's role towards the store.
    pub fn watch_role(&self, now: Instant, own: &MemberRecord) -> WatchRole {
        let ranked = self.candidates(now, own);
        let reaching: Vec<&&MemberRecord> = ranked
            .iter()
            .filter(|record| record.reaches_store)
            .collect();
        let watchers = &reaching[..reaching.len().min(self.settings.watchers)];
        let is_watcher = watchers.iter().any(|record| record.node == own.node);
        // A candidate that does not reach the store keeps calling it; otherwise no node would
        // notice that the store is available again.
        let is_failed_candidate =
            !own.reaches_store && ranked.iter().any(|record| record.node == own.node);
        let is_starting = now.saturating_duration_since(self.started) < self.settings.greeting_time;
        if is_starting && self.members.is_empty() {
            return WatchRole::Follow(Vec::new());
        }
        if is_watcher || is_failed_candidate {
            return WatchRole::Watch;
        }
        WatchRole::Follow(watchers.iter().map(|record| record.peers).collect())
    }

    /// Returns the time within which this node makes its calls to relays, so that the followers do
    /// not all call the watchers at once. Returns `None` for the candidates, which call at once and
    /// can then relay to others early.
    pub fn relay_call_spread(&self, now: Instant, own: &MemberRecord) -> Option<Duration> {
        let candidates = self.candidates(now, own);
        let is_candidate = candidates.iter().any(|record| record.node == own.node);
        (!is_candidate).then(|| self.settings.spread_each * self.live_peers(now) as u32)
    }

    /// Returns the nodes that may watch the store: those with the most cores, ordered by cores and
    /// then by name.
    fn candidates<'a>(&'a self, now: Instant, own: &'a MemberRecord) -> Vec<&'a MemberRecord> {
        let mut ranked: Vec<&MemberRecord> =
            std::iter::once(own).chain(self.live_records(now)).collect();
        ranked.sort_by(|left, right| {
            right
                .cores
                .total_cmp(&left.cores)
                .then_with(|| left.node.cmp(&right.node))
        });
        ranked.truncate(self.settings.candidates);
        ranked
    }

    /// Whether messages of nodes that started at the same time as this one may still be missing.
    pub fn is_settling(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < self.settings.settling_time
    }

    /// Addresses for messages to all known peers.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.values().map(|member| member.record.peers)
    }

    /// Number of peers from which a message was received within `named_within`.
    pub fn live_peers(&self, now: Instant) -> usize {
        self.live_records(now).count()
    }

    fn live_records(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        let within = self.settings.named_within;
        self.members
            .values()
            .filter(move |member| now.saturating_duration_since(member.heard) < within)
            .map(|member| &member.record)
    }

    /// Returns the addresses of the peers that know a later store revision than `revision` of the
    /// kind with index `kind`, ordered from the latest revision down.
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

fn maximum(records: &[&MemberRecord], value: impl Fn(&MemberRecord) -> f64) -> f64 {
    records
        .iter()
        .map(|record| value(record))
        .fold(0.0, f64::max)
}
