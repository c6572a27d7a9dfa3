//! What is wrong with a document, and where.

use super::FieldPath;
use std::fmt;

/// One fault in the text of a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {path}expected {expected}, found {found}", path = PathPrefix(.field))]
pub struct DocumentError {
    /// Name of the file, as given by the caller.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Field at fault; empty when the text as a whole is.
    pub field: FieldPath,
    /// What the field may hold.
    pub expected: String,
    /// What stands there.
    pub found: String,
}

/// One fault in the values of a document that was read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}expected {expected}, found {found}", path = PathPrefix(.field))]
pub struct FieldError {
    /// Field at fault.
    pub field: FieldPath,
    /// What the field may hold.
    pub expected: String,
    /// What stands there.
    pub found: String,
}

struct PathPrefix<'a>(&'a FieldPath);

impl fmt::Display for PathPrefix<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.0.is_empty() {
            return Ok(());
        }
        write!(formatter, "{}: ", self.0)
    }
}
