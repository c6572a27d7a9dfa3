//! Runs one query: sends an attempt to a replica of each shard, hedges and retries attempts, merges
//! the replies and answers the caller.

mod attempt_ledger;
mod attempt_stage;
mod due_queue;
mod extra_budget;
mod failure_effect;
mod hit_merge;
mod latency_window;
mod query_message;
mod query_plan;
mod query_run;
mod replica_choice;
mod reply_check;
mod service_table;
mod shard_progress;
mod shard_scatter;
mod step_context;
mod target_observation;
mod version_choice;

pub use attempt_stage::{AttemptStage, run_state};
pub use extra_budget::ExtraBudget;
pub use query_message::{QueryAction, QueryInput, QueryOutput};
pub use query_plan::QueryPlan;
pub use query_run::QueryRun;
pub use service_table::ServiceTable;
pub use target_observation::TargetObservation;
pub use version_choice::choose_version;
