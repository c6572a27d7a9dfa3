//! The steps of a rollout and their durations, derived from the settings.

use super::RolloutLimits;
use nutmegspread_model::{RolloutSettings, RolloutStep};
use std::time::{Duration, SystemTime};

/// The steps of a rollout and their durations.
///
/// The first step gives the new version at most the probe share, and the last one all traffic
/// except the control share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutPlan {
    steps: Vec<RolloutStep>,
    /// Minimum duration of the last step.
    hold: Duration,
    /// Time before the limit that is kept free for the confirmation of a finished rollout.
    reserve: Duration,
    control_share: f64,
}

impl RolloutPlan {
    /// Derives the steps from the settings.
    ///
    /// A first step with the probe share is added if the settings begin with a larger share, and a
    /// last step with the full share if the settings end with a smaller one.
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

    /// Share of the new version in a step, 0 to 1; the control share stays on the old version.
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

    /// Time that a step may take, if it began at `recorded_at`, so that all later steps can finish
    /// before `finish_by`.
    ///
    /// The time left beyond the minimum durations of this and all later steps is divided evenly
    /// among them.
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
