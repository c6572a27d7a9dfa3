//! The state machine that decides which configuration document a node applies.

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

/// Holds the document with the highest revision ever received from the platform or a peer, and
/// decides when to apply it.
///
/// A confirmation is an answer of the platform that it still stores the held revision. Its age
/// shows whether a newer revision may exist that this node does not know.
#[derive(Clone, Debug)]
pub struct ConfigurationPolicy {
    settings: ConfigurationSettings,
    started_at: MonotonicTime,
    /// Time of the current step.
    now: MonotonicTime,
    /// Document with the highest revision received, whether applied or not.
    held: Option<Arc<ConfigurationDocument>>,
    history: DocumentHistory,
    /// Revision that this node applies; 0 before it has applied any.
    applied: Revision,
    /// When the platform last confirmed the held revision.
    confirmed_at: Option<MonotonicTime>,
    /// Whether the platform has answered any call since this process started.
    platform_answered: bool,
    /// Whether the platform may store a newer document than the one held.
    must_read: bool,
    /// The nodes of the roster, this one included.
    nodes: Vec<WatchCandidate>,
    /// Latest revision that each peer reported, without peers from which a fetch failed since.
    peers: IndexMap<NodeId, Revision>,
    fetch: Option<PendingFetch>,
    /// When the watch was opened or the platform last answered; `None` while no watch is open.
    watch_heard_at: Option<MonotonicTime>,
    /// Backoff between reads of the document.
    reads: CallBackoff,
    /// Backoff between openings of the watch.
    opens: CallBackoff,
    rng: SmallRng,
}

/// A request for a newer document that a peer has not answered.
#[derive(Clone, Debug)]
struct PendingFetch {
    /// Peer that received the request.
    node: NodeId,
    /// Time at which the request times out.
    until: MonotonicTime,
}

impl ConfigurationPolicy {
    /// Creates the policy of a node that has just started and holds no document.
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

    /// Applies an input and returns the actions that follow from it.
    pub fn step(&mut self, now: MonotonicTime, input: ConfigurationInput) -> ConfigurationOutput {
        self.now = now;
        let mut actions = Vec::new();
        self.apply_input(input, &mut actions);
        self.apply_held_document(&mut actions);
        self.fetch_newer(&mut actions);
        self.update_watch(&mut actions);
        self.read_if_needed(&mut actions);
        ConfigurationOutput {
            actions,
            wake_at: self.wake_at(),
        }
    }

    /// Revision that this node applies; 0 before it has applied any.
    pub fn revision(&self) -> Revision {
        self.applied
    }

    /// Document that this node applies.
    ///
    /// `None` until the node has applied a document, and while it holds a newer one that it has
    /// not applied yet.
    pub fn document(&self) -> Option<&Arc<ConfigurationDocument>> {
        self.held
            .as_ref()
            .filter(|held| held.revision == self.applied)
    }

    /// When the platform last confirmed the revision that this node applies.
    pub fn confirmed_at(&self) -> Option<MonotonicTime> {
        self.confirmed_at.filter(|_| self.document().is_some())
    }

    /// Whether the platform has confirmed the applied revision, to this node or to a peer, within
    /// [`ConfigurationSettings::confirm_within`].
    ///
    /// Only then may a node's shares of targets, the traffic of a rollout and the traffic of
    /// returning failure domains increase.
    pub fn is_recently_confirmed(&self, now: MonotonicTime) -> bool {
        let maximum_age = self.settings.confirm_within;
        self.confirmed_at()
            .is_some_and(|at| now.saturating_sub(at) <= maximum_age)
    }

    /// The reply to a peer that holds the revision `have` and requests a newer document.
    pub fn reply_to(&self, have: Revision) -> DocumentReply {
        self.history.reply(self.held.as_ref(), have)
    }

    fn apply_input(&mut self, input: ConfigurationInput, actions: &mut Vec<ConfigurationAction>) {
        match input {
            ConfigurationInput::Tick => {}
            ConfigurationInput::PlatformDocument { document, as_of } => {
                self.record_platform_answer();
                let revision = document.revision;
                self.must_read = false;
                self.store_if_newer(document);
                self.record_confirmation(revision, as_of);
            }
            ConfigurationInput::PlatformRevision { revision, as_of } => {
                self.record_platform_answer();
                if self.held_revision() < revision {
                    self.must_read = true;
                    self.reads.allow_now(self.now);
                }
                self.record_confirmation(revision, as_of);
            }
            ConfigurationInput::PlatformEmpty => self.record_platform_answer(),
            ConfigurationInput::PlatformFailed => {}
            ConfigurationInput::WriteOutcomeUnknown => {
                self.must_read = true;
                self.reads.allow_now(self.now);
            }
            ConfigurationInput::WatchClosed => self.watch_heard_at = None,
            ConfigurationInput::Nodes(nodes) => self.set_nodes(nodes),
            ConfigurationInput::PeerRevision {
                node,
                revision,
                confirmed_at,
            } => {
                self.peers.insert(node, revision);
                if let Some(at) = confirmed_at {
                    self.record_confirmation(revision, at);
                }
            }
            ConfigurationInput::PeerReply { node, reply } => self.apply_reply(node, reply, actions),
            ConfigurationInput::FetchFailed { node } => {
                self.peers.shift_remove(&node);
                self.fetch = self.fetch.take().filter(|fetch| fetch.node != node);
            }
        }
    }

    fn set_nodes(&mut self, nodes: Vec<WatchCandidate>) {
        self.peers
            .retain(|peer, _| nodes.iter().any(|candidate| candidate.node == *peer));
        self.nodes = nodes;
    }

    /// Stores the document that a peer sent; fetches the whole document if the peer sent changes
    /// that do not apply to the one held.
    fn apply_reply(
        &mut self,
        node: NodeId,
        reply: DocumentReply,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.fetch = self.fetch.take().filter(|fetch| fetch.node != node);
        match reply.resolve(self.held.as_ref()) {
            Ok(Some(document)) => self.store_if_newer(document),
            Ok(None) => {
                self.peers.shift_remove(&node);
            }
            Err(_) => self.start_fetch(node, 0, actions),
        }
    }

    fn record_platform_answer(&mut self) {
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

    /// Stores a document if it is newer than the one held.
    ///
    /// Once the node has applied a document, a newer one delays the next read, so that a watch or a
    /// peer can confirm it first.
    fn store_if_newer(&mut self, document: Arc<ConfigurationDocument>) {
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

    /// Records that the platform stored `revision` at `at`.
    ///
    /// Any revision other than the one held is ignored: an older one comes from a stale read.
    fn record_confirmation(&mut self, revision: Revision, at: MonotonicTime) {
        if revision == self.held_revision() && revision > 0 {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    fn apply_held_document(&mut self, actions: &mut Vec<ConfigurationAction>) {
        let Some(held) = self
            .held
            .as_ref()
            .filter(|held| held.revision > self.applied)
        else {
            return;
        };
        if self.applied == 0 && !self.may_apply_first() {
            return;
        }
        self.applied = held.revision;
        actions.push(ConfigurationAction::Apply(held.clone()));
    }

    /// Whether a starting node may apply its first document: the platform has answered and every
    /// other node of the roster has reported a revision that is not newer, or
    /// [`ConfigurationSettings::boot_wait`] has passed.
    fn may_apply_first(&self) -> bool {
        if self.now.saturating_sub(self.started_at) >= self.settings.boot_wait {
            return true;
        }
        let held = self.held_revision();
        let others = self
            .nodes
            .iter()
            .filter(|candidate| candidate.node != self.settings.node);
        let has_no_newer = |candidate: &WatchCandidate| {
            self.peers
                .get(&candidate.node)
                .is_some_and(|revision| *revision <= held)
        };
        self.platform_answered && !self.nodes.is_empty() && others.into_iter().all(has_no_newer)
    }

    /// Fetches the highest revision that a peer reported, one fetch at a time.
    ///
    /// A peer whose fetch timed out is skipped until it reports its revision again.
    fn fetch_newer(&mut self, actions: &mut Vec<ConfigurationAction>) {
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| self.now < fetch.until)
        {
            return;
        }
        if let Some(expired) = self.fetch.take() {
            self.peers.shift_remove(&expired.node);
        }
        let held = self.held_revision();
        let newer = self.peers.iter().filter(|(_, revision)| **revision > held);
        let newest_peer = newer.max_by_key(|(_, revision)| **revision);
        if let Some((node, _)) = newest_peer {
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

    fn update_watch(&mut self, actions: &mut Vec<ConfigurationAction>) {
        if !self.is_watcher() {
            if self.watch_heard_at.take().is_some() {
                actions.push(ConfigurationAction::CloseWatch);
            }
            return;
        }
        let must_open = self
            .watch_heard_at
            .is_none_or(|at| self.now.saturating_sub(at) >= self.settings.watch_silent_after);
        if must_open && self.opens.is_due(self.now) {
            self.watch_heard_at = Some(self.now);
            self.opens.record_call(self.now, &mut self.rng);
            self.reads.record_call(self.now, &mut self.rng);
            actions.push(ConfigurationAction::OpenWatch);
        }
    }

    /// Reads the document if the platform may store a newer one, or if the last confirmation is
    /// older than half of [`ConfigurationSettings::confirm_within`].
    ///
    /// A node that does not watch therefore reads only at its start, when the platform may store a
    /// newer revision, and while no peer reports a recent confirmation.
    fn read_if_needed(&mut self, actions: &mut Vec<ConfigurationAction>) {
        let reread_age = self.settings.confirm_within / 2;
        let recently_confirmed = self
            .confirmed_at
            .is_some_and(|at| self.now.saturating_sub(at) < reread_age);
        let read_needed = self.must_read || !recently_confirmed || !self.platform_answered;
        if read_needed && self.reads.is_due(self.now) {
            self.reads.record_call(self.now, &mut self.rng);
            actions.push(ConfigurationAction::ReadPlatform);
        }
    }

    fn wake_at(&self) -> MonotonicTime {
        let mut wake_at = self
            .reads
            .next_call_at()
            .max(self.now + self.settings.minimum_read_delay / 2);
        if let Some(fetch) = &self.fetch {
            wake_at = wake_at.min(fetch.until);
        }
        if let Some(at) = self.watch_heard_at {
            wake_at =
                wake_at.min((at + self.settings.watch_silent_after).max(self.opens.next_call_at()));
        }
        if self.applied == 0 {
            let boot_end = self.started_at + self.settings.boot_wait;
            wake_at = wake_at.min(boot_end.max(self.now + self.settings.minimum_read_delay / 2));
        }
        wake_at
    }
}
