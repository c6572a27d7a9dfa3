//! The state machine that keeps the highest revision in force.

use super::{
    CallBackoff, ConfigurationAction, ConfigurationInput, ConfigurationOutput,
    ConfigurationSettings, DocumentHistory, DocumentReply, WatchCandidate,
};
use indexmap::IndexMap;
use nutmegspread_model::{
    ConfigurationDocument, MonotonicTime, NodeId, Revision, rank_candidates, rendezvous_weight,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;

/// The highest revision that platform or peers ever showed, and when it was last confirmed.
#[derive(Clone, Debug)]
pub struct ConfigurationPolicy {
    settings: ConfigurationSettings,
    started_at: MonotonicTime,
    now: MonotonicTime,
    held: Option<Arc<ConfigurationDocument>>,
    history: DocumentHistory,
    applied: Revision,
    confirmed_at: Option<MonotonicTime>,
    platform_answered: bool,
    must_read: bool,
    nodes: Vec<WatchCandidate>,
    peers: IndexMap<NodeId, Revision>,
    fetch: Option<PendingFetch>,
    watch_heard_at: Option<MonotonicTime>,
    reads: CallBackoff,
    opens: CallBackoff,
    rng: SmallRng,
}

#[derive(Clone, Debug)]
struct PendingFetch {
    node: NodeId,
    until: MonotonicTime,
}

impl ConfigurationPolicy {
    /// A node that has just started and holds no document.
    pub fn new(settings: ConfigurationSettings, now: MonotonicTime) -> Self {
        let seed = rendezvous_weight(&settings.node, "configuration");
        let (minimum, maximum) = (settings.minimum_read_delay, settings.maximum_read_delay);
        Self {
            settings,
            started_at: now,
            now,
            held: None,
            history: DocumentHistory::default(),
            applied: 0,
            confirmed_at: None,
            platform_answered: false,
            must_read: false,
            nodes: Vec::new(),
            peers: IndexMap::new(),
            fetch: None,
            watch_heard_at: None,
            reads: CallBackoff::new(now, minimum, maximum),
            opens: CallBackoff::new(now, minimum, maximum),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes an input and says what to do.
    pub fn step(&mut self, now: MonotonicTime, input: ConfigurationInput) -> ConfigurationOutput {
        self.now = now;
        let mut actions = Vec::new();
        self.take(input, &mut actions);
        self.apply(&mut actions);
        self.fetch_newer(&mut actions);
        self.keep_watch(&mut actions);
        self.read_platform(&mut actions);
        ConfigurationOutput {
            actions,
            wake_at: self.wake_at(),
        }
    }

    /// Revision in force on this node; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.applied
    }

    /// Document in force on this node.
    pub fn document(&self) -> Option<&Arc<ConfigurationDocument>> {
        self.held
            .as_ref()
            .filter(|held| held.revision == self.applied)
    }

    /// When the platform last confirmed the revision in force.
    pub fn confirmed_at(&self) -> Option<MonotonicTime> {
        self.confirmed_at.filter(|_| self.document().is_some())
    }

    /// Whether shares, rollout steps and returning domains may grow.
    ///
    /// It needs a confirmation by the platform that is not old, straight or through peers.
    pub fn may_grow(&self, now: MonotonicTime) -> bool {
        let within = self.settings.confirm_within;
        self.confirmed_at()
            .is_some_and(|at| now.saturating_sub(at) <= within)
    }

    /// What to send to a node that holds `have`.
    pub fn reply_to(&self, have: Revision) -> DocumentReply {
        self.history.reply(self.held.as_ref(), have)
    }

    fn take(&mut self, input: ConfigurationInput, actions: &mut Vec<ConfigurationAction>) {
        match input {
            ConfigurationInput::Tick => {}
            ConfigurationInput::PlatformDocument { document, as_of } => {
                self.hear_platform();
                let revision = document.revision;
                self.must_read = false;
                self.hold(document);
                self.confirm(revision, as_of);
            }
            ConfigurationInput::PlatformRevision { revision, as_of } => {
                self.hear_platform();
                if self.held_revision() < revision {
                    self.must_read = true;
                    self.reads.hurry(self.now);
                }
                self.confirm(revision, as_of);
            }
            ConfigurationInput::PlatformEmpty => self.hear_platform(),
            ConfigurationInput::PlatformFailed => {}
            ConfigurationInput::WriteUnknown => {
                self.must_read = true;
                self.reads.hurry(self.now);
            }
            ConfigurationInput::WatchClosed => self.watch_heard_at = None,
            ConfigurationInput::Nodes(nodes) => self.take_nodes(nodes),
            ConfigurationInput::PeerDigest {
                node,
                revision,
                confirmed_at,
            } => {
                self.peers.insert(node, revision);
                if let Some(at) = confirmed_at {
                    self.confirm(revision, at);
                }
            }
            ConfigurationInput::PeerReply { node, reply } => self.take_reply(node, reply, actions),
            ConfigurationInput::PeerFailed { node } => {
                self.peers.shift_remove(&node);
                self.fetch = self.fetch.take().filter(|fetch| fetch.node != node);
            }
        }
    }

    fn take_nodes(&mut self, nodes: Vec<WatchCandidate>) {
        self.peers
            .retain(|peer, _| nodes.iter().any(|candidate| candidate.node == *peer));
        self.nodes = nodes;
    }

    fn take_reply(
        &mut self,
        node: NodeId,
        reply: DocumentReply,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.fetch = self.fetch.take().filter(|fetch| fetch.node != node);
        match reply.resolve(self.held.as_ref()) {
            Ok(Some(document)) => self.hold(document),
            Ok(None) => {
                self.peers.shift_remove(&node);
            }
            Err(_) => self.start_fetch(node, 0, actions),
        }
    }

    fn hear_platform(&mut self) {
        self.platform_answered = true;
        self.reads.record_answer();
        self.opens.record_answer();
        if let Some(heard_at) = &mut self.watch_heard_at {
            *heard_at = self.now;
        }
    }

    fn held_revision(&self) -> Revision {
        self.held.as_ref().map_or(0, |held| held.revision)
    }

    fn hold(&mut self, document: Arc<ConfigurationDocument>) {
        if document.revision <= self.held_revision() {
            return;
        }
        if let Some(before) = &self.held {
            self.history.record(before, &document);
        }
        self.held = Some(document);
        self.confirmed_at = None;
        if self.applied > 0 {
            let wait = self.settings.confirm_within / 2;
            self.reads.postpone(self.now, wait, &mut self.rng);
        }
    }

    /// An older revision confirms nothing: the read was stale.
    fn confirm(&mut self, revision: Revision, at: MonotonicTime) {
        if revision == self.held_revision() && revision > 0 {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    fn apply(&mut self, actions: &mut Vec<ConfigurationAction>) {
        let Some(held) = self
            .held
            .as_ref()
            .filter(|held| held.revision > self.applied)
        else {
            return;
        };
        if self.applied == 0 && !self.has_asked_everyone() {
            return;
        }
        self.applied = held.revision;
        actions.push(ConfigurationAction::Apply(held.clone()));
    }

    /// Whether a starting node knows what platform and peers hold, or waited long enough.
    fn has_asked_everyone(&self) -> bool {
        if self.now.saturating_sub(self.started_at) >= self.settings.boot_wait {
            return true;
        }
        let held = self.held_revision();
        let others = self
            .nodes
            .iter()
            .filter(|candidate| candidate.node != self.settings.node);
        let heard = |candidate: &WatchCandidate| {
            self.peers
                .get(&candidate.node)
                .is_some_and(|revision| *revision <= held)
        };
        self.platform_answered && !self.nodes.is_empty() && others.into_iter().all(heard)
    }

    fn fetch_newer(&mut self, actions: &mut Vec<ConfigurationAction>) {
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| self.now < fetch.until)
        {
            return;
        }
        if let Some(late) = self.fetch.take() {
            self.peers.shift_remove(&late.node);
        }
        let held = self.held_revision();
        let newer = self.peers.iter().filter(|(_, revision)| **revision > held);
        let highest = newer.max_by_key(|(_, revision)| **revision);
        if let Some((node, _)) = highest {
            self.start_fetch(node.clone(), held, actions);
        }
    }

    fn start_fetch(
        &mut self,
        node: NodeId,
        have: Revision,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let until = self.now + self.settings.fetch_timeout;
        self.fetch = Some(PendingFetch {
            node: node.clone(),
            until,
        });
        actions.push(ConfigurationAction::FetchFromPeer { node, have });
    }

    fn is_watcher(&self) -> bool {
        let domain = &self.settings.domain;
        let nodes = self
            .nodes
            .iter()
            .filter(|candidate| candidate.heard && candidate.domain == *domain);
        let ranked = rank_candidates("watch", nodes.map(|candidate| &*candidate.node));
        let mut watchers = ranked.into_iter().take(self.settings.watchers_per_domain);
        watchers.any(|node| node == &*self.settings.node)
    }

    fn keep_watch(&mut self, actions: &mut Vec<ConfigurationAction>) {
        if !self.is_watcher() {
            if self.watch_heard_at.take().is_some() {
                actions.push(ConfigurationAction::CloseWatch);
            }
            return;
        }
        let silent = self
            .watch_heard_at
            .is_none_or(|at| self.now.saturating_sub(at) >= self.settings.watch_silent_after);
        if silent && self.opens.is_due(self.now) {
            self.watch_heard_at = Some(self.now);
            self.opens.record_call(self.now, &mut self.rng);
            self.reads.record_call(self.now, &mut self.rng);
            actions.push(ConfigurationAction::OpenWatch);
        }
    }

    /// A node that does not watch reads only at its start and while nobody confirms.
    fn read_platform(&mut self, actions: &mut Vec<ConfigurationAction>) {
        let half = self.settings.confirm_within / 2;
        let confirmed = self
            .confirmed_at
            .is_some_and(|at| self.now.saturating_sub(at) < half);
        let needed = self.must_read || !confirmed || !self.platform_answered;
        if needed && self.reads.is_due(self.now) {
            self.reads.record_call(self.now, &mut self.rng);
            actions.push(ConfigurationAction::ReadPlatform);
        }
    }

    fn wake_at(&self) -> MonotonicTime {
        let mut wake_at = self
            .reads
            .next()
            .max(self.now + self.settings.minimum_read_delay / 2);
        if let Some(fetch) = &self.fetch {
            wake_at = wake_at.min(fetch.until);
        }
        if let Some(at) = self.watch_heard_at {
            wake_at = wake_at.min((at + self.settings.watch_silent_after).max(self.opens.next()));
        }
        if self.applied == 0 {
            let boot_end = self.started_at + self.settings.boot_wait;
            wake_at = wake_at.min(boot_end.max(self.now + self.settings.minimum_read_delay / 2));
        }
        wake_at
    }
}
