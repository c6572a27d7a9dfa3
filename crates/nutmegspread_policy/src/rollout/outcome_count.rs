//! Counts of the outcomes and latencies of one version's queries.

use super::QueryObservation;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of latency buckets; the last one has no upper bound.
const BUCKET_COUNT: usize = 64;
/// Number of buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Upper latency bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_micros(500);

/// Counts of query outcomes.
///
/// Each count only grows, so of two copies of the same counts the larger value of each count is the
/// newer one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCount {
    /// Number of queries that ended, including failed ones.
    pub queries: u64,
    /// Number of queries that failed.
    pub errors: u64,
    /// Number of queries for which targets shed (rejected because of overload) at least one
    /// request.
    pub sheds: u64,
    /// Number of queries in each latency bucket. Buckets after the last stored one are empty.
    pub latencies: Vec<u64>,
}

impl OutcomeCount {
    /// Counts one query that has ended.
    pub fn record(&mut self, observation: &QueryObservation) {
        self.queries += 1;
        self.errors += u64::from(observation.failed);
        self.sheds += u64::from(observation.shed);
        let bucket = latency_bucket(observation.latency);
        self.extend_buckets(bucket + 1);
        self.latencies[bucket] += 1;
    }

    /// Merges another copy of the same counts: raises each count to the larger of the two values,
    /// and returns the increases.
    pub fn merge(&mut self, other: &Self) -> Self {
        self.extend_buckets(other.latencies.len());
        let pairs = self.latencies.iter_mut().zip(&other.latencies);
        let latencies = pairs.map(|(own, new)| raise_to(own, *new)).collect();
        Self {
            queries: raise_to(&mut self.queries, other.queries),
            errors: raise_to(&mut self.errors, other.errors),
            sheds: raise_to(&mut self.sheds, other.sheds),
            latencies,
        }
    }

    /// Adds the counts of other queries; no query may be in both sets.
    pub fn add(&mut self, other: &Self) {
        self.queries += other.queries;
        self.errors += other.errors;
        self.sheds += other.sheds;
        self.extend_buckets(other.latencies.len());
        for (own, new) in self.latencies.iter_mut().zip(&other.latencies) {
            *own += new;
        }
    }

    /// Returns the increase of each count since an earlier copy of the same counts.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut latencies = self.latencies.clone();
        for (own, old) in latencies.iter_mut().zip(&earlier.latencies) {
            *own = own.saturating_sub(*old);
        }
        Self {
            queries: self.queries.saturating_sub(earlier.queries),
            errors: self.errors.saturating_sub(earlier.errors),
            sheds: self.sheds.saturating_sub(earlier.sheds),
            latencies,
        }
    }

    /// Index of the latency bucket that contains the quantile `quantile` (0 to 1) of all latencies;
    /// `None` without queries.
    pub fn quantile_bucket(&self, quantile: f64) -> Option<usize> {
        let total: u64 = self.latencies.iter().sum();
        let rank = (quantile * total as f64).ceil().max(1.0) as u64;
        let mut cumulative = 0;
        self.latencies.iter().position(|count| {
            cumulative += count;
            cumulative >= rank
        })
    }

    /// Number of queries in the buckets above the given one.
    pub fn slower_than(&self, bucket: usize) -> u64 {
        self.latencies.iter().skip(bucket + 1).sum()
    }

    fn extend_buckets(&mut self, length: usize) {
        if self.latencies.len() < length {
            self.latencies.resize(length.min(BUCKET_COUNT), 0);
        }
    }
}

fn raise_to(own: &mut u64, new: u64) -> u64 {
    let added = new.saturating_sub(*own);
    *own += added;
    added
}

fn latency_bucket(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    let bucket = (ratio.max(1.0).log2() * BUCKETS_PER_DOUBLING).ceil();
    (bucket as usize).min(BUCKET_COUNT - 1)
}
