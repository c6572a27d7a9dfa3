//! Rollouts: the stepwise move of a service's traffic from an old version to a new one.
//!
//! The state of a rollout is one record (an object) in the platform: the current step, and whether
//! the rollout is running, finished (its last step is over), done or rolled back. Nodes read and
//! write the record; the platform confirms a record by answering such a read or write.
//!
//! Nodes exchange query counts of both versions (evidence). When the counts show that the new
//! version is bad, a node sets a brake: a mark that stops the version's traffic on every node that
//! receives it, also while the platform is unavailable.

mod count_pair;
mod evidence_key;
mod evidence_table;
mod exposure_budget;
mod known_record;
mod node_evidence;
mod outcome_count;
mod pending_write;
mod query_observation;
mod record_coordinator;
mod record_proposer;
mod rollout_brake;
mod rollout_gossip;
mod rollout_input;
mod rollout_limits;
mod rollout_output;
mod rollout_plan;
mod rollout_policy;
mod rollout_share;
mod rollout_statement;
mod rollout_table;
mod step_gate;
mod version_judge;
mod version_split;

pub use count_pair::CountPair;
pub use evidence_key::EvidenceKey;
pub use known_record::KnownRecord;
pub use node_evidence::NodeEvidence;
pub use outcome_count::OutcomeCount;
pub use query_observation::QueryObservation;
pub use rollout_brake::{BrakeReason, BrakeSet, ExcessMeasure};
pub use rollout_gossip::RolloutGossip;
pub use rollout_input::{RolloutInput, WriteOutcome};
pub use rollout_limits::RolloutLimits;
pub use rollout_output::{RolloutAction, RolloutOutput};
pub use rollout_plan::RolloutPlan;
pub use rollout_policy::RolloutPolicy;
pub use rollout_statement::{RolloutStatement, StatementState};
pub use rollout_table::RolloutTable;
pub use version_split::VersionSplit;
