//! `check` and `diff`: commands on configuration documents, without a node.

use crate::command_error::CommandError;
use crate::flags::{Check, Diff};
use nutmegspread_model::{ConfigurationDocument, diff_documents, parse_document};
use std::path::Path;

/// Checks a configuration document and prints how many entries of each kind it has.
///
/// # Errors
/// [`CommandError::Rejected`] with every error of the document, or [`CommandError::ReadFile`].
pub fn check(flags: &Check) -> Result<(), CommandError> {
    let document = read_document(&flags.file)?;
    println!(
        "{}: {} services, {} failure domains, {} targets, {} rollouts",
        flags.file.display(),
        document.services.len(),
        document.domains.len(),
        document.targets.len(),
        document.rollouts.len(),
    );
    Ok(())
}

/// Prints every field in which two configuration documents differ.
///
/// # Errors
/// When one of the documents cannot be read or is invalid.
pub fn diff(flags: &Diff) -> Result<(), CommandError> {
    let from = read_document(&flags.from)?;
    let to = read_document(&flags.to)?;
    for change in diff_documents(&from, &to) {
        println!("{change}");
    }
    Ok(())
}

/// Reads and checks a configuration document.
///
/// # Errors
/// [`CommandError::Rejected`] with every error of the document, each with file, line and field, or
/// [`CommandError::ReadFile`].
pub fn read_document(path: &Path) -> Result<ConfigurationDocument, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::ReadFile {
        path: path.into(),
        source,
    })?;
    let name = path.display().to_string();
    parse_document(&name, &text)
        .map_err(|errors| CommandError::Rejected(errors.iter().map(ToString::to_string).collect()))
}
