//! `edge`: runs one node on the users' platform.

use crate::command_error::CommandError;
use crate::flags::Edge;
use nutmegspread_edge::{EdgeProcess, NodeSettings, start_log};
use nutmegspread_platform::SETTINGS_VARIABLE;
use std::path::PathBuf;

/// Runs a node on the users' platform until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// When no settings file is named, the settings are invalid, or the node cannot start.
pub fn edge(flags: &Edge) -> Result<(), CommandError> {
    let path = match &flags.settings {
        Some(path) => path.clone(),
        None => std::env::var_os(SETTINGS_VARIABLE)
            .map(PathBuf::from)
            .ok_or_else(|| {
                CommandError::Rejected(vec![format!(
                    "neither --settings nor the environment variable {SETTINGS_VARIABLE} names a settings file"
                )])
            })?,
    };
    let settings = NodeSettings::load(&path)?;
    start_log()?;
    EdgeProcess::new(&path, settings).run()?;
    Ok(())
}
