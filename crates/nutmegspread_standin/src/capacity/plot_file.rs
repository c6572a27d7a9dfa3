//! Draws plots into SVG files.

use super::{CapacityError, SlopeSeries};
use plotters::prelude::*;
use std::path::Path;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (640, 400);
/// Number of segments of which the fitted line is drawn.
const LINE_SEGMENTS: u32 = 50;
/// Length of an axis as a multiple of the largest value, so that all points lie inside the plot.
const HEADROOM: f64 = 1.1;

/// Draws the points of a series and the fitted line into the file `<name of the series>.svg`.
///
/// # Errors
/// [`CapacityError::Plot`] when the plot cannot be drawn or its file cannot be written.
pub fn draw_series(series: &SlopeSeries, folder: &Path) -> Result<(), CapacityError> {
    let path = folder.join(format!("{}.svg", series.name));
    draw(series, &path).map_err(|error| CapacityError::Plot {
        path: path.clone(),
        reason: error.to_string(),
    })
}

fn draw(series: &SlopeSeries, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let axis_end = |value: fn(&(f64, f64)) -> f64| {
        series
            .points
            .iter()
            .map(value)
            .fold(f64::MIN_POSITIVE, f64::max)
            * HEADROOM
    };
    let (width, height) = (axis_end(|point| point.0), axis_end(|point| point.1));
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(series.name, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..width, 0.0..height)?;
    chart
        .configure_mesh()
        .x_desc(series.size)
        .y_desc(series.cost)
        .draw()?;
    if let Some(fit) = series.fit() {
        let step = width / f64::from(LINE_SEGMENTS);
        let line = (0..=LINE_SEGMENTS)
            .map(|number| f64::from(number) * step)
            .map(|x| (x, fit.value_at(x)));
        chart.draw_series(LineSeries::new(line, &BLUE))?;
    }
    let dots = series
        .points
        .iter()
        .map(|point| Circle::new(*point, 3, RED.filled()));
    chart.draw_series(dots)?;
    area.present()?;
    Ok(())
}
