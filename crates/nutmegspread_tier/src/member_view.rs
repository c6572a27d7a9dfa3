//! Which nodes are heard, and which of them callers should use.

use crate::{FailureDomain, NodeName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Times after which a silent node is left out.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// Nodes silent for this long are not named to callers.
    pub named_within: Duration,
    /// Nodes silent for this long have no share of common limits any more.
    pub shares_within: Duration,
    /// Nodes assumed before enough time has passed to hear them.
    pub assumed_nodes: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            named_within: Duration::from_millis(1600),
            shares_within: Duration::from_secs(10),
            assumed_nodes: 8,
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
    /// Version of the configuration that it has in force.
    pub version: u64,
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

    /// Notes a message of another node; returns whether the node was not heard before.
    pub fn hear(&mut self, now: Instant, record: MemberRecord) -> bool {
        match self.members.get(&record.node) {
            Some(known) if record.started_ms < known.record.started_ms => false,
            known => {
                let is_new = known.is_none();
                self.members
                    .insert(record.node.clone(), HeardMember { record, heard: now });
                is_new
            }
        }
    }

    /// Drops nodes that have been silent for long.
    pub fn expire(&mut self, now: Instant) {
        let within = self.settings.shares_within;
        self.members
            .retain(|_, member| now.saturating_duration_since(member.heard) < within);
    }

    /// The ready nodes that callers should use, `own` included if it is ready.
    pub fn named(&self, now: Instant, own: &MemberRecord) -> Vec<MemberRecord> {
        let within = self.settings.named_within;
        let others = self
            .members
            .values()
            .filter(|member| now.saturating_duration_since(member.heard) < within)
            .map(|member| &member.record);
        std::iter::once(own)
            .chain(others)
            .filter(|record| record.ready)
            .cloned()
            .collect()
    }

    /// Nodes among which common limits are divided; never 0.
    pub fn sharing(&self, now: Instant) -> usize {
        let heard = 1 + self.members.len();
        if now.saturating_duration_since(self.started) < self.settings.named_within {
            return heard.max(self.settings.assumed_nodes);
        }
        heard
    }

    /// Addresses of the other nodes for messages.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.values().map(|member| member.record.peers)
    }

    /// Other nodes heard within the time for naming.
    pub fn heard(&self, now: Instant) -> usize {
        let within = self.settings.named_within;
        self.members
            .values()
            .filter(|member| now.saturating_duration_since(member.heard) < within)
            .count()
    }
}
