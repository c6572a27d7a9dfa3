//! `serve`: runs one node.

use super::stop_signal::wait_for_stop_signal;
use crate::command_error::CommandError;
use crate::flags::Serve;
use nutmegspread_model::read_and_validate;
use nutmegspread_node::{NodeProcess, NodeSettings, start_logging};
use std::path::Path;

/// Runs a node until the process receives SIGTERM or SIGINT, then stops the node as planned.
///
/// # Errors
/// When the settings are invalid, the node cannot start, or it reaches its stop limit with requests
/// in flight.
pub fn serve(flags: &Serve) -> Result<(), CommandError> {
    let settings = read_settings(&flags.settings)?;
    start_logging(&settings.log_level)?;
    let node = NodeProcess::start(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let stopped_in_time = runtime.block_on(async {
        wait_for_stop_signal().await?;
        Ok::<bool, std::io::Error>(node.close().await)
    })?;
    if stopped_in_time {
        Ok(())
    } else {
        Err(CommandError::StopLimitReached)
    }
}

/// Reads and checks the settings file of a node.
///
/// # Errors
/// [`CommandError::Rejected`] with every error of the settings, each with file, line and field, or
/// [`CommandError::ReadFile`].
fn read_settings(path: &Path) -> Result<NodeSettings, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::ReadFile {
        path: path.into(),
        source,
    })?;
    let name = path.display().to_string();
    read_and_validate(&name, &text, NodeSettings::check)
        .map_err(|errors| CommandError::Rejected(errors.iter().map(ToString::to_string).collect()))
}
