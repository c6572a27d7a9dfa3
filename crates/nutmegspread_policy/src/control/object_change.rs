//! What was learned of one kind of platform objects.

use nutmegspread_model::PlatformObject;

/// A change of one kind of objects.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectChange<T> {
    /// Every object of the kind.
    Listed(Vec<PlatformObject<T>>),
    /// One object was created or changed.
    Changed(PlatformObject<T>),
    /// One object was deleted; this was its last state.
    Deleted(PlatformObject<T>),
    /// Nothing else changed up to now.
    Confirmed,
    /// The platform could not be reached.
    Lost,
}

impl<T> ObjectChange<T> {
    /// Whether the platform has answered.
    pub fn is_contact(&self) -> bool {
        !matches!(self, Self::Lost)
    }

    /// Whether one object changed just now.
    pub fn is_event(&self) -> bool {
        matches!(self, Self::Changed(_) | Self::Deleted(_))
    }

    /// Objects that exist, without those deleted.
    pub fn into_present(self) -> Vec<T> {
        match self {
            Self::Listed(objects) => objects.into_iter().map(|object| object.spec).collect(),
            Self::Changed(object) => vec![object.spec],
            Self::Deleted(_) | Self::Confirmed | Self::Lost => Vec::new(),
        }
    }
}
