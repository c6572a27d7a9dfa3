//! Rollouts: steps, evidence, brakes and statements.

mod count_pair;
mod evidence_key;
mod evidence_table;
mod excess_test;
mod exposure_budget;
mod known_record;
mod node_evidence;
mod outcome_count;
mod pending_write;
mod query_observation;
mod record_coordinator;
mod record_draft;
mod rollout_brake;
mod rollout_input;
mod rollout_limits;
mod rollout_output;
mod rollout_plan;
mod rollout_policy;
mod rollout_share;
mod rollout_statement;
mod step_gate;
mod version_judge;

pub use count_pair::CountPair;
pub use evidence_key::EvidenceKey;
pub use known_record::KnownRecord;
pub use node_evidence::NodeEvidence;
pub use outcome_count::OutcomeCount;
pub use query_observation::QueryObservation;
pub use rollout_brake::{BrakeReason, BrakeSet, ExcessMeasure};
pub use rollout_input::{RolloutInput, WriteOutcome};
pub use rollout_limits::RolloutLimits;
pub use rollout_output::{RolloutAction, RolloutOutput};
pub use rollout_plan::RolloutPlan;
pub use rollout_policy::RolloutPolicy;
pub use rollout_statement::{RolloutStatement, StatementState};
