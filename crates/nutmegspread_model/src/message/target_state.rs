//! State that a target reports with each reply.

use serde::{Deserialize, Serialize};

/// State that a target reports with each reply. Nodes use it as a hint; only the monitoring group
/// gives verdicts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// The target can bear the load up to its limits.
    #[default]
    Warm,
    /// The target has just started and bears less load than its limits.
    Cold,
    /// The target finishes the work that it has and accepts no new work.
    Draining,
    /// The target rejected this request because of overload and did not start it.
    Shed,
}
