//! Runs all capacity calculations and measurements and reports the results.

use super::plot_file::draw_series;
use super::{
    CapacityError, FleetSample, SlopeSeries, compare_ownership, measure_slopes, render_ownership,
};
use std::fmt::Write;
use std::fs;
use std::path::Path;

/// Results of one run of the capacity command.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityReport {
    /// Markdown text with one table for each fleet, comparing the ownership schemes.
    pub ownership: String,
    /// Measured costs, each at several sizes.
    pub slopes: Vec<SlopeSeries>,
}

/// Compares the ownership schemes and measures every slope.
///
/// `plots` is a folder, created if necessary, into which one plot is drawn for each slope. `seed`
/// seeds the ownership scheme that chooses owners at random.
///
/// # Errors
/// When a measurement fails, or a plot cannot be written.
pub fn run_capacity(plots: Option<&Path>, seed: u64) -> Result<CapacityReport, CapacityError> {
    let mut ownership = String::new();
    for sample in FleetSample::all() {
        ownership.push_str(&render_ownership(
            &sample,
            &compare_ownership(&sample, seed),
        ));
        ownership.push('\n');
    }
    let slopes = measure_slopes()?;
    if let Some(folder) = plots {
        fs::create_dir_all(folder).map_err(|source| CapacityError::Write {
            path: folder.into(),
            source,
        })?;
        for series in &slopes {
            draw_series(series, folder)?;
        }
    }
    Ok(CapacityReport { ownership, slopes })
}

impl CapacityReport {
    /// Formats the ownership tables and a table of all slopes as Markdown.
    pub fn to_markdown(&self) -> String {
        let mut text = format!("{}\n", self.ownership);
        text.push_str("| slope | cost | size | at 0 | for each | fit R² | points |\n");
        text.push_str("|---|---|---|---|---|---|---|\n");
        for series in &self.slopes {
            let _ = writeln!(text, "{}", series.table_row());
        }
        text
    }
}
