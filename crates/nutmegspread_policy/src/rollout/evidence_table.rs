//! Evidence of all nodes, merged.

use super::{CountPair, EvidenceKey, NodeEvidence, OutcomeCount};
use indexmap::IndexMap;
use nutmegspread_model::{DomainName, Incarnation, MonotonicTime, NodeId, RouteName};
use std::collections::VecDeque;
use std::time::Duration;

/// Interval at which totals are kept for comparison with later ones.
const HISTORY_INTERVAL: Duration = Duration::from_secs(5);
/// Totals kept; together they span a minute.
const HISTORY_LENGTH: usize = 13;

/// Counts by key.
type CountMap = IndexMap<EvidenceKey, CountPair>;

/// Counts of every process and their totals; a window is the difference of two totals.
#[derive(Clone, Debug, Default)]
pub(super) struct EvidenceTable {
    processes: IndexMap<(NodeId, Incarnation), CountMap>,
    totals: CountMap,
    history: VecDeque<(MonotonicTime, CountMap)>,
}

impl EvidenceTable {
    /// Applies a change to this node's own counts.
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

    /// Merges counts of another process; repeated and late ones add nothing.
    pub fn merge(&mut self, evidence: &NodeEvidence) {
        let process = (evidence.node.clone(), evidence.incarnation);
        let counts = self.processes.entry(process).or_default();
        for (key, pair) in &evidence.counts {
            let added = counts.entry(key.clone()).or_default().merge(pair);
            self.totals.entry(key.clone()).or_default().add(&added);
        }
    }

    /// Counts of one process, to pass on.
    pub fn counts_of(&self, process: &(NodeId, Incarnation)) -> Vec<(EvidenceKey, CountPair)> {
        let counts = self.processes.get(process);
        counts.map_or_else(Vec::new, |counts| {
            counts
                .iter()
                .map(|(key, pair)| (key.clone(), pair.clone()))
                .collect()
        })
    }

    /// Keeps the totals for later windows when the interval has passed.
    pub fn keep_history(&mut self, now: MonotonicTime) {
        let is_due = self
            .history
            .back()
            .is_none_or(|(kept_at, _)| now >= *kept_at + HISTORY_INTERVAL);
        if !is_due {
            return;
        }
        self.history.push_back((now, self.totals.clone()));
        if self.history.len() > HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// Routes seen in any step.
    pub fn routes(&self) -> Vec<RouteName> {
        let mut routes: Vec<RouteName> = Vec::new();
        for key in self.totals.keys() {
            if !routes.contains(&key.route) {
                routes.push(key.route.clone());
            }
        }
        routes
    }

    /// Failure domains in which a route was seen.
    pub fn domains(&self, route: &str) -> Vec<DomainName> {
        let mut domains: Vec<DomainName> = Vec::new();
        for key in self.totals.keys().filter(|key| &*key.route == route) {
            if !domains.contains(&key.domain) {
                domains.push(key.domain.clone());
            }
        }
        domains
    }

    /// Counts of one step on a route, in one domain or all.
    pub fn step_total(&self, step: u32, route: &str, domain: Option<&DomainName>) -> CountPair {
        sum_where(&self.totals, |key| {
            key.step == step && is_in_scope(key, route, domain)
        })
    }

    /// Counts of the last `length` on a route, in one domain or all.
    pub fn window(
        &self,
        now: MonotonicTime,
        length: Duration,
        route: &str,
        domain: Option<&DomainName>,
    ) -> CountPair {
        let total = sum_where(&self.totals, |key| is_in_scope(key, route, domain));
        let oldest = now.saturating_sub(length);
        let start = self.history.iter().find(|(kept_at, _)| *kept_at >= oldest);
        start.map_or(total.clone(), |(_, earlier)| {
            total.since(&sum_where(earlier, |key| is_in_scope(key, route, domain)))
        })
    }

    /// Everything the old version did on a route.
    pub fn baseline(&self, route: &str) -> OutcomeCount {
        sum_where(&self.totals, |key| &*key.route == route).old
    }
}

fn is_in_scope(key: &EvidenceKey, route: &str, domain: Option<&DomainName>) -> bool {
    &*key.route == route && domain.is_none_or(|domain| *domain == key.domain)
}

fn sum_where(counts: &CountMap, is_wanted: impl Fn(&EvidenceKey) -> bool) -> CountPair {
    let mut total = CountPair::default();
    for (key, pair) in counts {
        if is_wanted(key) {
            total.add(pair);
        }
    }
    total
}
