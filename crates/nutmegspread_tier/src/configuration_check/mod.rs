//! Finds entries of a configuration that can never match, and limits that contradict each other.

mod check_limits;
mod configuration_finding;
mod limit_check;
mod route_check;
mod table_check;

pub use check_limits::CheckLimits;
pub use configuration_finding::{CheckedField, ConfigurationFinding, ConfigurationPart};
pub use table_check::check_table;
