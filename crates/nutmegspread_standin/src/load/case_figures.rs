//! Counts and latencies that one run of a case measured.

use super::query_outcome::{QueryEnding, QueryOutcome};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;
use std::time::Duration;

/// Upper bound of the histograms, in microseconds; larger latencies count as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and latencies of one run of a case.
///
/// A query without an answer counts with a coverage of 0 and a latency of at least the hard
/// deadline, so that early failures don't improve the figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CaseFigures {
    /// Queries that the schedule contained.
    pub queries: u64,
    /// Answers that cover every shard.
    pub complete: u64,
    /// Answers that list missing shards.
    pub partial: u64,
    /// Queries that the node refused.
    pub refused: u64,
    /// Queries that got neither an answer nor a refusal.
    pub failed: u64,
    /// Median latency, counted from the time at which a query was due.
    pub p50: Duration,
    /// 99th percentile of the latency.
    pub p99: Duration,
    /// 99.9th percentile of the latency.
    pub p999: Duration,
    /// Longest latency of a query.
    pub longest: Duration,
    /// Mean over all queries of the fraction of the shards that the answer covers, 0 to 1.
    pub coverage: f64,
    /// Requests that arrived at searchers divided by the required requests, minus 1.
    ///
    /// Required are one sub-request per shard of each query that wasn't refused, and one request
    /// per order.
    pub extra_fraction: f64,
    /// 99th percentile of the added time: the time of a complete query less the time of its
    /// slowest searcher.
    pub added_p99: Duration,
    /// Median of the added time (see [`added_p99`](Self::added_p99)).
    pub added_p50: Duration,
    /// Requests above the limit for a cold searcher.
    pub cold_excess: u64,
    /// Longest time from when a searcher turned cold to a request above its limit.
    pub last_cold_excess: Duration,
    /// Processor time of the nodes per request that reached a searcher; `None` if unknown.
    pub processor_time: Option<Duration>,
    /// Time from an accepted drain of a failure domain to the last start of work there.
    pub drain_time: Option<Duration>,
    /// Fraction of the answers that a version other than the service's first one gave.
    pub other_version_fraction: f64,
    /// Time at which the last query answered by another version was due, from the case's start.
    pub other_version_last: Duration,
    /// Orders sent, each idempotency key counted once.
    pub orders: u64,
    /// Orders with at least one answer.
    pub orders_answered: u64,
    /// Faults that the checks of answers, queries and orders found, as text.
    pub faults: Vec<String>,
    /// Texts of the first failed queries and of fault actions that failed.
    pub failures: Vec<String>,
}

/// Maximum number of failed queries that are kept as text.
const MAX_FAILURE_TEXTS: usize = 5;

impl CaseFigures {
    /// Computes the figures that follow from the outcomes of the queries alone.
    pub fn from_outcomes(outcomes: &[QueryOutcome], hard_deadline: Duration) -> Self {
        let mut figures = Self {
            queries: outcomes.len() as u64,
            ..Default::default()
        };
        let mut latencies = LatencyHistogram::default();
        let mut coverage_sum = 0.0;
        for outcome in outcomes {
            figures.count_ending(outcome);
            coverage_sum += outcome.coverage;
            latencies.record(match outcome.is_answered() {
                true => outcome.latency,
                false => outcome.latency.max(hard_deadline),
            });
        }
        figures.coverage = coverage_sum / outcomes.len().max(1) as f64;
        figures.p50 = latencies.quantile(0.5);
        figures.p99 = latencies.quantile(0.99);
        figures.p999 = latencies.quantile(0.999);
        figures.longest = latencies.quantile(1.0);
        figures
    }

    /// Computes the added time of complete queries.
    ///
    /// `slowest_times` holds the time of the slowest searcher by request id.
    pub fn add_added_times(
        &mut self,
        outcomes: &[QueryOutcome],
        slowest_times: &IndexMap<String, Duration>,
    ) {
        let mut added_times = LatencyHistogram::default();
        for outcome in outcomes
            .iter()
            .filter(|outcome| outcome.ending == QueryEnding::Complete)
        {
            let id = outcome.request_id.as_deref().unwrap_or_default();
            if let Some(slowest) = slowest_times.get(id) {
                added_times.record(outcome.service_time.saturating_sub(*slowest));
            }
        }
        self.added_p50 = added_times.quantile(0.5);
        self.added_p99 = added_times.quantile(0.99);
    }

    /// Computes which fraction of the answers other versions gave, and until when.
    pub fn add_other_versions(&mut self, outcomes: &[QueryOutcome], first_version: &str) {
        let is_other = |outcome: &&QueryOutcome| {
            outcome
                .version
                .as_deref()
                .is_some_and(|version| version != first_version)
        };
        let other_answers = outcomes.iter().filter(is_other);
        self.other_version_last = other_answers
            .clone()
            .map(|outcome| outcome.due)
            .max()
            .unwrap_or_default();
        let answered = (self.complete + self.partial).max(1);
        self.other_version_fraction = other_answers.count() as f64 / answered as f64;
    }

    fn count_ending(&mut self, outcome: &QueryOutcome) {
        match &outcome.ending {
            QueryEnding::Complete => self.complete += 1,
            QueryEnding::Partial => self.partial += 1,
            QueryEnding::Refused(_) => self.refused += 1,
            QueryEnding::Failed(reason) => {
                self.failed += 1;
                if self.failures.len() < MAX_FAILURE_TEXTS {
                    self.failures.push(reason.clone());
                }
            }
        }
    }
}

/// Histogram of latencies in microseconds; empty if its bounds are invalid.
struct LatencyHistogram {
    histogram: Option<Histogram<u64>>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            histogram: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok(),
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
