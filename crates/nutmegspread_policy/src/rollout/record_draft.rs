//! The state of the record that should come next.

use super::evidence_table::EvidenceTable;
use super::step_gate::StepGate;
use super::{BrakeReason, KnownRecord, RolloutLimits, RolloutPlan};
use nutmegspread_model::{NodeId, RolloutId, RolloutRecord, RolloutSettings, RolloutState};
use std::time::SystemTime;

/// Reason recorded when the time limit passes.
const LATE_REASON: &str = "not finished in time";

/// What a node knows when it decides on the record.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordDraft<'a> {
    /// Rollout to which the record belongs.
    pub rollout: &'a RolloutId,
    /// Its settings.
    pub settings: &'a RolloutSettings,
    /// Bounds.
    pub limits: &'a RolloutLimits,
    /// Steps and times.
    pub plan: &'a RolloutPlan,
    /// This node.
    pub node: &'a NodeId,
    /// Evidence of all nodes.
    pub table: &'a EvidenceTable,
    /// Whether the evidence speaks against the new version.
    pub has_doubt: bool,
    /// Brake, if any node braked.
    pub brake: Option<&'a BrakeReason>,
    /// Whether the time limit may have passed.
    pub is_expired: bool,
    /// Time by this node's clock.
    pub wall: SystemTime,
}

impl RecordDraft<'_> {
    /// The first state, once the platform has said that there is no record and the start has come.
    pub fn first(&self, absent: Option<SystemTime>) -> Option<RolloutRecord> {
        let confirmed = absent?;
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
            return Some(self.taken_back(&record, LATE_REASON.into()));
        }
        Some(record)
    }

    /// The state that should replace a known one; `None` when nothing is due.
    pub fn next(&self, known: &KnownRecord) -> Option<RolloutRecord> {
        let record = &known.record;
        if known.is_taken_back() || known.is_done(self.limits.clock_error) {
            return None;
        }
        if let Some(brake) = self.brake {
            return Some(self.taken_back(record, brake.to_string()));
        }
        if self.is_expired {
            return Some(self.taken_back(record, LATE_REASON.into()));
        }
        if !self.is_fresh(known.confirmed) || self.has_doubt {
            return None;
        }
        match record.state {
            RolloutState::Running => self.next_step(record),
            RolloutState::Finished => self.confirmed_done(known),
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
        if !gate.is_passed(self.wall) {
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
            ..self.signed(record)
        })
    }

    /// A finished rollout is done once it was read back in time and no brake arrived meanwhile.
    fn confirmed_done(&self, known: &KnownRecord) -> Option<RolloutRecord> {
        let record = &known.record;
        let is_in_time = known.confirmed + self.limits.done_margin <= record.finish_by;
        let is_settled = self.wall >= record.recorded_at + self.limits.confirm_delay;
        if !is_in_time || !is_settled {
            return None;
        }
        let state = RolloutState::Done {
            confirmed_at: known.confirmed,
        };
        Some(RolloutRecord {
            state,
            ..self.signed(record)
        })
    }

    fn taken_back(&self, record: &RolloutRecord, reason: String) -> RolloutRecord {
        RolloutRecord {
            state: RolloutState::TakenBack { reason },
            ..self.signed(record)
        }
    }

    fn signed(&self, record: &RolloutRecord) -> RolloutRecord {
        RolloutRecord {
            recorded_at: self.wall,
            coordinator: self.node.clone(),
            lease_until: self.wall + self.limits.lease,
            ..record.clone()
        }
    }

    fn is_fresh(&self, confirmed: SystemTime) -> bool {
        let age = self.wall.duration_since(confirmed).unwrap_or_default();
        age <= self.limits.fresh_for
    }
}
