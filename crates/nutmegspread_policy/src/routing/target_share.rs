//! What one node may use of one target.

/// Part of a target's limits that a node holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetShare {
    /// Requests at a time.
    pub slots: u32,
    /// Connections.
    pub connections: u32,
    /// Whether the node is first in the target's order: a cold target takes work from it alone.
    pub leads: bool,
}

impl TargetShare {
    /// Whether the node may use the target at all.
    pub fn is_empty(&self) -> bool {
        self.slots == 0 || self.connections == 0
    }
}
