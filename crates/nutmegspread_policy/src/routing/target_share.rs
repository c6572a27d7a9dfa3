//! One node's share of a target's limits, which hold for all nodes together.

/// The slots (concurrent requests) and connections of a target that one node may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetShare {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Whether the node is the first of the target's owners. A cold target accepts work only from
    /// its first owner.
    pub leads: bool,
}

impl TargetShare {
    /// Whether the node may not use the target, as it holds no slot or no connection.
    pub fn is_empty(&self) -> bool {
        self.slots == 0 || self.connections == 0
    }
}
