//! Reads JSON with comments and reports every error with its line.

use super::document_node::{DocumentNode, read_tree};
use super::node_deserializer::NodeDeserializer;
use super::{ConfigurationDocument, DocumentError, FieldError, validate_document};
use serde::de::DeserializeOwned;

/// Number of errors at which reading stops.
const MAXIMUM_ERRORS: usize = 200;

/// Reads a value from JSON with comments.
///
/// An invalid field is reported and removed, and the rest is read again, so that one call reports
/// the errors of all fields.
///
/// # Errors
/// The first syntax error; otherwise every wrong type and every unknown or repeated field.
pub fn read_json_with_comments<T: DeserializeOwned>(
    file: &str,
    text: &str,
) -> Result<T, Vec<DocumentError>> {
    let (value, _, errors) = read_collecting_errors(file, text);
    match value {
        Some(value) if errors.is_empty() => Ok(value),
        _ => Err(errors),
    }
}

/// Reads and validates a configuration document.
///
/// # Errors
/// Every error of [`read_json_with_comments`] and [`validate_document`], ordered by line.
pub fn parse_document(
    file_name: &str,
    text: &str,
) -> Result<ConfigurationDocument, Vec<DocumentError>> {
    read_and_validate(file_name, text, validate_document)
}

/// Reads a value from JSON with comments and validates it with `check`.
///
/// If some fields could not be read, `check` gets their default values; an error that it reports
/// for one of these fields is skipped.
///
/// # Errors
/// Every error of [`read_json_with_comments`] and of `check`, ordered by line.
pub fn read_and_validate<T: DeserializeOwned>(
    file: &str,
    text: &str,
    check: impl Fn(&T) -> Vec<FieldError>,
) -> Result<T, Vec<DocumentError>> {
    let (value, tree, mut errors) = read_collecting_errors::<T>(file, text);
    if let (Some(value), Some(tree)) = (&value, &tree) {
        let field_errors = check(value).into_iter();
        let field_errors = field_errors.map(|field_error| DocumentError {
            file: file.to_owned(),
            line: tree.line_of(&field_error.field),
            field: field_error.field,
            expected: field_error.expected,
            found: field_error.found,
        });
        let additional: Vec<DocumentError> = field_errors
            .filter(|field_error| errors.iter().all(|error| error.field != field_error.field))
            .collect();
        errors.extend(additional);
    }
    errors.sort_by_key(|error| error.line);
    match value {
        Some(value) if errors.is_empty() => Ok(value),
        _ => Err(errors),
    }
}

/// Reads a value; each field that cannot be read is reported and removed from the tree.
fn read_collecting_errors<T: DeserializeOwned>(
    file: &str,
    text: &str,
) -> (Option<T>, Option<DocumentNode>, Vec<DocumentError>) {
    let mut errors = Vec::new();
    let Some(mut tree) = read_tree(file, text, &mut errors) else {
        return (None, None, errors);
    };
    while errors.len() < MAXIMUM_ERRORS {
        let failure = match T::deserialize(NodeDeserializer(&tree)) {
            Ok(value) => return (Some(value), Some(tree), errors),
            Err(failure) => failure,
        };
        let path = failure.path();
        let error = DocumentError {
            file: file.to_owned(),
            line: tree.line_of(&path),
            field: path.clone(),
            expected: failure.expected,
            found: failure.found,
        };
        if errors.iter().all(|earlier| earlier.field != error.field) {
            errors.push(error);
        }
        if !tree.remove(&path) {
            break;
        }
    }
    (None, Some(tree), errors)
}
