//! How current the configuration of a node is.

use std::time::Duration;

/// Last confirmation of the store that a node's configuration was the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmationAge {
    /// Time since the confirmation.
    pub age: Duration,
    /// Whether the node had started by then. If not, the node may have known a later configuration
    /// before its start.
    pub is_since_start: bool,
}
