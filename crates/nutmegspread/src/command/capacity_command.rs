//! `capacity`: measures how costs grow and compares ways to assign targets to nodes.

use crate::command_error::CommandError;
use crate::flags::Capacity;
use nutmegspread_standin::capacity::run_capacity;

/// Default seed of the random assignment of targets to nodes.
const DEFAULT_SEED: u64 = 1;

/// Measures, compares and prints the tables as Markdown.
///
/// # Errors
/// When a message cannot be encoded or a plot cannot be written.
pub fn capacity(flags: &Capacity) -> Result<(), CommandError> {
    let report = run_capacity(flags.plots.as_deref(), flags.seed.unwrap_or(DEFAULT_SEED))?;
    println!("{}", report.to_markdown());
    Ok(())
}
