//! Counts of how the queries of one version ended.

use super::QueryObservation;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Latency buckets; the last one has no upper bound.
const BUCKET_COUNT: usize = 64;
/// Buckets to a doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_micros(500);

/// Counts that only grow, so that two copies merge by the larger of each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCount {
    /// Queries that ended.
    pub queries: u64,
    /// Queries that failed.
    pub errors: u64,
    /// Queries of which a target shed a part.
    pub sheds: u64,
    /// Queries by latency bucket, without trailing zeros.
    pub latencies: Vec<u64>,
}

impl OutcomeCount {
    /// Counts one query.
    pub fn record(&mut self, observation: &QueryObservation) {
        self.queries += 1;
        self.errors += u64::from(observation.failed);
        self.sheds += u64::from(observation.shed);
        let bucket = bucket_of(observation.latency);
        self.grow(bucket + 1);
        self.latencies[bucket] += 1;
    }

    /// Takes the larger of each count and returns what was added.
    pub fn merge(&mut self, other: &Self) -> Self {
        self.grow(other.latencies.len());
        let pairs = self.latencies.iter_mut().zip(&other.latencies);
        let latencies = pairs.map(|(own, new)| raise(own, *new)).collect();
        Self {
            queries: raise(&mut self.queries, other.queries),
            errors: raise(&mut self.errors, other.errors),
            sheds: raise(&mut self.sheds, other.sheds),
            latencies,
        }
    }

    /// Adds counts of other queries.
    pub fn add(&mut self, other: &Self) {
        self.queries += other.queries;
        self.errors += other.errors;
        self.sheds += other.sheds;
        self.grow(other.latencies.len());
        for (own, new) in self.latencies.iter_mut().zip(&other.latencies) {
            *own += new;
        }
    }

    /// Counts since an earlier state of the same counts.
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

    /// Bucket in which the quantile lies, 0 to 1; `None` without queries.
    pub fn quantile_bucket(&self, quantile: f64) -> Option<usize> {
        let total: u64 = self.latencies.iter().sum();
        let rank = (quantile * total as f64).ceil().max(1.0) as u64;
        let mut seen = 0;
        self.latencies.iter().position(|count| {
            seen += count;
            seen >= rank
        })
    }

    /// Queries in buckets above the given one.
    pub fn slower_than(&self, bucket: usize) -> u64 {
        self.latencies.iter().skip(bucket + 1).sum()
    }

    fn grow(&mut self, length: usize) {
        if self.latencies.len() < length {
            self.latencies.resize(length.min(BUCKET_COUNT), 0);
        }
    }
}

fn raise(own: &mut u64, new: u64) -> u64 {
    let added = new.saturating_sub(*own);
    *own += added;
    added
}

fn bucket_of(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    let bucket = (ratio.max(1.0).log2() * BUCKETS_PER_DOUBLING).ceil();
    (bucket as usize).min(BUCKET_COUNT - 1)
}
