//! What an answer of the store states about its era.

/// What an answer of the store states about its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedEra {
    /// It states none.
    #[default]
    Missing,
    /// What it states is no number.
    Unreadable,
    /// It states this one.
    Number(u64),
}
