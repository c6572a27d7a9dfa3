//! Computes the next state of the rollout record.

use super::evidence_table::EvidenceTable;
use super::step_gate::StepGate;
use super::{BrakeReason, KnownRecord, RolloutLimits, RolloutPlan};
use nutmegspread_model::{NodeId, RolloutId, RolloutRecord, RolloutSettings, RolloutState};
use std::time::SystemTime;

/// Reason stored in the record when the rollout is rolled back at its time limit.
const TIME_LIMIT_REASON: &str = "not finished in time";

/// Computes the next state of a rollout's record from what one node knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordProposer<'a> {
    /// The rollout to which the record belongs.
    pub rollout: &'a RolloutId,
    /// Settings of the rollout.
    pub settings: &'a RolloutSettings,
    /// Bounds and intervals that hold for every rollout.
    pub limits: &'a RolloutLimits,
    /// Steps of the rollout and their durations.
    pub plan: &'a RolloutPlan,
    /// The node that would write the record.
    pub node: &'a NodeId,
    /// Query counts of all nodes.
    pub table: &'a EvidenceTable,
    /// Whether the counts suggest that the new version is worse. The rollout then does not advance,
    /// but the suspicion alone is too weak for a brake.
    pub has_doubt: bool,
    /// Why a node set the brake, which stops the new version's traffic on every node; `None` if no
    /// node did.
    pub brake: Option<&'a BrakeReason>,
    /// Whether the time limit may have passed on some node's clock.
    pub is_expired: bool,
    /// Wall-clock time of this node.
    pub wall: SystemTime,
}

impl RecordProposer<'_> {
    /// Returns the first record of the rollout; `None` before the rollout's start time.
    ///
    /// `absent_at` is when the platform last confirmed that it has no record. Without such a
    /// confirmation, or if it is too old, the result is `None` too.
    pub fn first_record(&self, absent_at: Option<SystemTime>) -> Option<RolloutRecord> {
        let confirmed = absent_at?;
        if self.wall < self.settings.start || !self.is_fresh(confirmed) {
            return None;
        }
        let record = RolloutRecord {
            rollout: self.rollout.clone(),
            state: RolloutState::Running,
            step: 0,
            recorded_at: self.wall,
            finish_by: self.settings.finish_by,
            samples: 0,
            coordinator: self.node.clone(),
            lease_until: self.wall + self.limits.lease,
        };
        if self.is_expired {
            return Some(self.rolled_back(&record, TIME_LIMIT_REASON.into()));
        }
        Some(record)
    }

    /// Returns the record that should replace a known one; `None` if no change is due.
    pub fn next_record(&self, known: &KnownRecord) -> Option<RolloutRecord> {
        let record = &known.record;
        if known.is_rolled_back() || known.is_done(self.limits.clock_error) {
            return None;
        }
        if let Some(brake) = self.brake {
            return Some(self.rolled_back(record, brake.to_string()));
        }
        if self.is_expired {
            return Some(self.rolled_back(record, TIME_LIMIT_REASON.into()));
        }
        if !self.is_fresh(known.confirmed) || self.has_doubt {
            return None;
        }
        match record.state {
            RolloutState::Running => self.next_step(record),
            RolloutState::Finished => self.done_record(known),
            RolloutState::Done { .. } | RolloutState::TakenBack { .. } => None,
        }
    }

    fn next_step(&self, record: &RolloutRecord) -> Option<RolloutRecord> {
        let gate = StepGate {
            plan: self.plan,
            limits: self.limits,
            record,
            table: self.table,
        };
        if !gate.may_advance(self.wall) {
            return None;
        }
        let is_last = self.plan.is_last(record.step);
        let state = if is_last {
            RolloutState::Finished
        } else {
            RolloutState::Running
        };
        Some(RolloutRecord {
            state,
            step: record.step + u32::from(!is_last),
            samples: gate.sample_count(),
            ..self.renewed(record)
        })
    }

    /// Returns the record that declares a finished rollout done; `None` if that is not allowed yet.
    ///
    /// The platform must have confirmed the finished record at least `done_margin` before the time
    /// limit. Also, `confirm_delay` must have passed since the rollout finished, so that brakes set
    /// by other nodes can arrive first.
    fn done_record(&self, known: &KnownRecord) -> Option<RolloutRecord> {
        let record = &known.record;
        let is_confirmed_in_time = known.confirmed + self.limits.done_margin <= record.finish_by;
        let is_confirm_delay_over = self.wall >= record.recorded_at + self.limits.confirm_delay;
        if !is_confirmed_in_time || !is_confirm_delay_over {
            return None;
        }
        let state = RolloutState::Done {
            confirmed_at: known.confirmed,
        };
        Some(RolloutRecord {
            state,
            ..self.renewed(record)
        })
    }

    fn rolled_back(&self, record: &RolloutRecord, reason: String) -> RolloutRecord {
        RolloutRecord {
            state: RolloutState::TakenBack { reason },
            ..self.renewed(record)
        }
    }

    /// Copies a record, with this node as coordinator (the writer, which holds the lease) and a new
    /// lease.
    fn renewed(&self, record: &RolloutRecord) -> RolloutRecord {
        RolloutRecord {
            recorded_at: self.wall,
            coordinator: self.node.clone(),
            lease_until: self.wall + self.limits.lease,
            ..record.clone()
        }
    }

    /// Whether a confirmation by the platform is recent enough to let the rollout start or advance.
    fn is_fresh(&self, confirmed: SystemTime) -> bool {
        let age = self.wall.duration_since(confirmed).unwrap_or_default();
        age <= self.limits.fresh_for
    }
}
