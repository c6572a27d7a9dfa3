//! Estimate of the time that a target works on requests of one kind.

use std::time::{Duration, Instant};

/// Weight of an answer in the moving mean, once there are enough answers.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
/// Weight of an answer in the moving mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 16.0;
/// Number of answers below which there is no estimate.
const MINIMUM_SAMPLES: u32 = 20;
/// Number of mean deviations above the mean at which an answer is cut off. Targets pause for ten
/// times the cost of short requests, so that whole pauses would decide the mean.
const LARGEST_DEVIATIONS: f64 = 4.0;
/// Factor by which the mean may rise in a second. Queues that other nodes cause look like higher
/// costs; in a flood of ten seconds they raise the estimate by 1.6 at most.
const LARGEST_RISE: f64 = 1.05;

/// Estimate of the time that a target works on requests of one kind: the moving mean and the moving
/// mean deviation of the times of answers.
///
/// Source: the round-trip time estimator of V. Jacobson, "Congestion Avoidance and Control", 1988.
#[derive(Clone, Debug, Default)]
pub struct CostEstimate {
    /// Moving mean in seconds.
    mean: f64,
    /// Moving mean deviation in seconds.
    deviation: f64,
    samples: u32,
    /// Mean at the start of the current second and the time of this start, which limit the rise.
    base: Option<(f64, Instant)>,
}

impl CostEstimate {
    /// Adds the time from sending an attempt to its answer. Only answers that met no queue state the
    /// cost; the caller leaves out those that waited behind other attempts of its own.
    pub fn add(&mut self, now: Instant, taken: Duration) {
        let taken = taken.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples <= MINIMUM_SAMPLES {
            let count = f64::from(self.samples);
            self.deviation += ((taken - self.mean).abs() - self.deviation) / count;
            self.mean += (taken - self.mean) / count;
            self.base = Some((self.mean, now));
            return;
        }
        let taken = taken.min(self.mean + LARGEST_DEVIATIONS * self.deviation);
        let error = taken - self.mean;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
        self.mean = (self.mean + MEAN_WEIGHT * error).min(self.highest_mean(now));
    }

    /// The mean; `None` while there are too few answers.
    pub fn mean(&self) -> Option<Duration> {
        (self.samples >= MINIMUM_SAMPLES).then(|| Duration::from_secs_f64(self.mean.max(0.0)))
    }

    /// The mean deviation; `None` while there are too few answers.
    pub fn deviation(&self) -> Option<Duration> {
        (self.samples >= MINIMUM_SAMPLES).then(|| Duration::from_secs_f64(self.deviation))
    }

    /// Returns the upper bound on the mean at `now`, and starts another second if one has passed.
    fn highest_mean(&mut self, now: Instant) -> f64 {
        let (base, since) = self.base.unwrap_or((self.mean, now));
        let age = now.saturating_duration_since(since).as_secs_f64();
        let limit = base * LARGEST_RISE.powf(age.max(1.0));
        if age >= 1.0 {
            self.base = Some((self.mean.min(limit), now));
        }
        limit
    }
}
