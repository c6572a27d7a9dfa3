//! How a node reads a kind of objects from the store.

use std::time::Duration;

/// How a node reads a kind of objects from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRead {
    /// It does not read the kind.
    Skip,
    /// It asks for the changes so far, and gets an answer at once.
    Confirm,
    /// It waits up to this long for changes.
    Watch(Duration),
}
