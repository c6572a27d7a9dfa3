//! Whether a failure domain or target may get new work, as configured by operators.

use serde::{Deserialize, Serialize};

/// State that operators configure for a failure domain or target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServingState {
    /// The domain or target gets work.
    #[default]
    Active,
    /// The domain or target finishes the work that it has and gets no new work.
    Drained,
}
