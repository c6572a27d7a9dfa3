//! Sizes of a node against which a configuration is checked.

/// Sizes of a node against which a configuration is checked.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckLimits {
    /// Memory for the bodies of callers' requests, in bytes.
    pub body_memory: usize,
    /// Number of connections of callers.
    pub connections: usize,
    /// Number of bodies of the largest size that a node should be able to hold at once.
    pub least_bodies: usize,
    /// Largest number of targets that a service can have.
    pub targets: u32,
}

impl Default for CheckLimits {
    /// Sizes of the smallest node: a quarter of 160 MB for bodies, and half of 4,100 descriptors for
    /// connections.
    fn default() -> Self {
        Self {
            body_memory: 40_000_000,
            connections: 2050,
            least_bodies: 16,
            targets: 100,
        }
    }
}
