//! The one document by which operators drive the system.

mod budget_policy;
mod configuration_document;
mod coverage_policy;
mod domain_settings;
mod rollout_settings;
mod service_settings;
mod serving_state;
mod target_limits;
mod target_settings;

pub use budget_policy::BudgetPolicy;
pub use configuration_document::ConfigurationDocument;
pub use coverage_policy::CoveragePolicy;
pub use domain_settings::DomainSettings;
pub use rollout_settings::{RolloutSettings, RolloutStep};
pub use service_settings::ServiceSettings;
pub use serving_state::ServingState;
pub use target_limits::TargetLimits;
pub use target_settings::TargetSettings;
