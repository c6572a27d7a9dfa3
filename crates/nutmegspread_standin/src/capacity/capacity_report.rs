//! One run of all comparisons and slopes.

use super::plot_file::draw_series;
use super::{
    CapacityError, FleetSample, SlopeSeries, compare_ownership, measure_slopes, render_ownership,
};
use std::fmt::Write;
use std::fs;
use std::path::Path;

/// Everything that a capacity run measured.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityReport {
    /// Tables of the ownership comparison, in Markdown.
    pub ownership: String,
    /// Measured slopes.
    pub slopes: Vec<SlopeSeries>,
}

/// Compares ownership, measures every slope and, where a folder is given, draws the plots into it.
///
/// # Errors
/// When a message cannot be encoded, or a plot cannot be written.
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
    /// The report as Markdown.
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
