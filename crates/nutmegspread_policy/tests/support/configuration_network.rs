//! Simulates several configuration policies and the platform in virtual time.

use indexmap::IndexSet;
use nutmegspread_model::{
    ConfigurationDocument, DomainSettings, MonotonicTime, NodeId, Revision, ServingState,
};
use nutmegspread_policy::configuration::{
    ConfigurationAction, ConfigurationInput, ConfigurationPolicy, ConfigurationSettings,
    DocumentReply, WatchCandidate,
};
use std::sync::Arc;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(20);
/// Ticks between heartbeats.
const GOSSIP_TICKS: u32 = 30;
/// Ticks between bookmarks of the platform.
const BOOKMARK_TICKS: u32 = 50;

/// Faults of the platform and of the links between nodes.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// Whether reads fail and no bookmarks are sent.
    pub down: bool,
    /// Revision that reads return in place of the latest.
    pub stale_reads: Option<Revision>,
    /// Nodes whose watches get no events and no bookmarks.
    pub silent_watches: IndexSet<usize>,
    /// Whether watches get no event of a new revision.
    pub lost_events: bool,
    /// Links that lose all messages, as sender and receiver.
    pub cuts: Vec<(usize, usize)>,
}

/// Configuration policies, the platform's revisions, and counters.
pub struct ConfigurationNetwork {
    pub now: MonotonicTime,
    /// Policy of each node; `None` before its start.
    pub nodes: Vec<Option<ConfigurationPolicy>>,
    pub faults: PlatformFaults,
    /// All documents that the platform has accepted.
    pub stored: Vec<Arc<ConfigurationDocument>>,
    /// Revisions that each node has applied since its start, in order.
    pub applied: Vec<Vec<Revision>>,
    /// Number of calls to the platform.
    pub calls: usize,
    /// Number of fetches from a peer that returned a whole document.
    pub whole_fetches: usize,
    watches: IndexSet<usize>,
    ticks: u32,
}

impl ConfigurationNetwork {
    pub fn new(size: usize, revisions: u64) -> Self {
        let mut network = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            faults: PlatformFaults::default(),
            stored: (1..=revisions).map(document).collect(),
            applied: vec![Vec::new(); size],
            calls: 0,
            whole_fetches: 0,
            watches: IndexSet::new(),
            ticks: 0,
        };
        network.nodes = (0..size).map(|_| None).collect();
        (0..size).for_each(|index| network.start(index));
        network
    }

    /// Starts a node, or restarts it without its state.
    pub fn start(&mut self, index: usize) {
        let settings = ConfigurationSettings {
            node: name(index),
            domain: domain(index).as_str().into(),
            ..Default::default()
        };
        self.watches.swap_remove(&index);
        self.applied[index].clear();
        self.nodes[index] = Some(ConfigurationPolicy::new(settings, self.now));
    }

    /// Stores the next revision; the node `writer` receives the platform's answer to the write.
    pub fn store(&mut self, writer: Option<usize>) -> Revision {
        let revision = self.stored.len() as u64 + 1;
        self.stored.push(document(revision));
        let notified = if self.faults.lost_events {
            Vec::new()
        } else {
            self.responsive_watches()
        };
        for index in notified.into_iter().chain(writer) {
            self.deliver_document(index, revision);
        }
        revision
    }

    pub fn input(&mut self, index: usize, input: ConfigurationInput) {
        let Some(policy) = self.nodes[index].as_mut() else {
            return;
        };
        let output = policy.step(self.now, input);
        for action in output.actions {
            self.run_action(index, action);
        }
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until every running node applies a revision or a later one, and returns the time taken.
    ///
    /// Panics if that takes longer than `limit`.
    pub fn run_until_applied(&mut self, revision: Revision, limit: Duration) -> Duration {
        let start = self.now;
        while !self
            .applied_revisions()
            .iter()
            .all(|applied| *applied >= revision)
        {
            assert!(
                self.now < start + limit,
                "after {limit:?}: {:?}",
                self.applied_revisions()
            );
            self.tick();
        }
        self.now - start
    }

    pub fn applied_revisions(&self) -> Vec<Revision> {
        self.nodes
            .iter()
            .flatten()
            .map(ConfigurationPolicy::revision)
            .collect()
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        for index in 0..self.nodes.len() {
            self.input(index, ConfigurationInput::Tick);
        }
        if self.ticks.is_multiple_of(GOSSIP_TICKS) {
            self.gossip();
        }
        if self.ticks.is_multiple_of(BOOKMARK_TICKS) && !self.faults.down {
            let revision = self.stored.last().map_or(0, |stored| stored.revision);
            for index in self.responsive_watches() {
                let as_of = self.now;
                self.input(
                    index,
                    ConfigurationInput::PlatformRevision { revision, as_of },
                );
            }
        }
    }

    fn gossip(&mut self) {
        for to in 0..self.nodes.len() {
            let reachable: Vec<usize> = (0..self.nodes.len())
                .filter(|from| self.nodes[*from].is_some() && !self.is_cut(*from, to))
                .collect();
            let candidates = (0..self.nodes.len()).map(|index| WatchCandidate {
                node: name(index),
                domain: domain(index).as_str().into(),
                heard: reachable.contains(&index),
            });
            self.input(to, ConfigurationInput::Nodes(candidates.collect()));
            for from in reachable.into_iter().filter(|from| *from != to) {
                let Some(policy) = &self.nodes[from] else {
                    continue;
                };
                let input = ConfigurationInput::PeerRevision {
                    node: name(from),
                    revision: policy.revision(),
                    confirmed_at: policy.confirmed_at(),
                };
                self.input(to, input);
            }
        }
    }

    fn run_action(&mut self, index: usize, action: ConfigurationAction) {
        match action {
            ConfigurationAction::Apply(document) => self.applied[index].push(document.revision),
            ConfigurationAction::ReadPlatform => self.read(index),
            ConfigurationAction::OpenWatch => {
                self.watches.insert(index);
                self.calls += 1;
                self.read(index);
            }
            ConfigurationAction::CloseWatch => {
                self.watches.swap_remove(&index);
            }
            ConfigurationAction::FetchFromPeer { node, have } => self.fetch(index, &node, have),
        }
    }

    fn read(&mut self, index: usize) {
        self.calls += 1;
        if self.faults.down {
            self.input(index, ConfigurationInput::PlatformFailed);
            return;
        }
        let newest = self.stored.last().map_or(0, |stored| stored.revision);
        let revision = self.faults.stale_reads.unwrap_or(newest);
        self.deliver_document(index, revision);
    }

    /// Sends a node the platform's document of a revision.
    fn deliver_document(&mut self, index: usize, revision: Revision) {
        let document = self
            .stored
            .iter()
            .find(|stored| stored.revision == revision);
        let input = match document {
            Some(document) => ConfigurationInput::PlatformDocument {
                document: document.clone(),
                as_of: self.now,
            },
            None => ConfigurationInput::PlatformEmpty,
        };
        self.input(index, input);
    }

    fn fetch(&mut self, to: usize, node: &NodeId, have: Revision) {
        let from = (0..self.nodes.len()).find(|index| name(*index) == *node);
        let from = from.filter(|from| !self.is_cut(*from, to) && !self.is_cut(to, *from));
        let policy = from.and_then(|from| self.nodes[from].as_ref());
        let Some(reply) = policy.map(|policy| policy.reply_to(have)) else {
            self.input(to, ConfigurationInput::FetchFailed { node: node.clone() });
            return;
        };
        self.whole_fetches += usize::from(matches!(reply, DocumentReply::Whole(_)));
        let text = serde_json::to_string(&reply).expect("failed to serialize a reply as JSON");
        let reply = serde_json::from_str(&text).expect("failed to parse a reply from JSON");
        self.input(
            to,
            ConfigurationInput::PeerReply {
                node: node.clone(),
                reply,
            },
        );
    }

    /// Nodes whose watch receives events.
    fn responsive_watches(&self) -> Vec<usize> {
        let silent = &self.faults.silent_watches;
        self.watches
            .iter()
            .filter(|index| !silent.contains(*index))
            .copied()
            .collect()
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.faults.cuts.contains(&(from, to))
    }
}

pub fn name(index: usize) -> NodeId {
    format!("node-{index}").into()
}

fn domain(index: usize) -> String {
    format!("domain-{}", index % 4)
}

/// The document of a revision, in which one domain, chosen by the revision, is drained.
fn document(revision: Revision) -> Arc<ConfigurationDocument> {
    let mut document = ConfigurationDocument {
        revision,
        ..Default::default()
    };
    for index in 0..4 {
        let drained = revision % 4 == index;
        let state = if drained {
            ServingState::Drained
        } else {
            ServingState::Active
        };
        let settings = DomainSettings {
            state,
            ..Default::default()
        };
        document
            .domains
            .insert(domain(index as usize).as_str().into(), settings);
    }
    Arc::new(document)
}
