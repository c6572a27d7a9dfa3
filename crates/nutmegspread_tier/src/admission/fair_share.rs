//! Even admission between the sources of requests, with a bounded memory.

use crate::admission::decaying_rate::RATE_TIME;
use std::time::Duration;

/// Number of rows; each source has one bucket in each row.
const ROWS: usize = 3;
/// Number of buckets of a row.
const BUCKETS: usize = 64;
/// Bits of a source's key that choose its bucket in one row.
const ROW_BITS: u32 = 16;

/// Even admission between the sources of requests: those that ask for less than an even share get
/// all that they ask for, the others get the same amount each.
///
/// The work of the sources is counted in hashed buckets. Each source has a bucket in each row, so that
/// two sources that share one bucket rarely share all; the least crowded decides. Sources: approximate
/// fair dropping, Pan, Breslau, Prabhakar and Shenker, 2003; shuffle sharding as in the API priority
/// and fairness of Kubernetes. Admission is even between 64 sources that ask for too much; with more,
/// those that share all three buckets with a flooding one suffer with it.
#[derive(Clone, Debug)]
pub struct FairShare {
    /// Recent work by row and bucket.
    work: [[f32; BUCKETS]; ROWS],
    /// Work of a bucket in each row up to which all of it is admitted.
    limits: [f32; ROWS],
}

impl Default for FairShare {
    fn default() -> Self {
        Self {
            work: [[0.0; BUCKETS]; ROWS],
            limits: [f32::INFINITY; ROWS],
        }
    }
}

impl FairShare {
    /// Counts the work of a request of the source with this key, a hash.
    pub fn count(&mut self, source: u64, work: f64) {
        for (row, buckets) in self.work.iter_mut().enumerate() {
            buckets[bucket(source, row)] += work as f32;
        }
    }

    /// Forgets what was counted earlier, as `elapsed` has passed since the last call.
    pub fn decay(&mut self, elapsed: Duration) {
        let kept = (-elapsed.as_secs_f32() / RATE_TIME.as_secs_f32()).exp();
        for value in self.work.iter_mut().flatten() {
            *value *= kept;
        }
    }

    /// Computes the limits with which `share` of the recent work is admitted.
    pub fn divide(&mut self, share: f64) {
        for (buckets, limit) in self.work.iter().zip(&mut self.limits) {
            *limit = if share < 1.0 {
                even_limit(buckets, share as f32)
            } else {
                f32::INFINITY
            };
        }
    }

    /// Share of the requests of the source with this key that is admitted, from 0 to 1.
    pub fn share(&self, source: u64) -> f64 {
        let rows = self.work.iter().zip(&self.limits).enumerate();
        let shares = rows.map(|(row, (buckets, limit))| {
            let work = buckets[bucket(source, row)];
            if work <= *limit { 1.0 } else { limit / work }
        });
        f64::from(shares.fold(0.0, f32::max))
    }
}

fn bucket(source: u64, row: usize) -> usize {
    (source >> (ROW_BITS * row as u32)) as usize % BUCKETS
}

/// Limit for which the sum of the values, each cut at the limit, is `share` of the sum.
fn even_limit(values: &[f32], share: f32) -> f32 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f32::total_cmp);
    let mut left = share * sorted.iter().sum::<f32>();
    for (index, value) in sorted.iter().enumerate() {
        let even = left / (sorted.len() - index) as f32;
        if even <= *value {
            return even;
        }
        left -= value;
    }
    f32::INFINITY
}
