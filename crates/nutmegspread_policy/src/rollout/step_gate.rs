//! Decides whether a rollout step has lasted long enough and has enough samples, which are queries
//! served by the new version.

use super::evidence_table::EvidenceTable;
use super::{CountPair, RolloutLimits, RolloutPlan};
use nutmegspread_model::RolloutRecord;
use std::time::{Duration, SystemTime};

/// A route with little traffic needs only this fraction of the samples that it is expected to have
/// at the sample timeout if its traffic continues at the same rate.
const EXPECTED_FRACTION: f64 = 0.5;
/// Fraction of the first step's minimum samples that is enough to advance to the next step.
const FIRST_STEP_FRACTION: f64 = 0.25;
/// A route counts as starved if it has less than this fraction of the samples expected from its
/// traffic. The rollout then does not advance, however long the step lasts.
const STARVED_FRACTION: f64 = 0.25;
/// Number of samples that may be missing by chance before a route counts as starved.
const STARVED_SLACK: f64 = 10.0;

/// Checks the duration and the samples of the current step.
///
/// Whether the new version is healthy and the record recently confirmed is checked elsewhere.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepGate<'a> {
    /// Steps of the rollout and their durations.
    pub plan: &'a RolloutPlan,
    /// Bounds and intervals that hold for every rollout.
    pub limits: &'a RolloutLimits,
    /// The rollout's newest record, which contains the current step.
    pub record: &'a RolloutRecord,
    /// Query counts of all nodes.
    pub table: &'a EvidenceTable,
}

impl StepGate<'_> {
    /// Whether the step's minimum duration is over and every route with traffic has enough samples.
    ///
    /// Missing samples delay the next step only until the sample timeout, so that a good version
    /// finishes in time with little traffic too. A version that got queries and completed none has
    /// shown nothing, so it does not advance: without answers of the old version, as while the nodes
    /// divide its targets, a version that shed everything was not worse and passed all steps.
    pub fn may_advance(&self, wall: SystemTime) -> bool {
        if self.table.is_new_unproven() {
            return false;
        }
        let elapsed = wall
            .duration_since(self.record.recorded_at)
            .unwrap_or_default();
        if elapsed < self.plan.minimum_duration(self.record.step) {
            return false;
        }
        let waits_for_samples = elapsed < self.sample_timeout();
        self.has_samples(elapsed) || (!waits_for_samples && !self.is_starved())
    }

    /// Whether the rollout no longer waits for samples in this step, so that the versions are
    /// judged by the samples gathered so far.
    pub fn is_past_sample_timeout(&self, wall: SystemTime) -> bool {
        let elapsed = wall.duration_since(self.record.recorded_at);
        elapsed.unwrap_or_default() >= self.sample_timeout()
    }

    /// Number of queries that the new version served in the step.
    pub fn sample_count(&self) -> u64 {
        self.route_counts()
            .iter()
            .map(|pair| pair.new.queries)
            .sum()
    }

    /// Time, counted from the start of the step, for which missing samples delay the next step.
    fn sample_timeout(&self) -> Duration {
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
                .all(|pair| pair.new.queries as f64 >= self.required_samples(pair, elapsed))
    }

    /// Whether, on some route, the new version serves far fewer queries than the step's share.
    ///
    /// The targets of the new version are then probably unreachable, so the rollout must not
    /// advance because of the time alone.
    fn is_starved(&self) -> bool {
        let share = self.plan.share(self.record.step);
        let is_starved = |pair: &CountPair| {
            let expected = pair.queries() as f64 * share;
            pair.new.queries as f64 + STARVED_SLACK < STARVED_FRACTION * expected
        };
        self.route_counts().iter().any(is_starved)
    }

    /// Counts of both versions on each route in the current step.
    fn route_counts(&self) -> Vec<CountPair> {
        let routes = self.table.routes();
        routes
            .iter()
            .map(|route| self.table.step_total(self.record.step, route, None))
            .collect()
    }

    /// Number of samples that one route needs, given its traffic in the step so far.
    fn required_samples(&self, pair: &CountPair, elapsed: Duration) -> f64 {
        let minimum = f64::from(self.plan.step(self.record.step).minimum_samples);
        if pair.queries() == 0 {
            return 0.0;
        }
        if self.record.step == 0 {
            return minimum * FIRST_STEP_FRACTION;
        }
        let elapsed_fraction =
            elapsed.as_secs_f64() / self.sample_timeout().as_secs_f64().max(f64::EPSILON);
        let expected = pair.queries() as f64 * self.plan.share(self.record.step);
        minimum.min(EXPECTED_FRACTION * expected / elapsed_fraction.clamp(f64::EPSILON, 1.0))
    }
}
