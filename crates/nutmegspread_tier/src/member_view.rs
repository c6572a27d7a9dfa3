//! Which nodes are heard, which of them callers should use, and who watches the store.

use crate::{FailureDomain, NodeName, RolloutEvidence};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Times after which a silent node is left out, and how many nodes take a duty.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// Nodes silent for this long are not named to callers and have no duty.
    pub named_within: Duration,
    /// Nodes silent for this long have no share of common limits any more.
    pub shares_within: Duration,
    /// Messages are on their way no longer than this.
    pub late_within: Duration,
    /// Nodes assumed before enough time has passed to hear them.
    pub assumed_nodes: usize,
    /// Nodes that watch the store for all.
    pub watchers: usize,
    /// Nodes that may watch; the others never do while they hear one of these.
    pub candidates: usize,
    /// Time by which each node heard spreads the questions of nodes that follow.
    pub spread_each: Duration,
    /// Fewest large nodes that callers are sent to without the small ones.
    pub least_named: usize,
    /// Time that a new node gives the others to answer before it asks the store itself.
    pub greeting_time: Duration,
    /// Time after its start by which a node has heard those that started with it.
    pub settling_time: Duration,
    /// Part of common limits that nodes keep which callers are not sent to.
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

/// What a node says of itself to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Milliseconds since the epoch at its start; tells one start from the next.
    pub started_ms: u64,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other nodes send their messages.
    pub peers: SocketAddr,
    /// Failure domain of its VM.
    pub domain: FailureDomain,
    /// Its part of a core.
    pub cores: f64,
    /// Whether callers should use it.
    pub ready: bool,
    /// Whether it reaches enough targets to serve.
    pub serves: bool,
    /// Whether its last call to the store was answered, or none was needed.
    pub reaches_store: bool,
    /// Revisions of the store up to which it knows each kind of object, in a fixed order.
    pub revisions: Vec<u64>,
    /// Some other nodes that it knows, so that newcomers learn of them.
    pub known: Vec<SocketAddr>,
    /// What it has seen of the rollouts under way.
    pub rollouts: Vec<RolloutEvidence>,
}

/// Where a node gets the objects of the store from.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchRole {
    /// From the store itself, for all nodes that follow.
    Watch,
    /// From these nodes, the first that answers.
    Follow(Vec<SocketAddr>),
}

#[derive(Clone, Debug)]
struct HeardMember {
    record: MemberRecord,
    heard: Instant,
}

/// The nodes that this one hears.
#[derive(Clone, Debug)]
pub struct MemberView {
    settings: MemberSettings,
    started: Instant,
    members: IndexMap<NodeName, HeardMember>,
}

impl MemberView {
    /// Starts with no other node.
    pub fn new(settings: MemberSettings, now: Instant) -> Self {
        Self {
            settings,
            started: now,
            members: IndexMap::new(),
        }
    }

    /// Notes a message of another node; returns whether this start of it was not heard before.
    ///
    /// An earlier start is that of a message on its way for long, or that of a node that restarted
    /// after its clock was set back; the latter has been silent while it restarted.
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

    /// Drops nodes that have been silent for long.
    pub fn expire(&mut self, now: Instant) {
        let within = self.settings.shares_within;
        self.members
            .retain(|_, member| now.saturating_duration_since(member.heard) < within);
    }

    /// The ready nodes that callers should use, `own` included if it is ready.
    ///
    /// Large nodes go first: a query over many shards takes a small one several times as long.
    /// Nodes that are cut off from targets are left out, unless all are.
    pub fn advertised(&self, now: Instant, own: &MemberRecord) -> Vec<MemberRecord> {
        let ready: Vec<&MemberRecord> = std::iter::once(own)
            .chain(self.alive(now))
            .filter(|record| record.ready)
            .collect();
        let cores = most(&ready, |record| record.cores) / 2.0;
        let named = narrow(ready, 1, |record| record.serves);
        let named = narrow(named, self.settings.least_named, |record| {
            record.cores >= cores
        });
        named.into_iter().cloned().collect()
    }

    /// This node's part of limits that hold for all nodes together, 0 to 1.
    pub fn limit_share(&self, now: Instant, own: &MemberRecord) -> f64 {
        let heard = 1 + self.members.len();
        if now.saturating_duration_since(self.started) < self.settings.named_within {
            return 1.0 / heard.max(self.settings.assumed_nodes) as f64;
        }
        let willing = MemberRecord {
            ready: true,
            serves: true,
            ..own.clone()
        };
        let named = self.advertised(now, &willing);
        let others = heard.saturating_sub(named.len());
        let kept = if others == 0 {
            0.0
        } else {
            self.settings.unnamed_share
        };
        if named.iter().any(|record| record.node == own.node) {
            (1.0 - kept) / named.len() as f64
        } else {
            kept / others as f64
        }
    }

    /// The nodes that share limits of whole requests, in an order of their own; nothing while nodes
    /// that run may still be unheard.
    pub fn sharers(&self, now: Instant, own: &MemberRecord) -> Option<Vec<NodeName>> {
        if now.saturating_duration_since(self.started) < self.settings.named_within {
            return None;
        }
        let named = self.advertised(now, own);
        let mut nodes: Vec<NodeName> = named.into_iter().map(|record| record.node).collect();
        nodes.sort();
        Some(nodes)
    }

    /// Where this node gets the objects of the store from.
    pub fn watch_role(&self, now: Instant, own: &MemberRecord) -> WatchRole {
        let ranked = self.candidates(now, own);
        let reaching: Vec<&&MemberRecord> = ranked
            .iter()
            .filter(|record| record.reaches_store)
            .collect();
        let watchers = &reaching[..reaching.len().min(self.settings.watchers)];
        let is_watcher = watchers.iter().any(|record| record.node == own.node);
        // A candidate that was turned away keeps trying, or nobody would notice the store's return.
        let is_trying = !own.reaches_store && ranked.iter().any(|record| record.node == own.node);
        let is_greeting = now.saturating_duration_since(self.started) < self.settings.greeting_time;
        if is_greeting && self.members.is_empty() {
            return WatchRole::Follow(Vec::new());
        }
        if is_watcher || is_trying {
            return WatchRole::Watch;
        }
        WatchRole::Follow(watchers.iter().map(|record| record.peers).collect())
    }

    /// How long this node may wait before it asks others what changed, so that not all ask the
    /// watchers at once; nothing for the candidates, which tell the others early.
    pub fn relay_call_spread(&self, now: Instant, own: &MemberRecord) -> Option<Duration> {
        let candidates = self.candidates(now, own);
        let is_candidate = candidates.iter().any(|record| record.node == own.node);
        (!is_candidate).then(|| self.settings.spread_each * self.live_peers(now) as u32)
    }

    /// The nodes that may watch the store: the largest, then by name.
    fn candidates<'a>(&'a self, now: Instant, own: &'a MemberRecord) -> Vec<&'a MemberRecord> {
        let mut ranked: Vec<&MemberRecord> = std::iter::once(own).chain(self.alive(now)).collect();
        ranked.sort_by(|left, right| {
            right
                .cores
                .total_cmp(&left.cores)
                .then_with(|| left.node.cmp(&right.node))
        });
        ranked.truncate(self.settings.candidates);
        ranked
    }

    /// Whether nodes that started together with this one may still be unheard.
    pub fn is_settling(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < self.settings.settling_time
    }

    /// Addresses of the other nodes for messages.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.values().map(|member| member.record.peers)
    }

    /// Other nodes heard within the time for naming.
    pub fn live_peers(&self, now: Instant) -> usize {
        self.alive(now).count()
    }

    fn alive(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        let within = self.settings.named_within;
        self.members
            .values()
            .filter(move |member| now.saturating_duration_since(member.heard) < within)
            .map(|member| &member.record)
    }

    /// The nodes that know kind number `kind` beyond `revision`, with the furthest first.
    pub fn peers_ahead(&self, now: Instant, kind: usize, revision: u64) -> Vec<SocketAddr> {
        let mut ahead: Vec<(u64, SocketAddr)> = self
            .alive(now)
            .filter_map(|record| Some((*record.revisions.get(kind)?, record.peers)))
            .filter(|(reached, _)| *reached > revision)
            .collect();
        ahead.sort_by_key(|(reached, _)| std::cmp::Reverse(*reached));
        ahead.into_iter().map(|(_, peers)| peers).collect()
    }
}

/// Those of `records` for which `fits` holds, or all of them where these are fewer than `least`.
fn narrow(
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

fn most(records: &[&MemberRecord], of: impl Fn(&MemberRecord) -> f64) -> f64 {
    records.iter().map(|record| of(record)).fold(0.0, f64::max)
}
