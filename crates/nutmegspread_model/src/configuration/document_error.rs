//! Errors in a document: the field, what was expected and what was found.

use super::FieldPath;
use std::fmt;

/// An error in a document, with the file and line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {path}expected {expected}, found {found}", path = PathPrefix(.field))]
pub struct DocumentError {
    /// Name of the file, as given by the caller.
    pub file: String,
    /// Number of the line, from 1.
    pub line: usize,
    /// Path of the invalid field; empty if the error concerns the whole text.
    pub field: FieldPath,
    /// Description of the values that the field accepts.
    pub expected: String,
    /// Description of the value in the document.
    pub found: String,
}

/// An invalid value in a document that was parsed; the file and line are not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}expected {expected}, found {found}", path = PathPrefix(.field))]
pub struct FieldError {
    /// Path of the invalid field.
    pub field: FieldPath,
    /// Description of the values that the field accepts.
    pub expected: String,
    /// Description of the value in the document.
    pub found: String,
}

/// Displays a path followed by a colon; displays nothing if the path is empty.
struct PathPrefix<'a>(&'a FieldPath);

impl fmt::Display for PathPrefix<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.0.is_empty() {
            return Ok(());
        }
        write!(formatter, "{}: ", self.0)
    }
}
