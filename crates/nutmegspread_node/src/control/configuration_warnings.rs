//! Logs what an operator hardly meant in a configuration document.

use nutmegspread_model::{ConfigurationDocument, find_warnings};

/// Largest number of warnings of one revision that are logged.
const MAX_LOGGED_WARNINGS: usize = 8;

/// Logs the warnings of a document that this node applies now, as `check-configuration` prints them.
pub fn log_configuration_warnings(document: &ConfigurationDocument) {
    let warnings = find_warnings(document);
    for warning in warnings.iter().take(MAX_LOGGED_WARNINGS) {
        log::warn!(revision = document.revision, warnings = warnings.len();
            "a part of the configuration has no effect, or contradicts another: {warning}");
    }
}
