//! The fractions of queries that one node gives to the new version of a rollout (its traffic
//! shares), and the status of the rollout.

use super::{RolloutPolicy, RolloutStatement, StatementState};
use nutmegspread_model::RolloutState;
use std::time::SystemTime;

impl RolloutPolicy {
    /// Fraction of queries that the new version gets, 0 to 1, on routes without a fraction of their
    /// own (see [`Self::route_share`]).
    pub fn share(&self, wall: SystemTime) -> f64 {
        let Some(known) = &self.known else {
            return 0.0;
        };
        if self.brake.is_some() || known.is_rolled_back() {
            return 0.0;
        }
        if known.is_done(self.limits.clock_error) {
            return 1.0;
        }
        if self.is_expired(wall) {
            return 0.0;
        }
        self.plan.share(known.record.step)
    }

    /// Fraction of the route's queries that the new version gets, 0 to 1.
    ///
    /// The result differs from [`Self::share`] only in the first step, in which the number of
    /// queries that the new version gets on the route is limited too.
    pub fn route_share(&self, route: &str, wall: SystemTime) -> f64 {
        let share = self.share(wall);
        let Some(known) = &self.known else {
            return 0.0;
        };
        let is_running = known.record.state == RolloutState::Running;
        if share == 0.0 || !is_running || known.record.step > 0 {
            return share;
        }
        let step = self.plan.step(0);
        let elapsed = wall.duration_since(known.record.recorded_at);
        let elapsed_fraction = elapsed.unwrap_or_default().as_secs_f64()
            / step.minimum_duration.as_secs_f64().max(f64::EPSILON);
        let node_samples = f64::from(step.minimum_samples) / self.member_count() as f64;
        self.budget
            .share(route, share, node_samples, elapsed_fraction)
    }

    /// Status of the rollout, as far as this node knows.
    ///
    /// The states `Done`, `DoneButStopped` and `TakenBack` are reported only if the known record
    /// has the matching state.
    pub fn statement(&self, wall: SystemTime) -> RolloutStatement {
        let known = self.known.as_ref();
        RolloutStatement {
            rollout: self.rollout.clone(),
            state: self.statement_state(wall),
            step: known.map_or(0, |known| known.record.step + 1),
            step_count: self.plan.step_count(),
            share: self.share(wall),
            confirmed: known.map(|known| known.confirmed),
            brake: self.brake.clone(),
            reason: known.and_then(|known| match &known.record.state {
                RolloutState::TakenBack { reason } => Some(reason.clone()),
                _ => None,
            }),
        }
    }

    fn statement_state(&self, wall: SystemTime) -> StatementState {
        let is_stopped = self.brake.is_some() || self.is_expired(wall);
        match &self.known {
            Some(known) if known.is_rolled_back() => StatementState::TakenBack,
            Some(known) if known.is_done(self.limits.clock_error) => {
                if self.brake.is_some() {
                    StatementState::DoneButStopped
                } else {
                    StatementState::Done
                }
            }
            _ if is_stopped => StatementState::StoppedNotRecorded,
            Some(_) => StatementState::Running,
            None => StatementState::Planned,
        }
    }
}
