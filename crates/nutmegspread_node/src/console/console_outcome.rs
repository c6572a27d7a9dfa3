//! How an application of a document ended.

use nutmegspread_model::Revision;

/// End of an application, as far as the node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleOutcome {
    /// The document is accepted under this revision.
    Accepted(Revision),
    /// Another operator was first.
    Conflict {
        /// Revision in force.
        revision: Revision,
        /// Differences from the document in force to the refused one.
        differences: Vec<String>,
    },
    /// The document has faults.
    Invalid(Vec<String>),
    /// The platform gave no clear answer.
    Unavailable {
        /// Text of the cause.
        message: String,
        /// Whether the document may have been accepted.
        may_be_applied: bool,
    },
}
