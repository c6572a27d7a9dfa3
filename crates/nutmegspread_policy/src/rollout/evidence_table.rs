//! The query counts of all nodes, from which a node judges the new version of a rollout.

use super::{CountPair, EvidenceKey, NodeEvidence, OutcomeCount};
use indexmap::IndexMap;
use nutmegspread_model::{DomainName, Incarnation, MonotonicTime, NodeId, RouteName};
use std::collections::VecDeque;
use std::time::Duration;

/// Interval between two copies of the totals in the history.
const HISTORY_INTERVAL: Duration = Duration::from_secs(5);
/// Number of copies of the totals in the history: taken 5 s apart, 13 copies cover one minute, the
/// longest time window in which versions are compared.
const HISTORY_LENGTH: usize = 13;

/// Counts of both versions, grouped by step, route and failure domain.
type CountMap = IndexMap<EvidenceKey, CountPair>;

/// Counts of every node process, and their totals over all processes.
///
/// The counts only grow, so the counts of a time window are the difference between the current
/// totals and a copy of the totals from the start of the window.
#[derive(Clone, Debug, Default)]
pub(super) struct EvidenceTable {
    processes: IndexMap<(NodeId, Incarnation), CountMap>,
    totals: CountMap,
    /// Copies of the totals and the times at which they were taken, oldest first.
    history: VecDeque<(MonotonicTime, CountMap)>,
}

impl EvidenceTable {
    /// Applies a change to the counts of this node's own process and to the totals.
    pub fn record(
        &mut self,
        process: &(NodeId, Incarnation),
        key: &EvidenceKey,
        change: impl Fn(&mut CountPair),
    ) {
        if !self.processes.contains_key(process) {
            self.processes.insert(process.clone(), CountMap::default());
        }
        let counts = &mut self.processes[process];
        change(counts.entry(key.clone()).or_default());
        change(self.totals.entry(key.clone()).or_default());
    }

    /// Merges the counts of another process.
    ///
    /// Counts that were already merged, or that are older than merged ones, have no effect.
    pub fn merge(&mut self, evidence: &NodeEvidence) {
        let process = (evidence.node.clone(), evidence.incarnation);
        let counts = self.processes.entry(process).or_default();
        for (key, pair) in &evidence.counts {
            let added = counts.entry(key.clone()).or_default().merge(pair);
            self.totals.entry(key.clone()).or_default().add(&added);
        }
    }

    /// Counts of one process, to be sent to peers.
    pub fn process_counts(&self, process: &(NodeId, Incarnation)) -> Vec<(EvidenceKey, CountPair)> {
        let counts = self.processes.get(process);
        counts.map_or_else(Vec::new, |counts| {
            counts
                .iter()
                .map(|(key, pair)| (key.clone(), pair.clone()))
                .collect()
        })
    }

    /// Adds a copy of the totals to the history once the interval since the last copy has passed.
    pub fn record_history(&mut self, now: MonotonicTime) {
        let is_due = self
            .history
            .back()
            .is_none_or(|(copied_at, _)| now >= *copied_at + HISTORY_INTERVAL);
        if !is_due {
            return;
        }
        self.history.push_back((now, self.totals.clone()));
        if self.history.len() > HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// Routes that have counts in any step.
    pub fn routes(&self) -> Vec<RouteName> {
        let mut routes: Vec<RouteName> = Vec::new();
        for key in self.totals.keys() {
            if !routes.contains(&key.route) {
                routes.push(key.route.clone());
            }
        }
        routes
    }

    /// Failure domains that have counts for a route.
    pub fn domains(&self, route: &str) -> Vec<DomainName> {
        let mut domains: Vec<DomainName> = Vec::new();
        for key in self.totals.keys().filter(|key| &*key.route == route) {
            if !domains.contains(&key.domain) {
                domains.push(key.domain.clone());
            }
        }
        domains
    }

    /// Counts of one step on a route, in one failure domain or, with `None`, in all of them.
    pub fn step_total(&self, step: u32, route: &str, domain: Option<&DomainName>) -> CountPair {
        sum_matching(&self.totals, |key| {
            key.step == step && is_in_scope(key, route, domain)
        })
    }

    /// Counts of a route over a window of about `length` before `now`, in one failure domain or,
    /// with `None`, in all of them.
    ///
    /// The window begins when the oldest copy in the history that is no older than `length` was
    /// taken. If there is no such copy, the result covers the whole rollout.
    pub fn window(
        &self,
        now: MonotonicTime,
        length: Duration,
        route: &str,
        domain: Option<&DomainName>,
    ) -> CountPair {
        let total = sum_matching(&self.totals, |key| is_in_scope(key, route, domain));
        let window_start = now.saturating_sub(length);
        let first_copy = self
            .history
            .iter()
            .find(|(copied_at, _)| *copied_at >= window_start);
        first_copy.map_or(total.clone(), |(_, earlier)| {
            total.since(&sum_matching(earlier, |key| {
                is_in_scope(key, route, domain)
            }))
        })
    }

    /// Whether the new version got queries in the rollout and has completed none of them, on any route.
    pub fn is_new_unproven(&self) -> bool {
        let counts = || self.totals.values().map(|pair| &pair.new);
        let queries: u64 = counts().map(|count| count.queries).sum();
        let errors: u64 = counts().map(|count| count.errors).sum();
        queries > 0 && errors >= queries
    }

    /// Counts of the old version on a route over the whole rollout.
    pub fn baseline(&self, route: &str) -> OutcomeCount {
        sum_matching(&self.totals, |key| &*key.route == route).old
    }
}

fn is_in_scope(key: &EvidenceKey, route: &str, domain: Option<&DomainName>) -> bool {
    &*key.route == route && domain.is_none_or(|domain| *domain == key.domain)
}

fn sum_matching(counts: &CountMap, is_included: impl Fn(&EvidenceKey) -> bool) -> CountPair {
    let mut total = CountPair::default();
    for (key, pair) in counts {
        if is_included(key) {
            total.add(pair);
        }
    }
    total
}
