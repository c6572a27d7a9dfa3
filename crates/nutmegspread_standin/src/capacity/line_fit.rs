//! Fits a straight line to measured points.

/// Least-squares line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Value of `y` at `x = 0`.
    pub intercept: f64,
    /// Growth of `y` when `x` grows by 1.
    pub slope: f64,
    /// Coefficient of determination, R²: the fraction of the variance of `y` that the line
    /// explains, 0 to 1.
    pub r_squared: f64,
}

impl LineFit {
    /// Fits a line to the points `(x, y)`; `None` unless at least two points differ in `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let square_sum_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || square_sum_x == 0.0 {
            return None;
        }
        let product_sum: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = product_sum / square_sum_x;
        let intercept = mean_y - slope * mean_x;
        let square_sum_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let residual_sum: f64 = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum();
        let r_squared = if square_sum_y == 0.0 {
            1.0
        } else {
            1.0 - residual_sum / square_sum_y
        };
        Some(Self {
            intercept,
            slope,
            r_squared,
        })
    }

    /// Value of `y` that the line has at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
