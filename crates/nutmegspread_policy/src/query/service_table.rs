//! What a node has observed of one service. All queries of the service on this node share it.

use super::ExtraBudget;
use super::latency_window::LatencyWindow;
use super::target_observation::TargetObservation;
use indexmap::IndexMap;
use nutmegspread_model::{AttemptId, MonotonicTime, ServiceSettings, TargetId};
use std::time::Duration;

/// While too few latencies are known for a quantile, an attempt may be hedged after the soft
/// deadline divided by this number.
const UNKNOWN_DELAY_DIVISOR: u32 = 4;

/// What one node has observed of the targets of one service, the latencies of its attempts and the
/// budget of its extra attempts. The table also assigns the attempt ids of the service.
#[derive(Clone, Debug)]
pub struct ServiceTable {
    next_attempt: AttemptId,
    targets: IndexMap<TargetId, TargetObservation>,
    latencies: LatencyWindow,
    /// Budget of hedges and retries.
    pub budget: ExtraBudget,
}

impl ServiceTable {
    /// Creates a table whose attempt ids start at `first_attempt`. The caller must ensure that the
    /// id ranges of different services don't overlap.
    pub fn new(first_attempt: AttemptId) -> Self {
        Self {
            next_attempt: first_attempt,
            targets: IndexMap::new(),
            latencies: LatencyWindow::new(),
            budget: ExtraBudget::default(),
        }
    }

    /// What was observed of a target; `None` before the first attempt to it.
    pub fn observation(&self, target: &TargetId) -> Option<&TargetObservation> {
        self.targets.get(target)
    }

    /// Removes the observations of targets for which `keep` returns false, except those with
    /// unanswered attempts.
    pub fn retain_targets(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.targets
            .retain(|target, observation| keep(target) || observation.in_flight > 0);
    }

    /// Time after which an unanswered attempt may be hedged.
    pub fn hedge_delay(&mut self, now: MonotonicTime, settings: &ServiceSettings) -> Duration {
        let budget_policy = &settings.budget;
        let measured = self.latencies.quantile(now, budget_policy.hedge_quantile);
        let fallback = settings.coverage.soft_deadline / UNKNOWN_DELAY_DIVISOR;
        measured
            .unwrap_or(fallback)
            .max(budget_policy.minimum_hedge_delay)
    }

    pub(super) fn allocate_attempt(&mut self) -> AttemptId {
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
