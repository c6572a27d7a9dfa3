//! Role of a node towards the store.

/// Role of a node towards the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// Have the store confirm every `confirm_interval` that nothing has changed, and relay its
    /// objects to the followers.
    Lead,
    /// Watch the store for changes and relay them to the followers.
    Watch,
    /// Read objects from peers.
    Follow,
}
