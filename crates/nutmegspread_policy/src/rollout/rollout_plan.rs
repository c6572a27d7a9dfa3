//! Steps and times derived from the settings.

use super::RolloutLimits;
use nutmegspread_model::{RolloutSettings, RolloutStep};
use std::time::{Duration, SystemTime};

/// Steps of a rollout, the first of which exposes little, and the times that bound them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutPlan {
    steps: Vec<RolloutStep>,
    hold: Duration,
    reserve: Duration,
    control_share: f64,
}

impl RolloutPlan {
    /// Derives the steps: a first one with a small share is put in front where there is none.
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

    /// Count of steps.
    pub fn step_count(&self) -> u32 {
        u32::try_from(self.steps.len()).unwrap_or(u32::MAX)
    }

    /// Whether the step is the last one.
    pub fn is_last(&self, step: u32) -> bool {
        step + 1 >= self.step_count()
    }

    /// Settings of a step; those of the last one beyond the end.
    pub fn step(&self, step: u32) -> &RolloutStep {
        let last = self.steps.len() - 1;
        &self.steps[(step as usize).min(last)]
    }

    /// Share of the new version in a step; a small control share stays on the old one.
    pub fn share(&self, step: u32) -> f64 {
        self.step(step).share.min(1.0 - self.control_share)
    }

    /// Least time in a step; the hold period is the last step's.
    pub fn minimum_duration(&self, step: u32) -> Duration {
        let minimum = self.step(step).minimum_duration;
        if self.is_last(step) {
            minimum.max(self.hold)
        } else {
            minimum
        }
    }

    /// Time that a step may take if every later step is to have its own.
    ///
    /// What is left beyond the least times is divided evenly among the steps that remain.
    pub fn allotted_time(
        &self,
        step: u32,
        recorded_at: SystemTime,
        finish_by: SystemTime,
    ) -> Duration {
        let left = finish_by.duration_since(recorded_at).unwrap_or_default();
        let remaining = step..self.step_count();
        let least: Duration = remaining.map(|step| self.minimum_duration(step)).sum();
        let spare = left.saturating_sub(self.reserve).saturating_sub(least);
        let steps_left = self.step_count().saturating_sub(step).max(1);
        self.minimum_duration(step) + spare / steps_left
    }
}
