//! One node's own observations of one target.

use crate::HealthOutcome;
use std::time::{Duration, Instant};

/// Weights of the observations.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Weight of the newest latency in the moving average.
    pub latency_weight: f64,
    /// Weight of the newest outcome in the moving failure rate.
    pub failure_weight: f64,
    /// Largest multiple of the expected latency that one answer counts for.
    pub largest_ratio: f64,
    /// Time after which half of an old impression is gone.
    pub half_life: Duration,
    /// Cost of a target that fails every request, in expected latencies.
    pub failure_cost: f64,
    /// Cost of a target with an overdue answer, in expected latencies.
    pub overdue_cost: f64,
    /// Cost of a target in another failure domain, in expected latencies.
    pub distance_cost: f64,
    /// Cost of a target that says it is cold, in expected latencies.
    pub cold_cost: f64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            latency_weight: 0.2,
            failure_weight: 0.3,
            largest_ratio: 5.0,
            half_life: Duration::from_millis(1500),
            failure_cost: 20.0,
            overdue_cost: 40.0,
            distance_cost: 0.15,
            cold_cost: 0.6,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OutstandingSend {
    id: u64,
    started: Instant,
    expected: Duration,
    overdue: Duration,
}

/// One node's own observations of one target.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    /// Latency as a multiple of what the route usually takes.
    slowness: f64,
    /// Moving failure rate, 0 to 1.
    failures: f64,
    observed: Option<Instant>,
    outstanding: Vec<OutstandingSend>,
    next_id: u64,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            failures: 0.0,
            observed: None,
            outstanding: Vec::new(),
            next_id: 0,
        }
    }
}

impl TargetHealth {
    /// Notes a send and returns its id.
    ///
    /// `expected` is the usual latency; past `overdue` the target counts as paused or gone.
    pub fn start(&mut self, now: Instant, expected: Duration, overdue: Duration) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.outstanding.push(OutstandingSend {
            id,
            started: now,
            expected,
            overdue,
        });
        id
    }

    /// Notes the end of a send.
    pub fn finish(
        &mut self,
        settings: &HealthSettings,
        now: Instant,
        id: u64,
        outcome: HealthOutcome,
    ) {
        let Some(index) = self.outstanding.iter().position(|send| send.id == id) else {
            return;
        };
        let send = self.outstanding.swap_remove(index);
        let (slowness, failures) = self.impression(settings, now);
        self.observed = Some(now);
        self.slowness = slowness;
        self.failures = failures;
        match outcome {
            HealthOutcome::Answered => {
                let expected = send.expected.as_secs_f64().max(1e-4);
                let taken = now.saturating_duration_since(send.started).as_secs_f64();
                let ratio = (taken / expected).min(settings.largest_ratio);
                self.slowness += settings.latency_weight * (ratio - slowness);
                self.failures -= settings.failure_weight * failures;
            }
            HealthOutcome::Failed => {
                self.failures += settings.failure_weight * (1.0 - failures);
            }
            HealthOutcome::Shed => {
                self.failures += 0.5 * settings.failure_weight * (1.0 - failures);
            }
            HealthOutcome::Cancelled => {}
        }
    }

    /// Whether an answer is overdue, the sign of a target that is paused, cut off or gone.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.outstanding
            .iter()
            .any(|send| now.saturating_duration_since(send.started) > send.overdue)
    }

    /// Age of the oldest send without an answer.
    pub fn oldest_age(&self, now: Instant) -> Duration {
        self.outstanding
            .iter()
            .map(|send| now.saturating_duration_since(send.started))
            .max()
            .unwrap_or_default()
    }

    /// Expected cost of one more send, in usual latencies; the smallest is chosen.
    pub fn cost(
        &self,
        settings: &HealthSettings,
        now: Instant,
        slots: u32,
        is_near: bool,
        is_cold: bool,
    ) -> f64 {
        let (slowness, failures) = self.impression(settings, now);
        let load = self.outstanding.len() as f64 / f64::from(slots.max(1));
        let mut cost = slowness * (1.0 + load) + settings.failure_cost * failures;
        if self.is_overdue(now) {
            cost += settings.overdue_cost + self.oldest_age(now).as_secs_f64();
        }
        if !is_near {
            cost += settings.distance_cost;
        }
        if is_cold {
            cost += settings.cold_cost;
        }
        cost
    }

    fn impression(&self, settings: &HealthSettings, now: Instant) -> (f64, f64) {
        let Some(observed) = self.observed else {
            return (self.slowness, self.failures);
        };
        let age = now.saturating_duration_since(observed).as_secs_f64();
        let kept = 0.5_f64.powf(age / settings.half_life.as_secs_f64());
        (1.0 + (self.slowness - 1.0) * kept, self.failures * kept)
    }
}
