//! Changes of platform objects, as reads and watches report them.

use nutmegspread_model::PlatformObject;

/// The result of one read, or one event of a watch, for one kind of object.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectChange<T> {
    /// Every object of the kind, as read from the platform.
    Listed(Vec<PlatformObject<T>>),
    /// One object was created or changed.
    Changed(PlatformObject<T>),
    /// One object was deleted; contains its last state.
    Deleted(PlatformObject<T>),
    /// The platform confirmed that there are no changes after those already reported.
    Confirmed,
    /// The read or the watch failed because the platform did not answer.
    Lost,
}

impl<T> ObjectChange<T> {
    /// Whether the change is an answer of the platform rather than a failure to reach it.
    pub fn is_platform_answer(&self) -> bool {
        !matches!(self, Self::Lost)
    }

    /// Whether a watch reported a change of a single object.
    pub fn is_watch_event(&self) -> bool {
        matches!(self, Self::Changed(_) | Self::Deleted(_))
    }

    /// The objects in this change that exist; empty for a deletion.
    pub fn into_existing(self) -> Vec<T> {
        match self {
            Self::Listed(objects) => objects.into_iter().map(|object| object.spec).collect(),
            Self::Changed(object) => vec![object.spec],
            Self::Deleted(_) | Self::Confirmed | Self::Lost => Vec::new(),
        }
    }
}
