//! `capacity`: slopes and the comparison of ownership.

use crate::command_error::CommandError;
use crate::flags::Capacity;
use nutmegspread_standin::capacity::run_capacity;

/// Seed of random ownership when none is given.
const DEFAULT_SEED: u64 = 1;

/// Measures and prints the tables as Markdown.
///
/// # Errors
/// When a message cannot be encoded or a plot cannot be written.
pub fn capacity(flags: &Capacity) -> Result<(), CommandError> {
    let report = run_capacity(flags.plots.as_deref(), flags.seed.unwrap_or(DEFAULT_SEED))?;
    println!("{}", report.to_markdown());
    Ok(())
}
