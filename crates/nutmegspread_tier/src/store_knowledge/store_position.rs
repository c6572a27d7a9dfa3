//! Positions in the history of the store.

/// Position in the history of the store, ordered by era, then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Era of the store, which rises each time that it is restored from an older copy; 0 if the store
    /// never named one.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}
