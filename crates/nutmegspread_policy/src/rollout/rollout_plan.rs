//! The steps of a rollout and their durations, derived from the settings.

use super::RolloutLimits;
use nutmegspread_model::{RolloutSettings, RolloutStep};
use std::time::{Duration, SystemTime};

/// The steps of a rollout and their durations.
///
/// The first step gives the new version at most the probe share of the queries (see
/// [`RolloutLimits::probe_share`]). The last step gives it all queries except the control share,
/// which stays on the old version for comparison.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutPlan {
    steps: Vec<RolloutStep>,
    /// Minimum duration of the last step.
    hold: Duration,
    /// Time between the end of the last step and the rollout's time limit, in which the platform
    /// confirms the rollout as finished and nodes record it as done.
    reserve: Duration,
    /// Fraction of queries that stay on the old version in every step, 0 to 1.
    control_share: f64,
}

impl RolloutPlan {
    /// Derives the steps from the settings.
    ///
    /// If the first step in the settings exceeds the probe share, a step with the probe share is
    /// added before it. If the last one is below a share of 1, a step with a share of 1 is added
    /// after it.
    pub fn new(settings: &RolloutSettings, limits: &RolloutLimits) -> Self {
        let mut steps = settings.steps.clone();
        let first = steps.first().cloned().unwrap_or_default();
        if first.share > limits.probe_share {
            let share = limits.probe_share;
            steps.insert(0, RolloutStep { share, ..first });
        }
        if steps.last().is_none_or(|step| step.share < 1.0) {
            steps.push(RolloutStep {
                share: 1.0,
                ..RolloutStep::default()
            });
        }
        Self {
            steps,
            hold: settings.hold,
            reserve: limits.clock_error + limits.done_margin + limits.confirm_delay * 2,
            control_share: limits.control_share,
        }
    }

    /// Number of steps.
    pub fn step_count(&self) -> u32 {
        u32::try_from(self.steps.len()).unwrap_or(u32::MAX)
    }

    /// Whether the step of this index is the last one or beyond it.
    pub fn is_last(&self, step: u32) -> bool {
        step + 1 >= self.step_count()
    }

    /// Settings of the step of this index; those of the last step for an index beyond it.
    pub fn step(&self, step: u32) -> &RolloutStep {
        let last = self.steps.len() - 1;
        &self.steps[(step as usize).min(last)]
    }

    /// Fraction of queries that the new version gets in a step, 0 to 1; at least the control share
    /// stays on the old version.
    pub fn share(&self, step: u32) -> f64 {
        self.step(step).share.min(1.0 - self.control_share)
    }

    /// Minimum duration of a step; the last step lasts at least the hold period.
    pub fn minimum_duration(&self, step: u32) -> Duration {
        let minimum = self.step(step).minimum_duration;
        if self.is_last(step) {
            minimum.max(self.hold)
        } else {
            minimum
        }
    }

    /// Time that a step may take if it began at `recorded_at` and all later steps are to end before
    /// `finish_by`: the step's minimum duration plus an equal part of the spare time.
    ///
    /// The spare time is what is left until `finish_by` after the minimum durations of this step
    /// and all later ones, and after the reserve for recording the rollout as done.
    pub fn allotted_time(
        &self,
        step: u32,
        recorded_at: SystemTime,
        finish_by: SystemTime,
    ) -> Duration {
        let time_left = finish_by.duration_since(recorded_at).unwrap_or_default();
        let remaining = step..self.step_count();
        let minimum_total: Duration = remaining.map(|step| self.minimum_duration(step)).sum();
        let spare = time_left
            .saturating_sub(self.reserve)
            .saturating_sub(minimum_total);
        let steps_left = self.step_count().saturating_sub(step).max(1);
        self.minimum_duration(step) + spare / steps_left
    }
}
