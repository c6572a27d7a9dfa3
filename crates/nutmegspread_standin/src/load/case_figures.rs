//! Figures of one case.

use super::query_outcome::{QueryEnding, QueryOutcome};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;
use std::time::Duration;

/// Largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Counts and latencies of one case.
///
/// A query without an answer counts with no coverage and at least the hard deadline as latency.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CaseFigures {
    /// Queries that were due.
    pub queries: u64,
    /// Complete answers.
    pub complete: u64,
    /// Answers that name missing shards.
    pub partial: u64,
    /// Refusals.
    pub refused: u64,
    /// Queries without answer or refusal.
    pub failed: u64,
    /// Median latency from when a query was due.
    pub p50: Duration,
    /// 99th percentile of the latency.
    pub p99: Duration,
    /// 99.9th percentile of the latency.
    pub p999: Duration,
    /// Longest latency.
    pub longest: Duration,
    /// Mean covered fraction, 0 to 1.
    pub coverage: f64,
    /// Searches that reached searchers beyond one for each shard, as a fraction of these.
    pub extra_fraction: f64,
    /// 99th percentile of the time of a complete query above its slowest searcher's.
    pub added_p99: Duration,
    /// Median of the same.
    pub added_p50: Duration,
    /// Requests above the limit of a cold searcher.
    pub cold_excess: u64,
    /// Longest time from turning cold to a request above the limit.
    pub last_cold_excess: Duration,
    /// Processor time of the nodes for each search that reached a searcher.
    pub processor_time: Option<Duration>,
    /// Time from an accepted drain to the last start of work in the failure domain.
    pub drain_time: Option<Duration>,
    /// Fraction of answers from another than the first version.
    pub other_version_fraction: f64,
    /// When the last query served by another version was due.
    pub other_version_last: Duration,
    /// Orders sent, and those answered.
    pub orders: u64,
    /// Orders with at least one answer.
    pub orders_answered: u64,
    /// Contradictions found by the checks.
    pub faults: Vec<String>,
    /// Some of the failures, for people.
    pub failures: Vec<String>,
}

/// Most failures that are kept as text.
const KEPT_FAILURES: usize = 5;

impl CaseFigures {
    /// Figures of queries alone.
    pub fn from_outcomes(outcomes: &[QueryOutcome], hard_deadline: Duration) -> Self {
        let mut figures = Self {
            queries: outcomes.len() as u64,
            ..Default::default()
        };
        let mut latencies = LatencyHistogram::default();
        let mut covered = 0.0;
        for outcome in outcomes {
            figures.count(outcome);
            covered += outcome.coverage;
            latencies.record(match outcome.is_answered() {
                true => outcome.latency,
                false => outcome.latency.max(hard_deadline),
            });
        }
        figures.coverage = covered / outcomes.len().max(1) as f64;
        figures.p50 = latencies.quantile(0.5);
        figures.p99 = latencies.quantile(0.99);
        figures.p999 = latencies.quantile(0.999);
        figures.longest = latencies.quantile(1.0);
        figures
    }

    /// Adds the time of complete queries above their slowest searcher's.
    pub fn add_slowest(&mut self, outcomes: &[QueryOutcome], slowest: &IndexMap<String, Duration>) {
        let mut added = LatencyHistogram::default();
        for outcome in outcomes
            .iter()
            .filter(|outcome| outcome.ending == QueryEnding::Complete)
        {
            let id = outcome.request_id.as_deref().unwrap_or_default();
            if let Some(slowest) = slowest.get(id) {
                added.record(outcome.service_time.saturating_sub(*slowest));
            }
        }
        self.added_p50 = added.quantile(0.5);
        self.added_p99 = added.quantile(0.99);
    }

    /// Adds the share of answers that came from another than the first version.
    pub fn add_versions(&mut self, outcomes: &[QueryOutcome], first: &str) {
        let is_other = |outcome: &&QueryOutcome| {
            outcome
                .version
                .as_deref()
                .is_some_and(|version| version != first)
        };
        let other = outcomes.iter().filter(is_other);
        self.other_version_last = other
            .clone()
            .map(|outcome| outcome.due)
            .max()
            .unwrap_or_default();
        let answered = (self.complete + self.partial).max(1);
        self.other_version_fraction = other.count() as f64 / answered as f64;
    }

    fn count(&mut self, outcome: &QueryOutcome) {
        match &outcome.ending {
            QueryEnding::Complete => self.complete += 1,
            QueryEnding::Partial => self.partial += 1,
            QueryEnding::Refused(_) => self.refused += 1,
            QueryEnding::Failed(reason) => {
                self.failed += 1;
                if self.failures.len() < KEPT_FAILURES {
                    self.failures.push(reason.clone());
                }
            }
        }
    }
}

/// Latencies in microseconds.
struct LatencyHistogram {
    histogram: Option<Histogram<u64>>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            histogram: Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS).ok(),
        }
    }
}

impl LatencyHistogram {
    fn record(&mut self, latency: Duration) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }

    fn quantile(&self, quantile: f64) -> Duration {
        let value = self
            .histogram
            .as_ref()
            .map(|h| h.value_at_quantile(quantile));
        Duration::from_micros(value.unwrap_or_default())
    }
}
