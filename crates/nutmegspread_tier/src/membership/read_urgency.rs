//! How urgently a node has to read objects from the store.

/// How urgently a node has to read objects from the store, whatever its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadUrgency {
    /// Its objects are recent enough, or it is the turn of another node.
    None,
    /// It is its turn to find out whether the store answers.
    InTurn,
    /// Its objects are too old.
    AtOnce,
}

impl ReadUrgency {
    /// At once if the objects are overdue.
    pub(crate) fn at_once_if(is_overdue: bool) -> Self {
        if is_overdue { Self::AtOnce } else { Self::None }
    }
}
