//! One node's own observations of one target, and the cost of an attempt on it.

use crate::{HealthOutcome, OutstandingWork, RequestCost, TargetSpeed};
use std::time::{Duration, Instant};

/// How a node averages its observations of a target, and how it computes the target's cost.
///
/// Costs are multiples of the expected latency; the target with the lowest cost gets an attempt.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Weight of the latest latency in the moving average of the latency, from 0 to 1.
    pub latency_weight: f64,
    /// Weight of the latest outcome in the moving failure rate, from 0 to 1.
    pub failure_weight: f64,
    /// Upper bound on what one answer contributes to the moving average of the latency, as a
    /// multiple of the expected latency.
    pub largest_ratio: f64,
    /// Half-life with which, without new observations, the averages return to the usual ones of the
    /// target: the expected latency at its speed, and no failures.
    pub half_life: Duration,
    /// Cost added for a failure rate of 1; a lower rate adds proportionally less.
    pub failure_cost: f64,
    /// Cost added for a target with an overdue answer.
    pub overdue_cost: f64,
    /// Cost added for a target in another failure domain than the node.
    pub distance_cost: f64,
    /// Cost added for a cold target (one that has started only a short time ago).
    pub cold_cost: f64,
    /// Cost added for a target that leaves: more than for any failure rate, less than for an overdue
    /// answer.
    pub leaving_cost: f64,
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
            leaving_cost: 30.0,
        }
    }
}

/// An attempt on the target that has not ended.
#[derive(Clone, Copy, Debug)]
struct OutstandingAttempt {
    id: u64,
    started: Instant,
    /// What was expected at the start of the attempt.
    cost: RequestCost,
    /// Number of this node's other attempts on the target at the start.
    others: u32,
    /// Age from which the answer to the attempt is overdue.
    overdue_after: Duration,
}

/// One node's own observations of one target.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    /// Moving average of the latency, as a multiple of the expected latency: 1 for a normal target.
    slowness: f64,
    /// Moving failure rate, from 0 to 1.
    failure_rate: f64,
    /// Time of the last observation; `None` before the first one.
    observed: Option<Instant>,
    outstanding: Vec<OutstandingAttempt>,
    /// Estimated work of this node and of others at the target.
    work: OutstandingWork,
    /// How much longer or shorter than others the target works.
    speed: TargetSpeed,
    /// Id of the next attempt.
    next_id: u64,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            failure_rate: 0.0,
            observed: None,
            outstanding: Vec::new(),
            work: OutstandingWork::default(),
            speed: TargetSpeed::default(),
            next_id: 0,
        }
    }
}

impl TargetHealth {
    /// Records the start of an attempt and returns the attempt's id.
    ///
    /// `cost` is what is expected of a normal target. The answer counts as overdue once the attempt
    /// has been unanswered for longer than `overdue_after`.
    pub fn start(
        &mut self,
        now: Instant,
        cost: impl Into<RequestCost>,
        overdue_after: Duration,
    ) -> u64 {
        let cost = cost.into();
        let id = self.next_id;
        let others = self.work.attempts();
        self.work.start(&cost);
        self.next_id += 1;
        self.outstanding.push(OutstandingAttempt {
            id,
            started: now,
            cost,
            others,
            overdue_after,
        });
        id
    }

    /// Records the outcome of the attempt with this id; an unknown id is ignored.
    pub fn finish(
        &mut self,
        settings: &HealthSettings,
        now: Instant,
        id: u64,
        outcome: HealthOutcome,
    ) {
        let Some(index) = self.outstanding.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let attempt = self.outstanding.swap_remove(index);
        self.work.finish(&attempt.cost);
        let kept = self.kept(settings, now);
        let (slowness, failure_rate) = self.decayed_averages(kept);
        self.observed = Some(now);
        self.slowness = slowness;
        self.failure_rate = failure_rate;
        self.work.decay(kept);
        match outcome {
            HealthOutcome::Answered => {
                let expected = attempt.cost.latency.as_secs_f64().max(1e-4);
                let taken = now.saturating_duration_since(attempt.started).as_secs_f64();
                let ratio = (taken / expected).min(settings.largest_ratio);
                self.slowness += settings.latency_weight * (ratio - slowness);
                let excess = (ratio - self.speed.factor()) * expected;
                self.work.add_excess(excess, settings.latency_weight);
                if attempt.others == 0 {
                    self.speed.add(ratio);
                }
                self.failure_rate -= settings.failure_weight * failure_rate;
            }
            HealthOutcome::Failed => {
                self.failure_rate += settings.failure_weight * (1.0 - failure_rate);
            }
            // Shedding counts half as much as a failure.
            HealthOutcome::Shed => {
                self.failure_rate += 0.5 * settings.failure_weight * (1.0 - failure_rate);
            }
            HealthOutcome::Late | HealthOutcome::Cancelled => {}
        }
    }

    /// Whether the answer to any attempt is overdue, for example because the target is paused, cut
    /// off from the node or gone.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.outstanding
            .iter()
            .any(|attempt| now.saturating_duration_since(attempt.started) > attempt.overdue_after)
    }

    /// Age of the oldest unanswered attempt; 0 if there is none.
    pub fn oldest_age(&self, now: Instant) -> Duration {
        self.outstanding
            .iter()
            .map(|attempt| now.saturating_duration_since(attempt.started))
            .max()
            .unwrap_or_default()
    }

    /// Whether the target had a free slot for the attempt with this id when it was started, as far as
    /// this node's own attempts tell.
    pub fn met_no_queue(&self, id: u64, slots: u32) -> bool {
        let mut attempts = self.outstanding.iter();
        attempts.any(|attempt| attempt.id == id && attempt.others < slots)
    }

    /// Factor on the time that a normal target takes for the same request.
    pub fn speed(&self) -> f64 {
        self.speed.factor()
    }

    /// Cost of one more attempt on the target, as a multiple of the expected latency; the target
    /// with the lowest cost should get the attempt. `request` is what is expected of the attempt.
    /// `slots` is the number of requests that the target processes concurrently; `is_near` says
    /// whether the target is in the node's own failure domain.
    pub fn cost(
        &self,
        settings: &HealthSettings,
        now: Instant,
        request: &RequestCost,
        slots: u32,
        is_near: bool,
        is_cold: bool,
    ) -> f64 {
        let kept = self.kept(settings, now);
        let (_, failure_rate) = self.decayed_averages(kept);
        let speed = self.speed.factor();
        let slowness = speed + self.work.excess(request, self.slowness - speed, kept);
        let load = self.work.load(request, slots);
        let mut cost = slowness * (1.0 + load) + settings.failure_cost * failure_rate;
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

    /// Part of the averages' distance from the usual ones that is left at `now`.
    fn kept(&self, settings: &HealthSettings, now: Instant) -> f64 {
        self.observed.map_or(1.0, |observed| {
            let age = now.saturating_duration_since(observed).as_secs_f64();
            0.5_f64.powf(age / settings.half_life.as_secs_f64())
        })
    }

    /// Returns `slowness` and `failure_rate` of which the part `kept` is left: they decay towards the
    /// target's speed and 0 with the time since the last observation.
    fn decayed_averages(&self, kept: f64) -> (f64, f64) {
        let speed = self.speed.factor();
        let slowness = speed + (self.slowness - speed) * kept;
        (slowness, self.failure_rate * kept)
    }
}
