//! `serve`: one node as a process.

use super::stop_signal::wait_for_stop;
use crate::command_error::CommandError;
use crate::flags::Serve;
use nutmegspread_model::read_and_validate;
use nutmegspread_node::{NodeProcess, NodeSettings, start_logging};
use std::path::Path;

/// Runs a node until it is told to stop.
///
/// # Errors
/// When the settings are not acceptable, the node cannot start, or the stop limit is reached.
pub fn serve(flags: &Serve) -> Result<(), CommandError> {
    let settings = read_settings(&flags.settings)?;
    start_logging(&settings.log_level)?;
    let node = NodeProcess::start(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let in_time = runtime.block_on(async {
        wait_for_stop().await?;
        Ok::<bool, std::io::Error>(node.close().await)
    })?;
    if in_time {
        Ok(())
    } else {
        Err(CommandError::StopLimit)
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// Every error of the file at once, with file, line and field.
fn read_settings(path: &Path) -> Result<NodeSettings, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::ReadFile {
        path: path.into(),
        source,
    })?;
    let name = path.display().to_string();
    read_and_validate(&name, &text, NodeSettings::check)
        .map_err(|errors| CommandError::Rejected(errors.iter().map(ToString::to_string).collect()))
}
