//! A point in the history of the store.

/// A point in the history of the store, ordered by era and then by revision.
///
/// Revisions are given out again after the store has come back from an older copy, so that they are
/// ordered only within an era, as log positions are only within a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Number of the history; it rises each time the store comes back from an older copy. 0 if the
    /// store has never stated one.
    pub era: u64,
    /// Revision of the store within the era.
    pub revision: u64,
}
