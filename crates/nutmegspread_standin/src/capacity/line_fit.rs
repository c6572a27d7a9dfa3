//! Straight line through measured points.

/// Least-squares line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Value at zero.
    pub intercept: f64,
    /// Growth for each unit.
    pub slope: f64,
    /// Fraction of the variance that the line explains, 0 to 1.
    pub r_squared: f64,
}

impl LineFit {
    /// Fits a line through at least two points with different `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread_x == 0.0 {
            return None;
        }
        let shared: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = shared / spread_x;
        let intercept = mean_y - slope * mean_x;
        let spread_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let rest: f64 = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum();
        let r_squared = if spread_y == 0.0 {
            1.0
        } else {
            1.0 - rest / spread_y
        };
        Some(Self {
            intercept,
            slope,
            r_squared,
        })
    }

    /// Value of the line.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
