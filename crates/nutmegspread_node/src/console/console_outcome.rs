//! Outcome of applying a configuration document.

use nutmegspread_model::Revision;

/// Outcome of applying a document, as far as the node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleOutcome {
    /// The platform accepted the document as this revision.
    Accepted(Revision),
    /// The document was refused, because another revision came into force after the draft was made.
    Conflict {
        /// Revision in force.
        revision: Revision,
        /// Descriptions of the values that differ between the document in force and the refused one.
        differences: Vec<String>,
    },
    /// The document was refused as invalid; contains the errors.
    Invalid(Vec<String>),
    /// The node got no usable answer from the platform.
    Unavailable {
        /// Description of the cause.
        message: String,
        /// Whether the platform may have accepted the document.
        may_be_applied: bool,
    },
}
