//! Open-loop load on nodes and on a naive baseline, with fault injection and a check of every
//! answer.
//!
//! One process runs the stand-ins of a whole deployment as tasks and sends queries on a schedule
//! drawn from a seed. Each latency counts from the time at which the query was due: a stalled
//! system neither delays later queries nor hides the time that they wait.

mod answer_check;
mod arrival_schedule;
mod case_figures;
mod case_runner;
mod deployment_plan;
mod fault_action;
mod fault_script;
mod load_case;
mod load_error;
mod load_report;
mod load_runner;
mod load_settings;
mod naive_baseline;
mod node_caller;
mod node_environment;
mod order_load;
mod process_time;
mod query_outcome;
mod record_check;
mod searcher_fleet;
mod service_plan;

pub use answer_check::{AnswerFault, check_answer};
pub use arrival_schedule::arrival_offsets;
pub use case_figures::CaseFigures;
pub use deployment_plan::{DeploymentKind, DeploymentPlan};
pub use load_case::LoadCase;
pub use load_error::LoadError;
pub use load_report::{CaseReport, LoadReport};
pub use load_runner::run_load;
pub use load_settings::LoadSettings;
pub use naive_baseline::{BaselineSettings, NaiveBaseline};
pub use query_outcome::{QueryEnding, QueryOutcome};
pub use searcher_fleet::SearcherFleet;
pub use service_plan::{ServicePlan, TargetPlan};
