//! `check` and `diff`: configuration documents without a node.

use crate::command_error::CommandError;
use crate::flags::{Check, Diff};
use nutmegspread_model::{ConfigurationDocument, diff_documents, parse_document};
use std::path::Path;

/// Prints every error of a document.
///
/// # Errors
/// [`CommandError::Rejected`] with one line an error.
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

/// Prints every field in which two documents differ.
///
/// # Errors
/// When one of them is not acceptable.
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
/// Every error of the file at once, with file, line and field.
pub fn read_document(path: &Path) -> Result<ConfigurationDocument, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::ReadFile {
        path: path.into(),
        source,
    })?;
    let name = path.display().to_string();
    parse_document(&name, &text)
        .map_err(|errors| CommandError::Rejected(errors.iter().map(ToString::to_string).collect()))
}
