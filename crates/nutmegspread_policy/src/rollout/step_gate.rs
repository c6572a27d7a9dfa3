//! Whether a step has lasted and seen enough.

use super::evidence_table::EvidenceTable;
use super::{CountPair, RolloutLimits, RolloutPlan};
use nutmegspread_model::RolloutRecord;
use std::time::{Duration, SystemTime};

/// Part of the samples to be expected in the step's time that a quiet route must bring.
const EXPECTED_PART: f64 = 0.5;
/// Part of the first step's sample floor that lets it pass.
const FIRST_FLOOR_PART: f64 = 0.25;
/// Part of the samples to be expected below which a route with traffic holds the step up for good.
const STARVED_PART: f64 = 0.25;
/// Samples that may be missing by chance.
const STARVED_SLACK: f64 = 10.0;

/// Conditions under which a step passes, apart from health and confirmation.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepGate<'a> {
    /// Steps and times.
    pub plan: &'a RolloutPlan,
    /// Bounds.
    pub limits: &'a RolloutLimits,
    /// Record in force.
    pub record: &'a RolloutRecord,
    /// Evidence of all nodes.
    pub table: &'a EvidenceTable,
}

impl StepGate<'_> {
    /// Whether the step's least time is over and every route with traffic has its samples.
    ///
    /// Missing samples hold the step up only for the patience, so that a good version finishes in
    /// time however little traffic there is.
    pub fn is_passed(&self, wall: SystemTime) -> bool {
        let elapsed = wall
            .duration_since(self.record.recorded_at)
            .unwrap_or_default();
        if elapsed < self.plan.minimum_duration(self.record.step) {
            return false;
        }
        let is_patient = elapsed < self.patience();
        self.has_samples(elapsed) || (!is_patient && !self.is_starved())
    }

    /// Whether the step's time is used up, so that what is still in doubt has to be decided.
    pub fn is_out_of_patience(&self, wall: SystemTime) -> bool {
        let elapsed = wall.duration_since(self.record.recorded_at);
        elapsed.unwrap_or_default() >= self.patience()
    }

    /// Queries of the new version in the step.
    pub fn sample_count(&self) -> u64 {
        self.route_counts()
            .iter()
            .map(|pair| pair.new.queries)
            .sum()
    }

    fn patience(&self) -> Duration {
        let record = self.record;
        let allotted = self
            .plan
            .allotted_time(record.step, record.recorded_at, record.finish_by);
        allotted.mul_f64(self.limits.patience)
    }

    fn has_samples(&self, elapsed: Duration) -> bool {
        let counts = self.route_counts();
        let has_traffic = counts.iter().any(|pair| pair.queries() > 0);
        has_traffic
            && counts
                .iter()
                .all(|pair| pair.new.queries as f64 >= self.needed_samples(pair, elapsed))
    }

    /// Whether the new version gets far fewer queries of a route than its share.
    ///
    /// It then cannot be reached, and time alone must not let it pass.
    fn is_starved(&self) -> bool {
        let share = self.plan.share(self.record.step);
        let is_starved = |pair: &CountPair| {
            let expected = pair.queries() as f64 * share;
            pair.new.queries as f64 + STARVED_SLACK < STARVED_PART * expected
        };
        self.route_counts().iter().any(is_starved)
    }

    fn route_counts(&self) -> Vec<CountPair> {
        let routes = self.table.routes();
        routes
            .iter()
            .map(|route| self.table.step_total(self.record.step, route, None))
            .collect()
    }

    /// Samples that one route must bring, given the traffic that it has seen in the step.
    fn needed_samples(&self, pair: &CountPair, elapsed: Duration) -> f64 {
        let floor = f64::from(self.plan.step(self.record.step).minimum_samples);
        if pair.queries() == 0 {
            return 0.0;
        }
        if self.record.step == 0 {
            return floor * FIRST_FLOOR_PART;
        }
        let passed = elapsed.as_secs_f64() / self.patience().as_secs_f64().max(f64::EPSILON);
        let seen = pair.queries() as f64 * self.plan.share(self.record.step);
        floor.min(EXPECTED_PART * seen / passed.clamp(f64::EPSILON, 1.0))
    }
}
