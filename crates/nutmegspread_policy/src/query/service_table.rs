//! What a node has seen of one service, shared by all of its queries.

use super::ExtraBudget;
use super::latency_window::LatencyWindow;
use super::target_observation::TargetObservation;
use indexmap::IndexMap;
use nutmegspread_model::{AttemptId, MonotonicTime, ServiceSettings, TargetId};
use std::time::Duration;

/// Part of the soft deadline after which a hedge may start while no quantile is known.
const UNKNOWN_DELAY_DIVISOR: u32 = 4;

/// Attempt ids, observations of targets, latencies and the budget of extra attempts.
#[derive(Clone, Debug)]
pub struct ServiceTable {
    next_attempt: AttemptId,
    targets: IndexMap<TargetId, TargetObservation>,
    latencies: LatencyWindow,
    /// Budget of hedges and retries.
    pub budget: ExtraBudget,
}

impl ServiceTable {
    /// A table whose attempt ids start at `first_attempt`; the caller keeps the ranges of
    /// services apart.
    pub fn new(first_attempt: AttemptId) -> Self {
        Self {
            next_attempt: first_attempt,
            targets: IndexMap::new(),
            latencies: LatencyWindow::new(),
            budget: ExtraBudget::default(),
        }
    }

    /// What was seen of a target.
    pub fn observation(&self, target: &TargetId) -> Option<&TargetObservation> {
        self.targets.get(target)
    }

    /// Forgets targets that are no longer in the configuration.
    pub fn retain_targets(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.targets
            .retain(|target, seen| keep(target) || seen.in_flight > 0);
    }

    /// Time after which an attempt without reply may be hedged.
    pub fn hedge_delay(&mut self, now: MonotonicTime, settings: &ServiceSettings) -> Duration {
        let policy = &settings.budget;
        let measured = self.latencies.quantile(now, policy.hedge_quantile);
        let unknown = settings.coverage.soft_deadline / UNKNOWN_DELAY_DIVISOR;
        measured.unwrap_or(unknown).max(policy.minimum_hedge_delay)
    }

    pub(super) fn take_attempt(&mut self) -> AttemptId {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        attempt
    }

    pub(super) fn observation_mut(&mut self, target: &TargetId) -> &mut TargetObservation {
        if !self.targets.contains_key(target) {
            self.targets
                .insert(target.clone(), TargetObservation::default());
        }
        &mut self.targets[target]
    }

    pub(super) fn record_latency(&mut self, target: &TargetId, latency: Duration) {
        self.latencies.record(latency);
        self.observation_mut(target).add_latency(latency);
    }
}
