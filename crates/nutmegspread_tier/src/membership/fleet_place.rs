//! Place of a node in the fleet.

/// Place of a node in the fleet, which determines who hears its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetPlace {
    /// The fleet is small, and all nodes hear each other.
    Mesh,
    /// All other nodes hear this one and follow its table of live nodes.
    Hub,
    /// Only the hubs hear this node.
    Leaf,
}
