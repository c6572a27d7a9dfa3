//! Whether operators let something serve.

use serde::{Deserialize, Serialize};

/// Operators' wish for a failure domain or target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServingState {
    /// It takes work.
    #[default]
    Active,
    /// It finishes what it has and takes no new work.
    Drained,
}
