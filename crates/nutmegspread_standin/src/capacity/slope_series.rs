//! One measured slope.

use super::LineFit;
use std::fmt::Write;

/// Points of one cost over one size.
#[derive(Clone, Debug, PartialEq)]
pub struct SlopeSeries {
    /// Short name, also that of the plot's file.
    pub name: &'static str,
    /// What grows along the horizontal axis.
    pub size: &'static str,
    /// Cost with its unit.
    pub cost: &'static str,
    /// Measured points.
    pub points: Vec<(f64, f64)>,
}

impl SlopeSeries {
    /// Line through the points.
    pub fn fit(&self) -> Option<LineFit> {
        LineFit::through(&self.points)
    }

    /// One row of a table in Markdown.
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
