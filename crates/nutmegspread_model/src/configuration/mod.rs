//! The configuration document, with which operators control a deployment.

mod budget_policy;
mod configuration_document;
mod coverage_policy;
mod document_check;
mod document_diff;
mod document_error;
mod document_node;
mod document_warnings;
mod domain_settings;
mod field_path;
mod node_deserializer;
mod read_document;
mod rollout_check;
mod rollout_settings;
mod service_check;
mod service_settings;
mod serving_state;
mod target_limits;
mod target_settings;

pub use budget_policy::BudgetPolicy;
pub use configuration_document::ConfigurationDocument;
pub use coverage_policy::CoveragePolicy;
pub use document_check::validate_document;
pub use document_diff::{ChangeError, FieldChange, apply_changes, diff_documents};
pub use document_error::{DocumentError, FieldError};
pub use document_warnings::find_warnings;
pub use domain_settings::DomainSettings;
pub use field_path::{FieldPath, PathStep};
pub use read_document::{parse_document, read_and_validate, read_json_with_comments};
pub use rollout_settings::{RolloutSettings, RolloutStep};
pub use service_settings::ServiceSettings;
pub use serving_state::ServingState;
pub use target_limits::TargetLimits;
pub use target_settings::TargetSettings;
