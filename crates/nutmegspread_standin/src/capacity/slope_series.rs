//! One cost, measured at several sizes.

use super::LineFit;
use std::fmt::Write;

/// One cost, measured at several sizes, so that its growth can be fitted by a line.
#[derive(Clone, Debug, PartialEq)]
pub struct SlopeSeries {
    /// Name in the report and of the plot's file.
    pub name: &'static str,
    /// Label of the horizontal axis: the quantity that is varied.
    pub size: &'static str,
    /// Label of the vertical axis: the measured cost and its unit.
    pub cost: &'static str,
    /// Pairs of a size and the cost measured at that size.
    pub points: Vec<(f64, f64)>,
}

impl SlopeSeries {
    /// Fits a line to the points; `None` unless at least two points differ in size.
    pub fn fit(&self) -> Option<LineFit> {
        LineFit::through(&self.points)
    }

    /// Formats the fitted line and the points as one row of the report's Markdown table.
    pub fn table_row(&self) -> String {
        let mut row = format!("| {} | {} | {} |", self.name, self.cost, self.size);
        match self.fit() {
            Some(fit) => {
                let _ = write!(
                    row,
                    " {:.3} | {:.5} | {:.3} |",
                    fit.intercept, fit.slope, fit.r_squared
                );
            }
            None => row.push_str(" - | - | - |"),
        }
        for (x, y) in &self.points {
            let _ = write!(row, " {x:.0}→{y:.2}");
        }
        row.push_str(" |");
        row
    }
}
