//! What a target says of itself.

use serde::{Deserialize, Serialize};

/// State that a target gives in each reply; a hint, never a verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Ready for its full limits.
    #[default]
    Warm,
    /// In cold start.
    Cold,
    /// Finishing; it takes no new work.
    Draining,
    /// It refused this request because it had too many, and did not start it.
    Shed,
}
